//! Group commit of this gateway's records: one append is in flight, and all records that arrive
//! meanwhile go into the next one.
//!
//! A resend carries the sequence number of the first send. The store therefore executes the append
//! once, however late a delayed call arrives.

mod queue;
#[cfg(test)]
mod tests;

use crate::dialect::{Append, AppendOutcome, Dialect, KeyValue, Offset, Topic};
use crate::store::link::StoreLink;
use queue::CommitQueue;
use smol::Timer;
use std::cell::Cell;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

/// Maximum delay of a record whose offset no caller waits for. It is short compared with the time
/// until a program's next turn.
const BACKGROUND_DELAY: Duration = Duration::from_millis(40);

/// Timeout of the first send, as a multiple of the average append time. A later answer is most
/// likely lost.
const TIMEOUT_FACTOR: u32 = 8;

/// Minimum timeout of the first send. Appends of other gateways may be ahead in the store.
const MIN_FIRST_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum timeout of the first send.
const MAX_FIRST_TIMEOUT: Duration = Duration::from_millis(800);

/// Weight of the newest append in the average append time.
const LATENCY_WEIGHT: f64 = 0.2;

/// Maximum timeout of a resend. An overloaded store takes seconds.
const MAX_RESEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the first resend. Each further resend doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(15);

/// Maximum delay before a resend.
const MAX_BACKOFF: Duration = Duration::from_millis(240);

/// Derives the timeout of a first send from recent append times.
#[derive(Clone, Copy, Debug)]
struct AppendLatency {
    average: Duration,
}

impl AppendLatency {
    /// Starts with the append time of a busy store.
    fn new() -> Self {
        Self {
            average: MAX_FIRST_TIMEOUT / TIMEOUT_FACTOR,
        }
    }

    fn record(&mut self, time: Duration) {
        let decayed = self.average.mul_f64(1.0 - LATENCY_WEIGHT);
        self.average = decayed + time.mul_f64(LATENCY_WEIGHT);
    }

    fn timeout(&self) -> Duration {
        (self.average * TIMEOUT_FACTOR).clamp(MIN_FIRST_TIMEOUT, MAX_FIRST_TIMEOUT)
    }
}

/// Queue and sender of the records for one topic.
pub(crate) struct Committer<D> {
    topic: Topic,
    queue: CommitQueue,
    /// Whether an append is in flight.
    is_appending: Cell<bool>,
    dialect: PhantomData<D>,
}

/// A submitted record whose offset is not known until the store acknowledges it.
pub(crate) struct PendingCommit {
    offset_receiver: async_channel::Receiver<Offset>,
    /// The offset, once received, since callers may ask for it again.
    received: Cell<Option<Offset>>,
}

impl PendingCommit {
    /// Waits until the store has acknowledged the record. Returns its offset.
    pub(crate) async fn offset(&self) -> Offset {
        if let Some(offset) = self.received.get() {
            return offset;
        }
        match self.offset_receiver.recv().await {
            Ok(offset) => {
                self.received.set(Some(offset));
                offset
            }
            // The committer runs until the process ends.
            Err(_) => std::future::pending().await,
        }
    }
}

impl<D: Dialect> Committer<D> {
    /// Creates a committer with an empty queue.
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            topic,
            queue: CommitQueue::default(),
            is_appending: Cell::new(false),
            dialect: PhantomData,
        }
    }

    /// Queues a record whose offset no caller waits for. It is sent with the next record that is
    /// due, or after [`BACKGROUND_DELAY`].
    pub(crate) fn enqueue(&self, key: String, value: Option<Vec<u8>>) {
        self.queue.push(key, value, BACKGROUND_DELAY, None);
    }

    /// Queues a record that may wait for others, at most for `delay`.
    pub(crate) fn submit(&self, key: String, value: Vec<u8>, delay: Duration) -> PendingCommit {
        let (sender, receiver) = async_channel::bounded(1);
        self.queue.push(key, Some(value), delay, Some(sender));
        PendingCommit {
            offset_receiver: receiver,
            received: Cell::new(None),
        }
    }

    /// Returns whether the queue is too long to accept new work.
    pub(crate) fn is_full(&self) -> bool {
        self.queue.is_full()
    }

    /// Returns whether no record is queued or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_appending.get() && self.queue.is_empty()
    }

    /// Appends queued records until the process ends. Calls `on_appended` with each batch and its
    /// first offset before the submitters get their offsets.
    pub(crate) async fn run(
        &self,
        mut link: StoreLink,
        producer: &str,
        on_appended: impl Fn(Offset, Vec<KeyValue>),
    ) {
        let mut sequence = 0;
        let mut latency = AppendLatency::new();
        loop {
            let batch = self.queue.next_batch().await;
            self.is_appending.set(true);
            let (records, waiters): (Vec<_>, Vec<_>) = batch
                .into_iter()
                .map(|queued| ((queued.key, queued.value), queued.offset_sender))
                .unzip();
            let append = Append {
                topic: self.topic,
                producer,
                sequence,
                records: &records,
            };
            let first_offset = append_until_done::<D>(&mut link, &append, &mut latency).await;
            sequence += 1;
            on_appended(first_offset, records);
            for (index, waiter) in waiters.into_iter().enumerate() {
                if let Some(waiter) = waiter {
                    // A request that has ended no longer waits for the offset.
                    let _ = waiter.try_send(first_offset + index as Offset);
                }
            }
            self.is_appending.set(false);
        }
    }
}

/// Sends an append until the store acknowledges it. Returns the offset of the first record.
async fn append_until_done<D: Dialect>(
    link: &mut StoreLink,
    append: &Append<'_>,
    latency: &mut AppendLatency,
) -> Offset {
    let call = D::build_append(append);
    let mut timeout = latency.timeout();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let sent_at = Instant::now();
        if let Ok((status, body)) = link.call(&call, timeout).await {
            match D::parse_appended(status, &body) {
                AppendOutcome::Stored(offset) => {
                    latency.record(sent_at.elapsed());
                    return offset;
                }
                AppendOutcome::Failed => {}
                AppendOutcome::Conflict => {
                    // The producer name is unique to this run, and sequence numbers only increase.
                    panic!(
                        "the store rejected this producer's sequence number {}",
                        append.sequence
                    );
                }
            }
        }
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        timeout = (timeout * 2).min(MAX_RESEND_TIMEOUT);
    }
}
