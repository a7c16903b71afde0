//! Tokens of one account's quota that a gateway holds for its requests.
//!
//! Tokens are charged when they are granted and expire soon after, so that what may be used in a
//! window exceeds what was granted in it by no more than the quota's tolerance.

#[cfg(test)]
mod tests;

use super::quota::Demand;
use crate::routes::Quota;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Longest life of a token.
const MAX_LEASE: Duration = Duration::from_millis(400);

/// Shortest life of a token, which covers a round trip between gateways.
const MIN_LEASE: Duration = Duration::from_millis(100);

/// Fraction of the quota's tolerance that tokens from before a window may take.
const LEASE_SHARE: f64 = 0.8;

/// Time for whose requests tokens are asked for ahead of need; most are used before they expire.
const SPARE_TIME: Duration = Duration::from_millis(250);

/// Most tokens that are asked for ahead of need.
const MAX_SPARE: f64 = 64.0;

/// Requests a second from which on tokens are asked for before the last one is used.
const AHEAD_PER_S: f64 = 6.0;

/// Time over which recent use is averaged.
const USE_TIME: Duration = Duration::from_secs(1);

/// Fraction of the quota that all gateways together use while the granting one does not answer. It
/// may still grant to others then.
const FALLBACK_SHARE: f64 = 0.5;

/// Returns the life of a token where a quota may be exceeded by a fraction `overage` in a window.
pub(crate) fn lease_time(window: Duration, overage: f64) -> Duration {
    window
        .mul_f64((overage * LEASE_SHARE).clamp(0.0, 1.0))
        .clamp(MIN_LEASE, MAX_LEASE)
}

/// Tokens that expire at the same time.
#[derive(Clone, Copy, Debug)]
struct Batch {
    expires_at: Instant,
    /// At least one.
    tokens: u32,
}

/// A refusal that also holds for later requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closed {
    /// When the granting gateway said so.
    pub(crate) told_at: Instant,
    /// Time at which a token accrues.
    ready_at: Instant,
    /// Time at which the refused request was to come back.
    retry_at: Instant,
}

impl Closed {
    /// Creates a refusal as the granting gateway told it.
    pub(crate) fn new(now: Instant, wait: Duration, retry_after: Duration) -> Self {
        Self {
            told_at: now,
            ready_at: now + wait,
            retry_at: now + retry_after.max(wait),
        }
    }

    /// Returns the time until a request should come back, spread by `random` from 0 to 1.
    pub(crate) fn retry_after(&self, now: Instant, random: f64) -> Duration {
        let until_ready = self.ready_at.saturating_duration_since(now);
        let until_retry = self.retry_at.saturating_duration_since(now);
        let spread = until_retry.max(until_ready.mul_f64(1.5)) - until_ready;
        until_ready + spread.mul_f64(random)
    }
}

/// Tokens and refusals of one account at one gateway.
#[derive(Debug)]
pub(crate) struct Lease {
    /// Unused tokens, those that expire first in front.
    batches: SmallVec<[Batch; 2]>,
    /// Refusals of new programs or single requests, and of those under way.
    closed: [Option<Closed>; 3],
    /// Recent use, as a sum that decays over [`USE_TIME`].
    recent_use: f64,
    used_at: Instant,
    /// Requests of programs under way that were sent since the granting gateway was asked.
    unreported: u32,
    /// Time until which no further tokens are asked for ahead of need.
    no_ahead_until: Instant,
    /// While the granting gateway does not answer: tokens of this gateway's own part of the quota, and
    /// when they were counted.
    fallback: Option<(f64, Instant)>,
}

