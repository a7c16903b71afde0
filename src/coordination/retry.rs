//! Retries of failed calls: budgets that limit the added load, and a back-off within the deadline.

use crate::coordination::limits::TokenBucket;
use crate::ids::{ClientAccountId, EndpointId};
use crate::protocol::refusal::Ran;
use fastrand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries that each first attempt adds to the budgets.
    pub earned_per_attempt: f64,
    /// Maximum retries in a budget; new budgets are full.
    pub max_saved: f64,
    /// Maximum attempts of one call, including the first.
    pub max_attempts: u32,
    /// Upper end of the back-off before the first retry; doubled for each further one.
    pub initial_backoff: Duration,
    /// Maximum back-off.
    pub max_backoff: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            earned_per_attempt: 0.1,
            max_saved: 10.0,
            max_attempts: 4,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// Budget of retries. First attempts add to it, retries spend it.
///
/// The number of retries is at most `max_saved + earned_per_attempt * first attempts`.
///
/// ```
/// use galenapick::{RetryBudget, RetryConfig};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let cfg = RetryConfig { earned_per_attempt: 0.5, max_saved: 1.0, ..RetryConfig::default() };
/// let mut budget = RetryBudget::new(&cfg, now);
/// assert!(budget.spend(now));
/// assert!(!budget.spend(now));
/// budget.earn();
/// budget.earn();
/// assert!(budget.spend(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    bucket: TokenBucket,
    earned_per_attempt: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: &RetryConfig, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(0.0, cfg.max_saved, now),
            earned_per_attempt: cfg.earned_per_attempt,
        }
    }

    /// Adds the earnings of one first attempt.
    pub fn earn(&mut self) {
        self.bucket.add(self.earned_per_attempt);
    }

    /// Spends one retry. Returns false, and spends nothing, if the budget is exhausted.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.bucket.take(now, 1.0)
    }

    /// Returns whether the budget covers a retry.
    fn can_spend(&mut self, now: Instant) -> bool {
        self.bucket.time_until(now, 1.0) == Duration::ZERO
    }
}

/// A failed attempt of a call.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall<'a> {
    /// Client account of the call.
    pub client_account: &'a str,
    /// Endpoint at which the attempt failed.
    pub endpoint: &'a str,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the attempt ran and may have had an effect.
    pub ran: Ran,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Time after which the result is useless.
    pub deadline: Instant,
    /// Expected run time of another attempt.
    pub expected_run: Duration,
}

/// Maximum number of budgets per table.
const MAX_BUDGETS: usize = 16_384;

/// Decides whether and when a failed call is retried.
///
/// A call that is not repeatable is retried only if the failed attempt certainly had no effect.
#[derive(Debug)]
pub struct RetryPolicy {
    cfg: RetryConfig,
    client_accounts: HashMap<ClientAccountId, RetryBudget>,
    endpoints: HashMap<EndpointId, RetryBudget>,
}

impl RetryPolicy {
    /// Creates a policy in which all budgets are full.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            client_accounts: HashMap::new(),
            endpoints: HashMap::new(),
        }
    }

    /// Records the first attempt of a call, which adds to the budgets of its client account and
    /// endpoint.
    pub fn record_first_attempt(&mut self, now: Instant, client_account: &str, endpoint: &str) {
        budget_for(&mut self.client_accounts, client_account, &self.cfg, now).earn();
        budget_for(&mut self.endpoints, endpoint, &self.cfg, now).earn();
    }

    /// Returns the back-off before the next attempt and spends the budgets, or returns `None` if
    /// the call must not be retried.
    pub fn next_backoff(
        &mut self,
        now: Instant,
        call: &FailedCall<'_>,
        rng: &mut Rng,
    ) -> Option<Duration> {
        if !may_run_again(call) || call.attempts >= self.cfg.max_attempts {
            return None;
        }
        let backoff = self.draw_backoff(call.attempts, rng);
        if now + backoff + call.expected_run >= call.deadline {
            return None;
        }
        self.spend(now, call).then_some(backoff)
    }

    /// Returns whether a further copy of a slow call may be sent while the others still run.
    ///
    /// Only repeatable calls are copied, whatever is known of the copies that run.
    pub fn may_copy(&mut self, now: Instant, call: &FailedCall<'_>) -> bool {
        let is_allowed = call.repeatable && call.attempts < self.cfg.max_attempts;
        let is_in_time = now + call.expected_run < call.deadline;
        is_allowed && is_in_time && self.can_spend(now, call)
    }

    /// Spends the budgets for a copy, which costs as much as a retry. Returns false, and spends
    /// nothing, if the copy may not be sent.
    pub fn spend_copy(&mut self, now: Instant, call: &FailedCall<'_>) -> bool {
        self.may_copy(now, call) && self.spend(now, call)
    }

    /// Returns whether both budgets cover a retry.
    fn can_spend(&mut self, now: Instant, call: &FailedCall<'_>) -> bool {
        let client_accounts = &mut self.client_accounts;
        let client_account = budget_for(client_accounts, call.client_account, &self.cfg, now);
        let endpoint = budget_for(&mut self.endpoints, call.endpoint, &self.cfg, now);
        client_account.can_spend(now) && endpoint.can_spend(now)
    }

    /// Spends a retry from both budgets, or from neither if one is exhausted.
    fn spend(&mut self, now: Instant, call: &FailedCall<'_>) -> bool {
        if !self.can_spend(now, call) {
            return false;
        }
        let client_accounts = &mut self.client_accounts;
        let client_account = budget_for(client_accounts, call.client_account, &self.cfg, now);
        let endpoint = budget_for(&mut self.endpoints, call.endpoint, &self.cfg, now);
        client_account.spend(now) && endpoint.spend(now)
    }

    /// Draws a random back-off from the upper half of a range that doubles with each attempt.
    fn draw_backoff(&self, attempts: u32, rng: &mut Rng) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let range = self.cfg.initial_backoff * (1 << doublings);
        let range = range.min(self.cfg.max_backoff);
        range.mul_f64(0.5 + 0.5 * rng.f64())
    }
}

/// Returns whether another run is harmless.
fn may_run_again(call: &FailedCall<'_>) -> bool {
    call.repeatable || call.ran == Ran::No
}

/// Returns the budget of a key, creating a full one if needed. A full table is cleared first so
/// that it cannot grow without limit.
fn budget_for<'a>(
    budgets: &'a mut HashMap<String, RetryBudget>,
    key: &str,
    cfg: &RetryConfig,
    now: Instant,
) -> &'a mut RetryBudget {
    if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(key) {
        budgets.clear();
    }
    let new_budget = || RetryBudget::new(cfg, now);
    budgets.entry(key.to_owned()).or_insert_with(new_budget)
}
