//! An operator's change: checked, appended, and settled by reading the stream.

use super::{Configurator, lock, unix_ms};
use crate::environment::{Difference, Environment, differences};
use crate::ids::{EnvironmentId, Offset};
use crate::ini::Faults;
use crate::protocol::configuration::{AcceptedChange, Change, ChangeAction, ConfigurationRecord};
use crate::protocol::log::{Log, LogError};
use crate::state::configuration::Configuration;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::time::{Duration, Instant};

/// How long a change waits for the log before its outcome is reported as unknown.
const SETTLE_LIMIT: Duration = Duration::from_secs(8);

/// Pause between two looks at the fold, and after a failed append.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// How long an accepted change waits for another entry to hold it before it is answered.
const HOLD_LIMIT: Duration = Duration::from_secs(1);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeRequest {
    /// The environment.
    pub(crate) environment: EnvironmentId,
    /// The version that it replaces; 0 for a new one.
    pub(crate) expects: Offset,
    /// Who asks.
    pub(crate) operator: String,
    /// Names the operation.
    pub(crate) key: String,
    /// What.
    pub(crate) action: ChangeAction,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// It is accepted and will never be taken back.
    Accepted {
        /// What was accepted.
        note: AcceptedChange,
        /// Other entries that are known to hold it.
        holders: usize,
    },
    /// Another change came first; nothing was changed.
    Lost {
        /// The environment's version.
        version: Offset,
        /// The change that made it.
        winner: Option<AcceptedChange>,
        /// From the document that was not accepted to the one in force.
        difference: Vec<Difference>,
    },
    /// The document has faults; nothing was changed.
    Faulty(Faults),
    /// It makes no sense in this state; nothing was changed.
    Refused(String),
    /// The log does not answer: repeat it with the same key.
    Unknown(String),
}

impl<L: Log> Configurator<L> {
    /// Makes a change. The same operator's repeat with the same key has the same outcome.
    pub(crate) async fn change(
        &self,
        request: ChangeRequest,
        is_entry: impl Fn(&str) -> bool,
    ) -> ChangeOutcome {
        let outcome = self.settle(&request).await;
        let ChangeOutcome::Accepted { note, .. } = outcome else {
            return outcome;
        };
        let holders = self.wait_for_holder(note.version, is_entry).await;
        ChangeOutcome::Accepted { note, holders }
    }

    async fn settle(&self, request: &ChangeRequest) -> ChangeOutcome {
        let give_up = Instant::now() + SETTLE_LIMIT;
        while !self.is_ready() {
            if Instant::now() >= give_up {
                return ChangeOutcome::Unknown("the configuration is not known yet".to_string());
            }
            Timer::after(LOOK_PAUSE).await;
        }
        if let Some(outcome) = decided(request, &self.current()) {
            return outcome;
        }
        if let Some(outcome) = check(request, &self.current()) {
            return outcome;
        }
        loop {
            let appended = self.append_change(request).await;
            if let Some(outcome) = self.wait_for_fold(request, &appended, give_up).await {
                return outcome;
            }
            if Instant::now() >= give_up {
                return ChangeOutcome::Unknown("the log does not answer".to_string());
            }
        }
    }

    async fn append_change(&self, request: &ChangeRequest) -> Result<Offset, LogError> {
        let root = lock(&self.0.tail).fold().root();
        let change = Change {
            environment: request.environment.clone(),
            expects: request.expects,
            operator: request.operator.clone(),
            key: request.key.clone(),
            at_ms: unix_ms(),
            root,
            action: request.action.clone(),
        };
        self.append(&ConfigurationRecord::Change(change)).await
    }

