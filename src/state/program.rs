//! Effects of entries on a program's index.

use crate::ids::{BranchId, CallId, ClientAccountId, Offset, TurnHash};
use crate::protocol::image::{Branch, End, Program, SupersededTurn, TurnLocation};
use crate::protocol::record::{Created, Ended, Turn};
use crate::state::history::{initial_hash, turn_hash};

/// Reason why an entry of an accepted batch has no effect. A correct owner never writes such an
/// entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EntryError {
    /// The program does not exist.
    NoProgram,
    /// The program exists already.
    CreatedTwice,
    /// The program belongs to another client account.
    #[strum(serialize = "other_member")]
    OtherClientAccount,
    /// The turn's number is not the next number of its branch.
    TurnNumber,
    /// The turn does not continue the hash chain of its branch.
    TurnChain,
    /// There is already a turn or a superseded turn of that call.
    CallTwice,
    /// The program has ended.
    AfterEnd,
    /// There is already an intent of that call.
    IntentTwice,
    /// There is no intent of that call.
    OutcomeWithoutIntent,
    /// The call already has an outcome.
    OutcomeTwice,
    /// The snapshot part is out of order, or its snapshot was not begun in this epoch.
    SnapshotOrder,
}

/// Reference to the turn that holds a call's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TurnRef {
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, starting at 1.
    pub number: u32,
    /// Offset of the record that holds the turn's body.
    pub offset: Offset,
}

/// Position at the end of a branch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BranchHead {
    /// Number of the last turn; 0 before the first.
    pub number: u32,
    /// Hash of the last turn, or the initial hash of the branch.
    pub hash: TurnHash,
}

