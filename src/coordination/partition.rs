//! One partition on one node: its folded state, its ownership and its commits, driven against the
//! log.

mod clock;
mod config;
mod core;
mod driver;
mod event;
mod reader;
mod snapshots;
#[cfg(test)]
mod tests;

pub use config::{PartitionConfig, PartitionIdentity};

use crate::coordination::commit::BacklogFull;
use crate::ids::{BranchId, ClientAccountId, Epoch, Offset, ProgramId, TurnHash};
use crate::protocol::log::Log;
use crate::protocol::record::{Entry, Record, Turn};
use crate::state::history::{HistoryError, verify};
use crate::state::partition::{Applied, Owner, PartitionState};
use crate::state::program::EntryError;
use async_channel::{Receiver, Sender};
use core::Core;
use futures_lite::Stream;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

/// Reason why entries were not committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// This node does not own the partition or is releasing it. Nothing was written.
    NotOwner,
    /// The backlog is full. Nothing was written.
    Full,
    /// The epoch ended before the entries were committed. The log does not contain them and never
    /// will.
    EpochEnded(Vec<Entry>),
    /// The epoch ended and the records around its end have been trimmed, so the log may or may not
    /// contain the entries.
    Uncertain(Vec<Entry>),
    /// The batch is in the log, but applying it ignored an entry because the caller broke an
    /// invariant.
    Ignored(EntryError),
    /// The driver has stopped.
    Closed,
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwner => write!(f, "not the owner"),
            Self::Full => write!(f, "commit backlog is full"),
            Self::EpochEnded(_) => write!(f, "superseded before the commit"),
            Self::Uncertain(_) => write!(f, "superseded, commit not known"),
            Self::Ignored(reason) => write!(f, "entry ignored: {reason}"),
            Self::Closed => write!(f, "partition is closed"),
        }
    }
}

impl std::error::Error for CommitError {}

impl From<BacklogFull> for CommitError {
    fn from(_: BacklogFull) -> Self {
        Self::Full
    }
}

/// Whether the log answers requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogHealth {
    /// The last append and the last read got an answer.
    Up,
    /// Appends or reads have failed since the given time.
    Down {
        /// Time of the first failure.
        since: Instant,
    },
}

/// Event that a subscriber of a partition receives.
#[derive(Clone, Debug)]
pub enum PartitionEvent {
    /// A record was applied to the state.
    Applied {
        /// Offset of the record in the log.
        offset: Offset,
        /// The record.
        record: Arc<Record>,
        /// Effect of the record on the state.
        applied: Arc<Applied>,
    },
    /// This incarnation of the node became the owner in the given epoch. All records before its
    /// claim have been applied.
    OwnershipGained(Epoch),
    /// This incarnation of the node is no longer the owner; the given epoch has ended.
    OwnershipLost(Epoch),
}

/// Future of a push that is being written to the log. Dropping it does not cancel the push.
pub struct Commit {
    result: Pin<Box<Receiver<Result<Offset, CommitError>>>>,
}

impl Commit {
    fn new(done: Receiver<Result<Offset, CommitError>>) -> Self {
        Self {
            result: Box::pin(done),
        }
    }
}

impl Future for Commit {
    type Output = Result<Offset, CommitError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let next = self.result.as_mut().poll_next(cx);
        next.map(|result| result.unwrap_or(Err(CommitError::Closed)))
    }
}

