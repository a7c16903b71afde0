//! Retries: budgets that bound the load they add, and back-off inside the deadline.

use crate::coordination::limits::TokenBucket;
use crate::ids::{ClientAccountId, EndpointId};
use crate::protocol::refusal::Ran;
use fastrand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries that each first attempt earns.
    pub earned: f64,
    /// Retries that may be saved up.
    pub saved: f64,
    /// Attempts of one call at most, the first included.
    pub attempts: u32,
    /// Back-off before the first retry; doubled by each further one.
    pub first_wait: Duration,
    /// Longest back-off.
    pub longest_wait: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            earned: 0.1,
            saved: 10.0,
            attempts: 4,
            first_wait: Duration::from_millis(20),
            longest_wait: Duration::from_secs(2),
        }
    }
}

/// A budget of retries: first attempts earn it, retries spend it.
///
/// The retries sent are at most `saved + earned * first attempts`.
///
/// ```
/// use galenapick::{RetryBudget, RetryConfig};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let cfg = RetryConfig { earned: 0.5, saved: 1.0, ..RetryConfig::default() };
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
    earned: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(cfg: &RetryConfig, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(0.0, cfg.saved, now),
            earned: cfg.earned,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.bucket.put(self.earned);
    }

    /// Pays for a retry, or returns false.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.bucket.take(now, 1.0)
    }

    /// Tells whether a retry could be paid for.
    fn covers(&mut self, now: Instant) -> bool {
        self.bucket.wait(now, 1.0) == Duration::ZERO
    }
}

/// A call that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall<'a> {
    /// Whose it is.
    pub client_account: &'a str,
    /// The endpoint that failed it.
    pub endpoint: &'a str,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether it had an effect.
    pub ran: Ran,
    /// Attempts made.
    pub attempts: u32,
    /// When its result is of no more use.
    pub deadline: Instant,
    /// Time that it needs to run, as far as known.
    pub expected_run: Duration,
}

/// Budgets that are kept at most for one kind of key.
const MAX_BUDGETS: usize = 16_384;

/// Decides whether a failed call is sent again, and when.
///
/// A call that may not be repeated is never sent again unless it certainly had no effect.
#[derive(Debug)]
pub struct Retries {
    cfg: RetryConfig,
    client_accounts: HashMap<ClientAccountId, RetryBudget>,
    endpoints: HashMap<EndpointId, RetryBudget>,
}

impl Retries {
    /// Makes full budgets for everyone.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            client_accounts: HashMap::new(),
            endpoints: HashMap::new(),
        }
    }

    /// Notes a first attempt.
    pub fn first(&mut self, now: Instant, client_account: &str, endpoint: &str) {
        budget(&mut self.client_accounts, client_account, &self.cfg, now).earn();
        budget(&mut self.endpoints, endpoint, &self.cfg, now).earn();
    }

    /// Returns the back-off before the next attempt and pays for it; `None` for no retry.
    pub fn next(&mut self, now: Instant, call: &FailedCall<'_>, rng: &mut Rng) -> Option<Duration> {
        if !may_run_again(call) || call.attempts >= self.cfg.attempts {
            return None;
        }
        let wait = self.wait(call.attempts, rng);
        if now + wait + call.expected_run >= call.deadline {
            return None;
        }
        self.spend(now, call).then_some(wait)
    }

    /// Pays for a retry from both budgets, or from none.
    fn spend(&mut self, now: Instant, call: &FailedCall<'_>) -> bool {
        let client_account = budget(
            &mut self.client_accounts,
            call.client_account,
            &self.cfg,
            now,
        );
        let endpoint = budget(&mut self.endpoints, call.endpoint, &self.cfg, now);
        if !client_account.covers(now) || !endpoint.covers(now) {
            return false;
        }
        client_account.spend(now) && endpoint.spend(now)
    }

    /// Draws a back-off: full jitter over a doubled range.
    fn wait(&self, attempts: u32, rng: &mut Rng) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let range = self.cfg.first_wait * (1 << doublings);
        let range = range.min(self.cfg.longest_wait);
        range.mul_f64(0.5 + 0.5 * rng.f64())
    }
}

/// Tells whether another run can do no harm.
fn may_run_again(call: &FailedCall<'_>) -> bool {
    call.repeatable || call.ran == Ran::No
}

/// Finds or makes a budget; a full table starts over rather than grow.
fn budget<'a>(
    budgets: &'a mut HashMap<String, RetryBudget>,
    key: &str,
    cfg: &RetryConfig,
    now: Instant,
) -> &'a mut RetryBudget {
    if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(key) {
        budgets.clear();
    }
    let fresh = || RetryBudget::new(cfg, now);
    budgets.entry(key.to_owned()).or_insert_with(fresh)
}
