//! Fold of one partition of the turns' topic: chains of turns and the budgets of programs.
//!
//! The partition's order is the only agreement. Whoever folds it folds the same; a reservation
//! holds if the budget covers it beside all that stands before it. Whoever wrote a reservation
//! that does not hold settles it with 0 tokens, so no gateway need repeat another's verdict.

#[cfg(test)]
mod tests;

use crate::dialect::{Offset, StoreRecord};
use crate::record::{KeptTurn, TurnRecord, decode};
use smallvec::SmallVec;
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

/// Tokens of a turn under one reservation's key.
#[derive(Clone, Copy, Debug)]
enum Tokens {
    /// Put aside.
    Reserved(u64),
    /// Given to clients; the turn has ended.
    Settled(u64),
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    writer: WriterTag,
    offset: Offset,
    tokens: Tokens,
}

#[derive(Debug)]
struct Kept {
    offset: Offset,
    turn: Rc<KeptTurn>,
}

/// A turn; it has a reservation or was kept.
#[derive(Debug)]
struct Entry {
    program: Rc<str>,
    kept: Option<Kept>,
    /// One for each gateway that wrote any: two may have, if one was taken for lost.
    reservations: SmallVec<[Reservation; 1]>,
    seen_at: Instant,
}

impl Entry {
    /// Tokens that count for the budget, in whatever order records came: those of a turn that was
    /// kept, or else settled, or else put aside.
    fn tokens(&self) -> u64 {
        if let Some(kept) = &self.kept {
            return kept.turn.spent_tokens;
        }
        let settled = self.reservations.iter().filter_map(|one| match one.tokens {
            Tokens::Settled(tokens) => Some(tokens),
            Tokens::Reserved(_) => None,
        });
        let reserved = self.reservations.iter().map(|one| match one.tokens {
            Tokens::Settled(tokens) | Tokens::Reserved(tokens) => tokens,
        });
        settled.max().or(reserved.max()).unwrap_or_default()
    }

    fn has_ended(&self) -> bool {
        let mut reservations = self.reservations.iter();
        self.kept.is_some() || reservations.any(|one| matches!(one.tokens, Tokens::Settled(_)))
    }

    /// Where its tokens were first put aside.
    fn reserved_at(&self) -> Option<Offset> {
        self.reservations.iter().map(|one| one.offset).min()
    }

    fn is_empty(&self) -> bool {
        self.kept.is_none() && self.reservations.is_empty()
    }

    fn put_reservation(&mut self, new: Reservation) {
        let mut known = self.reservations.iter_mut();
        match known.find(|one| one.writer == new.writer) {
            Some(one) if one.offset < new.offset => *one = new,
            Some(_) => {}
            None => self.reservations.push(new),
        }
    }

    fn put_kept(&mut self, offset: Offset, turn: Rc<KeptTurn>) {
        if self.kept.as_ref().is_none_or(|kept| kept.offset < offset) {
            self.kept = Some(Kept { offset, turn });
        }
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
    /// No entry is empty.
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
        let (turn, writer) = split_key(&record.key).ok_or("not a turn's key")?;
        let offset = record.offset;
        let Some(value) = &record.value else {
            self.remove(turn, writer, offset);
            return Ok(None);
        };
        let (program, tokens) = match decode(value)? {
            TurnRecord::Kept(kept) => {
                let kept = Rc::new(kept);
                let entry = self.entry(now, turn, &kept.program);
                entry.put_kept(offset, kept.clone());
                return Ok(Some(kept));
            }
            TurnRecord::Reserved {
                program,
                max_tokens,
            } => (program, Tokens::Reserved(max_tokens)),
            TurnRecord::Settled {
                program,
                spent_tokens,
            } => (program, Tokens::Settled(spent_tokens)),
        };
        let writer = writer.ok_or("a reservation without its writer")?;
        self.entry(now, turn, &program)
            .put_reservation(Reservation {
                writer,
                offset,
                tokens,
            });
        Ok(None)
    }

    /// Returns a turn's entry, made if it is not known.
    fn entry(&mut self, now: Instant, turn: &str, program: &str) -> &mut Entry {
        let turn: Rc<str> = match self.turns.get_key_value(turn) {
            Some((known, _)) => known.clone(),
            None => turn.into(),
        };
        self.turns.entry(turn.clone()).or_insert_with(|| {
            let program: Rc<str> = match self.programs.get_key_value(program) {
                Some((known, _)) => known.clone(),
                None => program.into(),
            };
            self.programs.entry(program.clone()).or_default().push(turn);
            Entry {
                program,
                kept: None,
                reservations: SmallVec::new(),
                seen_at: now,
            }
        })
    }