/// Data shared by the handles and the driver.
struct Shared {
    identity: PartitionIdentity,
    config: PartitionConfig,
    stream: String,
    core: Mutex<Core>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a partition that is stored in any [`Log`].
///
/// ```
/// use galenapick::protocol::log::{Log, LogError, LogPage, LogRecord, ReadLimit};
/// use galenapick::{Entry, PartitionConfig, PartitionHandle, PartitionIdentity};
/// use std::sync::{Arc, Mutex};
///
/// #[derive(Clone, Default)]
/// struct Memory(Arc<Mutex<Vec<LogRecord>>>);
///
/// impl Log for Memory {
///     async fn append(&self, _: &str, data: Vec<u8>) -> Result<u64, LogError> {
///         let mut records = self.0.lock().unwrap();
///         let offset = records.len() as u64 + 1;
///         records.push(LogRecord { offset, at_ms: 0, data });
///         Ok(offset)
///     }
///
///     async fn read(&self, _: &str, from: u64, limit: ReadLimit) -> Result<LogPage, LogError> {
///         smol::Timer::after(limit.wait.min(std::time::Duration::from_millis(5))).await;
///         let records = self.0.lock().unwrap();
///         let skip = from.max(1) as usize - 1;
///         Ok(LogPage {
///             records: records.iter().skip(skip).cloned().collect(),
///             first: 1,
///             next: records.len() as u64 + 1,
///         })
///     }
/// }
///
/// let identity = PartitionIdentity { node: "entry-1".into(), incarnation: 1, partition: 0 };
/// let log = Memory::default();
/// let handle = PartitionHandle::spawn(log, identity, PartitionConfig::default(), |_| false);
/// let events = handle.subscribe();
/// handle.set_should_own(true);
/// smol::block_on(async {
///     while handle.epoch().is_none() {
///         events.recv().await.unwrap();
///     }
///     assert_eq!(handle.commit(vec![Entry::Released]).await, Ok(2));
/// });
/// ```
///
/// The driver stops when the last handle is dropped.
pub struct PartitionHandle<L> {
    log: L,
    shared: Arc<Shared>,
    wake_tx: Sender<()>,
}

impl<L: Clone> Clone for PartitionHandle<L> {
    fn clone(&self) -> Self {
        Self {
            log: self.log.clone(),
            shared: self.shared.clone(),
            wake_tx: self.wake_tx.clone(),
        }
    }
}

impl<L: Log> PartitionHandle<L> {
    /// Starts the driver of a partition.
    ///
    /// `is_owner_alive` returns whether an owner is believed to be alive. The driver calls it
    /// before each claim.
    pub fn spawn<F>(
        log: L,
        identity: PartitionIdentity,
        config: PartitionConfig,
        is_owner_alive: F,
    ) -> Self
    where
        F: Fn(&Owner) -> bool + Send + 'static,
    {
        let (handle, driver) = Self::with_driver(log, identity, config, is_owner_alive);
        smol::spawn(driver).detach();
        handle
    }

    /// Creates the handle of a partition and its driver future, which the caller must run.
    pub fn with_driver<F>(
        log: L,
        identity: PartitionIdentity,
        config: PartitionConfig,
        is_owner_alive: F,
    ) -> (Self, impl Future<Output = ()> + Send + use<F, L>)
    where
        F: Fn(&Owner) -> bool + Send + 'static,
    {
        let stream = identity.stream();
        let core = Core::new(&config);
        let shared = Arc::new(Shared {
            identity,
            config,
            stream,
            core: Mutex::new(core),
        });
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let driver = driver::Driver::new(log.clone(), shared.clone(), wake_rx, is_owner_alive);
        (
            Self {
                log,
                shared,
                wake_tx,
            },
            driver.run(),
        )
    }

    /// Sets whether this node should own the partition.
    ///
    /// With `true`, the driver follows the stream and claims the partition as soon as it has no
    /// owner or its owner is believed to be dead. With `false`, an owned partition is released:
    /// new pushes are refused, queued entries are committed, and the next owner may claim the
    /// partition at once.
    pub fn set_should_own(&self, should_own: bool) {
        self.shared.lock().should_own = should_own;
        self.wake();
    }

    /// Queues entries to be written together in one batch. Returns the future of their commit.
    pub fn push(&self, entries: Vec<Entry>) -> Result<Commit, CommitError> {
        let result = self.shared.lock().push(entries)?;
        self.wake();
        Ok(Commit::new(result))
    }

    /// Commits entries in one batch. Returns its offset once the stream has been read past that
    /// offset and the epoch is still in force.
    pub async fn commit(&self, entries: Vec<Entry>) -> Result<Offset, CommitError> {
        self.push(entries)?.await
    }

