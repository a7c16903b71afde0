//! The task of a partition: reads its stream, claims it, and appends its batches.

use super::Shared;
use super::clock::LogClock;
use super::core::Core;
use super::reader::{self, Bodies, Start};
use super::snapshots::Snapshots;
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
const READ_RETRY: Duration = Duration::from_millis(250);

/// The stream is followed so long after a claim without an answer.
const CLAIM_LANDS_WITHIN: Duration = Duration::from_secs(60);

/// What the driver waits for.
enum Event {
    /// The last handle was dropped.
    Closed,
    /// Something changed at a handle, or it is time to look.
    Look,
    /// An append was answered.
    Appended(Result<Offset, LogError>),
    /// A read from the stream was answered.
    Fetched(u64, Result<LogPage, LogError>),
    /// The place to start was looked for.
    Started(u64, Result<Start, LogError>),
    /// Batches with bodies to carry over were read.
    Bodies(BTreeSet<Offset>, Result<Bodies, HistoryError>),
}

/// An append under way.
struct Appending {
    record: Vec<u8>,
    is_claim: bool,
    _task: Task<()>,
}

/// A read of the stream under way.
struct Fetching {
    /// Tells its answer from those of reads that were given up.
    number: u64,
    _task: Task<()>,
}

/// The task.
pub(super) struct Driver<L, F> {
    log: L,
    shared: Arc<Shared>,
    nudged: Receiver<()>,
    alive: F,
    claimant: Claimant,
    clock: LogClock,
    snapshots: Snapshots,
    rng: fastrand::Rng,
    events: (Sender<Event>, Receiver<Event>),
    appending: Option<Appending>,
    fetching: Option<Fetching>,
    fetches: u64,
    carrying: Option<Task<()>>,
    started: bool,
    /// Whether the fold has met every record since the last commit.
    seamless: bool,
    read_not_before: Instant,
    /// The stream is followed until then, since a claim may still take effect.
    claim_may_land_until: Instant,
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
            nudged,
            alive,
            claimant,
            clock: LogClock::new(shared.config.retention),
            snapshots: Snapshots::new(),
            rng: fastrand::Rng::with_seed(seed),
            events: async_channel::unbounded(),
            appending: None,
            fetching: None,
            fetches: 0,
            carrying: None,
            started: false,
            seamless: true,
            read_not_before: Instant::now(),
            claim_may_land_until: Instant::now(),
            shared,
        }
    }

    /// Runs until the last handle is dropped.
    pub(super) async fn run(mut self) {
        let (nudged, events) = (self.nudged.clone(), self.events.1.clone());
        loop {
            let wake = self.look(Instant::now());
            match next_event(&nudged, &events, wake).await {
                Event::Closed => return,
                Event::Look => {}
                Event::Appended(answer) => self.appended(answer),
                Event::Fetched(number, answer) => self.fetched(number, answer),
                Event::Started(number, answer) => self.start(number, answer),
                Event::Bodies(wanted, answer) => self.bodies(wanted, answer),
            }
        }
    }

    /// Starts what is to be done now, and returns when to look again.
    fn look(&mut self, now: Instant) -> Instant {
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let tick = now + self.shared.config.tick;
        if !self.is_active(now, &core) {
            self.idle(&mut core);
            return tick;
        }
        self.read(now, &core);
        if !core.wanted {
            core.release();
        }
        let wake = self.append(now, &mut core);
        self.carry();
        wake.min(tick)
    }

    /// Whether the stream is to be followed.
    fn is_active(&self, now: Instant, core: &Core) -> bool {
        core.wanted
            || core.commit.is_some()
            || self.shared.config.follow
            || self.appending.is_some()
            || now < self.claim_may_land_until
    }

    /// Drops the fold of a partition that is not wanted.
    fn idle(&mut self, core: &mut Core) {
        self.fetching = None;
        if self.started {
            self.started = false;
            core.restart(PartitionState::new(), 0);
        }
    }

    /// Starts a read unless one is under way.
    fn read(&mut self, now: Instant, core: &Core) {
        if self.fetching.is_some() || now < self.read_not_before {
            return;
        }
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let (config, stream) = (self.shared.config, self.shared.stream.clone());
        let started = self.started;
        let wants_read = core.commit.as_ref().is_some_and(GroupCommit::wants_read);
        let limit = ReadLimit {
            max_bytes: config.read_bytes,
            wait: if core.caught_up && !wants_read {
                config.read_wait
            } else {
                Duration::ZERO
            },
        };
        let from = core.from;
        self.fetches += 1;
        let number = self.fetches;
        let task = smol::spawn(async move {
            let event = if started {
                let read = log.read(&stream, from, limit);
                Event::Fetched(
                    number,
                    within(config.answer_timeout + limit.wait, read).await,
                )
            } else {
                // A start is several reads.
                let start = reader::start(&log, &stream);
                Event::Started(number, within(config.answer_timeout * 4, start).await)
            };
            let _ = tx.send(event).await;
        });
        self.fetching = Some(Fetching {
            number,
            _task: task,
        });
    }

    /// Starts an append if there is something to append; returns when to look again.
    fn append(&mut self, now: Instant, core: &mut Core) -> Instant {
        let tick = now + self.shared.config.tick;
        if self.appending.is_some() || !self.started {
            return tick;
        }
        if core.commit.is_none() {
            if core.caught_up {
                self.claim(now, core);
            }
            return tick;
        }
        match self.close_batch(now, core) {
            CommitEffect::Append(bytes) => self.send(bytes, false),
            CommitEffect::Wait(at) => return at,
            CommitEffect::Read | CommitEffect::Idle => {}
        }
        tick
    }

    fn close_batch(&mut self, now: Instant, core: &mut Core) -> CommitEffect {
        let (shared, snapshots) = (&self.shared, &mut self.snapshots);
        let log_now_ms = self.clock.now_ms(now).unwrap_or(0);
        let Core { commit, state, .. } = core;
        let Some(commit) = commit else {
            return CommitEffect::Idle;
        };
        if core.releasing {
            snapshots.stop();
        } else {
            snapshots.plan(now, &self.clock, &shared.config, state);
        }
        let forget_before_ms =
            log_now_ms.saturating_sub(shared.config.keep_ended.as_millis() as u64);
        let front = || snapshots.front(&shared.identity, &shared.config, forget_before_ms, state);
        commit.poll(now, state.root(), front)
    }

    fn claim(&mut self, now: Instant, core: &Core) {
        let state = &core.state;
        let owner_alive = state.owner().is_some_and(&self.alive);
        let view = ClaimView {
            state,
            wanted: core.wanted,
            owner_alive,
        };
        if let Some(claim) = self.claimant.poll(now, view, &mut self.rng) {
            log::info!(target: "partition", "partition: {} claims {} from epoch {}", claim.owner, self.shared.stream, claim.expects);
            self.send(encode(&Record::Claim(claim)), true);
        }
    }

    fn send(&mut self, record: Vec<u8>, is_claim: bool) {
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let stream = self.shared.stream.clone();
        let timeout = self.shared.config.answer_timeout;
        let data = record.clone();
        let task = smol::spawn(async move {
            let answer = within(timeout, log.append(&stream, data)).await;
            let _ = tx.send(Event::Appended(answer)).await;
        });
        self.appending = Some(Appending {
            record,
            is_claim,
            _task: task,
        });
    }

    /// Starts reading batches whose bodies the snapshot carries over.
    fn carry(&mut self) {
        if self.carrying.is_some() {
            return;
        }
        let wanted = self.snapshots.next_read();
        if wanted.is_empty() {
            return;
        }
        let (log, tx) = (self.log.clone(), self.events.0.clone());
        let stream = self.shared.stream.clone();
        self.carrying = Some(smol::spawn(async move {
            let bodies = reader::bodies(&log, &stream, wanted.clone()).await;
            let _ = tx.send(Event::Bodies(wanted, bodies)).await;
        }));
    }

    fn bodies(&mut self, wanted: BTreeSet<Offset>, answer: Result<Bodies, HistoryError>) {
        self.carrying = None;
        match answer {
            Ok(bodies) => self.snapshots.carry(&self.shared.lock().state, bodies),
            Err(_) => self.snapshots.read_failed(wanted),
        }
    }

    fn appended(&mut self, answer: Result<Offset, LogError>) {
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let Some(appending) = self.appending.take() else {
            return;
        };
        core.append_down = match &answer {
            Err(LogError::Unavailable(_)) => core.append_down.or(Some(now)),
            _ => None,
        };
        if appending.is_claim {
            self.claimant.answered();
            if answer.is_err() {
                self.claim_may_land_until = now + CLAIM_LANDS_WITHIN;
            }
        }
        let offset = answer.as_ref().ok().copied();
        if let Some(commit) = &mut core.commit
            && !appending.is_claim
        {
            commit.appended(now, answer);
        }
        // Nothing stands between what was read and the record, so it need not be read.
        if offset == Some(core.from) && core.caught_up {
            let offset = core.from;
            self.apply(&mut core, now, offset, &appending.record);
            core.gain(&self.claimant, &shared.config, now);
            return;
        }
        // A read that began earlier does not settle what became of the append.
        core.caught_up &= !appending.is_claim;
        self.fetching = None;
    }

    /// Takes the answer to the read under way. Those of reads that were given up are ignored:
    /// they may have begun before an append was answered.
    fn fetched(&mut self, number: u64, answer: Result<LogPage, LogError>) {
        if !self.is_under_way(number) {
            return;
        }
        self.fetching = None;
        let now = Instant::now();
        let shared = self.shared.clone();
        let mut core = shared.lock();
        let page = match answer {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) => {
                log::warn!(target: "partition", "partition: {} is trimmed before {first}, starting again", shared.stream);
                self.started = false;
                self.seamless = false;
                return;
            }
            Err(error) => return self.read_failed(&mut core, now, &error),
        };
        core.read_down = None;
        for record in &page.records {
            self.meet(&mut core, now, record);
        }
        if page.records.is_empty() {
            core.from = core.from.max(page.next);
        }
        if core.from >= page.next {
            self.at_end(&mut core, now);
        }
    }

    /// Handles that the stream has been read to its end.
    fn at_end(&mut self, core: &mut Core, now: Instant) {
        core.caught_up = true;
        if !self.seamless && !core.state.is_partial() {
            core.reconcile();
            self.lose(core);
            self.seamless = true;
        }
        let next = core.from;
        if let Some(commit) = &mut core.commit {
            commit.caught_up(now, next);
        }
        core.gain(&self.claimant, &self.shared.config, now);
    }

    fn read_failed(&mut self, core: &mut Core, now: Instant, error: &LogError) {
        if core.read_down.is_none() {
            log::warn!(target: "partition", "partition: {}: {error}", self.shared.stream);
            core.read_down = Some(now);
        }
        let jitter = READ_RETRY.mul_f64(self.rng.f64());
        self.read_not_before = now + READ_RETRY + jitter;
    }

    fn is_under_way(&self, number: u64) -> bool {
        self.fetching
            .as_ref()
            .is_some_and(|fetch| fetch.number == number)
    }

    fn start(&mut self, number: u64, answer: Result<Start, LogError>) {
        if !self.is_under_way(number) {
            return;
        }
        let shared = self.shared.clone();
        let mut core = shared.lock();
        self.fetching = None;
        match answer {
            Ok(start) => {
                core.read_down = None;
                core.restart(start.state, start.from);
                self.snapshots = Snapshots::new();
                self.started = true;
            }
            Err(error) => self.read_failed(&mut core, Instant::now(), &error),
        }
    }

    /// Applies a record that was read, unless it has been applied.
    fn meet(&mut self, core: &mut Core, now: Instant, record: &LogRecord) {
        self.clock.observe(now, record.offset, record.at_ms);
        self.snapshots.meet(record.at_ms);
        if record.offset < core.from {
            return;
        }
        self.apply(core, now, record.offset, &record.data);
    }

    fn apply(&mut self, core: &mut Core, now: Instant, offset: Offset, data: &[u8]) {
        let Some(record) = decode(data) else {
            log::error!(target: "partition", "partition: {} has no record at {offset}", self.shared.stream);
            core.from = offset + 1;
            return;
        };
        let root = core.state.root();
        core.apply(offset, record);
        self.snapshots.observe(
            &core.state,
            offset,
            self.clock.now_ms(now),
            data.len() as u64,
        );
        if self.seamless {
            self.lose(core);
        }
        if let Some(commit) = &mut core.commit
            && core.state.root() != root
        {
            // An empty batch names the new root, so that readers find it.
            commit.push_unbounded(Vec::new());
        }
    }

    /// Gives up what the node no longer owns.
    fn lose(&mut self, core: &mut Core) {
        if let Some(epoch) = core.lose(&self.claimant, self.seamless) {
            log::info!(target: "partition", "partition: {} epoch {epoch} has ended", self.shared.stream);
            self.snapshots.stop();
        }
    }
}

async fn next_event(nudged: &Receiver<()>, events: &Receiver<Event>, wake: Instant) -> Event {
    let nudged = async {
        match nudged.recv().await {
            Ok(()) => Event::Look,
            Err(_) => Event::Closed,
        }
    };
    let event = async { events.recv().await.unwrap_or(Event::Closed) };
    let tick = async {
        Timer::at(wake).await;
        Event::Look
    };
    future::or(event, future::or(nudged, tick)).await
}

/// Gives up a log call without an answer.
async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(LogError::Unavailable("no answer in time".to_owned()))
    };
    future::or(call, timeout).await
}
