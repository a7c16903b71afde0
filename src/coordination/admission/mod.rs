//! Admission: the bounded queue before an endpoint, and the cap on what the endpoint holds.
//!
//! Engines admit at once and know no priorities. So the sidecar hands over only as many calls as
//! keep the time between tokens within its target, and orders the rest by program.

mod cap;
mod order;
mod prefill;
#[cfg(test)]
mod tests;

use crate::coordination::smooth::Smoothed;
use crate::ids::{CallId, ProgramId};
use crate::protocol::link::{Priority, SidecarLoad};
use crate::protocol::refusal::{Refusal, RefusalCode};
use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use cap::CapConfig;
use cap::ConcurrencyCap;
use order::ClientAccounts;
pub use order::OrderWeights;
use prefill::PrefillMeter;

/// Least time after which a refused caller is told to try again, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Settings of an [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Calls that wait at most.
    pub queue_calls: usize,
    /// Part of the queue that trial environments may fill.
    pub trial_queue_share: f64,
    /// Part of the hand-overs that trial environments get while production waits too.
    pub trial_share: f64,
    /// Weights of the order.
    pub weights: OrderWeights,
    /// Bounds and target of the cap.
    pub cap: CapConfig,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            queue_calls: 512,
            trial_queue_share: 0.5,
            trial_share: 0.1,
            weights: OrderWeights::default(),
            cap: CapConfig::default(),
        }
    }
}

/// Work that a call brings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens that are expected not to be in the engine's cache.
    pub uncached_tokens: u32,
    /// Tokens to generate at most.
    pub max_tokens: u32,
}

impl Cost {
    /// Returns all tokens to be computed.
    pub fn tokens(self) -> u64 {
        u64::from(self.uncached_tokens) + u64::from(self.max_tokens)
    }
}

/// A call that asks to be handed over.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
    /// The call.
    pub call: CallId,
    /// The program it belongs to.
    pub program: ProgramId,
    /// Where it stands among others.
    pub priority: Priority,
    /// The work it brings.
    pub cost: Cost,
    /// What [`Admission::pop`] gives back.
    pub item: T,
}

/// What was seen of a call that is over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observed {
    /// Prompt tokens that the engine computed.
    pub uncached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Time to the first token; `None` if there was none.
    pub first_token: Option<Duration>,
    /// Time in the endpoint.
    pub ran: Duration,
}

/// A call in the queue.
struct Queued<T> {
    waiting: Waiting<T>,
    /// Index into [`ClientAccounts`].
    client_account: usize,
    since: Instant,
    /// When the program's deadline is.
    deadline: Instant,
}

/// A call handed over.
struct Running {
    /// Index into [`ClientAccounts`].
    client_account: usize,
    cost: Cost,
    /// Whether it still counts in `prefilling_tokens`.
    prefilling: bool,
}

/// A bounded queue by program priority, and an adaptive cap on what the endpoint holds.
///
/// Inputs are calls and observations with the time; it does no I/O.
///
/// ```
/// use galenapick::protocol::link::Priority;
/// use galenapick::{Admission, AdmissionConfig, Cost, Observed, Waiting};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut admission = Admission::new(AdmissionConfig::default());
/// let priority = Priority {
///     environment: "shop".into(),
///     production: true,
///     client_account: "cedarfen".into(),
///     share: 1.0,
///     attained_tokens: 0,
///     slack_ms: 60_000,
/// };
/// let cost = Cost { uncached_tokens: 100, max_tokens: 50 };
/// let waiting = Waiting { call: 1, program: 1, priority, cost, item: "first" };
/// admission.push(now, waiting).unwrap();
/// assert_eq!(admission.pop(now), Some("first"));
/// admission.finish(now, 1, Observed::default());
/// assert_eq!(admission.load().running, 0);
/// ```
pub struct Admission<T> {
    cfg: AdmissionConfig,
    queue: Vec<Queued<T>>,
    running: HashMap<CallId, Running>,
    client_accounts: ClientAccounts,
    cap: ConcurrencyCap,
    /// Sum of the waiting calls' cost.
    queued_tokens: u64,
    /// Sum of the waiting calls' uncached tokens.
    queued_prompt_tokens: u64,
    /// Sum of the uncached tokens of running calls without a first token.
    prefilling_tokens: u64,
    /// Hand-overs that trial environments have earned and not used.
    trial_credit: f64,
    prefill: PrefillMeter,
    call_ms: Smoothed,
}