/// Returns the fingerprint of a caller's idempotency key for a call; 0 without a key.
pub(crate) fn key_fingerprint(key: Option<&str>) -> u64 {
    let Some(key) = key else {
        return 0;
    };
    let hash = blake3::hash(key.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(prefix).max(1)
}

/// Returns the fingerprint of a caller's idempotency key for a program; 0 without a key.
pub(crate) fn program_key_fingerprint(
    environment: &str,
    client_account: &str,
    key: Option<&str>,
) -> u128 {
    let Some(key) = key else {
        return 0;
    };
    let mut hasher = blake3::Hasher::new();
    for part in [environment, client_account, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(prefix).max(1)
}

impl Program {
    /// Creates the index of a program that has just begun.
    pub(crate) fn new(created: &Created) -> Self {
        let key = program_key_fingerprint(
            &created.environment,
            &created.client_account,
            created.key.as_deref(),
        );
        Self {
            program: created.program,
            client_account: created.client_account.clone(),
            environment: created.environment.clone(),
            key,
            budget: created.budget,
            deadline_ms: created.deadline_ms,
            spent: Default::default(),
            reserved: created.reserved,
            branches: Vec::new(),
            actions: Vec::new(),
            superseded: Vec::new(),
            ended: None,
            endpoint: None,
        }
    }

    /// Returns whether the program belongs to a client account.
    pub fn belongs_to(&self, client_account: &ClientAccountId) -> bool {
        self.client_account == *client_account
    }

    /// Finds a branch; `None` if it has no turns.
    pub fn branch(&self, branch: BranchId) -> Option<&Branch> {
        let found = self.branches.binary_search_by_key(&branch, |b| b.branch);
        found.ok().map(|index| &self.branches[index])
    }

    /// Returns the end of a branch.
    pub fn head(&self, branch: BranchId) -> BranchHead {
        match self.branch(branch) {
            Some(found) => BranchHead {
                number: found.turns.len() as u32,
                hash: found.head,
            },
            None => BranchHead {
                number: 0,
                hash: initial_hash(&self.client_account, self.program, branch),
            },
        }
    }

    /// Finds the turn of a call. The caller must check the body, because the index stores only half
    /// of the call's id.
    pub fn turn_by_call(&self, call: CallId) -> Option<TurnRef> {
        self.find_turn(|location| location.call == call as u64)
    }

    /// Finds the turn of a caller's idempotency key. The caller must check the body, because the
    /// index stores only a fingerprint.
    pub fn turn_by_key(&self, key: &str) -> Option<TurnRef> {
        let fingerprint = key_fingerprint(Some(key));
        self.find_turn(|location| location.key == fingerprint)
    }

    /// Returns the number of turns in all branches.
    pub fn turn_count(&self) -> usize {
        self.branches.iter().map(|branch| branch.turns.len()).sum()
    }

    fn find_turn(&self, matches: impl Fn(&TurnLocation) -> bool) -> Option<TurnRef> {
        self.branches.iter().find_map(|branch| {
            let index = branch.turns.iter().position(&matches)?;
            Some(TurnRef {
                branch: branch.branch,
                number: index as u32 + 1,
                offset: branch.turns[index].offset,
            })
        })
    }

    /// Appends the next turn of a branch.
    pub(crate) fn add_turn(&mut self, offset: Offset, turn: &Turn) -> Result<(), EntryError> {
        let head = self.head(turn.branch);
        if turn.number != head.number + 1 {
            return Err(EntryError::TurnNumber);
        }
        if turn.previous != head.hash {
            return Err(EntryError::TurnChain);
        }
        let branch = self.branch_mut(turn.branch);
        if branch
            .turns
            .iter()
            .any(|location| location.call == turn.call as u64)
        {
            return Err(EntryError::CallTwice);
        }
        branch.head = turn_hash(turn);
        branch.turns.push(TurnLocation {
            offset,
            call: turn.call as u64,
            key: key_fingerprint(turn.key.as_deref()),
        });
        self.spent += turn.spent;
        self.reserved = turn.reserved;
        self.endpoint = Some(turn.endpoint.clone());
        Ok(())
    }

    /// Adds a superseded turn. Its amounts count as spent.
    pub(crate) fn add_superseded(&mut self, offset: Offset, turn: &Turn) -> Result<(), EntryError> {
        if self.superseded.iter().any(|other| other.call == turn.call) {
            return Err(EntryError::CallTwice);
        }
        self.superseded.push(SupersededTurn {
            branch: turn.branch,
            number: turn.number,
            call: turn.call,
            offset,
        });
        self.spent += turn.spent;
        Ok(())
    }

    /// Updates the offset of a turn's body after a copy was appended.
    pub(crate) fn relocate_turn(&mut self, offset: Offset, turn: &Turn) {
        let index = turn.number.wrapping_sub(1) as usize;
        let branch = self.branches.iter_mut().find(|b| b.branch == turn.branch);
        if let Some(location) = branch.and_then(|b| b.turns.get_mut(index)) {
            location.offset = offset;
        }
    }

    /// Updates the offset of a superseded turn's body after a copy was appended.
    pub(crate) fn relocate_superseded(&mut self, offset: Offset, turn: &Turn) {
        let found = self
            .superseded
            .iter_mut()
            .find(|other| other.call == turn.call && other.number == turn.number);
        if let Some(superseded) = found {
            superseded.offset = offset;
        }
    }

    /// Ends the program and frees its reservation.
    pub(crate) fn end(&mut self, ended: &Ended) -> Result<(), EntryError> {
        if self.ended.is_some() {
            return Err(EntryError::AfterEnd);
        }
        self.reserved = Default::default();
        self.ended = Some(End {
            reason: ended.reason,
            at_ms: ended.at_ms,
        });
        Ok(())
    }

    fn branch_mut(&mut self, branch: BranchId) -> &mut Branch {
        let found = self.branches.binary_search_by_key(&branch, |b| b.branch);
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let new_branch = Branch {
                    branch,
                    head: TurnHash::default(),
                    turns: Vec::new(),
                };
                self.branches.insert(index, new_branch);
                index
            }
        };
        &mut self.branches[index]
    }
}
