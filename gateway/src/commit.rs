//! Group commit of this gateway's records: one append under way, all that came meanwhile in the
//! next one.
//!
//! A resend has the number of the first send, so that the store executes it once, however late
//! a lost call arrives.

#[cfg(test)]
mod tests;

use crate::dialect::{Append, Appended, Dialect, Offset, Topic};
use crate::store::StoreLink;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

/// Records in one append; the store's limit on a call's bytes is far above what they hold.
const MAX_RECORDS: usize = 256;

/// Bytes in one append; half of what the store takes in a call.
const MAX_BYTES: usize = 1024 * 1024;

/// Bytes that may wait: some seconds of a busy gateway's turns.
const MAX_WAITING_BYTES: usize = 8 * 1024 * 1024;

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

/// A key and its value; without one the key is dropped.
pub(crate) type Keyed = (String, Option<Vec<u8>>);

struct Waiting {
    key: String,
    value: Option<Vec<u8>>,
    done: Option<async_channel::Sender<Offset>>,
}

/// Records that wait for the store.
pub(crate) struct Committer<D> {
    topic: Topic,
    queue: RefCell<VecDeque<Waiting>>,
    queued_bytes: Cell<usize>,
    /// Whether an append is under way.
    is_busy: Cell<bool>,
    changed: event_listener::Event,
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
            queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            is_busy: Cell::new(false),
            changed: event_listener::Event::new(),
            dialect: PhantomData,
        }
    }

    /// Adds a record whose place nobody waits for.
    pub(crate) fn add(&self, key: String, value: Option<Vec<u8>>) {
        self.push(key, value, None);
    }

    /// Adds a record and returns its ticket.
    pub(crate) fn submit(&self, key: String, value: Vec<u8>) -> Ticket {
        let (sender, receiver) = async_channel::bounded(1);
        self.push(key, Some(value), Some(sender));
        Ticket {
            place: receiver,
            known: Cell::new(None),
        }
    }

    fn push(
        &self,
        key: String,
        value: Option<Vec<u8>>,
        done: Option<async_channel::Sender<Offset>>,
    ) {
        let bytes = key.len() + value.as_ref().map_or(0, Vec::len);
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
        self.queue
            .borrow_mut()
            .push_back(Waiting { key, value, done });
        self.changed.notify(usize::MAX);
    }

    /// Tells whether so much waits that new work must not add to it.
    pub(crate) fn is_full(&self) -> bool {
        self.queued_bytes.get() > MAX_WAITING_BYTES
    }

    /// Tells whether nothing waits and nothing is under way.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_busy.get() && self.queue.borrow().is_empty()
    }

    /// Appends what waits, for ever; tells where each batch stands before those who wait for it.
    pub(crate) async fn run(
        &self,
        mut link: StoreLink,
        producer: &str,
        on_appended: impl Fn(Offset, &[Keyed]),
    ) {
        let mut sequence = 0;
        let mut times = SendTimes::new();
        loop {
            let batch = self.next_batch().await;
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
            on_appended(first, &records);
            for (at, waiter) in waiters.into_iter().enumerate() {
                if let Some(waiter) = waiter {
                    // A request that has ended no longer asks for its record's place.
                    let _ = waiter.try_send(first + at as Offset);
                }
            }
            self.is_busy.set(false);
        }
    }

    async fn next_batch(&self) -> Vec<Waiting> {
        loop {
            let listener = self.changed.listen();
            let batch = self.take_batch();
            if !batch.is_empty() {
                self.is_busy.set(true);
                return batch;
            }
            listener.await;
        }
    }

    fn take_batch(&self) -> Vec<Waiting> {
        let mut queue = self.queue.borrow_mut();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = queue.front() {
            let size = next.key.len() + next.value.as_ref().map_or(0, Vec::len);
            if batch.len() >= MAX_RECORDS || !batch.is_empty() && bytes + size > MAX_BYTES {
                break;
            }
            bytes += size;
            batch.extend(queue.pop_front());
        }
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
        batch
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
                Appended::At(offset) => {
                    times.took(sent_at.elapsed());
                    return offset;
                }
                Appended::Refused => {}
                Appended::Conflict => {
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