    /// Calls `read` with the folded state. The state is complete only while
    /// [`PartitionHandle::is_ready`] returns `true`.
    pub fn with_state<R>(&self, read: impl FnOnce(&PartitionState) -> R) -> R {
        read(&self.shared.lock().state)
    }

    /// Returns whether the state is complete, that is, whether the stream has been read to its last
    /// known end.
    pub fn is_ready(&self) -> bool {
        let core = self.shared.lock();
        core.caught_up && !core.state.is_partial()
    }

    /// Returns the epoch in which this incarnation of the node owns the partition and accepts
    /// pushes.
    pub fn epoch(&self) -> Option<Epoch> {
        self.shared.lock().epoch()
    }

    /// Returns the owner in the folded state with its epoch, or `None` if there is none or it has
    /// released the partition.
    pub fn owner(&self) -> Option<(Owner, Epoch)> {
        let core = self.shared.lock();
        if core.state.is_released() {
            return None;
        }
        let owner = core.state.owner()?.clone();
        Some((owner, core.state.epoch()))
    }

    /// Returns whether the log answers requests.
    pub fn log_health(&self) -> LogHealth {
        self.shared.lock().log_health()
    }

    /// Returns the number and the estimated bytes of the entries that are not committed yet.
    pub fn backlog(&self) -> (usize, usize) {
        self.shared.lock().backlog()
    }

    /// Returns the bytes used by cached turn bodies.
    pub fn cached_bytes(&self) -> usize {
        self.shared.lock().cache.size_bytes()
    }

    /// Subscribes to the partition's events from now on. The channel is unbounded.
    pub fn subscribe(&self) -> Receiver<PartitionEvent> {
        let (tx, rx) = async_channel::unbounded();
        self.shared.lock().subscribers.push(tx);
        rx
    }

    /// Reads and verifies the turns of a branch. Returns [`HistoryError::NotFound`] if the program
    /// does not belong to the client account.
    pub async fn history(
        &self,
        client_account: &ClientAccountId,
        program: ProgramId,
        branch: BranchId,
    ) -> Result<Vec<Arc<Turn>>, HistoryError> {
        let (head, offsets) = self.turn_offsets(client_account, program, branch)?;
        let mut turns = reader::cached_turns(&self.shared, program, branch, offsets.len());
        let missing = reader::missing_offsets(&turns, &offsets);
        if !missing.is_empty() {
            let batches = reader::read_batches(&self.log, &self.shared.stream, missing).await?;
            reader::fill_turns(&self.shared, &mut turns, &batches, program, branch);
        }
        let turns: Option<Vec<Arc<Turn>>> = turns.into_iter().collect();
        let turns = turns.ok_or(HistoryError::Trimmed)?;
        if verify(client_account, program, branch, &turns)? != head {
            return Err(HistoryError::BrokenChain);
        }
        Ok(turns)
    }

    /// Reads the entries of the batch at an offset again, for example to get the body of an
    /// outcome.
    pub async fn entries_at(&self, offset: Offset) -> Result<Vec<Entry>, HistoryError> {
        let offsets = std::iter::once(offset).collect();
        let mut batches = reader::read_batches(&self.log, &self.shared.stream, offsets).await?;
        batches.remove(&offset).ok_or(HistoryError::Trimmed)
    }

    /// Returns the hash of a branch's last turn and the offsets of all its turns.
    fn turn_offsets(
        &self,
        client_account: &ClientAccountId,
        program: ProgramId,
        branch: BranchId,
    ) -> Result<(TurnHash, Vec<Offset>), HistoryError> {
        let core = self.shared.lock();
        let program = core.state.program(program);
        let program = program
            .filter(|program| program.belongs_to(client_account))
            .ok_or(HistoryError::NotFound)?;
        let turns = program.branch(branch).map(|branch| &branch.turns);
        let offsets = turns.into_iter().flatten().map(|turn| turn.offset);
        Ok((program.head(branch).hash, offsets.collect()))
    }

    fn wake(&self) {
        // A full channel means that the driver is about to wake up anyway.
        let _ = self.wake_tx.try_send(());
    }
}