impl<T> Admission<T> {
    /// Makes an empty queue.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cap: ConcurrencyCap::new(cfg.cap),
            cfg,
            queue: Vec::new(),
            running: HashMap::new(),
            client_accounts: ClientAccounts::default(),
            queued_tokens: 0,
            queued_prompt_tokens: 0,
            prefilling_tokens: 0,
            trial_credit: 0.0,
            prefill: PrefillMeter::default(),
            call_ms: Smoothed::default(),
        }
    }

    /// Takes a call into the queue, or refuses it as not run.
    pub fn push(&mut self, now: Instant, waiting: Waiting<T>) -> Result<(), Refusal> {
        self.check_room(&waiting)?;
        self.check_deadline(&waiting)?;
        let priority = &waiting.priority;
        let client_account = self
            .client_accounts
            .enter(&priority.client_account, priority.share);
        let deadline = now + Duration::from_millis(priority.slack_ms);
        self.queued_tokens += waiting.cost.tokens();
        self.queued_prompt_tokens += u64::from(waiting.cost.uncached_tokens);
        self.queue.push(Queued {
            waiting,
            client_account,
            since: now,
            deadline,
        });
        Ok(())
    }

    /// Hands over the call that comes first, if the cap allows one.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.queue.is_empty() {
            return None;
        }
        if self.running.len() >= self.cap.calls() as usize {
            self.cap.was_limiting();
            return None;
        }
        self.client_accounts.decay(now);
        let index = self.first(now)?;
        self.spend_trial_credit(index);
        let queued = self.take(index);
        self.start(now, &queued);
        Some(queued.waiting.item)
    }

    /// Removes a call, waiting or running; returns what waited.
    pub fn cancel(&mut self, call: CallId) -> Option<T> {
        if let Some(index) = self.queue.iter().position(|q| q.waiting.call == call) {
            let queued = self.take(index);
            self.client_accounts.leave(queued.client_account);
            return Some(queued.waiting.item);
        }
        self.remove_running(call);
        None
    }

    /// Removes the waiting calls of a program that is over.
    pub fn cancel_program(&mut self, program: ProgramId) -> Vec<T> {
        self.take_all(|queued| queued.waiting.program == program)
    }

    /// Removes the waiting calls whose program's deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.take_all(|queued| queued.deadline <= now)
    }

    /// Returns the earliest deadline among waiting calls.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.iter().map(|queued| queued.deadline).min()
    }

    /// Notes a call's first token.
    pub fn first_token(&mut self, now: Instant, call: CallId) {
        let Some(running) = self.running.get_mut(&call) else {
            return;
        };
        if std::mem::take(&mut running.prefilling) {
            let cost = running.cost;
            self.prefilling_tokens -= u64::from(cost.uncached_tokens);
            let tokens = u64::from(cost.uncached_tokens);
            self.prefill.done(now, tokens, self.prefilling_tokens > 0);
        }
    }

    /// Notes the time between two tokens of one stream.
    pub fn token_gap(&mut self, now: Instant, gap: Duration) {
        let gap_ms = gap.as_secs_f64() * 1e3;
        self.cap.token_gap(now, gap_ms, self.running.len() as u32);
    }

    /// Notes that a call is over, whole or not.
    pub fn finish(&mut self, now: Instant, call: CallId, observed: Observed) {
        let Some(running) = self.remove_running(call) else {
            return;
        };
        self.cap.tick(now);
        let actual = Cost {
            uncached_tokens: observed.uncached_tokens,
            max_tokens: observed.completion_tokens,
        };
        self.client_accounts.correct(
            running.client_account,
            running.cost.tokens(),
            actual.tokens(),
        );
        if observed.ran > Duration::ZERO {
            self.call_ms.add(observed.ran.as_secs_f64() * 1e3);
        }
    }

    /// Returns the load of this queue; the engine's own report is left empty.
    pub fn load(&self) -> SidecarLoad {
        SidecarLoad {
            queued: self.queue.len() as u32,
            queued_tokens: self.queued_tokens,
            running: self.running.len() as u32,
            cap: self.cap.calls(),
            prefill_tokens_per_s: self.prefill.tokens_per_s(),
            token_gap_ms: self.cap.mean_gap_ms(),
            call_ms: self.call_ms.get().unwrap_or(0.0),
            wait_ms: self.wait_ms(),
            prefill_backlog_tokens: self.queued_prompt_tokens + self.prefilling_tokens,
            ..SidecarLoad::default()
        }
    }

    /// Estimates the wait of a call that comes now, in milliseconds.
    fn wait_ms(&self) -> u64 {
        let cap = self.cap.calls() as usize;
        let ahead = (self.queue.len() + self.running.len() + 1).saturating_sub(cap);
        let call_ms = self.call_ms.get().unwrap_or(0.0);
        (ahead as f64 * call_ms / cap as f64) as u64
    }

    /// Refuses what does not fit into the queue.
    fn check_room(&self, waiting: &Waiting<T>) -> Result<(), Refusal> {
        let full = self.queue.len() >= self.cfg.queue_calls;
        let trial_room = (self.cfg.queue_calls as f64 * self.cfg.trial_queue_share) as usize;
        let trial_full = !waiting.priority.production && self.trials() >= trial_room;
        if !full && !trial_full {
            return Ok(());
        }
        let wait_ms = self.wait_ms().max(MIN_RETRY_AFTER_MS);
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "The endpoint's queue is full.");
        Err(refusal.retry_after_ms(wait_ms))
    }

    /// Refuses what cannot start before its program's deadline.
    fn check_deadline(&self, waiting: &Waiting<T>) -> Result<(), Refusal> {
        let prefill_s = f64::from(waiting.cost.uncached_tokens) / self.prefill.tokens_per_s();
        let ahead = self.ahead_of(waiting);
        let free = (self.cap.calls() as usize).saturating_sub(self.running.len());
        let behind = (ahead + 1).saturating_sub(free) as f64;
        let call_ms = self.call_ms.get().unwrap_or(0.0);
        let wait_ms = behind * call_ms / f64::from(self.cap.calls());
        if wait_ms + prefill_s * 1e3 <= waiting.priority.slack_ms as f64 {
            return Ok(());
        }
        let refusal = Refusal::not_run(RefusalCode::Deadline, "The deadline cannot be met here.");
        Err(refusal.retry_after_ms(MIN_RETRY_AFTER_MS))
    }

    /// Counts the waiting calls that are handed over before a new one.
    fn ahead_of(&self, waiting: &Waiting<T>) -> usize {
        let weights = &self.cfg.weights;
        let own = weights.rank(&waiting.priority, waiting.cost, Duration::ZERO, 0.0);
        let before = |q: &&Queued<T>| {
            let other = &q.waiting;
            let rank = weights.rank(&other.priority, other.cost, Duration::ZERO, 0.0);
            other.priority.production >= waiting.priority.production && rank <= own
        };
        self.queue.iter().filter(before).count()
    }

    /// Counts waiting calls of trial environments.
    fn trials(&self) -> usize {
        let trial = |q: &&Queued<T>| !q.waiting.priority.production;
        self.queue.iter().filter(trial).count()
    }

    /// Finds the call that comes first.
    fn first(&self, now: Instant) -> Option<usize> {
        let trial_turn = self.trial_credit >= 1.0;
        let floor = self.client_accounts.floor();
        let key = |queued: &Queued<T>| {
            let waiting = &queued.waiting;
            let waited = now.saturating_duration_since(queued.since);
            let excess = self.client_accounts.excess(queued.client_account, floor);
            let rank = (self.cfg.weights).rank(&waiting.priority, waiting.cost, waited, excess);
            (waiting.priority.production == trial_turn, rank)
        };
        let keyed = self.queue.iter().map(key).enumerate();
        let least = keyed.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        least.map(|(index, _)| index)
    }

    /// Accounts for the choice between production and trial.
    fn spend_trial_credit(&mut self, index: usize) {
        let production = self.queue[index].waiting.priority.production;
        let trials = self.trials();
        if !production {
            self.trial_credit = (self.trial_credit - 1.0).max(0.0);
        } else if trials > 0 {
            self.trial_credit += self.cfg.trial_share;
        }
    }

    /// Takes a call out of the queue.
    fn take(&mut self, index: usize) -> Queued<T> {
        let queued = self.queue.swap_remove(index);
        let cost = queued.waiting.cost;
        self.queued_tokens -= cost.tokens();
        self.queued_prompt_tokens -= u64::from(cost.uncached_tokens);
        queued
    }

    /// Takes all matching calls out of the queue.
    fn take_all(&mut self, matches: impl Fn(&Queued<T>) -> bool) -> Vec<T> {
        let mut items = Vec::new();
        while let Some(index) = self.queue.iter().position(&matches) {
            let queued = self.take(index);
            self.client_accounts.leave(queued.client_account);
            items.push(queued.waiting.item);
        }
        items
    }

    /// Counts a call as handed over.
    fn start(&mut self, now: Instant, queued: &Queued<T>) {
        let cost = queued.waiting.cost;
        self.client_accounts
            .charge(queued.client_account, cost.tokens());
        self.prefill.begin(now);
        self.prefilling_tokens += u64::from(cost.uncached_tokens);
        let running = Running {
            client_account: queued.client_account,
            cost,
            prefilling: true,
        };
        self.running.insert(queued.waiting.call, running);
    }

    /// Forgets a running call.
    fn remove_running(&mut self, call: CallId) -> Option<Running> {
        let running = self.running.remove(&call)?;
        if running.prefilling {
            self.prefilling_tokens -= u64::from(running.cost.uncached_tokens);
        }
        self.client_accounts.leave(running.client_account);
        Some(running)
    }
}
