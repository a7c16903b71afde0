//! The task of a partition: reads its stream, claims it, and appends its batches.

use super::Shared;
use super::clock::LogClock;
use super::core::Core;
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
use futures_lite::future;
use smol::{Task, Timer};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Wait after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The stream is followed so long after a claim without an answer.
const UNANSWERED_CLAIM_WINDOW: Duration = Duration::from_secs(60);

/// What the driver waits for.
enum Event {
    /// The last handle was dropped.
    Closed,
    /// Something changed at a handle, or it is time to look.
    Wake,
    /// An append was answered.
    Appended(Result<Offset, LogError>),
    /// A read from the stream was answered.
    PageRead(u64, Result<LogPage, LogError>),
    /// The place to start was looked for.
    StartFound(u64, Result<Start, LogError>),
    /// Batches with bodies to carry over were read.
    BatchesRead(BTreeSet<Offset>, Result<BatchEntries, HistoryError>),
}

/// An append under way.
struct AppendInFlight {
    record: Vec<u8>,
    is_claim: bool,
    _task: Task<()>,
}

/// A read of the stream under way.
struct ReadInFlight {
    /// Tells its answer from those of reads that were given up.
    number: u64,
    _task: Task<()>,
}

/// The task.
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
    has_started: bool,
    /// Whether the fold has met every record since the last commit.
    is_gapless: bool,
    read_not_before: Instant,
    /// The stream is followed until then, since a claim may still take effect.
    unanswered_claim_until: Instant,
}

