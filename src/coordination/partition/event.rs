//! Events that wake the driver of a partition, and the time limit of its calls to the log.

use super::reader::{BatchEntries, Start};
use crate::ids::Offset;
use crate::protocol::log::{LogError, LogPage};
use crate::state::history::HistoryError;
use async_channel::Receiver;
use futures_lite::future;
use smol::Timer;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Event that wakes the driver.
pub(super) enum Event {
    /// The last handle was dropped.
    Closed,
    /// A handle changed something, or a timer expired.
    Wake,
    /// An append got its result.
    Appended(Result<Offset, LogError>),
    /// The read with this number got its result.
    PageRead(u64, Result<LogPage, LogError>),
    /// The search with this number for the place to start got its result.
    StartFound(u64, Result<Start, LogError>),
    /// The batches whose turn bodies a snapshot relocates were read, or could not be.
    BatchesRead(BTreeSet<Offset>, Result<BatchEntries, HistoryError>),
}

/// Waits for the next event, at most until `wake_at`.
pub(super) async fn next_event(
    wake_rx: &Receiver<()>,
    events: &Receiver<Event>,
    wake_at: Instant,
) -> Event {
    let wake_rx = async {
        match wake_rx.recv().await {
            Ok(()) => Event::Wake,
            Err(_) => Event::Closed,
        }
    };
    let event = async { events.recv().await.unwrap_or(Event::Closed) };
    let tick = async {
        Timer::at(wake_at).await;
        Event::Wake
    };
    future::or(event, future::or(wake_rx, tick)).await
}

/// Fails a log call that gets no answer within `limit`.
pub(super) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(LogError::Unavailable("no answer in time".to_owned()))
    };
    future::or(call, timeout).await
}
