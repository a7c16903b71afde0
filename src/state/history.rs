//! Turn bodies: the hash chain that binds them, its check, and a bounded cache.

use crate::ids::{BranchId, ClientAccountId, ProgramId, TurnHash};
use crate::protocol::record::Turn;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

/// Sets a branch's first hash apart from the hash of a turn.
const BEGINNING_CONTEXT: &str = "galenapick branch beginning 1";
/// Sets a turn's hash apart from other hashes.
const TURN_CONTEXT: &str = "galenapick turn 1";
/// Memory of a cached turn besides its texts.
const TURN_OVERHEAD_BYTES: usize = 320;

/// Why a history cannot be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryError {
    /// There is no such program, or it belongs to another client account.
    NotFound,
    /// A body belongs to another client account, program or branch. Nothing of it is returned.
    ForeignTurn,
    /// A body does not continue the hash chain. Nothing of it is returned.
    BrokenChain,
    /// A body is no longer kept by the log.
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

/// Returns the hash that the first turn of a branch continues.
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

/// Returns the hash of a turn, which the next turn of its branch continues.
///
/// It covers what was said and by which call, but no amounts.
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

/// Checks that turns are the whole beginning of one client account's branch, and returns the last
/// hash.
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

/// Adds bytes so that two lists of them never hash alike by a shifted border.
fn add_bytes(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

/// Names a turn.
type TurnKey = (ProgramId, BranchId, u32);

/// A body and when it was last used.
struct Cached {
    turn: Arc<Turn>,
    weight_bytes: usize,
    used: u64,
}

/// Turn bodies, least recently used dropped first.
///
/// Invariants: `weight_bytes` is the sum over `turns`; `by_use` has one item for each turn.
pub(crate) struct BodyCache {
    limit_bytes: usize,
    weight_bytes: usize,
    clock: u64,
    turns: HashMap<TurnKey, Cached>,
    by_use: BTreeMap<u64, TurnKey>,
}

impl BodyCache {
    /// Makes an empty cache that holds up to `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            weight_bytes: 0,
            clock: 0,
            turns: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Puts a body in, and drops old ones over the limit.
    pub(crate) fn insert(&mut self, turn: Arc<Turn>) {
        let key = (turn.program, turn.branch, turn.number);
        self.remove(&key);
        let weight_bytes = turn_weight(&turn);
        self.clock += 1;
        self.by_use.insert(self.clock, key);
        self.weight_bytes += weight_bytes;
        let used = self.clock;
        self.turns.insert(
            key,
            Cached {
                turn,
                weight_bytes,
                used,
            },
        );
        self.shrink();
    }

    /// Looks a body up and marks it as used.
    pub(crate) fn get(&mut self, key: &TurnKey) -> Option<Arc<Turn>> {
        let cached = self.turns.get_mut(key)?;
        self.clock += 1;
        self.by_use.remove(&cached.used);
        self.by_use.insert(self.clock, *key);
        cached.used = self.clock;
        Some(cached.turn.clone())
    }

    /// Bytes held.
    pub(crate) fn weight_bytes(&self) -> usize {
        self.weight_bytes
    }

    /// Drops all bodies.
    pub(crate) fn clear(&mut self) {
        self.turns.clear();
        self.by_use.clear();
        self.weight_bytes = 0;
    }

    fn remove(&mut self, key: &TurnKey) {
        if let Some(old) = self.turns.remove(key) {
            self.by_use.remove(&old.used);
            self.weight_bytes -= old.weight_bytes;
        }
    }

    fn shrink(&mut self) {
        while self.weight_bytes > self.limit_bytes {
            let Some((_, key)) = self.by_use.first_key_value() else {
                return;
            };
            let key = *key;
            self.remove(&key);
        }
    }
}

/// Bytes that a turn takes in memory, about.
fn turn_weight(turn: &Turn) -> usize {
    let texts: usize = turn.messages.iter().map(|m| m.content.len() + 32).sum();
    TURN_OVERHEAD_BYTES + texts
}