impl<L, F> Driver<L, F>
where
    L: Log,
    F: Fn(&Owner) -> bool + Send + 'static,
{
    /// Makes the task.
    pub(super) fn new(log: L, shared: Arc<Shared>, nudged: Receiver<()>, alive: F) -> Self {
        let identity = &shared.identity;
        let claimant = Claimant::new(identity.node.clone(), identity.incarnation);
        let seed = identity.incarnation ^ u64::from(identity.partition);
        Self {
            log,
            wake_rx: nudged,
            is_owner_alive: alive,
            claimant,
            clock: LogClock::new(shared.config.retention),
            snapshots: SnapshotWriter::new(),
            rng: fastrand::Rng::with_seed(seed),
            events: async_channel::unbounded(),
            append_in_flight: None,
            read_in_flight: None,
            last_read_number: 0,
            relocation_read: None,
            has_started: false,
            is_gapless: true,
            read_not_before: Instant::now(),
            unanswered_claim_until: Instant::now(),
            shared,
        }
    }

    /// Runs until the last handle is dropped.
    pub(super) async fn run(mut self) {
        let (nudged, events) = (self.wake_rx.clone(), self.events.1.clone());
        loop {
            let wake = self.step(Instant::now());
            match next_event(&nudged, &events, wake).await {
                Event::Closed => return,
                Event::Wake => {}
                Event::Appended(answer) => self.on_append_result(answer),
                Event::PageRead(number, answer) => self.on_page(number, answer),
                Event::StartFound(number, answer) => self.on_start_found(number, answer),
                Event::BatchesRead(wanted, answer) => self.on_batches_read(wanted, answer),
            }
        }
    }

    /// Starts what is to be done now, and returns when to look again.
    fn step(&mut self, now: Instant) -> Instant {
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let tick = now + self.shared.config.tick;
        if !self.is_active(now, &core) {
            self.discard_state(&mut core);
            return tick;
        }
        self.start_read(now, &core);
        if !core.should_own {
            core.begin_handover();
        }
        let wake = self.start_append(now, &mut core);
        self.start_relocation_read();
        wake.min(tick)
    }

    /// Whether the stream is to be followed.
    fn is_active(&self, now: Instant, core: &Core) -> bool {
        core.should_own
            || core.commit.is_some()
            || self.shared.config.always_follow
            || self.append_in_flight.is_some()
            || now < self.unanswered_claim_until
    }

    /// Drops the fold of a partition that is not wanted.
    fn discard_state(&mut self, core: &mut Core) {
        self.read_in_flight = None;
        if self.has_started {
            self.has_started = false;
            core.restart(PartitionState::new(), 0);
        }
    }

    /// Starts a read unless one is under way.
    fn start_read(&mut self, now: Instant, core: &Core) {
        if self.read_in_flight.is_some() || now < self.read_not_before {
            return;
        }
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let (config, stream) = (self.shared.config, self.shared.stream.clone());
        let started = self.has_started;
        let wants_read = core.commit.as_ref().is_some_and(GroupCommit::needs_read);
        let limit = ReadLimit {
            max_bytes: config.read_bytes,
            wait: if core.caught_up && !wants_read {
                config.read_wait
            } else {
                Duration::ZERO
            },
        };
        let from = core.next_offset;
        self.last_read_number += 1;
        let number = self.last_read_number;
        let task = smol::spawn(async move {
            let event = if started {
                let read = log.read(&stream, from, limit);
                Event::PageRead(
                    number,
                    with_timeout(config.log_timeout + limit.wait, read).await,
                )
            } else {
                // A start is several reads.
                let start = reader::find_start(&log, &stream);
                Event::StartFound(number, with_timeout(config.log_timeout * 4, start).await)
            };
            let _ = tx.send(event).await;
        });
        self.read_in_flight = Some(ReadInFlight {
            number,
            _task: task,
        });
    }

    /// Starts an append if there is something to append; returns when to look again.
    fn start_append(&mut self, now: Instant, core: &mut Core) -> Instant {
        let tick = now + self.shared.config.tick;
        if self.append_in_flight.is_some() || !self.has_started {
            return tick;
        }
        if core.commit.is_none() {
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
        let Core { commit, state, .. } = core;
        let Some(commit) = commit else {
            return CommitEffect::Idle;
        };
        if core.is_releasing {
            snapshots.abort();
        } else {
            snapshots.start_if_due(now, &self.clock, &shared.config, state);
        }
        let forget_before_ms =
            log_now_ms.saturating_sub(shared.config.ended_retention.as_millis() as u64);
        let front =
            || snapshots.next_entries(&shared.identity, &shared.config, forget_before_ms, state);
        commit.poll(now, state.root(), front)
    }

    fn claim_if_due(&mut self, now: Instant, core: &Core) {
        let state = &core.state;
        let owner_alive = state.owner().is_some_and(&self.is_owner_alive);
        let view = ClaimView {
            state,
            should_own: core.should_own,
            is_owner_alive: owner_alive,
        };
        if let Some(claim) = self.claimant.poll(now, view, &mut self.rng) {
            log::info!(target: "partition", "partition: {} claims {} from epoch {}", claim.owner, self.shared.stream, claim.expects);
            self.send_append(encode(&Record::Claim(claim)), true);
        }
    }

    fn send_append(&mut self, record: Vec<u8>, is_claim: bool) {
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let stream = self.shared.stream.clone();
        let timeout = self.shared.config.log_timeout;
        let data = record.clone();
        let task = smol::spawn(async move {
            let answer = with_timeout(timeout, log.append(&stream, data)).await;
            let _ = tx.send(Event::Appended(answer)).await;
        });
        self.append_in_flight = Some(AppendInFlight {
            record,
            is_claim,
            _task: task,
        });
    }

    /// Starts reading batches whose bodies the snapshot carries over.
    fn start_relocation_read(&mut self) {
        if self.relocation_read.is_some() {
            return;
        }
        let wanted = self.snapshots.next_read();
        if wanted.is_empty() {
            return;
        }
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let stream = self.shared.stream.clone();
        self.relocation_read = Some(smol::spawn(async move {
            let bodies = reader::read_batches(&log, &stream, wanted.clone()).await;
            let _ = tx.send(Event::BatchesRead(wanted, bodies)).await;
        }));
    }

    fn on_batches_read(
        &mut self,
        wanted: BTreeSet<Offset>,
        answer: Result<BatchEntries, HistoryError>,
    ) {
        self.relocation_read = None;
        match answer {
            Ok(bodies) => self
                .snapshots
                .add_relocated(&self.shared.lock().state, bodies),
            Err(_) => self.snapshots.on_read_failed(wanted),
        }
    }

    fn on_append_result(&mut self, answer: Result<Offset, LogError>) {
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let Some(appending) = self.append_in_flight.take() else {
            return;
        };
        core.append_failing_since = match &answer {
            Err(LogError::Unavailable(_)) => core.append_failing_since.or(Some(now)),
            _ => None,
        };
        if appending.is_claim {
            self.claimant.on_claim_result();
            if answer.is_err() {
                self.unanswered_claim_until = now + UNANSWERED_CLAIM_WINDOW;
            }
        }
        let offset = answer.as_ref().ok().copied();
        if let Some(commit) = &mut core.commit
            && !appending.is_claim
        {
            commit.on_append_result(now, answer);
        }
        // Nothing stands between what was read and the record, so it need not be read.
        if offset == Some(core.next_offset) && core.caught_up {
            let offset = core.next_offset;
            self.apply(&mut core, now, offset, &appending.record);
            core.start_epoch_if_owner(&self.claimant, &shared.config, now);
            return;
        }
        // A read that began earlier does not settle what became of the append.
        core.caught_up &= !appending.is_claim;
        self.read_in_flight = None;
    }

    /// Takes the answer to the read under way. Those of reads that were given up are ignored:
    /// they may have begun before an append was answered.
    fn on_page(&mut self, number: u64, answer: Result<LogPage, LogError>) {
        if !self.is_current_read(number) {
            return;
        }
        self.read_in_flight = None;
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let page = match answer {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) => {
                log::warn!(target: "partition", "partition: {} is trimmed before {first}, starting again", shared.stream);
                self.has_started = false;
                self.is_gapless = false;
                return;
            }
            Err(error) => return self.on_read_failed(&mut core, now, &error),
        };
        core.read_failing_since = None;
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

    /// Handles that the stream has been read to its end.
    fn on_end_of_stream(&mut self, core: &mut Core, now: Instant) {
        core.caught_up = true;
        if !self.is_gapless && !core.state.is_partial() {
            core.reconcile();
            self.end_epoch_if_superseded(core);
            self.is_gapless = true;
        }
        let next = core.next_offset;
        if let Some(commit) = &mut core.commit {
            commit.on_read_to_end(now, next);
        }
        core.start_epoch_if_owner(&self.claimant, &self.shared.config, now);
    }

    fn on_read_failed(&mut self, core: &mut Core, now: Instant, error: &LogError) {
        if core.read_failing_since.is_none() {
            log::warn!(target: "partition", "partition: {}: {error}", self.shared.stream);
            core.read_failing_since = Some(now);
        }
        let jitter = READ_RETRY_DELAY.mul_f64(self.rng.f64());
        self.read_not_before = now + READ_RETRY_DELAY + jitter;
    }

    fn is_current_read(&self, number: u64) -> bool {
        self.read_in_flight
            .as_ref()
            .is_some_and(|fetch| fetch.number == number)
    }

    fn on_start_found(&mut self, number: u64, answer: Result<Start, LogError>) {
        if !self.is_current_read(number) {
            return;
        }
        let shared = self.shared.clone();
        let mut core = shared.lock();
        self.read_in_flight = None;
        match answer {
            Ok(start) => {
                core.read_failing_since = None;
                core.restart(start.state, start.next_offset);
                self.snapshots = SnapshotWriter::new();
                self.has_started = true;
            }
            Err(error) => self.on_read_failed(&mut core, Instant::now(), &error),
        }
    }

    /// Applies a record that was read, unless it has been applied.
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
            log::error!(target: "partition", "partition: {} has no record at {offset}", self.shared.stream);
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
        if let Some(commit) = &mut core.commit
            && core.state.root() != root
        {
            // An empty batch names the new root, so that readers find it.
            commit.push_unbounded(Vec::new());
        }
    }

    /// Gives up what the node no longer owns.
    fn end_epoch_if_superseded(&mut self, core: &mut Core) {
        if let Some(epoch) = core.end_epoch_if_superseded(&self.claimant, self.is_gapless) {
            log::info!(target: "partition", "partition: {} epoch {epoch} has ended", self.shared.stream);
            self.snapshots.abort();
        }
    }
}

async fn next_event(nudged: &Receiver<()>, events: &Receiver<Event>, wake: Instant) -> Event {
    let nudged = async {
        match nudged.recv().await {
            Ok(()) => Event::Wake,
            Err(_) => Event::Closed,
        }
    };
    let event = async { events.recv().await.unwrap_or(Event::Closed) };
    let tick = async {
        Timer::at(wake).await;
        Event::Wake
    };
    future::or(event, future::or(nudged, tick)).await
}

/// Gives up a log call without an answer.
async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(LogError::Unavailable("no answer in time".to_owned()))
    };
    future::or(call, timeout).await
}
