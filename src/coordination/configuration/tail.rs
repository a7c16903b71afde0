//! Follows the configuration stream, and decides when a checkpoint must be written to it before the
//! records of the current configuration are trimmed.

use crate::coordination::stream::{Tail, TailRead};
use crate::ids::Offset;
use crate::protocol::configuration::{ConfigurationImage, ConfigurationRecord};
use crate::protocol::log::{LogError, LogPage};
use crate::state::configuration::ConfigurationFold;

/// Number of checkpoints per retention time.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// Reciprocal of the probability that a node writes a due checkpoint at a check. It makes it
/// unlikely that several nodes write one at the same time.
const CHECKPOINT_ODDS: usize = 8;

/// Follows the configuration stream. A reader starts at the first record or at a root, which is an
/// accepted checkpoint. If all of these have been trimmed, it can continue from another node's
/// configuration.
#[derive(Debug)]
pub(crate) struct ConfigurationTail {
    tail: Tail<ConfigurationFold>,
    rng: fastrand::Rng,
}

impl ConfigurationTail {
    /// Creates a tail that starts at the beginning of the stream.
    pub(crate) fn new(rng: fastrand::Rng) -> Self {
        Self {
            tail: Tail::new(ConfigurationFold::default()),
            rng,
        }
    }

    /// Returns the folded configuration.
    pub(crate) fn fold(&self) -> &ConfigurationFold {
        &self.tail.fold
    }

    /// Returns whether the stream has been read to its end at least once, or a version is known
    /// already, from the stream or from another node.
    pub(crate) fn is_ready(&self) -> bool {
        self.tail.is_caught_up() || self.fold().current().version() > 0
    }

    /// Returns the parameters of the next read.
    pub(crate) fn next_read(&self) -> TailRead {
        self.tail.next_read()
    }

    /// Handles the page that a read returned.
    pub(crate) fn on_page(&mut self, page: &LogPage) {
        self.tail.on_page(page);
    }

    /// Handles a failed read.
    pub(crate) fn on_error(&mut self, error: &LogError) {
        self.tail.on_error(error);
    }

    /// Adopts the configuration of a node that has folded all records before `next`. Returns whether
    /// it was newer.
    pub(crate) fn adopt(&mut self, image: &ConfigurationImage, next: Offset) -> bool {
        let is_newer = self.tail.fold.adopt(image, next);
        if self.fold().next() == next {
            self.tail.resume();
        }
        is_newer
    }

    /// Returns a checkpoint record of the configuration, if one is due.
    pub(crate) fn checkpoint_if_due(
        &mut self,
        now_ms: u64,
        retention_ms: u64,
    ) -> Option<ConfigurationRecord> {
        let image = self.fold().current().image();
        if !self.tail.is_following() || image.version == 0 {
            return None;
        }
        let changes = image.environments.iter().flat_map(|e| &e.changes);
        let since_ms = match self.fold().referenced_checkpoint() {
            Some(checkpoint) => checkpoint.at_ms,
            None => changes.map(|change| change.at_ms).min().unwrap_or(0),
        };
        let is_due = now_ms.saturating_sub(since_ms) > retention_ms / CHECKPOINTS_PER_RETENTION;
        if !is_due || self.rng.usize(..CHECKPOINT_ODDS) != 0 {
            return None;
        }
        Some(ConfigurationRecord::Checkpoint {
            root: self.fold().root(),
            image: self.fold().current().image().clone(),
        })
    }
}
