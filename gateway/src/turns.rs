//! Fold of the turns' topic: chains of turns and the budgets of programs.
//!
//! The topic's order is the only agreement. Each gateway folds the same records; a reservation
//! holds if the budget covers it beside all that stands before it. Whoever wrote a reservation
//! that does not hold settles it with 0 tokens, so no gateway need repeat another's verdict.

#[cfg(test)]
mod tests;

use crate::dialect::{Offset, StoreRecord};
use crate::record::{KeptTurn, TurnRecord};
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

/// A turn's history, oldest first.
pub(crate) type Chain = Vec<Rc<KeptTurn>>;

/// The turns and budgets that the records read so far amount to.
#[derive(Debug, Default)]
pub(crate) struct TurnIndex {
    turns: HashMap<Rc<str>, Entry>,
    /// Turns of each program that has any.
    programs: HashMap<Rc<str>, Vec<Rc<str>>>,
}

impl TurnIndex {
    /// Folds a record; returns what it holds beside a turn's place and its tokens.
    pub(crate) fn apply(&mut self, now: Instant, record: &StoreRecord) -> Result<Other, String> {
        let Some(value) = &record.value else {
            self.remove(&record.key, record.offset);
            return Ok(Other::None);
        };
        let mut other = Other::None;
        let (program, turn) = match TurnRecord::decode(value)? {
            TurnRecord::Reserved(reservation) => {
                (reservation.program, Turn::Reserved(reservation.max_tokens))
            }
            TurnRecord::Settled {
                program,
                spent_tokens,
                ..
            } => (program, Turn::Settled(spent_tokens)),
            TurnRecord::Kept(kept) => {
                let kept = Rc::new(kept);
                other = Other::Kept(kept.clone());
                (kept.program.clone(), Turn::Kept(kept))
            }
            TurnRecord::Gateway(gateway) => return Ok(Other::Gateway(gateway)),
        };
        self.put(now, record, &program, turn);
        Ok(other)
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

    /// Returns the history that ends with a turn; `None` if a turn of it is not known.
    pub(crate) fn chain(&self, last: &str) -> Option<Chain> {
        let mut chain = Chain::new();
        let mut at = Some(last.to_owned());
        while let Some(id) = at {
            let Turn::Kept(kept) = &self.turns.get(id.as_str())?.turn else {
                return None;
            };
            at = kept.previous.clone();
            chain.push(kept.clone());
            if chain.len() > MAX_CHAIN {
                return None;
            }
        }
        chain.reverse();
        Some(chain)
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

    /// Returns the keys of turns that nobody can continue any more, with their programs.
    pub(crate) fn outdated(&self, now: Instant) -> Vec<(String, Rc<str>)> {
        let old = self.turns.iter().filter(|(_, entry)| {
            let keep = match &entry.turn {
                Turn::Kept(kept) => (kept.keep() * KEEP_FACTOR).max(SETTLED_KEEP),
                _ => SETTLED_KEEP,
            };
            now.saturating_duration_since(entry.seen_at) > keep
        });
        old.map(|(key, entry)| (key.to_string(), entry.program.clone()))
            .collect()
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

/// What a record says beside a turn's place and its tokens.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Other {
    /// Nothing.
    None,
    /// A turn that ended whole.
    Kept(Rc<KeptTurn>),
    /// Where a gateway listens.
    Gateway(crate::record::GatewayRecord),
}
