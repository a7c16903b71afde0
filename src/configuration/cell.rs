//! The place where a node keeps the configuration in force.

use super::lock;
use crate::ids::Offset;
use crate::protocol::configuration::ConfigurationImage;
use crate::state::configuration::Configuration;
use async_channel::{Receiver, Sender};
use std::sync::{Arc, Mutex};

/// Holds the configuration in force and tells watchers of new versions. Clones are the same cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationCell(Arc<Mutex<Held>>);

/// Invariant: the version of `current` never goes down.
#[derive(Debug, Default)]
struct Held {
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

    /// Takes over an image if it is newer, and returns the version in force then.
    pub(crate) fn adopt(&self, image: &ConfigurationImage) -> Offset {
        let before = self.current();
        if image.version > before.version() {
            self.replace(&Arc::new(Configuration::new(image.clone(), &before)));
        }
        self.version()
    }

    /// Replaces the configuration by a newer one; an older one changes nothing.
    pub(super) fn replace(&self, new: &Arc<Configuration>) {
        let mut held = lock(&self.0);
        if new.version() <= held.current.version() {
            return;
        }
        let version = new.version();
        held.current = new.clone();
        // A watcher that has not read the last version will read this one instead.
        held.watchers.retain(|tx| tx.force_send(version).is_ok());
        log::info!(target: "configuration", "configuration: version {version} is in force");
    }

    /// Returns a channel that tells of the newest version after a change. Drop it to stop watching.
    pub(crate) fn watch(&self) -> Receiver<Offset> {
        let (tx, rx) = async_channel::bounded(1);
        lock(&self.0).watchers.push(tx);
        rx
    }
}