impl Lease {
    /// Creates a lease without tokens.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            batches: SmallVec::new(),
            closed: [None; 3],
            recent_use: 0.0,
            used_at: now,
            unreported: 0,
            no_ahead_until: now,
            fallback: None,
        }
    }

    /// Takes a token and returns when it expires.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Instant> {
        self.batches.retain(|batch| batch.expires_at > now);
        let batch = self.batches.first_mut()?;
        let expires_at = batch.expires_at;
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.remove(0);
        }
        Some(expires_at)
    }

    /// Adds tokens that were granted, or one that was not used.
    pub(crate) fn put(&mut self, now: Instant, expires_at: Instant, tokens: u32) {
        if tokens == 0 || expires_at <= now {
            return;
        }
        if let Some(batch) = (self.batches.iter_mut()).find(|batch| batch.expires_at == expires_at)
        {
            batch.tokens += tokens;
            return;
        }
        let behind = self
            .batches
            .iter()
            .take_while(|it| it.expires_at < expires_at);
        let position = behind.count();
        self.batches.insert(position, Batch { expires_at, tokens });
    }

    /// Returns the number of unused tokens.
    pub(crate) fn tokens(&self, now: Instant) -> u32 {
        let valid = self.batches.iter().filter(|batch| batch.expires_at > now);
        valid.map(|batch| batch.tokens).sum()
    }

    /// Records a request that is sent.
    pub(crate) fn record_use(&mut self, now: Instant, demand: Demand) {
        self.recent_use = self.use_per_s(now) + 1.0;
        self.used_at = now;
        if demand == Demand::UnderWay {
            self.unreported += 1;
        }
    }

    /// Returns the recent number of requests a second.
    fn use_per_s(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.used_at);
        self.recent_use * (-idle.as_secs_f64() / USE_TIME.as_secs_f64()).exp()
    }

    /// Returns when the account was last used here.
    pub(crate) fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Returns the number of tokens to ask for ahead of need.
    pub(crate) fn spare(&self, now: Instant) -> u32 {
        let expected = self.use_per_s(now) * SPARE_TIME.as_secs_f64();
        (1.0 + expected).min(MAX_SPARE) as u32
    }

    /// Returns whether tokens should be asked for now, before a request needs them.
    pub(crate) fn should_ask_ahead(&mut self, now: Instant) -> bool {
        let use_per_s = self.use_per_s(now);
        let needed = use_per_s * SPARE_TIME.as_secs_f64() / 4.0;
        let is_due = use_per_s >= AHEAD_PER_S
            && now >= self.no_ahead_until
            && f64::from(self.tokens(now)) < needed;
        if is_due {
            self.no_ahead_until = now + MIN_LEASE;
        }
        is_due
    }

    /// Returns the number of requests to report to the granting gateway, once.
    pub(crate) fn take_unreported(&mut self) -> u32 {
        std::mem::take(&mut self.unreported)
    }

    /// Records an answer of the granting gateway that refused a request.
    pub(crate) fn close(&mut self, demand: Demand, closed: Closed) {
        if let Some(slot) = self.closed.get_mut(demand as usize) {
            *slot = Some(closed);
        }
    }

    /// Records that the granting gateway has answered.
    pub(crate) fn end_fallback(&mut self) {
        self.fallback = None;
    }

    /// Returns the refusal that holds for a request that waits for `max_wait`.
    pub(crate) fn closed(
        &self,
        now: Instant,
        demand: Demand,
        max_wait: Duration,
    ) -> Option<Closed> {
        let closed = self.closed.get(demand as usize).copied().flatten();
        closed.filter(|closed| closed.ready_at > now + max_wait)
    }

    /// Takes a token of this gateway's own part of the quota, while the granting one does not answer.
    /// Returns when it expires. `gateways` is the number of all that are known.
    pub(crate) fn take_fallback(
        &mut self,
        now: Instant,
        quota: Quota,
        gateways: usize,
        lease: Duration,
    ) -> Option<Instant> {
        let (level, counted_at) = self.fallback.unwrap_or((0.0, now));
        let rate_per_s = quota.rate_per_s * FALLBACK_SHARE / gateways.max(1) as f64;
        let elapsed = now.saturating_duration_since(counted_at);
        // A token is used at once or, as nobody asked for it, not at all.
        let level = (level + rate_per_s * elapsed.as_secs_f64()).min(1.0);
        if level < 1.0 {
            self.fallback = Some((level, now));
            return None;
        }
        self.fallback = Some((level - 1.0, now));
        Some(now + lease)
    }
}
