//! Fold of one partition of the turns' topic: chains of turns and the budgets of programs.
//!
//! The partition's order is the only agreement. Whoever folds it folds the same; a reservation
//! holds if the budget covers it beside all that stands before it. Whoever wrote a reservation
//! that does not hold settles it with 0 tokens, so no gateway need repeat another's verdict.

#[cfg(test)]
mod tests;

use crate::dialect::{Offset, StoreRecord};
use crate::record::{KeptTurn, TurnRecord, decode};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a turn stays in the topic, as a multiple of the time that it can be continued.
///
/// Twice, so that a gateway that read it late never drops what another still serves.
const KEEP_FACTOR: u32 = 2;

/// How long a reservation or settled turn counts, at least: as long as usual turns are kept.
const SETTLED_KEEP: Duration = Duration::from_secs(120);

/// Turns in a chain at most; a longer one is a loop.
const MAX_CHAIN: usize = 10_000;

/// State of one turn.
#[derive(Clone, Debug)]
enum Turn {
    /// Tokens put aside.
    Reserved(u64),
    /// Tokens given to clients.
    Settled(u64),
    /// Ended whole.
    Kept(Rc<KeptTurn>),
}

#[derive(Debug)]
struct Entry {
    /// Offset of the record that the state comes from.
    offset: Offset,
    program: Rc<str>,
    turn: Turn,
    seen_at: Instant,
}

impl Entry {
    /// Tells whether a later record can't undo the entry: a turn that ended whole stays.
    fn outlasts(&self, turn: &Turn) -> bool {
        matches!(self.turn, Turn::Kept(_)) && !matches!(turn, Turn::Kept(_))
    }
}

/// What a partition knows of a turn's history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Chain {
    /// The known turns, oldest first.
    pub(crate) turns: Vec<Rc<KeptTurn>>,
    /// The turn before them, if it is not known here.
    pub(crate) missing: Option<String>,
}

/// The turns and budgets that the records read so far amount to.
#[derive(Debug, Default)]
pub(crate) struct TurnIndex {
    turns: HashMap<Rc<str>, Entry>,
    /// Turns of each program that has any.
    programs: HashMap<Rc<str>, Vec<Rc<str>>>,
}

impl TurnIndex {
    /// Folds a record; returns the turn if it says that one ended whole.
    pub(crate) fn apply(
        &mut self,
        now: Instant,
        record: &StoreRecord,
    ) -> Result<Option<Rc<KeptTurn>>, String> {
        let Some(value) = &record.value else {
            self.remove(&record.key, record.offset);
            return Ok(None);
        };
        let mut ended = None;
        let (program, turn) = match decode(value)? {
            TurnRecord::Reserved {
                program,
                max_tokens,
            } => (program, Turn::Reserved(max_tokens)),
            TurnRecord::Settled {
                program,
                spent_tokens,
            } => (program, Turn::Settled(spent_tokens)),
            TurnRecord::Kept(kept) => {
                let kept = Rc::new(kept);
                ended = Some(kept.clone());
                (kept.program.clone(), Turn::Kept(kept))
            }
        };
        self.put(now, record, &program, turn);
        Ok(ended)
    }

    fn put(&mut self, now: Instant, record: &StoreRecord, program: &str, turn: Turn) {
        let known = self.turns.get(record.key.as_str());
        if known.is_some_and(|entry| entry.offset >= record.offset || entry.outlasts(&turn)) {
            return;
        }
        self.remove(&record.key, record.offset);
        let key: Rc<str> = record.key.as_str().into();
        let program: Rc<str> = match self.programs.get_key_value(program) {
            Some((known, _)) => known.clone(),
            None => program.into(),
        };
        let turns = self.programs.entry(program.clone()).or_default();
        turns.push(key.clone());
        let entry = Entry {
            offset: record.offset,
            program,
            turn,
            seen_at: now,
        };
        self.turns.insert(key, entry);
    }

    fn remove(&mut self, key: &str, before: Offset) {
        if self
            .turns
            .get(key)
            .is_none_or(|entry| entry.offset > before)
        {
            return;
        }
        let Some(entry) = self.turns.remove(key) else {
            return;
        };
        let Some(turns) = self.programs.get_mut(&entry.program) else {
            return;
        };
        turns.retain(|turn| **turn != *key);
        if turns.is_empty() {
            self.programs.remove(&entry.program);
        }
    }

    /// Returns the history that ends with a turn, as far as it is known.
    pub(crate) fn chain(&self, last: &str) -> Chain {
        let mut chain = Chain::default();
        let mut at = Some(last.to_owned());
        while let Some(id) = at {
            let turn = self.turns.get(id.as_str()).map(|entry| &entry.turn);
            let (Some(Turn::Kept(kept)), true) = (turn, chain.turns.len() < MAX_CHAIN) else {
                chain.missing = Some(id);
                break;
            };
            at = kept.previous.clone();
            chain.turns.push(kept.clone());
        }
        chain.turns.reverse();
        chain
    }

    /// Returns the tokens that a program has spent or put aside.
    pub(crate) fn committed_tokens(&self, program: &str) -> u64 {
        self.of_program(program)
            .map(|entry| entry.turn.tokens())
            .sum()
    }

    /// Tells whether a reservation that has been folded holds: the program's budget covers it
    /// beside all that was put aside before it.
    ///
    /// What was reserved after it does not count; what was settled since counts as settled.
    pub(crate) fn holds(&self, turn: &str, budget_tokens: u64) -> bool {
        let Some(own) = self.turns.get(turn) else {
            return false;
        };
        let counted = self
            .of_program(&own.program)
            .filter(|entry| entry.offset <= own.offset || !matches!(entry.turn, Turn::Reserved(_)));
        let committed: u64 = counted.map(|entry| entry.turn.tokens()).sum();
        committed <= budget_tokens
    }

    fn of_program(&self, program: &str) -> impl Iterator<Item = &Entry> {
        let turns = self.programs.get(program).into_iter().flatten();
        turns.filter_map(|turn| self.turns.get(turn))
    }

    /// Tells whether a turn is known, however it ended.
    pub(crate) fn knows(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Returns the keys of turns that nobody can continue any more.
    pub(crate) fn outdated(&self, now: Instant) -> Vec<String> {
        let old = self.turns.iter().filter(|(_, entry)| {
            let keep = match &entry.turn {
                Turn::Kept(kept) => (kept.keep() * KEEP_FACTOR).max(SETTLED_KEEP),
                _ => SETTLED_KEEP,
            };
            now.saturating_duration_since(entry.seen_at) > keep
        });
        old.map(|(key, _)| key.to_string()).collect()
    }

    /// Number of turns known.
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }
}

impl Turn {
    fn tokens(&self) -> u64 {
        match self {
            Turn::Reserved(tokens) | Turn::Settled(tokens) => *tokens,
            Turn::Kept(kept) => kept.spent_tokens,
        }
    }
}
