//! Following the configuration stream and carrying the configuration over before it is trimmed.

use crate::coordination::stream::{Tail, TailRead};
use crate::ids::Offset;
use crate::protocol::configuration::{ConfigurationImage, ConfigurationRecord};
use crate::protocol::log::{LogError, LogPage};
use crate::state::configuration::ConfigurationFold;

/// Parts of the retention after which the configuration is carried over again.
const CARRY_RETENTION_PARTS: u64 = 4;

/// One node of so many carries over at each look, so that they rarely do it together.
const CARRY_ODDS: usize = 8;

/// Follows the configuration stream. If its beginning and all roots are trimmed, another node's
/// configuration helps.
#[derive(Debug)]
pub(crate) struct ConfigurationTail {
    tail: Tail<ConfigurationFold>,
    rng: fastrand::Rng,
}

impl ConfigurationTail {
    /// Starts at the stream's beginning.
    pub(crate) fn new(rng: fastrand::Rng) -> Self {
        Self {
            tail: Tail::new(ConfigurationFold::default()),
            rng,
        }
    }

    /// Returns the fold.
    pub(crate) fn fold(&self) -> &ConfigurationFold {
        &self.tail.fold
    }

    /// Tells whether the stream has been read to its end at least once, or a node's configuration
    /// was taken over.
    pub(crate) fn is_ready(&self) -> bool {
        self.tail.is_caught_up() || self.fold().current().version() > 0
    }

    /// Returns the next read.
    pub(crate) fn next_read(&self) -> TailRead {
        self.tail.next_read()
    }

    /// Takes what a read returned.
    pub(crate) fn on_page(&mut self, page: &LogPage) {
        self.tail.on_page(page);
    }

    /// Takes a failed read.
    pub(crate) fn on_error(&mut self, error: &LogError) {
        self.tail.on_error(error);
    }

    /// Takes another node's configuration, folded up to `next`; tells whether it was newer.
    pub(crate) fn on_image(&mut self, image: &ConfigurationImage, next: Offset) -> bool {
        let newer = self.tail.fold.adopt(image, next);
        if self.fold().next() == next {
            self.tail.resume();
        }
        newer
    }

    /// Returns a record that carries the configuration over, if one is due.
    pub(crate) fn carry(&mut self, now_ms: u64, retention_ms: u64) -> Option<ConfigurationRecord> {
        let image = self.fold().current().image();
        if !self.tail.is_following() || image.version == 0 {
            return None;
        }
        let oldest = image.environments.iter().flat_map(|e| &e.changes);
        let since_ms = match self.fold().referenced_checkpoint() {
            Some(named) => named.at_ms,
            None => oldest.map(|note| note.at_ms).min().unwrap_or(0),
        };
        let due = now_ms.saturating_sub(since_ms) > retention_ms / CARRY_RETENTION_PARTS;
        if !due || self.rng.usize(..CARRY_ODDS) != 0 {
            return None;
        }
        Some(ConfigurationRecord::Checkpoint {
            root: self.fold().root(),
            image: self.fold().current().image().clone(),
        })
    }
}
