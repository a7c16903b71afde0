//! Fold of one partition of the turns' topic: chains of turns and the budgets of programs.
//!
//! The partition's order is the only agreement. Whoever folds it folds the same; a reservation
//! holds if the budget covers it beside all that stands before it. Whoever wrote a reservation
//! that does not hold settles it with 0 tokens, so no gateway need repeat another's verdict.

#[cfg(test)]
mod tests;

use crate::dialect::{Offset, StoreRecord};
use crate::record::{CompletedTurn, TurnRecord, decode};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a turn stays in the topic, as a multiple of the time that it can be continued.
///
/// Twice, so that a gateway that read it late never drops what another still serves.
const RETENTION_FACTOR: u32 = 2;

/// How long a reservation or settled turn counts, at least: as long as usual turns are kept.
const MIN_RETENTION: Duration = Duration::from_secs(120);

/// Turns in a chain at most; a longer one is a loop.
const MAX_CHAIN_TURNS: usize = 10_000;

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
struct Completed {
    offset: Offset,
    turn: Rc<CompletedTurn>,
}

/// A turn; it has a reservation or was kept.
#[derive(Debug)]
struct TurnEntry {
    program: Rc<str>,
    completed: Option<Completed>,
    /// One for each gateway that wrote any: two may have, if one was taken for lost.
    reservations: SmallVec<[Reservation; 1]>,
    seen_at: Instant,
}

impl TurnEntry {
    /// Tokens that count for the budget, in whatever order records came: those of a turn that was
    /// kept, or else settled, or else put aside.
    fn tokens(&self) -> u64 {
        if let Some(completed) = &self.completed {
            return completed.turn.spent_tokens;
        }
        let settled = self
            .reservations
            .iter()
            .filter_map(|reservation| match reservation.tokens {
                Tokens::Settled(tokens) => Some(tokens),
                Tokens::Reserved(_) => None,
            });
        let reserved = self
            .reservations
            .iter()
            .map(|reservation| match reservation.tokens {
                Tokens::Settled(tokens) | Tokens::Reserved(tokens) => tokens,
            });
        settled.max().or(reserved.max()).unwrap_or_default()
    }

    fn has_ended(&self) -> bool {
        let mut reservations = self.reservations.iter();
        self.completed.is_some()
            || reservations.any(|reservation| matches!(reservation.tokens, Tokens::Settled(_)))
    }

    /// Where its tokens were first put aside.
    fn reservation_offset(&self) -> Option<Offset> {
        self.reservations
            .iter()
            .map(|reservation| reservation.offset)
            .min()
    }

    fn is_empty(&self) -> bool {
        self.completed.is_none() && self.reservations.is_empty()
    }

    fn upsert_reservation(&mut self, new: Reservation) {
        let mut known = self.reservations.iter_mut();
        match known.find(|reservation| reservation.writer == new.writer) {
            Some(reservation) if reservation.offset < new.offset => *reservation = new,
            Some(_) => {}
            None => self.reservations.push(new),
        }
    }

    fn upsert_completed(&mut self, offset: Offset, turn: Rc<CompletedTurn>) {
        if self
            .completed
            .as_ref()
            .is_none_or(|completed| completed.offset < offset)
        {
            self.completed = Some(Completed { offset, turn });
        }
    }
}

/// What a partition knows of a turn's history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Chain {
    /// The known turns, oldest first.
    pub(crate) turns: Vec<Rc<CompletedTurn>>,
    /// The turn before them, if it is not known here.
    pub(crate) missing: Option<String>,
}

/// The turns and budgets that the records read so far amount to.
#[derive(Debug, Default)]
pub(crate) struct TurnIndex {
    /// No entry is empty.
    turns: HashMap<Rc<str>, TurnEntry>,
    /// Turns of each program that has any.
    programs: HashMap<Rc<str>, Vec<Rc<str>>>,
}

