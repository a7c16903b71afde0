//! Admission control: a bounded queue in front of an endpoint, and a cap on the calls running
//! there.
//!
//! Engines accept every call at once and have no priorities. The sidecar therefore releases only as
//! many calls as keep the time between tokens within its target, and orders the queued calls by
//! program.

mod cap;
mod order;
mod prefill;
#[cfg(test)]
mod tests;

use crate::coordination::average::MovingAverage;
use crate::ids::{CallId, ProgramId};
use crate::protocol::link::{Priority, SidecarLoad};
use crate::protocol::refusal::{Refusal, RefusalCode};
use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use cap::CapConfig;
use cap::ConcurrencyCap;
use order::ClientAccounts;
pub use order::RankWeights;
use prefill::PrefillMeter;

/// Minimum retry delay sent with a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Settings of an [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Maximum number of queued calls.
    pub max_queued_calls: usize,
    /// Fraction of the queue that trial environments may fill.
    pub trial_queue_share: f64,
    /// Releases to trial environments per release to production while both have queued calls.
    pub trial_share: f64,
    /// Weights of the calls' ranks.
    pub weights: RankWeights,
    /// Settings of the cap on running calls.
    pub cap: CapConfig,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_queued_calls: 512,
            trial_queue_share: 0.5,
            trial_share: 0.1,
            weights: RankWeights::default(),
            cap: CapConfig::default(),
        }
    }
}

/// Work of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Expected prompt tokens that are not in the engine's cache.
    pub uncached_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

impl Cost {
    /// Returns the total number of tokens to compute.
    pub fn tokens(self) -> u64 {
        u64::from(self.uncached_tokens) + u64::from(self.max_tokens)
    }
}

/// A call to be queued.
#[derive(Clone, Debug)]
pub struct PendingCall<T> {
    /// Id of the call.
    pub call: CallId,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Priority of the call.
    pub priority: Priority,
    /// Estimated work of the call.
    pub cost: Cost,
    /// Value that [`Admission::pop`] returns for the call.
    pub item: T,
}

/// Measurements of a call that has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallObservation {
    /// Prompt tokens that the engine had to compute.
    pub uncached_tokens: u32,
    /// Number of tokens generated.
    pub completion_tokens: u32,
    /// Time to the first token, or `None` if there was none.
    pub first_token: Option<Duration>,
    /// Run time at the endpoint.
    pub ran: Duration,
}

/// A call in the queue.
struct Queued<T> {
    pending: PendingCall<T>,
    /// Index into [`ClientAccounts`].
    client_account: usize,
    queued_at: Instant,
    /// Deadline of the call's program.
    deadline: Instant,
}

/// A call running at the endpoint.
struct Running {
    /// Index into [`ClientAccounts`].
    client_account: usize,
    cost: Cost,
    /// Whether its prompt is still included in `prefilling_tokens`.
    is_prefilling: bool,
}

/// Bounded queue ordered by program priority, with an adaptive cap on the calls running at the
/// endpoint.
///
/// Its inputs are calls and measurements with the current time. It does no I/O.
///
/// ```
/// use galenapick::protocol::link::Priority;
/// use galenapick::{Admission, AdmissionConfig, Cost, CallObservation, PendingCall};
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
/// let waiting = PendingCall { call: 1, program: 1, priority, cost, item: "first" };
/// admission.push(now, waiting).unwrap();
/// assert_eq!(admission.pop(now), Some("first"));
/// admission.finish(now, 1, CallObservation::default());
/// assert_eq!(admission.load().running, 0);
/// ```
pub struct Admission<T> {
    cfg: AdmissionConfig,
    queue: Vec<Queued<T>>,
    running: HashMap<CallId, Running>,
    client_accounts: ClientAccounts,
    cap: ConcurrencyCap,
    /// Total tokens of the queued calls.
    queued_tokens: u64,
    /// Total uncached prompt tokens of the queued calls.
    queued_prompt_tokens: u64,
    /// Total uncached prompt tokens of running calls that have not produced a token.
    prefilling_tokens: u64,
    /// Releases that trial environments have earned and not used.
    trial_credit: f64,
    prefill: PrefillMeter,
    call_ms: MovingAverage,
}

