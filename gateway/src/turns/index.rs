//! Index of one partition of the turns topic: chains of turns and the token budgets of programs.
//!
//! Gateways agree only on the order of records in the partition, and each gateway that applies them
//! derives the same state. A reservation is valid if the budget covers it together with all
//! reservations before it. The gateway that wrote an invalid reservation settles it with 0 tokens,
//! so no other gateway has to repeat the decision.

#[cfg(test)]
mod tests;

use crate::dialect::{Offset, StoreRecord};
use crate::turns::record::{CompletedTurn, TurnRecord, decode};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Retention of a turn's records in the topic, as a multiple of the time for which the turn can be
/// continued.
///
/// The factor is 2 so that a gateway that read the turn late never deletes a record that another
/// gateway still serves.
const RETENTION_FACTOR: u32 = 2;

/// Minimum retention of reservations and settled turns, equal to the usual retention of completed
/// turns.
const MIN_RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of turns in a chain; a longer chain is a loop.
const MAX_CHAIN_TURNS: usize = 10_000;

/// Tokens recorded under one reservation key.
#[derive(Clone, Copy, Debug)]
enum Tokens {
    /// Maximum number of tokens that the running turn may generate.
    Reserved(u64),
    /// Tokens delivered to clients by a turn that has ended.
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

/// State of one turn, which has at least one reservation or a completed record.
#[derive(Debug)]
struct TurnEntry {
    program: Rc<str>,
    completed: Option<Completed>,
    /// At most one per gateway. Two gateways may have reserved the same turn if one of them was
    /// considered lost.
    reservations: SmallVec<[Reservation; 1]>,
    seen_at: Instant,
}

impl TurnEntry {
    /// Returns the tokens that count against the budget. The order in which records arrived does
    /// not matter: a completed record takes precedence over a settled one, and a settled one over a
    /// reservation.
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

    /// Returns the offset of the turn's first reservation.
    fn reservation_offset(&self) -> Option<Offset> {
        self.reservations
            .iter()
            .map(|reservation| reservation.offset)
            .min()
    }

    fn has_expired(&self, now: Instant) -> bool {
        let completed = self.completed.as_ref();
        let retention = completed.map_or(Duration::ZERO, |completed| completed.turn.retention());
        let retention = (retention * RETENTION_FACTOR).max(MIN_RETENTION);
        now.saturating_duration_since(self.seen_at) > retention
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

/// The known history of a turn within one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Chain {
    /// Known turns, oldest first.
    pub(crate) turns: Vec<Rc<CompletedTurn>>,
    /// Id of the turn that precedes them, if the partition does not contain it.
    pub(crate) missing: Option<String>,
}

/// Turns and budgets derived from the records read so far.
#[derive(Debug, Default)]
pub(crate) struct TurnIndex {
    /// Turns by id. No entry is empty.
    turns: HashMap<Rc<str>, TurnEntry>,
    /// Ids of the turns of each program that has any.
    programs: HashMap<Rc<str>, Vec<Rc<str>>>,
}

impl TurnIndex {
    /// Applies a record. Returns the turn if the record completes it.
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

    /// Returns the entry of a turn and creates it if necessary.
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

