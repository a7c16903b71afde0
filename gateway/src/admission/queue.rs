//! Requests that wait in this gateway for room at the endpoints of one service.
//!
//! Each gateway orders its own requests and takes its share of the free places. A gateway that dies
//! or freezes takes only its own requests with it, and the others no longer reckon with it once its
//! counts are too old.

#[cfg(test)]
mod tests;

use crate::admission::rank::{Need, Rank};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// Every so many releases the request that waits longest goes first, so that no priority, account,
/// session or size waits for as long as others come.
const OLDEST_EVERY: u64 = 8;

/// Age of the peers' counts within which they do not know of a release here.
const UNTOLD_FOR: Duration = Duration::from_millis(60);

/// Number of entries of requests that have left up to which they are kept in any case.
const MAX_SPARE_ENTRIES: usize = 64;

/// A request that waits.
#[derive(Debug)]
struct Waiting<T> {
    need: Need,
    waiter: T,
}

/// Number of a request in its queue, in order of arrival.
pub(crate) type WaitingNumber = u64;

/// Requests in the order of their numbers, with places of some that have left.
#[derive(Debug)]
struct Requests<T> {
    /// The first one has not left.
    places: VecDeque<(WaitingNumber, Option<Waiting<T>>)>,
    /// Number of requests that have not left.
    count: usize,
}

impl<T> Requests<T> {
    /// Adds a request, whose number is greater than all before.
    fn push(&mut self, number: WaitingNumber, waiting: Waiting<T>) {
        self.places.push_back((number, Some(waiting)));
        self.count += 1;
    }

    fn index(&self, number: WaitingNumber) -> Option<usize> {
        self.places.binary_search_by_key(&number, |it| it.0).ok()
    }

    fn get(&self, number: WaitingNumber) -> Option<&Waiting<T>> {
        self.places[self.index(number)?].1.as_ref()
    }

    fn remove(&mut self, number: WaitingNumber) -> Option<T> {
        let index = self.index(number)?;
        let waiting = self.places[index].1.take()?;
        self.count -= 1;
        while let Some((_, None)) = self.places.front() {
            self.places.pop_front();
        }
        Some(waiting.waiter)
    }

    /// Returns the number of the request that waits longest.
    fn oldest(&self) -> Option<WaitingNumber> {
        Some(self.places.front()?.0)
    }
}

/// Waiting requests of one service. Entries of requests that have left are kept until they come to the
/// top of a heap or are more than the others.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    epoch: Instant,
    next_number: WaitingNumber,
    requests: Requests<T>,
    in_time: BinaryHeap<Reverse<Rank>>,
    late: BinaryHeap<Reverse<Rank>>,
    /// Moments at which requests have waited long enough.
    bounds: BinaryHeap<Reverse<(Instant, WaitingNumber)>>,
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
            requests: Requests {
                places: VecDeque::new(),
                count: 0,
            },
            in_time: BinaryHeap::new(),
            late: BinaryHeap::new(),
            bounds: BinaryHeap::new(),
            releases: 0,
            untold: VecDeque::new(),
            carry: 0.0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.count
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.count == 0
    }

    /// Adds a request that waits until `wait_until` at most.
    pub(crate) fn push(
        &mut self,
        now: Instant,
        need: Need,
        wait_until: Instant,
        waiter: T,
    ) -> WaitingNumber {
        let is_late = need.is_late(now);
        let number = self.next_number;
        self.next_number += 1;
        self.requests.push(number, Waiting { need, waiter });
        let rank = Rank::new(&need, self.epoch, wait_until, number);
        let order = if is_late {
            &mut self.late
        } else {
            &mut self.in_time
        };
        order.push(Reverse(rank));
        self.bounds.push(Reverse((wait_until, number)));
        self.clear_spare_entries();
        number
    }

    /// Clears what is kept of requests that have left once it is more than the others. The ranks of
    /// those in time and of the late ones have one entry of each request together.
    fn clear_spare_entries(&mut self) {
        let limit = 2 * self.requests.count + MAX_SPARE_ENTRIES;
        if self.requests.places.len() > limit {
            self.requests.places.retain(|(_, it)| it.is_some());
        }
        let requests = &self.requests;
        if self.in_time.len() + self.late.len() > limit {
            let waits = |rank: &Reverse<Rank>| requests.get(rank.0.number).is_some();
            self.in_time.retain(waits);
            self.late.retain(waits);
        }
        if self.bounds.len() > limit {
            self.bounds
                .retain(|Reverse((_, number))| requests.get(*number).is_some());
        }
    }

    /// Removes a request, for instance because its client left.
    pub(crate) fn remove(&mut self, number: WaitingNumber) -> Option<T> {
        self.requests.remove(number)
    }

    /// Returns the next request that has waited long enough, whether or not there is room.
    pub(crate) fn pop_overdue(&mut self, now: Instant) -> Option<T> {
        while let Some(Reverse((wait_until, number))) = self.bounds.peek().copied()
            && wait_until <= now
        {
            self.bounds.pop();
            if let Some(waiter) = self.remove(number) {
                self.untold.push_back(now);
                return Some(waiter);
            }
        }
        None
    }

    /// Removes the request that goes next.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<T> {
        self.releases += 1;
        let number = if self.releases.is_multiple_of(OLDEST_EVERY) {
            self.requests.oldest()?
        } else {
            self.first(now)?
        };
        self.untold.push_back(now);
        self.remove(number)
    }

    /// Takes the first request out of the order. Those that have become late are moved behind.
    fn first(&mut self, now: Instant) -> Option<WaitingNumber> {
        while let Some(Reverse(rank)) = self.in_time.pop() {
            let Some(waiting) = self.requests.get(rank.number) else {
                continue;
            };
            if !waiting.need.is_late(now) {
                return Some(rank.number);
            }
            self.late.push(Reverse(rank));
        }
        while let Some(Reverse(rank)) = self.late.pop() {
            if self.requests.get(rank.number).is_some() {
                return Some(rank.number);
            }
        }
        None
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
