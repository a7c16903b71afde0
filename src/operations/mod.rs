//! Operational statistics and events of all entries, stored in the log.
//!
//! Each entry counts its own outcomes, appends them at regular intervals, and folds the records of all
//! entries. Any entry, even a new one, can therefore report on the last days.

mod flush;
#[cfg(test)]
mod tests;

use crate::configuration::ConfigurationCell;
use crate::coordination::stream::Tail;
use crate::ids::{Incarnation, NodeId};
use crate::protocol::log::Log;
use crate::protocol::operations::{EventKind, OperationEvent, OperationsUpdate};
use crate::protocol::refusal::RefusalCode;
use crate::state::burn::{BurnReport, BurnTable, ProgramSample, TokenSample, report_environment};
use crate::state::operations::OperationsFold;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Largest number of events that wait to be appended; the oldest are dropped first.
const MAX_PENDING_EVENTS: usize = 1_024;

/// Settings of the recorder.
#[derive(Clone, Debug)]
pub(crate) struct OperationsConfig {
    /// Name of the entry.
    pub(crate) node: NodeId,
    /// Number of this run of its process.
    pub(crate) incarnation: Incarnation,
    /// Interval between two appends.
    pub(crate) flush_interval: Duration,
    /// Time for which the log keeps a record.
    pub(crate) retention_ms: u64,
}

/// Records outcomes and events. Clones share the recorder.
pub(crate) struct Operations<L>(Arc<Inner<L>>);

impl<L> Clone for Operations<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

struct Inner<L> {
    config: OperationsConfig,
    log: L,
    configuration: ConfigurationCell,
    tail: Mutex<Tail<OperationsFold>>,
    pending: Mutex<Pending>,
    log_down_since: Mutex<Option<Instant>>,
}

/// Counts and events that are not in the log yet.
///
/// Invariant: `in_flight` has been sent at least once and has not been read back from the stream.
#[derive(Debug, Default)]
struct Pending {
    table: BurnTable,
    events: Vec<OperationEvent>,
    refusals: HashMap<(String, RefusalCode), u64>,
    in_flight: Option<OperationsUpdate>,
    sequence: u64,
}

impl<L: Log> Operations<L> {
    /// Creates a recorder. [`Operations::run`] must run to append records and follow the stream.
    pub(crate) fn new(config: OperationsConfig, log: L, configuration: ConfigurationCell) -> Self {
        Self(Arc::new(Inner {
            config,
            log,
            configuration,
            tail: Mutex::new(Tail::new(OperationsFold::default())),
            pending: Mutex::default(),
            log_down_since: Mutex::default(),
        }))
    }

    /// Counts a program that has ended. The entry that owns the program calls this.
    pub(crate) fn record_program_end(
        &self,
        environment: &str,
        client_account: &str,
        latency: Duration,
        succeeded: bool,
    ) {
        let Some(objectives) = self.objectives(environment) else {
            return;
        };
        let sample = ProgramSample {
            latency_ms: latency.as_millis() as u64,
            objective_ms: objectives.program_latency_ms,
            succeeded,
        };
        let mut pending = lock(&self.0.pending);
        pending
            .table
            .add_program(unix_ms(), environment, client_account, sample);
    }

    /// Counts the first token of a model call. The entry that serves the caller calls this.
    pub(crate) fn record_first_token(
        &self,
        environment: &str,
        client_account: &str,
        latency: Duration,
    ) {
        let Some(objectives) = self.objectives(environment) else {
            return;
        };
        let sample = TokenSample {
            latency_ms: latency.as_millis() as u64,
            objective_ms: objectives.first_token_ms,
        };
        let mut pending = lock(&self.0.pending);
        pending
            .table
            .add_first_token(unix_ms(), environment, client_account, sample);
    }

    /// Counts a refused request.
    pub(crate) fn record_refusal(&self, environment: &str, code: RefusalCode) {
        let mut pending = lock(&self.0.pending);
        let key = (environment.to_string(), code);
        *pending.refusals.entry(key).or_insert(0) += 1;
    }

    /// Records an event with the current time.
    pub(crate) fn record_event(&self, kind: EventKind) {
        let event = self.event_at(unix_ms(), kind);
        let mut pending = lock(&self.0.pending);
        pending.events.push(event);
        let excess = pending.events.len().saturating_sub(MAX_PENDING_EVENTS);
        pending.events.drain(..excess);
    }

    /// Returns the burn rates of all environments in service and the recorded events.
    pub(crate) fn report(&self) -> BurnReport {
        let now_ms = unix_ms();
        let (table, events) = self.merge_pending();
        let configuration = self.0.configuration.current();
        let environments = configuration.environments().iter();
        let lines = environments.flat_map(|(name, view)| {
            report_environment(&table, now_ms, name, &view.environment.objectives)
        });
        BurnReport {
            at_ms: now_ms,
            lines: lines.collect(),
            events,
        }
    }

    /// Returns the counts and events from the log together with those not in the log yet.
    fn merge_pending(&self) -> (BurnTable, Vec<OperationEvent>) {
        let pending = lock(&self.0.pending);
        let tail = lock(&self.0.tail);
        let mut table = tail.fold.table().clone();
        let mut events = tail.fold.events().to_vec();
        let last_read = tail
            .fold
            .last_sequence(&self.0.config.node, self.0.config.incarnation);
        if let Some(update) = pending
            .in_flight
            .as_ref()
            .filter(|update| update.sequence > last_read)
        {
            table.add_minutes(&update.minutes);
            events.extend(update.events.iter().cloned());
        }
        table.add_minutes(&pending.table.minutes());
        events.extend(pending.events.iter().cloned());
        events.sort_by_key(|event| event.at_ms);
        (table, events)
    }

    fn objectives(&self, environment: &str) -> Option<crate::environment::Objectives> {
        let configuration = self.0.configuration.current();
        let view = configuration.environment(environment)?;
        Some(view.environment.objectives)
    }

    fn event_at(&self, at_ms: u64, kind: EventKind) -> OperationEvent {
        OperationEvent {
            at_ms,
            node: self.0.config.node.clone(),
            kind,
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
