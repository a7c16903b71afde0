//! The fold of the configuration stream.
//!
//! Acceptance depends only on versions and on whether an environment is in service, never on the
//! contents of a document. Every release therefore folds a stream to the same result.

use super::view::{Configuration, environment_position, find_environment};
use crate::ids::Offset;
use crate::protocol::configuration::{
    AcceptedChange, CONFIGURATION_STREAM, Change, ChangeAction, ChangeKind, ConfigurationImage,
    ConfigurationRecord, EnvironmentImage, Stage,
};
use crate::protocol::log::LogRecord;
use crate::state::stream::{CheckpointRef, Checkpoints, StreamFold};
use std::sync::Arc;

/// Maximum number of change summaries stored per environment.
const MAX_CHANGES: usize = 64;

/// Result of folding a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FoldOutcome {
    /// The change was accepted, and its offset is the new version.
    Accepted,
    /// The change or checkpoint is based on another version, or the change is not allowed. It has
    /// no effect.
    Stale,
    /// The checkpoint was accepted.
    Checkpoint,
    /// The record was folded before or cannot be decoded.
    Ignored,
}

/// The configuration that results from the records read so far, and the position in the stream.
///
/// Invariants: `next` is greater than every folded offset and than the configuration's version. The
/// version never decreases.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationFold {
    next: Offset,
    current: Arc<Configuration>,
    checkpoints: Checkpoints,
}

impl Default for ConfigurationFold {
    fn default() -> Self {
        Self {
            next: 1,
            current: Arc::default(),
            checkpoints: Checkpoints::default(),
        }
    }
}

impl ConfigurationFold {
    /// Returns the next offset to read.
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Returns the current configuration.
    pub(crate) fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Returns the root to name in new records: the offset of the newest accepted checkpoint, or 0 for
    /// the start of the stream.
    pub(crate) fn root(&self) -> Offset {
        self.checkpoints.root()
    }

    /// Returns the newest checkpoint that a later record names, so that readers find it.
    pub(crate) fn referenced_checkpoint(&self) -> Option<CheckpointRef> {
        self.checkpoints.referenced_checkpoint()
    }

    /// Continues at a root: the offset of an accepted checkpoint that a record names.
    pub(crate) fn restart_at(&mut self, root: Offset) {
        self.next = root;
        self.checkpoints = Checkpoints::default();
    }

    /// Adopts the configuration of a node that has folded all records before `next`.
    ///
    /// Returns whether it was newer. A lower version changes nothing.
    pub(crate) fn adopt(&mut self, image: &ConfigurationImage, next: Offset) -> bool {
        if image.version < self.current.version() {
            return false;
        }
        self.next = self.next.max(next).max(image.version + 1);
        if image.version == self.current.version() {
            return false;
        }
        self.current = Arc::new(Configuration::new(image.clone(), &self.current));
        true
    }

    /// Folds the next record.
    pub(crate) fn fold(&mut self, record: &LogRecord) -> FoldOutcome {
        if record.offset < self.next {
            return FoldOutcome::Ignored;
        }
        self.next = record.offset + 1;
        let decoded = ciborium::from_reader::<ConfigurationRecord, _>(record.data.as_slice());
        let Ok(decoded) = decoded else {
            return FoldOutcome::Ignored;
        };
        self.checkpoints.observe_root(decoded.root());
        match decoded {
            ConfigurationRecord::Change(change) => self.fold_change(change, record.offset),
            ConfigurationRecord::Checkpoint { image, .. } => self.fold_checkpoint(&image, record),
        }
    }

    /// Folds a checkpoint. The first one after the start of the fold or [`Self::restart_at`] may be
    /// newer than the current version. Any later one must be of that version.
    fn fold_checkpoint(&mut self, image: &ConfigurationImage, record: &LogRecord) -> FoldOutcome {
        let current_version = self.current.version();
        let restarted = self.checkpoints.is_empty() && image.version > current_version;
        if image.version != current_version && !restarted {
            return FoldOutcome::Stale;
        }
        if restarted {
            self.current = Arc::new(Configuration::new(image.clone(), &self.current));
        }
        self.checkpoints.add_checkpoint(record);
        FoldOutcome::Checkpoint
    }

    fn fold_change(&mut self, change: Change, offset: Offset) -> FoldOutcome {
        let current_version = self.current.environment_version(&change.environment);
        if change.expects != current_version || !is_allowed(&change.action, &self.current, &change)
        {
            return FoldOutcome::Stale;
        }
        let mut image = self.current.image().clone();
        image.version = offset;
        apply(&mut image, change, offset);
        self.current = Arc::new(Configuration::new(image, &self.current));
        FoldOutcome::Accepted
    }
}

impl StreamFold for ConfigurationFold {
    const STREAM: &'static str = CONFIGURATION_STREAM;

    fn root_of(data: &[u8]) -> Option<Offset> {
        let record: ConfigurationRecord = ciborium::from_reader(data).ok()?;
        Some(record.root())
    }

    fn next(&self) -> Offset {
        self.next
    }

    fn restart_at(&mut self, root: Offset) {
        Self::restart_at(self, root);
    }

    fn apply(&mut self, record: &LogRecord) {
        self.fold(record);
    }
}

/// Returns whether a change is allowed. Promotion and retirement require an environment in service.
fn is_allowed(action: &ChangeAction, current: &Configuration, change: &Change) -> bool {
    let in_service =
        find_environment(current.image(), &change.environment).is_some_and(|e| !e.retired);
    matches!(action, ChangeAction::Apply { .. }) || in_service
}

fn apply(image: &mut ConfigurationImage, change: Change, offset: Offset) {
    let index = match environment_position(image, &change.environment) {
        Ok(index) => index,
        Err(index) => {
            let environment = new_environment(&change);
            image.environments.insert(index, environment);
            index
        }
    };
    let environment = &mut image.environments[index];
    environment.version = offset;
    let kind = apply_action(environment, change.action);
    environment.changes.push(AcceptedChange {
        version: offset,
        replaced: change.expects,
        operator: change.operator,
        key: change.key,
        at_ms: change.at_ms,
        kind,
    });
    if environment.changes.len() > MAX_CHANGES {
        environment.changes.remove(0);
    }
}

fn new_environment(change: &Change) -> EnvironmentImage {
    EnvironmentImage {
        name: change.environment.clone(),
        version: 0,
        stage: Stage::Trial,
        retired: false,
        document: String::new(),
        changes: Vec::new(),
    }
}

/// Applies an action to an environment. A retired environment that is applied again returns to
/// trial.
fn apply_action(environment: &mut EnvironmentImage, action: ChangeAction) -> ChangeKind {
    match action {
        ChangeAction::Apply { document } => {
            if environment.retired {
                environment.retired = false;
                environment.stage = Stage::Trial;
            }
            environment.document = document;
            ChangeKind::Applied
        }
        ChangeAction::Promote(promotion) => {
            environment.stage = Stage::Production;
            ChangeKind::Promoted(promotion)
        }
        ChangeAction::Retire { reason } => {
            environment.retired = true;
            ChangeKind::Retired(reason)
        }
    }
}
