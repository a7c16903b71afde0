//! Driver task of a partition: reads its stream, claims it, and appends its batches.

use super::Shared;
use super::clock::LogClock;
use super::core::Core;
use super::event::{Event, next_event, with_timeout};
use super::reader::{self, BatchEntries, Start};
use super::snapshots::SnapshotWriter;
use crate::coordination::commit::{CommitEffect, GroupCommit, decode, encode};
use crate::coordination::ownership::{ClaimView, Claimant};
use crate::ids::Offset;
use crate::protocol::log::{Log, LogError, LogPage, LogRecord, ReadLimit};
use crate::protocol::record::Record;
use crate::state::history::HistoryError;
use crate::state::partition::{Owner, PartitionState};
use async_channel::{Receiver, Sender};
use smol::Task;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay after a failed read; up to the same time is added as jitter.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time for which the stream is followed after a claim that got no answer, because the log may
/// still store the claim.
const UNANSWERED_CLAIM_WINDOW: Duration = Duration::from_secs(60);

/// The append in flight.
struct AppendInFlight {
    record: Vec<u8>,
    is_claim: bool,
    _task: Task<()>,
}

/// The read of the stream in flight.
struct ReadInFlight {
    /// Distinguishes its result from the results of abandoned reads.
    number: u64,
    _task: Task<()>,
}

/// State of the driver task.
pub(super) struct Driver<L, F> {
    log: L,
    shared: Arc<Shared>,
    wake_rx: Receiver<()>,
    is_owner_alive: F,
    claimant: Claimant,
    clock: LogClock,
    snapshots: SnapshotWriter,
    rng: fastrand::Rng,
    events: (Sender<Event>, Receiver<Event>),
    append_in_flight: Option<AppendInFlight>,
    read_in_flight: Option<ReadInFlight>,
    last_read_number: u64,
    relocation_read: Option<Task<()>>,
    /// Whether the place to start has been found, so that reads continue at `next_offset`.
    is_start_found: bool,
    /// Whether every record since the last commit has been applied. It is false after records were
    /// trimmed before they were read.
    is_gapless: bool,
    read_not_before: Instant,
    last_answered_read: u64,
    /// Number of the read that must be answered before the partition is released.
    release_read: Option<u64>,
    /// Follow the stream until this time, because the log may still store a claim that got no
    /// answer.
    unanswered_claim_until: Instant,
}

