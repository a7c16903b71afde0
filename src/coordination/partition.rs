//! One partition at one node: its fold, its ownership and its commits, driven against the log.

mod clock;
mod config;
mod core;
mod driver;
mod reader;
mod snapshots;
#[cfg(test)]
mod tests;

pub use config::{PartitionConfig, PartitionIdentity};

use crate::coordination::commit::Full;
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

/// Why entries are not committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// This node does not own the partition, or is handing it over. Nothing was written.
    NotOwner,
    /// The backlog is full. Nothing was written.
    Full,
    /// The epoch ended first. The log does not have the entries and never will.
    Superseded(Vec<Entry>),
    /// The epoch ended and the records around its end are trimmed: the log may have the entries.
    Uncertain(Vec<Entry>),
    /// The batch is in the log, but the fold ignored an entry: the caller broke an invariant.
    Ignored(EntryError),
    /// The driver has ended.
    Closed,
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwner => write!(f, "not the owner"),
            Self::Full => write!(f, "commit backlog is full"),
            Self::Superseded(_) => write!(f, "superseded before the commit"),
            Self::Uncertain(_) => write!(f, "superseded, commit not known"),
            Self::Ignored(why) => write!(f, "entry ignored: {why}"),
            Self::Closed => write!(f, "partition is closed"),
        }
    }
}

impl std::error::Error for CommitError {}

impl From<Full> for CommitError {
    fn from(_: Full) -> Self {
        Self::Full
    }
}

/// Whether the log answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogHealth {
    /// The last append and the last read were answered.
    Up,
    /// Appends or reads have had no answer since this time.
    Down {
        /// The first failure.
        since: Instant,
    },
}

/// What happened in a partition.
#[derive(Clone, Debug)]
pub enum Change {
    /// A record was applied.
    Applied {
        /// Its position.
        offset: Offset,
        /// The record.
        record: Arc<Record>,
        /// What it did.
        applied: Arc<Applied>,
    },
    /// This run of the node became the owner; everything before its claim has been applied.
    Gained(Epoch),
    /// It is no longer the owner.
    Lost(Epoch),
}

/// A push on its way into the log. Dropping it does not take the push back.
pub struct Commit {
    done: Pin<Box<Receiver<Result<Offset, CommitError>>>>,
}

impl Commit {
    fn new(done: Receiver<Result<Offset, CommitError>>) -> Self {
        Self {
            done: Box::pin(done),
        }
    }
}

impl Future for Commit {
    type Output = Result<Offset, CommitError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let next = self.done.as_mut().poll_next(cx);
        next.map(|result| result.unwrap_or(Err(CommitError::Closed)))
    }
}

/// What the handles and the driver share.
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

/// Access to a partition over any [`Log`].
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
/// let changes = handle.changes();
/// handle.want(true);
/// smol::block_on(async {
///     while handle.epoch().is_none() {
///         changes.recv().await.unwrap();
///     }
///     assert_eq!(handle.commit(vec![Entry::Released]).await, Ok(2));
/// });
/// ```
///
/// The driver ends when the last handle is dropped.
pub struct PartitionHandle<L> {
    log: L,
    shared: Arc<Shared>,
    nudge: Sender<()>,
}

impl<L: Clone> Clone for PartitionHandle<L> {
    fn clone(&self) -> Self {
        Self {
            log: self.log.clone(),
            shared: self.shared.clone(),
            nudge: self.nudge.clone(),
        }
    }
}

impl<L: Log> PartitionHandle<L> {
    /// Starts the driver of a partition.
    ///
    /// `alive` tells whether an owner is believed to be alive; it is asked before each claim.
    pub fn spawn<F>(log: L, identity: PartitionIdentity, config: PartitionConfig, alive: F) -> Self
    where
        F: Fn(&Owner) -> bool + Send + 'static,
    {
        let (handle, driver) = Self::with_driver(log, identity, config, alive);
        smol::spawn(driver).detach();
        handle
    }

    /// Makes a partition and its driver, which the caller runs.
    pub fn with_driver<F>(
        log: L,
        identity: PartitionIdentity,
        config: PartitionConfig,
        alive: F,
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
        let (nudge, nudged) = async_channel::bounded(1);
        let driver = driver::Driver::new(log.clone(), shared.clone(), nudged, alive);
        (Self { log, shared, nudge }, driver.run())
    }

