//! Limits of client accounts and environments: calls at once and calls a second.

use crate::ids::{ClientAccountId, EnvironmentId};
use crate::protocol::refusal::{Refusal, RefusalCode};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Least time after which a refused caller is told to try again, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Counts without open calls are forgotten when there are more than this.
const IDLE_COUNTS: usize = 4_096;

/// A token bucket.
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
    /// Between 0 and `burst`.
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// Takes tokens, or takes none and returns false.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.fill(now);
        if self.level < tokens {
            return false;
        }
        self.level -= tokens;
        true
    }

    /// Puts tokens in beside those that come with time.
    pub fn put(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Returns how long it takes until so many tokens are there.
    pub fn wait(&mut self, now: Instant, tokens: f64) -> Duration {
        self.fill(now);
        let missing = (tokens - self.level).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        let wait_s = missing / self.rate_per_s;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}

/// What one client account or one environment may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls that are open at once.
    pub open_calls: u32,
    /// Calls that begin in a second.
    pub calls_per_s: f64,
    /// Calls that may begin at once after a pause.
    pub burst_calls: f64,
}

/// What one key has used.
#[derive(Debug)]
struct Count {
    limit: Limit,
    open: u32,
    bucket: TokenBucket,
}

/// Counts by key.
#[derive(Debug)]
struct Counts<K> {
    counts: HashMap<K, Count>,
}

impl<K: Clone + Eq + Hash> Counts<K> {
    /// Returns the wait until a call of the key may begin; `None` if it may now.
    fn wait(&mut self, now: Instant, key: &K, limit: Limit) -> Option<Duration> {
        let count = self.count(now, key, limit);
        if count.open >= limit.open_calls {
            return Some(Duration::from_millis(MIN_RETRY_AFTER_MS));
        }
        let wait = count.bucket.wait(now, 1.0);
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Finds or makes the count of a key, under the limit in force.
    fn count(&mut self, now: Instant, key: &K, limit: Limit) -> &mut Count {
        if self.counts.len() > IDLE_COUNTS && !self.counts.contains_key(key) {
            self.counts.retain(|_, count| count.open > 0);
        }
        let fresh = || Count {
            limit,
            open: 0,
            bucket: TokenBucket::new(limit.calls_per_s, limit.burst_calls, now),
        };
        let count = self.counts.entry(key.clone()).or_insert_with(fresh);
        if count.limit != limit {
            count.limit = limit;
            count.bucket = TokenBucket::new(limit.calls_per_s, limit.burst_calls, now);
        }
        count
    }

    fn begin(&mut self, now: Instant, key: &K, limit: Limit) {
        let count = self.count(now, key, limit);
        count.open += 1;
        count.bucket.take(now, 1.0);
    }

    fn end(&mut self, key: &K) {
        if let Some(count) = self.counts.get_mut(key) {
            count.open = count.open.saturating_sub(1);
        }
    }
}

/// Limits of client accounts and of environments; a call counts in both.
///
/// ```
/// use galenapick::{Limit, Limits};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut limits = Limits::default();
/// let one = Limit { open_calls: 1, calls_per_s: 10.0, burst_calls: 10.0 };
/// limits.begin(now, "shop", one, "cedarfen", one).unwrap();
/// let refusal = limits.begin(now, "shop", one, "cedarfen", one).unwrap_err();
/// assert!(refusal.retry_after_ms.is_some());
/// limits.end("shop", "cedarfen");
/// assert!(limits.begin(now, "shop", one, "cedarfen", one).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Limits {
    environments: Counts<EnvironmentId>,
    client_accounts: Counts<(EnvironmentId, ClientAccountId)>,
}

impl<K> Default for Counts<K> {
    fn default() -> Self {
        Self {
            counts: HashMap::new(),
        }
    }
}

impl Limits {
    /// Counts a call that begins, or refuses it as not run.
    pub fn begin(
        &mut self,
        now: Instant,
        environment: &str,
        environment_limit: Limit,
        client_account: &str,
        client_account_limit: Limit,
    ) -> Result<(), Refusal> {
        let environment = environment.to_owned();
        let client_account = (environment.clone(), client_account.to_owned());
        if let Some(wait) = self
            .client_accounts
            .wait(now, &client_account, client_account_limit)
        {
            return Err(refusal("The member's limit is reached.", wait));
        }
        if let Some(wait) = self.environments.wait(now, &environment, environment_limit) {
            return Err(refusal("The environment's limit is reached.", wait));
        }
        self.client_accounts
            .begin(now, &client_account, client_account_limit);
        self.environments
            .begin(now, &environment, environment_limit);
        Ok(())
    }

    /// Counts a call as over.
    pub fn end(&mut self, environment: &str, client_account: &str) {
        let environment = environment.to_owned();
        self.client_accounts
            .end(&(environment.clone(), client_account.to_owned()));
        self.environments.end(&environment);
    }
}

fn refusal(message: &str, wait: Duration) -> Refusal {
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Refusal::not_run(RefusalCode::Limit, message).retry_after_ms(wait_ms.max(MIN_RETRY_AFTER_MS))
}
