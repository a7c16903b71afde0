//! Requests that wait in this gateway for room at the endpoints of one service.
//!
//! Each gateway orders its own requests and takes its share of the free places. A gateway that dies
//! or freezes takes only its own requests with it, and the others no longer reckon with it once its
//! counts are too old.

#[cfg(test)]
mod tests;

use crate::admission::rank::{Need, Rank};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Every so many releases the request that waits longest goes first, so that no priority, account,
/// session or size waits for as long as others come.
const OLDEST_EVERY: u64 = 8;

/// Age of the peers' counts within which they do not know of a release here.
const UNTOLD_FOR: Duration = Duration::from_millis(60);

/// A request that waits.
#[derive(Debug)]
struct Waiting<T> {
    need: Need,
    rank: Rank,
    is_late: bool,
    wait_until: Instant,
    waiter: T,
}

/// Number of a request in its queue, in order of arrival.
pub(crate) type WaitingNumber = u64;

/// Waiting requests of one service.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    epoch: Instant,
    next_number: WaitingNumber,
    by_number: BTreeMap<WaitingNumber, Waiting<T>>,
    in_time: BTreeSet<Rank>,
    late: BTreeSet<Rank>,
    /// Moments at which requests have waited long enough.
    bounds: BTreeSet<(Instant, WaitingNumber)>,
    releases: u64,
    /// Recent releases, of which peers do not know yet.
    untold: VecDeque<Instant>,
    /// Part of a place that was due and not used.
    carry: f64,
}

impl<T> WaitQueue<T> {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            next_number: 0,
            by_number: BTreeMap::new(),
            in_time: BTreeSet::new(),
            late: BTreeSet::new(),
            bounds: BTreeSet::new(),
            releases: 0,
            untold: VecDeque::new(),
            carry: 0.0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Adds a request that waits until `wait_until` at most.
    pub(crate) fn push(
        &mut self,
        now: Instant,
        need: Need,
        wait_until: Instant,
        waiter: T,
    ) -> WaitingNumber {
        let number = self.next_number;
        self.next_number += 1;
        let rank = Rank::new(&need, self.epoch, wait_until, number);
        let is_late = need.is_late(now);
        let order = if is_late {
            &mut self.late
        } else {
            &mut self.in_time
        };
        order.insert(rank);
        self.bounds.insert((wait_until, number));
        let waiting = Waiting {
            need,
            rank,
            is_late,
            wait_until,
            waiter,
        };
        self.by_number.insert(number, waiting);
        number
    }

    /// Removes a request, for instance because its client left.
    pub(crate) fn remove(&mut self, number: WaitingNumber) -> Option<T> {
        let waiting = self.by_number.remove(&number)?;
        if waiting.is_late {
            self.late.remove(&waiting.rank);
        } else {
            self.in_time.remove(&waiting.rank);
        }
        self.bounds.remove(&(waiting.wait_until, number));
        Some(waiting.waiter)
    }

    /// Returns the next request that has waited long enough, whether or not there is room.
    pub(crate) fn pop_overdue(&mut self, now: Instant) -> Option<T> {
        let (wait_until, number) = *self.bounds.first()?;
        if wait_until > now {
            return None;
        }
        self.untold.push_back(now);
        self.remove(number)
    }

    /// Removes the request that goes next.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<T> {
        self.releases += 1;
        let number = if self.releases.is_multiple_of(OLDEST_EVERY) {
            *self.by_number.first_key_value()?.0
        } else {
            self.first(now)?
        };
        self.untold.push_back(now);
        self.remove(number)
    }

    /// Returns the first request in the order. Those that have become late are moved behind.
    fn first(&mut self, now: Instant) -> Option<WaitingNumber> {
        while let Some(rank) = self.in_time.first().copied() {
            let waiting = self.by_number.get_mut(&rank.number)?;
            if !waiting.need.is_late(now) {
                return Some(rank.number);
            }
            waiting.is_late = true;
            self.in_time.remove(&rank);
            self.late.insert(rank);
        }
        self.late.first().map(|rank| rank.number)
    }

    /// Returns how many requests may be released now, out of `free` places at the endpoints, while
    /// `peers_waiting` requests wait in other gateways.
    ///
    /// The places that this gateway took a moment ago are part of its share as long as the peers do
    /// not know of them. Otherwise each gateway would take its share of the rest again and again.
    pub(crate) fn releasable(&mut self, now: Instant, free: f64, peers_waiting: f64) -> usize {
        while let Some(released_at) = self.untold.front()
            && now.saturating_duration_since(*released_at) >= UNTOLD_FOR
        {
            self.untold.pop_front();
        }
        let own = self.len() as f64;
        if own == 0.0 || free <= 0.0 {
            self.carry = 0.0;
            return 0;
        }
        let taken = self.untold.len() as f64;
        let own_share = (own + taken) / (own + taken + peers_waiting.max(0.0));
        let due = (free + taken) * own_share - taken + self.carry;
        let count = due.clamp(0.0, own).floor();
        self.carry = (due - count).clamp(0.0, 0.99);
        count as usize
    }
}
