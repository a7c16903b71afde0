//! The configuration of a running node: follows the log, takes changes, passes versions on.
//!
//! An entry runs [`Configurator`]; a sidecar keeps a [`ConfigurationCell`] and hears over links.

mod cell;
mod change;
mod follow;
mod spread;
#[cfg(test)]
mod tests;

pub(crate) use cell::ConfigurationCell;
pub(crate) use change::{ChangeOutcome, ChangeRequest};
pub(crate) use spread::Peers;

use crate::coordination::configuration::{ConfigurationTail, Propagation};
use crate::ids::{NodeId, Offset};
use crate::protocol::link::ConfigurationOffer;
use crate::protocol::log::Log;
use crate::state::configuration::Configuration;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The configuration of an entry. Clones are the same one.
pub(crate) struct Configurator<L>(Arc<Inner<L>>);

impl<L> Clone for Configurator<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

struct Inner<L> {
    node: NodeId,
    log: L,
    retention_ms: u64,
    tail: Mutex<ConfigurationTail>,
    spread: Mutex<Propagation>,
    cell: ConfigurationCell,
}

impl<L: Log> Configurator<L> {
    /// Makes one that knows nothing yet. [`Configurator::follow`] makes it follow the log, and
    /// [`Configurator::pass_on`] makes it pass versions on.
    pub(crate) fn new(node: &str, log: L, retention_ms: u64) -> Self {
        Self(Arc::new(Inner {
            node: node.to_string(),
            log,
            retention_ms,
            tail: Mutex::new(ConfigurationTail::new(fastrand::Rng::new())),
            spread: Mutex::default(),
            cell: ConfigurationCell::default(),
        }))
    }

    /// Returns the configuration in force here.
    pub(crate) fn current(&self) -> Arc<Configuration> {
        self.0.cell.current()
    }

    /// Returns the cell that holds the configuration, for parts that only read it.
    pub(crate) fn cell(&self) -> &ConfigurationCell {
        &self.0.cell
    }

    /// Tells whether the configuration is known, so that the node can serve.
    pub(crate) fn is_ready(&self) -> bool {
        lock(&self.0.tail).is_ready()
    }

    /// Takes another node's offer and returns the version that is in force then.
    pub(crate) fn adopt(&self, offer: &ConfigurationOffer) -> Offset {
        let mut tail = lock(&self.0.tail);
        if tail.on_image(&offer.image, offer.next) {
            self.0.cell.replace(tail.fold().current());
        }
        tail.fold().current().version()
    }

    /// Returns what this node offers to others.
    pub(crate) fn offer(&self) -> ConfigurationOffer {
        let tail = lock(&self.0.tail);
        ConfigurationOffer {
            image: tail.fold().current().image().clone(),
            next: tail.fold().next(),
        }
    }
}

/// Locks a mutex; a panic elsewhere does not spread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds since the Unix epoch by this VM's clock.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