    /// Says whether this node should own the partition.
    ///
    /// With `true` the stream is followed and the partition is claimed as soon as it is free or
    /// its owner is believed dead. With `false` a partition that is owned is handed over: no push
    /// is taken any more, what waits is committed, and the next owner may claim at once.
    pub fn want(&self, wanted: bool) {
        self.shared.lock().wanted = wanted;
        self.wake();
    }

    /// Puts entries in line for one batch.
    pub fn push(&self, entries: Vec<Entry>) -> Result<Commit, CommitError> {
        let done = self.shared.lock().push(entries)?;
        self.wake();
        Ok(Commit::new(done))
    }

    /// Commits entries in one batch: returns after the stream has been read through its offset
    /// with the epoch still in force.
    pub async fn commit(&self, entries: Vec<Entry>) -> Result<Offset, CommitError> {
        self.push(entries)?.await
    }

    /// Looks at the fold. It is whole only while [`PartitionHandle::is_ready`].
    pub fn with_state<R>(&self, look: impl FnOnce(&PartitionState) -> R) -> R {
        look(&self.shared.lock().state)
    }

    /// Whether the stream has been read to its end, as far as is known.
    pub fn is_ready(&self) -> bool {
        let core = self.shared.lock();
        core.caught_up && !core.state.is_partial()
    }

    /// The epoch in which this run of the node owns the partition and takes pushes.
    pub fn epoch(&self) -> Option<Epoch> {
        self.shared.lock().epoch()
    }

    /// The owner that the fold has, with its epoch; `None` if it is not known or has released.
    pub fn owner(&self) -> Option<(Owner, Epoch)> {
        let core = self.shared.lock();
        if core.state.is_released() {
            return None;
        }
        let owner = core.state.owner()?.clone();
        Some((owner, core.state.epoch()))
    }

    /// Whether the log answers.
    pub fn health(&self) -> LogHealth {
        self.shared.lock().health()
    }

    /// Entries and their weight in bytes that are not committed.
    pub fn backlog(&self) -> (usize, usize) {
        self.shared.lock().backlog()
    }

    /// Memory taken by cached turn bodies.
    pub fn cached_bytes(&self) -> usize {
        self.shared.lock().cache.size_bytes()
    }

    /// Subscribes to changes from now on.
    pub fn changes(&self) -> Receiver<Change> {
        let (tx, rx) = async_channel::unbounded();
        self.shared.lock().listeners.push(tx);
        rx
    }

    /// Reads a branch of a program, provided that it belongs to the client account, and verifies
    /// it.
    pub async fn history(
        &self,
        client_account: &ClientAccountId,
        program: ProgramId,
        branch: BranchId,
    ) -> Result<Vec<Arc<Turn>>, HistoryError> {
        let (head, places) = self.places(client_account, program, branch)?;
        let mut turns = reader::cached(&self.shared, program, branch, places.len());
        let missing = reader::missing(&turns, &places);
        if !missing.is_empty() {
            let bodies = reader::bodies(&self.log, &self.shared.stream, missing).await?;
            reader::fill(&self.shared, &mut turns, &bodies, program, branch);
        }
        let turns: Option<Vec<Arc<Turn>>> = turns.into_iter().collect();
        let turns = turns.ok_or(HistoryError::Trimmed)?;
        if verify(client_account, program, branch, &turns)? != head {
            return Err(HistoryError::BrokenChain);
        }
        Ok(turns)
    }

    /// Reads one entry's record again, such as an outcome.
    pub async fn entries_at(&self, offset: Offset) -> Result<Vec<Entry>, HistoryError> {
        let wanted = std::iter::once(offset).collect();
        let mut bodies = reader::bodies(&self.log, &self.shared.stream, wanted).await?;
        bodies.remove(&offset).ok_or(HistoryError::Trimmed)
    }

    /// Where the turns of a branch are, and its last hash.
    fn places(
        &self,
        client_account: &ClientAccountId,
        program: ProgramId,
        branch: BranchId,
    ) -> Result<(TurnHash, Vec<Offset>), HistoryError> {
        let core = self.shared.lock();
        let found = core.state.program(program);
        let found = found
            .filter(|program| program.belongs_to(client_account))
            .ok_or(HistoryError::NotFound)?;
        let places = found.branch(branch).map(|branch| &branch.turns);
        let offsets = places.into_iter().flatten().map(|place| place.offset);
        Ok((found.head(branch).hash, offsets.collect()))
    }

    fn wake(&self) {
        // A full channel means that the driver will look anyway.
        let _ = self.nudge.try_send(());
    }
}
