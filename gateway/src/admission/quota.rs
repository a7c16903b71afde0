//! Token bucket of one account's quota, at the gateway that grants its requests.
//!
//! Load it answers: an account sends several times its quota through all gateways at once. Its
//! programs under way come first, and no more new ones begin than the quota carries to their end,
//! because a program that is refused halfway has wasted all of its work.
//!
//! A token may be granted before it accrues, together with the delay after which it may be used. Such
//! requests are served in the order of their arrival without being asked for again.

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;

use crate::routes::Quota;
use std::time::{Duration, Instant};

/// Requests of a program as assumed before any were seen. Fewer than most programs have, so that new
/// ones are not refused for lack of knowledge.
const PRIOR_PROGRAM_REQUESTS: f64 = 8.0;

/// Number of programs that this assumption counts for.
const PRIOR_PROGRAMS: f64 = 2.0;

/// Time in which half of what was seen of programs is forgotten; several times their duration.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of programs that may always begin at once.
const MIN_BEGIN_BURST: f64 = 2.0;

/// Fraction of the bucket that new programs leave to those under way.
const RESERVE_SHARE: f64 = 0.1;

/// Fraction of the bucket below which no tokens are granted ahead of need.
const SPARE_SHARE: f64 = 0.5;

/// Longest time for which those that are refused are told to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest time of the rate by which the bucket may be overdrawn after a cut of the quota.
const MAX_DEBT_AFTER_CUT: Duration = Duration::from_secs(1);

/// Time of the rate that a new bucket lacks, because gateways agree on who grants only after a few
/// heartbeats, and the gateway before it may have granted meanwhile.
const AGREEMENT_TIME: Duration = Duration::from_millis(200);

/// What a token is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub(crate) enum Demand {
    /// A request of a program that has begun.
    UnderWay = 0,
    /// The first turn of a program.
    Begin = 1,
    /// A request that belongs to no program.
    Single = 2,
    /// No request yet: tokens ahead of need.
    Ahead = 3,
}

/// What a gateway asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ask {
    pub(crate) demand: Demand,
    /// Tokens that it would like ahead of need.
    pub(crate) spare: u32,
    /// Longest time for which its request waits.
    pub(crate) max_wait: Duration,
    /// Requests of programs under way that it has sent since it last asked.
    pub(crate) used: u32,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The request may be sent after the delay, and `spare` further ones at once.
    Granted { delay: Duration, spare: u32 },
    /// The quota is used up.
    Refused {
        /// Time until a token for such a request accrues.
        wait: Duration,
        /// Time after which it should come back, behind those that were refused before it.
        retry_after: Duration,
    },
}

/// What was seen of programs, which tells how many requests one has.
#[derive(Clone, Copy, Debug)]
struct ProgramSize {
    requests: f64,
    programs: f64,
}

impl ProgramSize {
    fn decay(&mut self, elapsed: Duration) {
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / RATIO_HALF_LIFE.as_secs_f64());
        self.requests *= factor;
        self.programs *= factor;
    }

    /// Returns the mean number of requests of a program; at least 1.
    fn mean(&self) -> f64 {
        let requests = self.requests + self.programs + PRIOR_PROGRAM_REQUESTS * PRIOR_PROGRAMS;
        requests / (self.programs + PRIOR_PROGRAMS)
    }
}

/// Tokens of one account at the gateway that grants them.
#[derive(Debug)]
pub(crate) struct QuotaBucket {
    quota: Quota,
    /// Fraction of the quota that this gateway grants.
    share: f64,
    /// Tokens that may be granted; at most [`Self::capacity`], negative if some were granted before
    /// they accrue.
    level: f64,
    /// Programs that may begin; at most [`Self::begin_capacity`].
    begin_level: f64,
    program_size: ProgramSize,
    updated_at: Instant,
    /// Time at which the program that was last refused should come back.
    last_return_at: Instant,
}

impl QuotaBucket {
    /// Creates a bucket for a gateway that has been the granting one since `since`. It began then
    /// with `start_tokens`, as the gateway before it may have granted all others.
    pub(crate) fn new(
        now: Instant,
        since: Instant,
        quota: Quota,
        share: f64,
        start_tokens: f64,
    ) -> Self {
        let rate = quota.rate_per_s * share;
        let begun_with = start_tokens * share - rate * AGREEMENT_TIME.as_secs_f64();
        let mut bucket = Self {
            quota,
            share,
            level: begun_with,
            begin_level: 0.0,
            program_size: ProgramSize {
                requests: 0.0,
                programs: 0.0,
            },
            updated_at: since.min(now),
            last_return_at: now,
        };
        bucket.begin_level = bucket.begin_capacity();
        bucket.refill(now);
        bucket
    }