impl<L, F> Driver<L, F>
where
    L: Log,
    F: Fn(&Owner) -> bool + Send + 'static,
{
    /// Creates the driver of a partition.
    pub(super) fn new(
        log: L,
        shared: Arc<Shared>,
        wake_rx: Receiver<()>,
        is_owner_alive: F,
    ) -> Self {
        let identity = &shared.identity;
        let claimant = Claimant::new(identity.node.clone(), identity.incarnation);
        let seed = identity.incarnation ^ u64::from(identity.partition);
        Self {
            log,
            wake_rx,
            is_owner_alive,
            claimant,
            clock: LogClock::new(shared.config.retention),
            snapshots: SnapshotWriter::new(),
            rng: fastrand::Rng::with_seed(seed),
            events: async_channel::unbounded(),
            append_in_flight: None,
            read_in_flight: None,
            last_read_number: 0,
            relocation_read: None,
            is_start_found: false,
            is_gapless: true,
            read_not_before: Instant::now(),
            last_answered_read: 0,
            release_read: None,
            unanswered_claim_until: Instant::now(),
            shared,
        }
    }

    /// Runs until the last handle is dropped.
    pub(super) async fn run(mut self) {
        let (wake_rx, events) = (self.wake_rx.clone(), self.events.1.clone());
        loop {
            let wake_at = self.step(Instant::now());
            match next_event(&wake_rx, &events, wake_at).await {
                Event::Closed => return,
                Event::Wake => {}
                Event::Appended(result) => self.on_append_result(result),
                Event::PageRead(number, result) => self.on_page(number, result),
                Event::StartFound(number, result) => self.on_start_found(number, result),
                Event::BatchesRead(offsets, result) => self.on_batches_read(offsets, result),
            }
        }
    }

    /// Starts all work that is due, and returns when to call this again.
    fn step(&mut self, now: Instant) -> Instant {
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let tick = now + self.shared.config.tick;
        if !self.is_active(now, &core) {
            self.discard_state(&mut core);
            return tick;
        }
        self.release_if_answered(&mut core);
        self.start_read(now, &core);
        let wake_at = self.start_append(now, &mut core);
        self.start_relocation_read();
        wake_at.min(tick)
    }

    /// Returns whether the stream must be followed.
    fn is_active(&self, now: Instant, core: &Core) -> bool {
        core.should_own
            || core.group_commit.is_some()
            || self.shared.config.always_follow
            || self.append_in_flight.is_some()
            || now < self.unanswered_claim_until
    }

    /// Drops the state of a partition that need not be followed.
    fn discard_state(&mut self, core: &mut Core) {
        self.read_in_flight = None;
        if self.is_start_found {
            self.is_start_found = false;
            core.restart(PartitionState::new(), 0);
        }
    }

    /// Starts to release a partition that this node should no longer own, once the log has answered a
    /// read that began after that. During an outage the release could not be written, and no node
    /// would take calls.
    fn release_if_answered(&mut self, core: &mut Core) {
        if core.should_own || core.group_commit.is_none() {
            self.release_read = None;
            return;
        }
        match self.release_read {
            None => {
                self.read_in_flight = None;
                self.release_read = Some(self.last_read_number + 1);
            }
            Some(number) if self.last_answered_read >= number => core.begin_release(),
            Some(_) => {}
        }
    }

    /// Starts a read unless one is in flight.
    fn start_read(&mut self, now: Instant, core: &Core) {
        if self.read_in_flight.is_some() || now < self.read_not_before {
            return;
        }
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let (config, stream) = (self.shared.config, self.shared.stream.clone());
        let is_start_found = self.is_start_found;
        let needs_read = core
            .group_commit
            .as_ref()
            .is_some_and(GroupCommit::needs_read);
        let limit = ReadLimit {
            max_bytes: config.read_bytes,
            wait: if core.caught_up && !needs_read && !self.is_release_pending() {
                config.read_wait
            } else {
                Duration::ZERO
            },
        };
        let from = core.next_offset;
        self.last_read_number += 1;
        let number = self.last_read_number;
        let read_task = smol::spawn(async move {
            let event = if is_start_found {
                let read = log.read(&stream, from, limit);
                Event::PageRead(
                    number,
                    with_timeout(config.log_timeout + limit.wait, read).await,
                )
            } else {
                // Finding the start takes several reads.
                let start = reader::find_start(&log, &stream);
                Event::StartFound(number, with_timeout(config.log_timeout * 4, start).await)
            };
            let _ = tx.send(event).await;
        });
        self.read_in_flight = Some(ReadInFlight {
            number,
            _task: read_task,
        });
    }

    /// Starts an append if one is due, and returns when to call this again.
    fn start_append(&mut self, now: Instant, core: &mut Core) -> Instant {
        let tick = now + self.shared.config.tick;
        if self.append_in_flight.is_some() || !self.is_start_found {
            return tick;
        }
        if core.group_commit.is_none() {
            if core.caught_up {
                self.claim_if_due(now, core);
            }
            return tick;
        }
        match self.next_commit_effect(now, core) {
            CommitEffect::Append(bytes) => self.send_append(bytes, false),
            CommitEffect::Wait(at) => return at,
            CommitEffect::Read | CommitEffect::Idle => {}
        }
        tick
    }

    fn next_commit_effect(&mut self, now: Instant, core: &mut Core) -> CommitEffect {
        let (shared, snapshots) = (&self.shared, &mut self.snapshots);
        let log_now_ms = self.clock.now_ms(now).unwrap_or(0);
        let Core {
            group_commit,
            state,
            ..
        } = core;
        let Some(commit) = group_commit else {
            return CommitEffect::Idle;
        };
        if core.is_releasing {
            snapshots.abort();
        } else {
            snapshots.start_if_due(now, &self.clock, &shared.config, state);
        }
        let forget_before_ms =
            log_now_ms.saturating_sub(shared.config.ended_retention.as_millis() as u64);
        let leading_entries =
            || snapshots.next_entries(&shared.identity, &shared.config, forget_before_ms, state);
        commit.poll(now, state.root(), leading_entries)
    }

    fn claim_if_due(&mut self, now: Instant, core: &Core) {
        let state = &core.state;
        let is_owner_alive = state.owner().is_some_and(&self.is_owner_alive);
        let view = ClaimView {
            state,
            should_own: core.should_own,
            is_owner_alive,
        };
        if let Some(claim) = self.claimant.poll(now, view, &mut self.rng) {
            log::info!(target: "partition", "partition: {} claims {}, which is in epoch {}", claim.owner, self.shared.stream, claim.expects);
            self.send_append(encode(&Record::Claim(claim)), true);
        }
    }

    fn send_append(&mut self, record: Vec<u8>, is_claim: bool) {
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let stream = self.shared.stream.clone();
        let timeout = self.shared.config.log_timeout;
        let data = record.clone();
        let task = smol::spawn(async move {
            let result = with_timeout(timeout, log.append(&stream, data)).await;
            let _ = tx.send(Event::Appended(result)).await;
        });
        self.append_in_flight = Some(AppendInFlight {
            record,
            is_claim,
            _task: task,
        });
    }

    /// Starts reading the batches whose turn bodies the current snapshot relocates.
    fn start_relocation_read(&mut self) {
        if self.relocation_read.is_some() {
            return;
        }
        let offsets = self.snapshots.next_read();
        if offsets.is_empty() {
            return;
        }
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let stream = self.shared.stream.clone();
        self.relocation_read = Some(smol::spawn(async move {
            let batches = reader::read_batches(&log, &stream, offsets.clone()).await;
            let _ = tx.send(Event::BatchesRead(offsets, batches)).await;
        }));
    }

    fn on_batches_read(
        &mut self,
        offsets: BTreeSet<Offset>,
        result: Result<BatchEntries, HistoryError>,
    ) {
        self.relocation_read = None;
        match result {
            Ok(batches) => self
                .snapshots
                .add_relocated(&self.shared.lock().state, batches),
            Err(_) => self.snapshots.on_read_failed(offsets),
        }
    }

    fn on_append_result(&mut self, result: Result<Offset, LogError>) {
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let Some(append) = self.append_in_flight.take() else {
            return;
        };
        core.append_failing_since = match &result {
            Err(LogError::Unavailable(_)) => core.append_failing_since.or(Some(now)),
            _ => None,
        };
        if append.is_claim {
            self.claimant.on_claim_result();
            if result.is_err() {
                self.unanswered_claim_until = now + UNANSWERED_CLAIM_WINDOW;
            }
        }
        let offset = result.as_ref().ok().copied();
        if let Some(commit) = &mut core.group_commit
            && !append.is_claim
        {
            commit.on_append_result(now, result);
            if !commit.needs_read() {
                // The batch was read from the stream before its answer was missed.
                core.append_failing_since = None;
            }
        }
        // The record directly follows what has been read, so it can be applied without reading it.
        if offset == Some(core.next_offset) && core.caught_up {
            let offset = core.next_offset;
            self.apply(&mut core, now, offset, &append.record);
            core.start_epoch_if_owner(&self.claimant, &shared.config, now);
            return;
        }
        // The read in flight may have started before the append was stored, so its result cannot
        // tell whether the log contains the record. After a claim, the stream must be read to its end
        // before the node starts its epoch or claims again.
        core.caught_up &= !append.is_claim;
        self.read_in_flight = None;
    }

    /// Handles the result of the read in flight. Results of abandoned reads are ignored because
    /// those reads may have started before an append was answered.
    fn on_page(&mut self, number: u64, result: Result<LogPage, LogError>) {
        if !self.is_current_read(number) {
            return;
        }
        self.read_in_flight = None;
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let page = match result {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) => {
                log::warn!(target: "partition", "partition: {} is trimmed before offset {first}; restarting from the newest snapshot", shared.stream);
                self.is_start_found = false;
                self.is_gapless = false;
                return;
            }
            Err(error) => return self.on_read_failed(&mut core, now, &error),
        };
        core.read_failing_since = None;
        self.last_answered_read = number;
        for record in &page.records {
            self.process_record(&mut core, now, record);
        }
        if page.records.is_empty() {
            core.next_offset = core.next_offset.max(page.next);
        }
        if core.next_offset >= page.next {
            self.on_end_of_stream(&mut core, now);
        }
    }

    /// Handles that the end of the stream has been reached.
    fn on_end_of_stream(&mut self, core: &mut Core, now: Instant) {
        core.caught_up = true;
        if !self.is_gapless && !core.state.is_partial() {
            core.resolve_skipped_batch();
            self.end_epoch_if_superseded(core);
            self.is_gapless = true;
        }
        let next = core.next_offset;
        if let Some(commit) = &mut core.group_commit {
            commit.on_read_to_end(now, next);
        }
        core.start_epoch_if_owner(&self.claimant, &self.shared.config, now);
    }

    fn on_read_failed(&mut self, core: &mut Core, now: Instant, error: &LogError) {
        if core.read_failing_since.is_none() {
            log::warn!(target: "partition", "partition: reading {} failed, retrying: {error}", self.shared.stream);
            core.read_failing_since = Some(now);
        }
        let jitter = READ_RETRY_DELAY.mul_f64(self.rng.f64());
        self.read_not_before = now + READ_RETRY_DELAY + jitter;
    }

    fn is_release_pending(&self) -> bool {
        let number = self.release_read;
        number.is_some_and(|number| self.last_answered_read < number)
    }

    fn is_current_read(&self, number: u64) -> bool {
        self.read_in_flight
            .as_ref()
            .is_some_and(|read| read.number == number)
    }

    fn on_start_found(&mut self, number: u64, result: Result<Start, LogError>) {
        if !self.is_current_read(number) {
            return;
        }
        let shared = self.shared.clone();
        let mut core = shared.lock();
        self.read_in_flight = None;
        match result {
            Ok(start) => {
                core.read_failing_since = None;
                core.restart(start.state, start.next_offset);
                self.snapshots = SnapshotWriter::new();
                self.is_start_found = true;
            }
            Err(error) => self.on_read_failed(&mut core, Instant::now(), &error),
        }
    }

    /// Applies a record that was read, unless it has been applied already.
    fn process_record(&mut self, core: &mut Core, now: Instant, record: &LogRecord) {
        self.clock.observe(now, record.offset, record.at_ms);
        self.snapshots.observe_time(record.at_ms);
        if record.offset < core.next_offset {
            return;
        }
        self.apply(core, now, record.offset, &record.data);
    }

    fn apply(&mut self, core: &mut Core, now: Instant, offset: Offset, data: &[u8]) {
        let Some(record) = decode(data) else {
            log::error!(target: "partition", "partition: {} holds an undecodable record at offset {offset}; skipping it", self.shared.stream);
            core.next_offset = offset + 1;
            return;
        };
        let root = core.state.root();
        core.apply(offset, record);
        self.snapshots.observe_applied(
            &core.state,
            offset,
            self.clock.now_ms(now),
            data.len() as u64,
        );
        if self.is_gapless {
            self.end_epoch_if_superseded(core);
        }
        if let Some(commit) = &mut core.group_commit
            && core.state.root() != root
        {
            // An empty batch refers to the new root, so that readers can find the snapshot.
            commit.push_unbounded(Vec::new());
        }
    }

    /// Ends the current epoch if this node no longer owns the partition.
    fn end_epoch_if_superseded(&mut self, core: &mut Core) {
        if let Some(epoch) = core.end_epoch_if_superseded(&self.claimant, self.is_gapless) {
            log::info!(target: "partition", "partition: {}: this node's epoch {epoch} has ended", self.shared.stream);
            self.snapshots.abort();
        }
    }
}