    /// Waits until the fold has met the record; after a failed append, for a short time only.
    async fn wait_for_fold(
        &self,
        request: &ChangeRequest,
        appended: &Result<Offset, LogError>,
        give_up: Instant,
    ) -> Option<ChangeOutcome> {
        let until = match appended {
            Ok(_) => give_up,
            Err(LogError::Throttled { retry_after }) => Instant::now() + *retry_after,
            Err(_) => Instant::now() + 10 * LOOK_PAUSE,
        };
        loop {
            // Looked at first: what the fold has met is in force by then.
            let met = matches!(appended, Ok(offset) if *offset < lock(&self.0.tail).fold().next());
            if let Some(outcome) = decided(request, &self.current()) {
                return Some(outcome);
            }
            if met {
                return Some(not_accepted(request, &self.current()));
            }
            if Instant::now() >= until.min(give_up) {
                return None;
            }
            Timer::after(LOOK_PAUSE).await;
        }
    }

    /// Waits until another entry holds a version, for a bounded time.
    async fn wait_for_holder(&self, version: Offset, is_entry: impl Fn(&str) -> bool) -> usize {
        let give_up = Instant::now() + HOLD_LIMIT;
        loop {
            let (holders, others) = self.count_holders(version, &is_entry);
            if holders > 0 || others == 0 || Instant::now() >= give_up {
                return holders;
            }
            Timer::after(LOOK_PAUSE).await;
        }
    }

    /// Counts the other entries that hold a version, and all other entries.
    fn count_holders(&self, version: Offset, is_entry: impl Fn(&str) -> bool) -> (usize, usize) {
        let spread = lock(&self.0.spread);
        let holders = spread.count_at_version(version, &is_entry);
        (holders, spread.count_at_version(0, is_entry))
    }
}

/// Returns the outcome of a change that the configuration already decides.
fn decided(request: &ChangeRequest, current: &Configuration) -> Option<ChangeOutcome> {
    let name = &request.environment;
    if let Some(note) = current.accepted_change(name, &request.operator, &request.key) {
        let note = note.clone();
        return Some(ChangeOutcome::Accepted { note, holders: 0 });
    }
    (current.environment_version(name) > request.expects).then(|| lost(request, current))
}

/// A record that the fold met and did not accept, although the version had not moved on.
fn not_accepted(request: &ChangeRequest, current: &Configuration) -> ChangeOutcome {
    let version = current.environment_version(&request.environment);
    ChangeOutcome::Refused(format!(
        "{} is at version {version} and cannot change so from {}",
        request.environment, request.expects
    ))
}

fn lost(request: &ChangeRequest, current: &Configuration) -> ChangeOutcome {
    let image = current.environment_image(&request.environment);
    let difference = match (&request.action, image) {
        (ChangeAction::Apply { document }, Some(image)) => differences(document, &image.document),
        _ => Vec::new(),
    };
    ChangeOutcome::Lost {
        version: image.map_or(0, |image| image.version),
        winner: image.and_then(|image| image.changes.last().cloned()),
        difference,
    }
}

/// Refuses a change that is wrong by itself.
fn check(request: &ChangeRequest, current: &Configuration) -> Option<ChangeOutcome> {
    let version = current.environment_version(&request.environment);
    if request.expects > version {
        return Some(not_accepted(request, current));
    }
    match &request.action {
        ChangeAction::Apply { document } => check_document(request, document, current),
        ChangeAction::Promote(_) | ChangeAction::Retire { .. } => {
            let in_service = current.environment(&request.environment).is_some();
            (!in_service).then(|| ChangeOutcome::Refused("it is not in service".to_string()))
        }
    }
}

fn check_document(
    request: &ChangeRequest,
    document: &str,
    current: &Configuration,
) -> Option<ChangeOutcome> {
    let environment = match Environment::parse(document, &request.environment) {
        Ok(environment) => environment,
        Err(faults) => return Some(ChangeOutcome::Faulty(faults)),
    };
    if environment.name != request.environment {
        let why = format!("the document describes {}", environment.name);
        return Some(ChangeOutcome::Refused(why));
    }
    let taken = environment
        .client_accounts
        .iter()
        .find(|(_, client_account)| {
            let owner = current.client_account_by_token(&client_account.token_hash);
            owner.is_some_and(|(name, _)| *name != request.environment)
        });
    taken.map(|(name, _)| {
        let why = format!("the token of member {name} is in use in another environment");
        ChangeOutcome::Refused(why)
    })
}
