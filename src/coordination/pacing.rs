//! Pace and order of requests to an endpoint that limits the rate of its requests.
//!
//! All requests to the endpoint pass one pacer. Its bucket starts empty, so that a pacer that takes
//! over from another one does not grant a second burst.

#[cfg(test)]
mod tests;

use crate::coordination::limits::TokenBucket;
use crate::protocol::rate::RequestRate;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Period whose requests may come in one burst, beside the first one. It is short compared with the
/// seconds over which endpoints count.
const BURST_PERIOD_S: f64 = 0.5;

/// Lowest pace. A request now and then shows whether an endpoint that takes none has recovered.
const MIN_RATE_PER_S: f64 = 0.1;

/// Delay in the order of requests of programs that have not begun, so that begun ones end first. A
/// request that has waited for longer precedes those that arrive now.
const NEW_PROGRAM_DELAY: Duration = Duration::from_millis(500);

/// Delay in the order of requests for each step of priority.
const PRIORITY_DELAY: Duration = Duration::from_millis(100);

/// Number of steps of priority that are told apart.
const MAX_PRIORITY: u32 = 5;

/// Maximum time for which refused requests are spread over the following permits.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// Urgency of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Urgency {
    /// Whether it belongs to a program that has begun.
    pub is_under_way: bool,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

impl Urgency {
    fn delay(self) -> Duration {
        let priority = PRIORITY_DELAY * self.priority.min(MAX_PRIORITY);
        if self.is_under_way {
            priority
        } else {
            priority + NEW_PROGRAM_DELAY
        }
    }
}

/// Position of a waiting request. Earlier ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PacerTicket {
    ranked_at: Instant,
    /// Breaks ties in order of arrival.
    number: u64,
    is_under_way: bool,
}

/// Grants requests to one endpoint at a pace.
///
/// ```
/// use galenapick::{Pacer, RequestRate, Urgency};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut pacer = Pacer::new(start, RequestRate::per_second(2.0));
/// let ticket = pacer.enqueue(start, Urgency::default());
/// assert_eq!(pacer.poll(start, ticket), Duration::from_millis(500));
/// assert_eq!(pacer.poll(start + Duration::from_millis(500), ticket), Duration::ZERO);
/// ```
#[derive(Debug)]
pub struct Pacer {
    rate_per_s: f64,
    bucket: TokenBucket,
    waiting: BTreeSet<PacerTicket>,
    /// Number of the next ticket.
    next_number: u64,
    /// Times until which refused requests have been told to come back: those of new programs, and
    /// those of programs under way.
    spread_until: [Instant; 2],
}

impl Pacer {
    /// Creates a pacer that grants its first request after the time that one takes.
    pub fn new(now: Instant, rate: RequestRate) -> Self {
        let rate_per_s = pace(rate);
        Self {
            rate_per_s,
            bucket: TokenBucket::empty(rate_per_s, burst(rate_per_s), now),
            waiting: BTreeSet::new(),
            next_number: 0,
            spread_until: [now; 2],
        }
    }

    /// Changes the pace. Permits that were saved up are kept, within the burst of the new pace.
    pub fn set_rate(&mut self, now: Instant, rate: RequestRate) {
        let rate_per_s = pace(rate);
        if rate_per_s != self.rate_per_s {
            self.rate_per_s = rate_per_s;
            self.bucket.set_rate(now, rate_per_s, burst(rate_per_s));
            self.spread_until = [now; 2];
        }
    }

    /// Adds a request to those that wait.
    pub fn enqueue(&mut self, now: Instant, urgency: Urgency) -> PacerTicket {
        let ticket = PacerTicket {
            ranked_at: now + urgency.delay(),
            number: self.next_number,
            is_under_way: urgency.is_under_way,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Grants a request, which then no longer waits, and returns zero. If it must wait, returns the
    /// time until its permit among those that wait now.
    pub fn poll(&mut self, now: Instant, ticket: PacerTicket) -> Duration {
        let before = self.waiting.range(..ticket).count();
        let wait = self.bucket.time_until(now, (before + 1) as f64);
        if wait.is_zero() {
            self.bucket.take(now, 1.0);
            self.waiting.remove(&ticket);
        }
        wait
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, ticket: PacerTicket) {
        self.waiting.remove(&ticket);
    }

    /// Removes a request that is refused. Returns the time until the pacer has a permit for it, after
    /// those that wait before it and those that were refused shortly before.
    pub fn refuse(&mut self, now: Instant, ticket: PacerTicket) -> Duration {
        let before = self.waiting.range(..ticket).count();
        self.waiting.remove(&ticket);
        let free_at = now + self.bucket.time_until(now, (before + 1) as f64);
        let spread_until = &mut self.spread_until[usize::from(ticket.is_under_way)];
        let next = (*spread_until + period(self.rate_per_s)).min(now + MAX_SPREAD);
        *spread_until = free_at.max(next);
        spread_until.saturating_duration_since(now)
    }

    /// Returns the time in which one permit accrues.
    pub fn period(&self) -> Duration {
        period(self.rate_per_s)
    }
}

fn period(rate_per_s: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate_per_s)
}

fn pace(rate: RequestRate) -> f64 {
    rate.requests_per_s().max(MIN_RATE_PER_S)
}

fn burst(rate_per_s: f64) -> f64 {
    1.0 + rate_per_s * BURST_PERIOD_S
}
