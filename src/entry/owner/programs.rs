//! In-memory programs of an owner, and the partitions that are open for calls.

use crate::entry::lock;
use crate::entry::owner::program::LiveProgram;
use crate::ids::{ClientAccountId, EnvironmentId, Epoch, Partition, ProgramId};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// In-memory programs of this node, with open partitions and the count of open calls.
#[derive(Default)]
pub(crate) struct Programs {
    live: Mutex<HashMap<ProgramId, Arc<LiveProgram>>>,
    creating: Mutex<HashMap<(EnvironmentId, ClientAccountId, String), ProgramId>>,
    open_epochs: Mutex<HashMap<Partition, Epoch>>,
    open_calls: AtomicUsize,
}

impl Programs {
    /// Opens a partition for calls in an epoch, once its pending entries are recovered.
    pub(super) fn open_partition(&self, partition: Partition, epoch: Epoch) {
        lock(&self.open_epochs).insert(partition, epoch);
    }

    /// Returns whether a partition is open for calls in an epoch.
    pub(super) fn is_partition_open(&self, partition: Partition, epoch: Epoch) -> bool {
        lock(&self.open_epochs).get(&partition) == Some(&epoch)
    }

    /// Returns a program that was loaded or created in the given epoch.
    pub(super) fn get(&self, program: ProgramId, epoch: Epoch) -> Option<Arc<LiveProgram>> {
        let live = lock(&self.live).get(&program).cloned();
        live.filter(|live| live.epoch == epoch)
    }

    /// Returns whether a program is in memory, in any epoch.
    pub(super) fn contains(&self, program: ProgramId) -> bool {
        lock(&self.live).contains_key(&program)
    }

    /// Adds a new program. If one with the same key is being created, returns its id as an error.
    pub(super) fn insert_new(
        &self,
        key: Option<&str>,
        program: LiveProgram,
    ) -> Result<Arc<LiveProgram>, ProgramId> {
        if let Some(key) = key {
            let creation_key = (
                program.environment.clone(),
                program.client_account.clone(),
                key.to_string(),
            );
            let mut creating = lock(&self.creating);
            if let Some(existing) = creating.get(&creation_key) {
                return Err(*existing);
            }
            creating.insert(creation_key, program.id);
        }
        Ok(self.get_or_insert(program))
    }

    /// Adds a program, or returns the existing one if it has the same epoch.
    pub(super) fn get_or_insert(&self, program: LiveProgram) -> Arc<LiveProgram> {
        let mut live = lock(&self.live);
        match live.get(&program.id) {
            Some(known) if known.epoch == program.epoch => known.clone(),
            _ => {
                let program = Arc::new(program);
                live.insert(program.id, program.clone());
                program
            }
        }
    }

    /// Removes a program and its creation key.
    pub(super) fn remove(&self, program: ProgramId) {
        lock(&self.live).remove(&program);
        lock(&self.creating).retain(|_, id| *id != program);
    }

    /// Returns all programs, including those of past epochs that are not removed yet.
    pub(super) fn all(&self) -> Vec<Arc<LiveProgram>> {
        lock(&self.live).values().cloned().collect()
    }

    /// Returns the number of queued and running calls.
    pub(crate) fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// Counts the start or end of a call.
    pub(super) fn count_call(&self, is_start: bool) {
        if is_start {
            self.open_calls.fetch_add(1, Ordering::Relaxed);
        } else {
            self.open_calls.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