    fn rate_per_s(&self) -> f64 {
        (self.quota.rate_per_s * self.share).max(f64::MIN_POSITIVE)
    }

    /// Most tokens that are held; at least one, so that a quota without a burst can be used.
    fn capacity(&self) -> f64 {
        (self.quota.burst * self.share).max(1.0)
    }

    fn begin_rate_per_s(&self) -> f64 {
        self.rate_per_s() / self.program_size.mean()
    }

    fn begin_capacity(&self) -> f64 {
        MIN_BEGIN_BURST + self.capacity() / self.program_size.mean()
    }

    /// Returns the number of tokens, which is negative if some were granted before they accrue.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the mean number of requests of a program.
    pub(crate) fn program_requests(&self) -> f64 {
        self.program_size.mean()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.program_size.decay(elapsed);
        let elapsed_s = elapsed.as_secs_f64();
        let level = self.level + self.rate_per_s() * elapsed_s;
        self.level = level.min(self.capacity());
        let begin_level = self.begin_level + self.begin_rate_per_s() * elapsed_s;
        self.begin_level = begin_level.min(self.begin_capacity());
    }

    /// Changes the quota, or the fraction of it that this gateway grants.
    pub(crate) fn set_quota(&mut self, now: Instant, quota: Quota, share: f64) {
        if self.quota == quota && self.share == share {
            return;
        }
        self.refill(now);
        self.quota = quota;
        self.share = share;
        let max_debt = self.rate_per_s() * MAX_DEBT_AFTER_CUT.as_secs_f64();
        self.level = self.level.clamp(-max_debt.max(1.0), self.capacity());
        self.begin_level = self.begin_level.min(self.begin_capacity());
    }

    /// Decides on a request.
    pub(crate) fn decide(&mut self, now: Instant, ask: &Ask) -> Verdict {
        self.refill(now);
        self.program_size.requests += f64::from(ask.used);
        if ask.demand != Demand::Ahead {
            let wait = self.wait(ask.demand);
            if wait > ask.max_wait {
                return Verdict::Refused {
                    wait,
                    retry_after: self.retry_after(now, ask.demand, wait),
                };
            }
            self.level -= 1.0;
            if ask.demand == Demand::Begin {
                self.begin_level -= 1.0;
                self.program_size.programs += 1.0;
            }
            if !wait.is_zero() {
                return Verdict::Granted {
                    delay: wait,
                    spare: 0,
                };
            }
        }
        let spare = self.take_spare(ask.spare);
        Verdict::Granted {
            delay: Duration::ZERO,
            spare,
        }
    }

    /// Returns the time until a token for such a request accrues.
    fn wait(&self, demand: Demand) -> Duration {
        let reserve = match demand {
            Demand::UnderWay | Demand::Ahead => 0.0,
            // A bucket of one token has no reserve, as nothing could begin otherwise.
            Demand::Begin | Demand::Single => {
                (self.capacity() * RESERVE_SHARE).min(self.capacity() - 1.0)
            }
        };
        let tokens_s = (1.0 + reserve - self.level) / self.rate_per_s();
        let begins_s = match demand {
            Demand::Begin => (1.0 - self.begin_level) / self.begin_rate_per_s(),
            _ => 0.0,
        };
        seconds(tokens_s.max(begins_s))
    }

    /// Returns the time after which a refused request should come back. Programs are told times as far
    /// apart as they can begin.
    fn retry_after(&mut self, now: Instant, demand: Demand, wait: Duration) -> Duration {
        if demand != Demand::Begin {
            return wait.min(MAX_RETRY_AFTER);
        }
        let spacing = seconds(1.0 / self.begin_rate_per_s());
        let after_others = self.last_return_at.saturating_duration_since(now) + spacing;
        let retry_after = wait.max(after_others).min(MAX_RETRY_AFTER);
        self.last_return_at = now + retry_after;
        retry_after
    }

    /// Takes tokens ahead of need out of a bucket that is more than half full.
    fn take_spare(&mut self, wanted: u32) -> u32 {
        let available = self.level - self.capacity() * SPARE_SHARE;
        let spare = available.max(0.0).floor().min(f64::from(wanted));
        self.level -= spare;
        spare as u32
    }
}

/// Returns a duration; zero if negative, at most an hour.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
}
