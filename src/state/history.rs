//! Turn bodies: their hash chain, its verification, and a bounded cache.

use crate::ids::{BranchId, ClientAccountId, ProgramId, TurnHash};
use crate::protocol::record::Turn;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

/// Key-derivation context of a branch's initial hash. It separates that hash from turn hashes.
const BEGINNING_CONTEXT: &str = "galenapick branch beginning 1";
/// Key-derivation context of turn hashes. It separates them from other hashes.
const TURN_CONTEXT: &str = "galenapick turn 1";
/// Approximate memory of a cached turn, excluding its texts.
const TURN_OVERHEAD_BYTES: usize = 320;

/// Reason why a history cannot be returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryError {
    /// The program does not exist or belongs to another client account.
    NotFound,
    /// A body belongs to another client account, program or branch. No turn is returned.
    ForeignTurn,
    /// A body does not continue the hash chain. No turn is returned.
    BrokenChain,
    /// A body has been trimmed from the log.
    Trimmed,
    /// The log does not answer.
    Unavailable(String),
}

impl fmt::Display for HistoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => write!(f, "no such program"),
            Self::ForeignTurn => write!(f, "a turn belongs to another program"),
            Self::BrokenChain => write!(f, "a turn does not continue the hash chain"),
            Self::Trimmed => write!(f, "a turn is no longer in the log"),
            Self::Unavailable(why) => write!(f, "history unavailable: {why}"),
        }
    }
}

impl std::error::Error for HistoryError {}

/// Returns the initial hash of a branch, which its first turn refers to as the previous hash.
pub fn initial_hash(
    client_account: &ClientAccountId,
    program: ProgramId,
    branch: BranchId,
) -> TurnHash {
    let mut hasher = blake3::Hasher::new_derive_key(BEGINNING_CONTEXT);
    add_bytes(&mut hasher, client_account.as_bytes());
    hasher.update(&program.to_le_bytes());
    hasher.update(&branch.to_le_bytes());
    *hasher.finalize().as_bytes()
}

/// Returns the hash of a turn, which the next turn of its branch refers to as the previous hash.
///
/// The hash covers the messages and the call, but not the amounts.
pub fn turn_hash(turn: &Turn) -> TurnHash {
    let mut hasher = blake3::Hasher::new_derive_key(TURN_CONTEXT);
    hasher.update(&turn.previous);
    add_bytes(&mut hasher, turn.client_account.as_bytes());
    hasher.update(&turn.program.to_le_bytes());
    hasher.update(&turn.branch.to_le_bytes());
    hasher.update(&turn.number.to_le_bytes());
    hasher.update(&turn.call.to_le_bytes());
    for message in &turn.messages {
        add_bytes(&mut hasher, message.role.to_string().as_bytes());
        add_bytes(&mut hasher, message.content.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

/// Checks that `turns` are the first turns of a client account's branch without gaps. Returns the
/// hash of the last one.
///
/// ```
/// use galenapick::{HistoryError, initial_hash, verify};
///
/// let client_account = "saa".to_owned();
/// assert_eq!(verify(&client_account, 7, 0, &[]), Ok(initial_hash(&client_account, 7, 0)));
/// ```
pub fn verify(
    client_account: &ClientAccountId,
    program: ProgramId,
    branch: BranchId,
    turns: &[Arc<Turn>],
) -> Result<TurnHash, HistoryError> {
    let mut hash = initial_hash(client_account, program, branch);
    for (index, turn) in turns.iter().enumerate() {
        if turn.client_account != *client_account
            || turn.program != program
            || turn.branch != branch
        {
            return Err(HistoryError::ForeignTurn);
        }
        if turn.number as usize != index + 1 || turn.previous != hash {
            return Err(HistoryError::BrokenChain);
        }
        hash = turn_hash(turn);
    }
    Ok(hash)
}

/// Hashes bytes with a length prefix, so that different lists of strings never hash alike.
fn add_bytes(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

/// Program, branch and number of a turn.
type TurnKey = (ProgramId, BranchId, u32);

/// A cached body and the time of its last use, in ticks of the cache's clock.
struct Cached {
    turn: Arc<Turn>,
    size_bytes: usize,
    last_used: u64,
}

/// Cache of turn bodies with least-recently-used eviction.
///
/// Invariants: `size_bytes` is the sum over `turns`, and `by_last_use` has one item for each turn.
pub(crate) struct BodyCache {
    limit_bytes: usize,
    size_bytes: usize,
    clock: u64,
    turns: HashMap<TurnKey, Cached>,
    by_last_use: BTreeMap<u64, TurnKey>,
}

impl BodyCache {
    /// Creates an empty cache with a capacity of `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            size_bytes: 0,
            clock: 0,
            turns: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Inserts a body and evicts old ones above the limit.
    pub(crate) fn insert(&mut self, turn: Arc<Turn>) {
        let key = (turn.program, turn.branch, turn.number);
        self.remove(&key);
        let size_bytes = turn_size_bytes(&turn);
        self.clock += 1;
        self.by_last_use.insert(self.clock, key);
        self.size_bytes += size_bytes;
        let last_used = self.clock;
        self.turns.insert(
            key,
            Cached {
                turn,
                size_bytes,
                last_used,
            },
        );
        self.evict();
    }

    /// Looks up a body and marks it as used.
    pub(crate) fn get(&mut self, key: &TurnKey) -> Option<Arc<Turn>> {
        let cached = self.turns.get_mut(key)?;
        self.clock += 1;
        self.by_last_use.remove(&cached.last_used);
        self.by_last_use.insert(self.clock, *key);
        cached.last_used = self.clock;
        Some(cached.turn.clone())
    }

    /// Returns the approximate memory of all bodies.
    pub(crate) fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Removes all bodies.
    pub(crate) fn clear(&mut self) {
        self.turns.clear();
        self.by_last_use.clear();
        self.size_bytes = 0;
    }

    fn remove(&mut self, key: &TurnKey) {
        if let Some(old) = self.turns.remove(key) {
            self.by_last_use.remove(&old.last_used);
            self.size_bytes -= old.size_bytes;
        }
    }

    fn evict(&mut self) {
        while self.size_bytes > self.limit_bytes {
            let Some((_, key)) = self.by_last_use.first_key_value() else {
                return;
            };
            let key = *key;
            self.remove(&key);
        }
    }
}

/// Returns the approximate memory of a turn.
fn turn_size_bytes(turn: &Turn) -> usize {
    let texts: usize = turn.messages.iter().map(|m| m.content.len() + 32).sum();
    TURN_OVERHEAD_BYTES + texts
}