impl TurnIndex {
    /// Folds a record; returns the turn if it says that one ended whole.
    pub(crate) fn apply(
        &mut self,
        now: Instant,
        record: &StoreRecord,
    ) -> Result<Option<Rc<CompletedTurn>>, String> {
        let (turn, writer) = parse_key(&record.key).ok_or("not a turn's key")?;
        let offset = record.offset;
        let Some(value) = &record.value else {
            self.remove(turn, writer, offset);
            return Ok(None);
        };
        let (program, tokens) = match decode(value)? {
            TurnRecord::Completed(completed) => {
                let completed = Rc::new(completed);
                let entry = self.entry(now, turn, &completed.program);
                entry.upsert_completed(offset, completed.clone());
                return Ok(Some(completed));
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
            .upsert_reservation(Reservation {
                writer,
                offset,
                tokens,
            });
        Ok(None)
    }

    /// Returns a turn's entry, made if it is not known.
    fn entry(&mut self, now: Instant, turn: &str, program: &str) -> &mut TurnEntry {
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
            TurnEntry {
                program,
                completed: None,
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
                .retain(|reservation| reservation.writer != writer || reservation.offset > before),
            None => {
                entry.completed = entry
                    .completed
                    .take()
                    .filter(|completed| completed.offset > before)
            }
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
            let completed = self
                .turns
                .get(id.as_str())
                .and_then(|entry| entry.completed.as_ref());
            let (Some(completed), true) = (completed, chain.turns.len() < MAX_CHAIN_TURNS) else {
                chain.missing = Some(id);
                break;
            };
            at = completed.turn.previous.clone();
            chain.turns.push(completed.turn.clone());
        }
        chain.turns.reverse();
        chain
    }

    /// Returns the tokens that a program has spent or put aside.
    pub(crate) fn committed_tokens(&self, program: &str) -> u64 {
        self.entries_of(program).map(TurnEntry::tokens).sum()
    }

    /// Tells whether a reservation that has been folded holds: the program's budget covers it
    /// beside all that was put aside before it.
    ///
    /// What was reserved after it does not count; what was settled since counts as settled.
    pub(crate) fn is_within_budget(&self, turn: &str, budget_tokens: u64) -> bool {
        let Some(candidate) = self.turns.get(turn) else {
            return false;
        };
        let reservation_offset = candidate.reservation_offset();
        let counted = self
            .entries_of(&candidate.program)
            .filter(|entry| entry.has_ended() || entry.reservation_offset() <= reservation_offset);
        let committed: u64 = counted.map(TurnEntry::tokens).sum();
        committed <= budget_tokens
    }

    fn entries_of(&self, program: &str) -> impl Iterator<Item = &TurnEntry> {
        let turns = self.programs.get(program).into_iter().flatten();
        turns.filter_map(|turn| self.turns.get(turn))
    }

    /// Tells whether a turn is known, however it ended.
    pub(crate) fn contains(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Returns the keys of records that nobody needs any more.
    pub(crate) fn expired_keys(&self, now: Instant) -> Vec<String> {
        let mut keys = Vec::new();
        for (turn, entry) in &self.turns {
            let retention = entry
                .completed
                .as_ref()
                .map(|completed| completed.turn.retention());
            let retention = retention.map_or(MIN_RETENTION, |retention| {
                (retention * RETENTION_FACTOR).max(MIN_RETENTION)
            });
            if now.saturating_duration_since(entry.seen_at) <= retention {
                continue;
            }
            let reservations = entry.reservations.iter();
            keys.extend(reservations.map(|reservation| reservation_key(turn, reservation.writer)));
            keys.extend(entry.completed.as_ref().map(|_| completed_key(turn)));
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
pub(crate) fn completed_key(turn: &str) -> String {
    format!("{KEPT}{turn}")
}

/// Key of a turn's reservation by one writer.
pub(crate) fn reservation_key(turn: &str, writer: WriterTag) -> String {
    format!("{RESERVED}{writer:02x}{turn}")
}

/// Splits a key into the turn's id and the writer's tag, which what was kept has not; `None` if
/// it is none of this topic's.
fn parse_key(key: &str) -> Option<(&str, Option<WriterTag>)> {
    if let Some(turn) = key.strip_prefix(KEPT) {
        return Some((turn, None));
    }
    let (writer, turn) = key.strip_prefix(RESERVED)?.split_at_checked(2)?;
    let writer = WriterTag::from_str_radix(writer, 16).ok()?;
    Some((turn, Some(writer)))
}