    /// Drops a reservation, or what was kept if no writer is given, unless it is newer.
    fn remove(&mut self, turn: &str, writer: Option<WriterTag>, before: Offset) {
        let Some(entry) = self.turns.get_mut(turn) else {
            return;
        };
        match writer {
            Some(writer) => entry
                .reservations
                .retain(|one| one.writer != writer || one.offset > before),
            None => entry.kept = entry.kept.take().filter(|kept| kept.offset > before),
        }
        if !entry.is_empty() {
            return;
        }
        let Some(entry) = self.turns.remove(turn) else {
            return;
        };
        if let Some(turns) = self.programs.get_mut(&entry.program) {
            turns.retain(|known| **known != *turn);
            if turns.is_empty() {
                self.programs.remove(&entry.program);
            }
        }
    }

    /// Returns the history that ends with a turn, as far as it is known.
    pub(crate) fn chain(&self, last: &str) -> Chain {
        let mut chain = Chain::default();
        let mut at = Some(last.to_owned());
        while let Some(id) = at {
            let kept = self
                .turns
                .get(id.as_str())
                .and_then(|entry| entry.kept.as_ref());
            let (Some(kept), true) = (kept, chain.turns.len() < MAX_CHAIN) else {
                chain.missing = Some(id);
                break;
            };
            at = kept.turn.previous.clone();
            chain.turns.push(kept.turn.clone());
        }
        chain.turns.reverse();
        chain
    }

    /// Returns the tokens that a program has spent or put aside.
    pub(crate) fn committed_tokens(&self, program: &str) -> u64 {
        self.of_program(program).map(Entry::tokens).sum()
    }

    /// Tells whether a reservation that has been folded holds: the program's budget covers it
    /// beside all that was put aside before it.
    ///
    /// What was reserved after it does not count; what was settled since counts as settled.
    pub(crate) fn holds(&self, turn: &str, budget_tokens: u64) -> bool {
        let Some(own) = self.turns.get(turn) else {
            return false;
        };
        let reserved_at = own.reserved_at();
        let counted = self
            .of_program(&own.program)
            .filter(|entry| entry.has_ended() || entry.reserved_at() <= reserved_at);
        let committed: u64 = counted.map(Entry::tokens).sum();
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

    /// Returns the keys of records that nobody needs any more.
    pub(crate) fn outdated(&self, now: Instant) -> Vec<String> {
        let mut keys = Vec::new();
        for (turn, entry) in &self.turns {
            let keep = entry.kept.as_ref().map(|kept| kept.turn.keep());
            let keep = keep.map_or(SETTLED_KEEP, |keep| (keep * KEEP_FACTOR).max(SETTLED_KEEP));
            if now.saturating_duration_since(entry.seen_at) <= keep {
                continue;
            }
            let reservations = entry.reservations.iter();
            keys.extend(reservations.map(|one| reservation_key(turn, one.writer)));
            keys.extend(entry.kept.as_ref().map(|_| kept_key(turn)));
        }
        keys
    }

    /// Number of turns known.
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }
}

/// Tells apart the gateways that write reservations of one turn. A late record of one that was
/// taken for lost must not replace another's: the topic keeps only the newest record of a key.
pub(crate) type WriterTag = u8;

/// First character of the keys of what was kept.
const KEPT: char = 'k';

/// First character of the keys of reservations; the writer's tag follows.
const RESERVED: char = 'r';

/// Key of a turn that was kept.
pub(crate) fn kept_key(turn: &str) -> String {
    format!("{KEPT}{turn}")
}

/// Key of a turn's reservation by one writer.
pub(crate) fn reservation_key(turn: &str, writer: WriterTag) -> String {
    format!("{RESERVED}{writer:02x}{turn}")
}

/// Splits a key into the turn's id and the writer's tag, which what was kept has not; `None` if
/// it is none of this topic's.
fn split_key(key: &str) -> Option<(&str, Option<WriterTag>)> {
    if let Some(turn) = key.strip_prefix(KEPT) {
        return Some((turn, None));
    }
    let (writer, turn) = key.strip_prefix(RESERVED)?.split_at_checked(2)?;
    let writer = WriterTag::from_str_radix(writer, 16).ok()?;
    Some((turn, Some(writer)))
}
