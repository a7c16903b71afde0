//! Limits of client accounts and environments: concurrent calls and calls per second.

use crate::ids::{ClientAccountId, EnvironmentId};
use crate::protocol::refusal::{Refusal, RefusalCode};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Minimum retry delay sent with a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Number of keys above which those without open calls are removed.
const CLEANUP_THRESHOLD: usize = 4_096;

/// Part of a token that a bucket may lack because its level is rounded.
const ROUNDING: f64 = 1e-6;

/// Token bucket that fills at a constant rate.
///
/// ```
/// use galenapick::TokenBucket;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut bucket = TokenBucket::new(2.0, 1.0, now);
/// assert!(bucket.take(now, 1.0));
/// assert!(!bucket.take(now, 1.0));
/// assert!(bucket.take(now + Duration::from_millis(500), 1.0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    /// Tokens in the bucket, between 0 and `burst`.
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            refilled_at: now,
        }
    }

    /// Creates an empty bucket.
    pub fn empty(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            level: 0.0,
            ..Self::new(rate_per_s, burst, now)
        }
    }

    /// Changes the rate and the burst. Tokens beyond the new burst are lost.
    pub fn set_rate(&mut self, now: Instant, rate_per_s: f64, burst: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes tokens. Returns false, and takes none, if there are too few.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.refill(now);
        if self.missing(tokens) > 0.0 {
            return false;
        }
        self.level = (self.level - tokens).max(0.0);
        true
    }

    /// Adds tokens besides those that accrue over time; the bucket holds at most `burst`.
    pub fn add(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Returns the time until the bucket contains this many tokens.
    pub fn time_until(&mut self, now: Instant, tokens: f64) -> Duration {
        self.refill(now);
        let missing = self.missing(tokens);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        let wait_s = missing / self.rate_per_s;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Returns how many of these tokens are not in the bucket.
    fn missing(&self, tokens: f64) -> f64 {
        let missing = tokens - self.level;
        if missing > ROUNDING { missing } else { 0.0 }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Limit of one client account or environment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Maximum number of concurrent calls.
    pub open_calls: u32,
    /// Maximum mean number of calls per second.
    pub calls_per_s: f64,
    /// Number of calls that may start at once after a pause.
    pub burst_calls: f64,
}

/// Usage of one key.
#[derive(Debug)]
struct KeyUsage {
    limit: Limit,
    open: u32,
    bucket: TokenBucket,
}

/// Usage by key.
#[derive(Debug)]
struct UsageTable<K> {
    by_key: HashMap<K, KeyUsage>,
}

impl<K: Clone + Eq + Hash> UsageTable<K> {
    /// Returns the time until a call of the key may start, or `None` if it may start now.
    fn time_until_allowed(&mut self, now: Instant, key: &K, limit: Limit) -> Option<Duration> {
        let usage = self.usage_of(now, key, limit);
        if usage.open >= limit.open_calls {
            return Some(Duration::from_millis(MIN_RETRY_AFTER_MS));
        }
        let wait = usage.bucket.time_until(now, 1.0);
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Returns the usage of a key, creating it or applying a changed limit if needed.
    fn usage_of(&mut self, now: Instant, key: &K, limit: Limit) -> &mut KeyUsage {
        if self.by_key.len() > CLEANUP_THRESHOLD && !self.by_key.contains_key(key) {
            self.by_key.retain(|_, usage| usage.open > 0);
        }
        let new_usage = || KeyUsage {
            limit,
            open: 0,
            bucket: TokenBucket::new(limit.calls_per_s, limit.burst_calls, now),
        };
        let usage = self.by_key.entry(key.clone()).or_insert_with(new_usage);
        if usage.limit != limit {
            usage.limit = limit;
            usage.bucket = TokenBucket::new(limit.calls_per_s, limit.burst_calls, now);
        }
        usage
    }

    fn begin_call(&mut self, now: Instant, key: &K, limit: Limit) {
        let usage = self.usage_of(now, key, limit);
        usage.open += 1;
        usage.bucket.take(now, 1.0);
    }

    fn finish_call(&mut self, key: &K) {
        if let Some(usage) = self.by_key.get_mut(key) {
            usage.open = usage.open.saturating_sub(1);
        }
    }
}

/// Limits of client accounts and environments. A call counts towards both.
///
/// ```
/// use galenapick::{Limit, Limits};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut limits = Limits::default();
/// let one = Limit { open_calls: 1, calls_per_s: 10.0, burst_calls: 10.0 };
/// limits.begin_call(now, "shop", one, "cedarfen", one).unwrap();
/// let refusal = limits.begin_call(now, "shop", one, "cedarfen", one).unwrap_err();
/// assert!(refusal.retry_after_ms.is_some());
/// limits.finish_call("shop", "cedarfen");
/// assert!(limits.begin_call(now, "shop", one, "cedarfen", one).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Limits {
    environments: UsageTable<EnvironmentId>,
    client_accounts: UsageTable<(EnvironmentId, ClientAccountId)>,
}

impl<K> Default for UsageTable<K> {
    fn default() -> Self {
        Self {
            by_key: HashMap::new(),
        }
    }
}

impl Limits {
    /// Counts a call that starts. Returns a refusal, which says that the call did not run, if a
    /// limit is reached.
    pub fn begin_call(
        &mut self,
        now: Instant,
        environment: &str,
        environment_limit: Limit,
        client_account: &str,
        client_account_limit: Limit,
    ) -> Result<(), Refusal> {
        let environment = environment.to_owned();
        let client_account = (environment.clone(), client_account.to_owned());
        if let Some(wait) =
            self.client_accounts
                .time_until_allowed(now, &client_account, client_account_limit)
        {
            return Err(refusal("The member's limit is reached.", wait));
        }
        if let Some(wait) =
            self.environments
                .time_until_allowed(now, &environment, environment_limit)
        {
            return Err(refusal("The environment's limit is reached.", wait));
        }
        self.client_accounts
            .begin_call(now, &client_account, client_account_limit);
        self.environments
            .begin_call(now, &environment, environment_limit);
        Ok(())
    }

    /// Records the end of a call.
    pub fn finish_call(&mut self, environment: &str, client_account: &str) {
        let environment = environment.to_owned();
        self.client_accounts
            .finish_call(&(environment.clone(), client_account.to_owned()));
        self.environments.finish_call(&environment);
    }
}

fn refusal(message: &str, wait: Duration) -> Refusal {
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Refusal::not_run(RefusalCode::Limit, message).retry_after_ms(wait_ms.max(MIN_RETRY_AFTER_MS))
}
