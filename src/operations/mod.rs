//! What callers got and what happened, from all entries, kept in the log.
//!
//! Each entry counts what it sees, appends it every so often, and folds what all have appended; so
//! any entry can report on the last days, also one that started a minute ago.

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

/// Events that wait for the log at most; the oldest are dropped first.
const PENDING_EVENTS_MAX: usize = 1_024;

/// Settings of the recorder.
#[derive(Clone, Debug)]
pub(crate) struct OperationsConfig {
    /// The entry's name.
    pub(crate) node: NodeId,
    /// This run of it.
    pub(crate) incarnation: Incarnation,
    /// Time between two appends.
    pub(crate) flush_interval: Duration,
    /// How long the log keeps a record, in milliseconds.
    pub(crate) retention_ms: u64,
}

/// Records what callers get and what happens. Clones are the same recorder.
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

/// What is not in the log yet.
///
/// Invariant: `in_flight` has been appended at least once and has not been met in the stream.
#[derive(Debug, Default)]
struct Pending {
    table: BurnTable,
    events: Vec<OperationEvent>,
    refusals: HashMap<(String, RefusalCode), u64>,
    in_flight: Option<OperationsUpdate>,
    sequence: u64,
}

impl<L: Log> Operations<L> {
    /// Makes a recorder. [`Operations::run`] makes it append and follow the stream.
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

    /// Counts a program that ended, at the entry that owned it.
    pub(crate) fn program_ended(
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

    /// Counts a model call's first token, at the entry that the caller talks to.
    pub(crate) fn first_token(&self, environment: &str, client_account: &str, latency: Duration) {
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

    /// Counts a refused call.
    pub(crate) fn refused(&self, environment: &str, code: RefusalCode) {
        let mut pending = lock(&self.0.pending);
        let key = (environment.to_string(), code);
        *pending.refusals.entry(key).or_insert(0) += 1;
    }

    /// Records that something happened.
    pub(crate) fn event(&self, kind: EventKind) {
        let event = self.event_at(unix_ms(), kind);
        let mut pending = lock(&self.0.pending);
        pending.events.push(event);
        let excess = pending.events.len().saturating_sub(PENDING_EVENTS_MAX);
        pending.events.drain(..excess);
    }

    /// Reports on all environments in service.
    pub(crate) fn report(&self) -> BurnReport {
        let now_ms = unix_ms();
        let (table, events) = self.merged();
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

    /// Adds what is not in the log yet to what is.
    fn merged(&self) -> (BurnTable, Vec<OperationEvent>) {
        let pending = lock(&self.0.pending);
        let tail = lock(&self.0.tail);
        let mut table = tail.fold.table().clone();
        let mut events = tail.fold.events().to_vec();
        let met = tail
            .fold
            .last_sequence(&self.0.config.node, self.0.config.incarnation);
        if let Some(news) = pending
            .in_flight
            .as_ref()
            .filter(|news| news.sequence > met)
        {
            table.add_minutes(&news.minutes);
            events.extend(news.events.iter().cloned());
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

/// Locks a mutex; a panic elsewhere does not spread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds since the Unix epoch by this VM's clock.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
