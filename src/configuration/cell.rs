//! The holder of the configuration in force on a node.

use super::lock;
use crate::ids::Offset;
use crate::protocol::configuration::ConfigurationImage;
use crate::state::configuration::Configuration;
use async_channel::{Receiver, Sender};
use std::sync::{Arc, Mutex};

/// Holds the configuration in force and notifies watchers of new versions. Clones share the cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationCell(Arc<Mutex<CellState>>);

/// Invariant: the version of `current` never decreases.
#[derive(Debug, Default)]
struct CellState {
    current: Arc<Configuration>,
    watchers: Vec<Sender<Offset>>,
}

impl ConfigurationCell {
    /// Returns the configuration in force.
    pub(crate) fn current(&self) -> Arc<Configuration> {
        lock(&self.0).current.clone()
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Offset {
        lock(&self.0).current.version()
    }

    /// Adopts an image if it is newer, and returns the version that is then in force.
    pub(crate) fn adopt(&self, image: &ConfigurationImage) -> Offset {
        let before = self.current();
        if image.version > before.version() {
            self.replace(&Arc::new(Configuration::new(image.clone(), &before)));
        }
        self.version()
    }

    /// Replaces the configuration with a newer one; an older one is ignored.
    pub(super) fn replace(&self, new: &Arc<Configuration>) {
        let mut state = lock(&self.0);
        if new.version() <= state.current.version() {
            return;
        }
        let version = new.version();
        state.current = new.clone();
        // Replaces a version that the watcher has not read yet.
        state.watchers.retain(|tx| tx.force_send(version).is_ok());
        log::info!(target: "configuration", "configuration: version {version} is in force");
    }

    /// Returns a channel that receives the newest version, now if there is one and after each change.
    /// Dropping it ends the watch.
    pub(crate) fn watch(&self) -> Receiver<Offset> {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = lock(&self.0);
        let version = state.current.version();
        if version == 0 || tx.force_send(version).is_ok() {
            state.watchers.push(tx);
        }
        rx
    }
}