impl<T> Admission<T> {
    /// Creates an empty queue.
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
            call_ms: MovingAverage::default(),
        }
    }

    /// Queues a call. Returns a refusal, which says that the call did not run, if the queue is full
    /// or the deadline cannot be met.
    pub fn push(&mut self, now: Instant, call: PendingCall<T>) -> Result<(), Refusal> {
        self.check_capacity(&call)?;
        self.check_deadline(&call)?;
        let priority = &call.priority;
        let client_account = self
            .client_accounts
            .add_call(&priority.client_account, priority.share);
        let deadline = now + Duration::from_millis(priority.slack_ms);
        self.queued_tokens += call.cost.tokens();
        self.queued_prompt_tokens += u64::from(call.cost.uncached_tokens);
        self.queue.push(Queued {
            pending: call,
            client_account,
            queued_at: now,
            deadline,
        });
        Ok(())
    }

    /// Releases the call with the best rank to the endpoint, if the cap allows one.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.queue.is_empty() {
            return None;
        }
        if self.running.len() >= self.cap.calls() as usize {
            self.cap.record_limited();
            return None;
        }
        self.client_accounts.decay(now);
        let index = self.next_index(now)?;
        self.update_trial_credit(index);
        let queued = self.remove_queued(index);
        self.mark_running(now, &queued);
        Some(queued.pending.item)
    }

    /// Removes a queued or running call. Returns its item if it was queued.
    pub fn cancel(&mut self, call: CallId) -> Option<T> {
        if let Some(index) = self.queue.iter().position(|q| q.pending.call == call) {
            let queued = self.remove_queued(index);
            self.client_accounts.remove_call(queued.client_account);
            return Some(queued.pending.item);
        }
        self.remove_running(call);
        None
    }

    /// Removes the queued calls of a program that has ended.
    pub fn cancel_program(&mut self, program: ProgramId) -> Vec<T> {
        self.remove_matching(|queued| queued.pending.program == program)
    }

    /// Removes the queued calls whose program's deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.remove_matching(|queued| queued.deadline <= now)
    }

    /// Returns the earliest deadline of the queued calls.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.iter().map(|queued| queued.deadline).min()
    }

    /// Records that a call has produced its first token.
    pub fn record_first_token(&mut self, now: Instant, call: CallId) {
        let Some(running) = self.running.get_mut(&call) else {
            return;
        };
        if std::mem::take(&mut running.is_prefilling) {
            let cost = running.cost;
            self.prefilling_tokens -= u64::from(cost.uncached_tokens);
            let tokens = u64::from(cost.uncached_tokens);
            self.prefill.finish(now, tokens, self.prefilling_tokens > 0);
        }
    }

    /// Records the time between two tokens of one stream.
    pub fn record_token_gap(&mut self, now: Instant, gap: Duration) {
        let gap_ms = gap.as_secs_f64() * 1e3;
        self.cap
            .record_token_gap(now, gap_ms, self.running.len() as u32);
    }

    /// Records that a running call has ended, whether it succeeded or not.
    pub fn finish(&mut self, now: Instant, call: CallId, observed: CallObservation) {
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

    /// Returns the load of this queue. The engine's own report is left empty.
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

    /// Estimates the wait of a call queued now, in milliseconds.
    fn wait_ms(&self) -> u64 {
        let cap = self.cap.calls() as usize;
        let ahead = (self.queue.len() + self.running.len() + 1).saturating_sub(cap);
        let call_ms = self.call_ms.get().unwrap_or(0.0);
        (ahead as f64 * call_ms / cap as f64) as u64
    }

    /// Refuses a call that does not fit into the queue.
    fn check_capacity(&self, call: &PendingCall<T>) -> Result<(), Refusal> {
        let is_full = self.queue.len() >= self.cfg.max_queued_calls;
        let max_trials = (self.cfg.max_queued_calls as f64 * self.cfg.trial_queue_share) as usize;
        let is_trial_full = !call.priority.production && self.queued_trials() >= max_trials;
        if !is_full && !is_trial_full {
            return Ok(());
        }
        let wait_ms = self.wait_ms().max(MIN_RETRY_AFTER_MS);
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "The endpoint's queue is full.");
        Err(refusal.retry_after_ms(wait_ms))
    }

    /// Refuses a call that cannot produce its first token before its program's deadline.
    fn check_deadline(&self, call: &PendingCall<T>) -> Result<(), Refusal> {
        let prefill_s = f64::from(call.cost.uncached_tokens) / self.prefill.tokens_per_s();
        let ahead = self.ahead_of(call);
        let free_slots = (self.cap.calls() as usize).saturating_sub(self.running.len());
        let calls_before = (ahead + 1).saturating_sub(free_slots) as f64;
        let call_ms = self.call_ms.get().unwrap_or(0.0);
        let wait_ms = calls_before * call_ms / f64::from(self.cap.calls());
        if wait_ms + prefill_s * 1e3 <= call.priority.slack_ms as f64 {
            return Ok(());
        }
        let refusal = Refusal::not_run(RefusalCode::Deadline, "The deadline cannot be met here.");
        Err(refusal.retry_after_ms(MIN_RETRY_AFTER_MS))
    }

    /// Counts the queued calls that would be released before a new one.
    fn ahead_of(&self, call: &PendingCall<T>) -> usize {
        let weights = &self.cfg.weights;
        let own_rank = weights.rank(&call.priority, call.cost, Duration::ZERO, 0.0);
        let is_before = |q: &&Queued<T>| {
            let queued = &q.pending;
            let rank = weights.rank(&queued.priority, queued.cost, Duration::ZERO, 0.0);
            queued.priority.production >= call.priority.production && rank <= own_rank
        };
        self.queue.iter().filter(is_before).count()
    }

    /// Counts the queued calls of trial environments.
    fn queued_trials(&self) -> usize {
        let is_trial = |q: &&Queued<T>| !q.pending.priority.production;
        self.queue.iter().filter(is_trial).count()
    }

    /// Returns the index of the queued call to release next.
    fn next_index(&self, now: Instant) -> Option<usize> {
        let prefer_trial = self.trial_credit >= 1.0;
        let min_used_tokens = self.client_accounts.min_used_tokens();
        let key = |queued: &Queued<T>| {
            let call = &queued.pending;
            let waited = now.saturating_duration_since(queued.queued_at);
            let excess_tokens = self
                .client_accounts
                .excess_tokens(queued.client_account, min_used_tokens);
            let rank = (self.cfg.weights).rank(&call.priority, call.cost, waited, excess_tokens);
            (call.priority.production == prefer_trial, rank)
        };
        let keyed = self.queue.iter().map(key).enumerate();
        let first = keyed.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        first.map(|(index, _)| index)
    }

    /// Updates the credit of trial environments for the release of a call.
    fn update_trial_credit(&mut self, index: usize) {
        let is_production = self.queue[index].pending.priority.production;
        let trials = self.queued_trials();
        if !is_production {
            self.trial_credit = (self.trial_credit - 1.0).max(0.0);
        } else if trials > 0 {
            self.trial_credit += self.cfg.trial_share;
        }
    }

    /// Removes a call from the queue.
    fn remove_queued(&mut self, index: usize) -> Queued<T> {
        let queued = self.queue.swap_remove(index);
        let cost = queued.pending.cost;
        self.queued_tokens -= cost.tokens();
        self.queued_prompt_tokens -= u64::from(cost.uncached_tokens);
        queued
    }

    /// Removes all matching calls from the queue and returns their items.
    fn remove_matching(&mut self, matches: impl Fn(&Queued<T>) -> bool) -> Vec<T> {
        let mut items = Vec::new();
        while let Some(index) = self.queue.iter().position(&matches) {
            let queued = self.remove_queued(index);
            self.client_accounts.remove_call(queued.client_account);
            items.push(queued.pending.item);
        }
        items
    }

    /// Records that a call has been released to the endpoint.
    fn mark_running(&mut self, now: Instant, call: &Queued<T>) {
        let cost = call.pending.cost;
        self.client_accounts
            .charge(call.client_account, cost.tokens());
        self.prefill.begin(now);
        self.prefilling_tokens += u64::from(cost.uncached_tokens);
        let running = Running {
            client_account: call.client_account,
            cost,
            is_prefilling: true,
        };
        self.running.insert(call.pending.call, running);
    }

    /// Removes a running call.
    fn remove_running(&mut self, call: CallId) -> Option<Running> {
        let running = self.running.remove(&call)?;
        if running.is_prefilling {
            self.prefilling_tokens -= u64::from(running.cost.uncached_tokens);
        }
        self.client_accounts.remove_call(running.client_account);
        Some(running)
    }
}
