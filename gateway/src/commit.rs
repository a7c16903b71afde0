//! Group commit of this gateway's records: one append under way, all that came meanwhile in the
//! next one.
//!
//! A resend has the number of the first send, so that the store executes it once, however late
//! a lost call arrives.

mod queue;
#[cfg(test)]
mod tests;

use crate::dialect::{Append, AppendOutcome, Dialect, KeyValue, Offset, Topic};
use crate::store::StoreLink;
use queue::CommitQueue;
use smol::Timer;
use std::cell::Cell;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

/// How long a record whose place nobody waits for may wait for others; short against the time in
/// which a program's next turn comes.
const IDLE_DELAY: Duration = Duration::from_millis(40);

/// Longest time of the first send, as a multiple of the usual time of an append: an answer that is
/// that late is most likely lost.
const TIMEOUT_FACTOR: u32 = 8;

/// Least time-out of a first send: appends of other gateways may stand before it.
const LEAST_TIMEOUT: Duration = Duration::from_millis(200);

/// Most time-out of a first send.
const FIRST_TIMEOUT: Duration = Duration::from_millis(800);

/// Weight of the newest append in the usual time.
const TIME_WEIGHT: f64 = 0.2;

/// Longest time of a resend; an overloaded store takes seconds.
const MOST_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause before the first resend; doubled by each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(15);

/// Longest pause between two sends.
const MOST_PAUSE: Duration = Duration::from_millis(240);

/// How long a first send may take, by how long appends took of late.
#[derive(Clone, Copy, Debug)]
struct SendTimes {
    usual: Duration,
}

impl SendTimes {
    /// Begins with what a store that is busy takes.
    fn new() -> Self {
        Self {
            usual: FIRST_TIMEOUT / TIMEOUT_FACTOR,
        }
    }

    fn took(&mut self, time: Duration) {
        let kept = self.usual.mul_f64(1.0 - TIME_WEIGHT);
        self.usual = kept + time.mul_f64(TIME_WEIGHT);
    }

    fn timeout(&self) -> Duration {
        (self.usual * TIMEOUT_FACTOR).clamp(LEAST_TIMEOUT, FIRST_TIMEOUT)
    }
}

/// Records that wait for the store.
pub(crate) struct Committer<D> {
    topic: Topic,
    queue: CommitQueue,
    /// Whether an append is under way.
    is_busy: Cell<bool>,
    dialect: PhantomData<D>,
}

/// A record's place in the topic, once it has one.
pub(crate) struct Ticket {
    place: async_channel::Receiver<Offset>,
    /// The place, once it has been received: it may be asked for again.
    known: Cell<Option<Offset>>,
}

impl Ticket {
    /// Waits until the record stands in the topic.
    pub(crate) async fn offset(&self) -> Offset {
        if let Some(offset) = self.known.get() {
            return offset;
        }
        match self.place.recv().await {
            Ok(offset) => {
                self.known.set(Some(offset));
                offset
            }
            // The committer ends with the process.
            Err(_) => std::future::pending().await,
        }
    }
}

impl<D: Dialect> Committer<D> {
    /// Makes one without records.
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            topic,
            queue: CommitQueue::default(),
            is_busy: Cell::new(false),
            dialect: PhantomData,
        }
    }

    /// Adds a record whose place nobody waits for; it goes with the next one that is due, or after
    /// a while.
    pub(crate) fn add(&self, key: String, value: Option<Vec<u8>>) {
        self.queue.push(key, value, IDLE_DELAY, None);
    }

    /// Adds a record that may wait for others for so long, and returns its ticket.
    pub(crate) fn submit(&self, key: String, value: Vec<u8>, delay: Duration) -> Ticket {
        let (sender, receiver) = async_channel::bounded(1);
        self.queue.push(key, Some(value), delay, Some(sender));
        Ticket {
            place: receiver,
            known: Cell::new(None),
        }
    }

    /// Tells whether so much waits that new work must not add to it.
    pub(crate) fn is_full(&self) -> bool {
        self.queue.is_full()
    }

    /// Tells whether nothing waits and nothing is under way.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_busy.get() && self.queue.is_empty()
    }

    /// Appends what waits, for ever; tells where each batch stands before those who wait for it.
    pub(crate) async fn run(
        &self,
        mut link: StoreLink,
        producer: &str,
        on_appended: impl Fn(Offset, Vec<KeyValue>),
    ) {
        let mut sequence = 0;
        let mut times = SendTimes::new();
        loop {
            let batch = self.queue.next_batch().await;
            self.is_busy.set(true);
            let (records, waiters): (Vec<_>, Vec<_>) = batch
                .into_iter()
                .map(|waiting| ((waiting.key, waiting.value), waiting.done))
                .unzip();
            let append = Append {
                topic: self.topic,
                producer,
                sequence,
                records: &records,
            };
            let first = append_until_done::<D>(&mut link, &append, &mut times).await;
            sequence += 1;
            on_appended(first, records);
            for (at, waiter) in waiters.into_iter().enumerate() {
                if let Some(waiter) = waiter {
                    // A request that has ended no longer asks for its record's place.
                    let _ = waiter.try_send(first + at as Offset);
                }
            }
            self.is_busy.set(false);
        }
    }
}

/// Sends an append until the store has it; returns the first record's offset.
async fn append_until_done<D: Dialect>(
    link: &mut StoreLink,
    append: &Append<'_>,
    times: &mut SendTimes,
) -> Offset {
    let call = D::append(append);
    let mut timeout = times.timeout();
    let mut pause = FIRST_PAUSE;
    loop {
        let sent_at = Instant::now();
        if let Ok((status, body)) = link.call(&call, timeout).await {
            match D::read_appended(status, &body) {
                AppendOutcome::At(offset) => {
                    times.took(sent_at.elapsed());
                    return offset;
                }
                AppendOutcome::Refused => {}
                AppendOutcome::Conflict => {
                    // The name is new in each lifetime and numbers only grow.
                    panic!("the store refuses this writer's number {}", append.sequence);
                }
            }
        }
        Timer::after(pause).await;
        pause = (pause * 2).min(MOST_PAUSE);
        timeout = (timeout * 2).min(MOST_TIMEOUT);
    }
}
