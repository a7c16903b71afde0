//! The configuration on a running node: the environments of the deployment, with their documents and
//! stages. Operators change it while nodes run; the settings of a node's own process are in
//! [`crate::settings`].
//!
//! An entry runs a [`Configurator`], which follows the configuration stream in the log, handles
//! operators' changes and propagates new versions to peers over links. A sidecar has only a
//! [`ConfigurationCell`], which it updates with the versions that entries offer.

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

/// Maintains the configuration of an entry. Clones share the state.
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
    propagation: Mutex<Propagation>,
    cell: ConfigurationCell,
}

impl<L: Log> Configurator<L> {
    /// Creates a configurator with an empty configuration. [`Configurator::follow`] must run to read
    /// the log, and [`Configurator::propagate`] to distribute new versions. `retention_ms` is the time
    /// for which the log keeps a record.
    pub(crate) fn new(node: &str, log: L, retention_ms: u64) -> Self {
        Self(Arc::new(Inner {
            node: node.to_string(),
            log,
            retention_ms,
            tail: Mutex::new(ConfigurationTail::new(fastrand::Rng::new())),
            propagation: Mutex::default(),
            cell: ConfigurationCell::default(),
        }))
    }

    /// Returns the configuration in force on this node.
    pub(crate) fn current(&self) -> Arc<Configuration> {
        self.0.cell.current()
    }

    /// Returns the cell with the configuration, for modules that only read or watch it.
    pub(crate) fn cell(&self) -> &ConfigurationCell {
        &self.0.cell
    }

    /// Returns whether the node knows a configuration and can therefore serve.
    pub(crate) fn is_ready(&self) -> bool {
        lock(&self.0.tail).is_ready()
    }

    /// Adopts a configuration that a peer offers, if it is newer, and returns the version that is then
    /// in force.
    pub(crate) fn adopt(&self, offer: &ConfigurationOffer) -> Offset {
        let mut tail = lock(&self.0.tail);
        if tail.adopt(&offer.image, offer.next) {
            self.0.cell.replace(tail.fold().current());
        }
        tail.fold().current().version()
    }

    /// Returns the configuration that this node offers to its peers.
    pub(crate) fn offer(&self) -> ConfigurationOffer {
        let tail = lock(&self.0.tail);
        ConfigurationOffer {
            image: tail.fold().current().image().clone(),
            next: tail.fold().next(),
        }
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one task does not fail the others.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the milliseconds since the Unix epoch by this VM's clock.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