    /// Removes a writer's reservation, or the completed record if `writer` is `None`, unless the
    /// record is newer than the deletion.
    fn remove(&mut self, turn: &str, writer: Option<WriterTag>, deletion_offset: Offset) {
        let Some(entry) = self.turns.get_mut(turn) else {
            return;
        };
        match writer {
            Some(writer) => entry.reservations.retain(|reservation| {
                reservation.writer != writer || reservation.offset > deletion_offset
            }),
            None => {
                entry.completed = entry
                    .completed
                    .take()
                    .filter(|completed| completed.offset > deletion_offset)
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

    /// Returns the known history up to and including the turn `last`.
    pub(crate) fn chain(&self, last: &str) -> Chain {
        let mut chain = Chain::default();
        let mut next_id = Some(last.to_owned());
        while let Some(id) = next_id {
            let completed = self
                .turns
                .get(id.as_str())
                .and_then(|entry| entry.completed.as_ref());
            let (Some(completed), true) = (completed, chain.turns.len() < MAX_CHAIN_TURNS) else {
                chain.missing = Some(id);
                break;
            };
            next_id = completed.turn.previous.clone();
            chain.turns.push(completed.turn.clone());
        }
        chain.turns.reverse();
        chain
    }

    /// Returns the number of tokens that count against a program's budget: spent or reserved.
    pub(crate) fn charged_tokens(&self, program: &str) -> u64 {
        self.entries_of(program).map(TurnEntry::tokens).sum()
    }

    /// Returns the number of tokens reserved for a turn that has not ended.
    pub(crate) fn reserved_tokens(&self, turn: &str) -> u64 {
        let entry = self.turns.get(turn).filter(|entry| !entry.has_ended());
        entry.map_or(0, TurnEntry::tokens)
    }

    /// Returns whether the budget of the turn's program covers its reservation together with all
    /// earlier ones.
    ///
    /// Reservations after this one do not count. Turns that have settled since count with their
    /// settled tokens.
    pub(crate) fn is_within_budget(&self, turn: &str, budget_tokens: u64) -> bool {
        let Some(this_turn) = self.turns.get(turn) else {
            return false;
        };
        let reservation_offset = this_turn.reservation_offset();
        let counted = self
            .entries_of(&this_turn.program)
            .filter(|entry| entry.has_ended() || entry.reservation_offset() <= reservation_offset);
        let charged: u64 = counted.map(TurnEntry::tokens).sum();
        charged <= budget_tokens
    }

    fn entries_of(&self, program: &str) -> impl Iterator<Item = &TurnEntry> {
        let turns = self.programs.get(program).into_iter().flatten();
        turns.filter_map(|turn| self.turns.get(turn))
    }

    /// Returns whether the turn is known, in whatever state.
    pub(crate) fn contains(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Returns whether the turn has ended, with or without an answer.
    pub(crate) fn has_ended(&self, turn: &str) -> bool {
        self.turns.get(turn).is_some_and(TurnEntry::has_ended)
    }

    /// Returns the keys of the records of programs whose last record has expired.
    ///
    /// While a program runs, its earlier turns count against its budget and belong to the history of
    /// its later ones.
    pub(crate) fn expired_keys(&self, now: Instant) -> Vec<String> {
        let mut keys = Vec::new();
        for turns in self.programs.values() {
            let entries = turns.iter().filter_map(|turn| {
                let entry = self.turns.get(turn)?;
                Some((turn, entry))
            });
            if !entries.clone().all(|(_, entry)| entry.has_expired(now)) {
                continue;
            }
            for (turn, entry) in entries {
                let reservations = entry.reservations.iter();
                keys.extend(
                    reservations.map(|reservation| reservation_key(turn, reservation.writer)),
                );
                keys.extend(entry.completed.as_ref().map(|_| completed_key(turn)));
            }
        }
        keys
    }

    /// Number of known turns.
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }
}

/// Identifies the gateway that wrote a reservation. A late record of a gateway that was considered
/// lost must not replace another gateway's record, because the topic retains only the newest record
/// of a key.
pub(crate) type WriterTag = u8;

/// First character of the keys of completed turns.
const KEPT: char = 'k';

/// First character of the keys of reservations, followed by the writer's tag.
const RESERVED: char = 'r';

/// Key of a completed turn's record.
pub(crate) fn completed_key(turn: &str) -> String {
    format!("{KEPT}{turn}")
}

/// Key of a turn's reservation by one writer.
pub(crate) fn reservation_key(turn: &str, writer: WriterTag) -> String {
    format!("{RESERVED}{writer:02x}{turn}")
}

/// Splits a key into the turn id and, for a reservation, the writer's tag. Returns `None` if the
/// key does not belong to the turns topic.
fn parse_key(key: &str) -> Option<(&str, Option<WriterTag>)> {
    if let Some(turn) = key.strip_prefix(KEPT) {
        return Some((turn, None));
    }
    let (writer, turn) = key.strip_prefix(RESERVED)?.split_at_checked(2)?;
    let writer = WriterTag::from_str_radix(writer, 16).ok()?;
    Some((turn, Some(writer)))
}
