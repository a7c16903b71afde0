//! Tests of the partition fold with records that no correct owner writes, of the history, and of
//! receipts.

use crate::ids::{CallId, ProgramId};
use crate::protocol::message::{Message, Role, Usage};
use crate::protocol::record::{
    ActionResult, Batch, Claim, Created, Entry, Intent, Outcome, Record, Reserved, Turn,
};
use crate::protocol::service::ServiceRequest;
use crate::state::budget::Ledger;
use crate::state::history::{BodyCache, HistoryError, initial_hash, turn_hash, verify};
use crate::state::partition::{Applied, PartitionState, RejectReason};
use crate::state::program::EntryError;
use crate::state::receipt::{ReceiptError, ReceiptKey};
use googletest::prelude::*;
use proptest::prelude::*;
use std::sync::Arc;

/// The program used by most tests.
const PROGRAM: ProgramId = 1 << 80;

fn unit(amount: u64) -> Usage {
    Usage {
        tokens: amount,
        calls: amount,
        time_ms: amount,
    }
}

fn created(program: ProgramId, client_account: &str) -> Entry {
    Entry::Created(Created {
        program,
        client_account: client_account.to_owned(),
        environment: "tn-north".to_owned(),
        key: None,
        budget: unit(100),
        deadline_ms: 0,
        reserved: unit(0),
    })
}

fn turn(client_account: &str, number: u32, previous: [u8; 32], call: CallId) -> Turn {
    Turn {
        program: PROGRAM,
        client_account: client_account.to_owned(),
        branch: 0,
        number,
        previous,
        call,
        key: None,
        messages: vec![Message::new(Role::User, call.to_string())],
        spent: unit(1),
        reserved: unit(0),
        endpoint: "engine-1".to_owned(),
    }
}

fn first_turn(call: CallId) -> Turn {
    turn("saa", 1, initial_hash(&"saa".to_owned(), PROGRAM, 0), call)
}

fn intent(call: CallId) -> Entry {
    Entry::Intent(Intent {
        program: PROGRAM,
        branch: 0,
        call,
        key: None,
        service: "bank-core".to_owned(),
        request: ServiceRequest {
            operation: "transfer".to_owned(),
            call,
            body: String::new(),
        },
        endpoint: "bank-core-1".to_owned(),
        incarnation: 1,
        reserved: unit(5),
    })
}

fn outcome(call: CallId, result: ActionResult, resolved_by: Option<&str>) -> Entry {
    Entry::Outcome(Outcome {
        program: PROGRAM,
        call,
        result,
        spent: unit(0),
        resolved_by: resolved_by.map(str::to_owned),
    })
}

/// A stream with one owner and one program, which belongs to client account "saa".
struct Stream {
    state: PartitionState,
    offset: u64,
    sequence: u64,
}

impl Stream {
    fn new() -> Self {
        let mut stream = Self {
            state: PartitionState::new(),
            offset: 0,
            sequence: 0,
        };
        stream.claim();
        stream.write(vec![created(PROGRAM, "saa")]);
        stream
    }

    fn claim(&mut self) {
        self.offset += 1;
        let claim = Record::Claim(Claim {
            owner: format!("entry-{}", self.offset),
            incarnation: 1,
            expects: self.state.epoch(),
            root: 0,
        });
        self.state.apply(self.offset, &claim);
        self.sequence = 0;
    }

    fn write(&mut self, entries: Vec<Entry>) -> Applied {
        self.offset += 1;
        self.sequence += 1;
        let batch = Batch {
            epoch: self.state.epoch(),
            sequence: self.sequence,
            root: 0,
            entries,
        };
        self.state.apply(self.offset, &Record::Batch(batch))
    }

    /// Writes one entry that must be ignored, and returns the reason.
    fn write_ignored(&mut self, entry: Entry) -> EntryError {
        match self.write(vec![entry]) {
            Applied::Accepted(ignored) if ignored.len() == 1 => ignored[0].1,
            other => panic!("entry was not ignored: {other:?}"),
        }
    }
}

#[gtest]
fn a_turn_of_another_client_account_is_ignored() {
    let mut stream = Stream::new();
    let foreign = turn("eve", 1, initial_hash(&"eve".to_owned(), PROGRAM, 0), 1);
    expect_that!(
        stream.write_ignored(Entry::Turn(foreign)),
        eq(EntryError::OtherClientAccount)
    );
    expect_that!(stream.state.ignored_entries(), eq(1));
}

#[gtest]
fn a_branch_takes_only_its_next_turn() {
    let mut stream = Stream::new();
    let first = first_turn(1);
    stream.write(vec![Entry::Turn(first.clone())]);
    let again = Entry::Turn(first.clone());
    expect_that!(stream.write_ignored(again), eq(EntryError::TurnNumber));
    let broken = Entry::Turn(turn("saa", 2, [7; 32], 2));
    expect_that!(stream.write_ignored(broken), eq(EntryError::TurnChain));
    let twice = Entry::Turn(turn("saa", 2, turn_hash(&first), 1));
    expect_that!(stream.write_ignored(twice), eq(EntryError::CallTwice));
    let program = stream.state.program(PROGRAM).unwrap();
    expect_that!(program.turn_count(), eq(1));
    expect_that!(program.spent, eq(unit(1)));
}

#[gtest]
fn a_superseded_turn_is_stored_and_charged_once() {
    let mut stream = Stream::new();
    stream.write(vec![Entry::Turn(first_turn(1))]);
    let other = Entry::Superseded(first_turn(2));
    stream.write(vec![other.clone()]);
    expect_that!(stream.write_ignored(other), eq(EntryError::CallTwice));
    let program = stream.state.program(PROGRAM).unwrap();
    expect_that!(program.superseded.len(), eq(1));
    expect_that!(program.spent, eq(unit(2)));
}

#[gtest]
fn an_action_has_one_intent_and_one_outcome() {
    let mut stream = Stream::new();
    let done = || ActionResult::NotRun("voided".to_owned());
    expect_that!(
        stream.write_ignored(outcome(9, done(), None)),
        eq(EntryError::OutcomeWithoutIntent)
    );
    stream.write(vec![intent(9)]);
    expect_that!(stream.write_ignored(intent(9)), eq(EntryError::IntentTwice));
    stream.write(vec![outcome(9, done(), None)]);
    let twice = outcome(9, done(), Some("a person"));
    expect_that!(stream.write_ignored(twice), eq(EntryError::OutcomeTwice));
}

#[gtest]
fn only_an_operator_resolves_an_unknown_action() {
    let mut stream = Stream::new();
    stream.write(vec![intent(9)]);
    let unknown = ActionResult::Unknown("no answer".to_owned());
    stream.write(vec![outcome(9, unknown, None)]);
    expect_that!(stream.state.unresolved().count(), eq(1));
    let not_run = || ActionResult::NotRun("not in the books".to_owned());
    let without_operator = outcome(9, not_run(), None);
    expect_that!(
        stream.write_ignored(without_operator),
        eq(EntryError::OutcomeTwice)
    );
    stream.write(vec![outcome(9, not_run(), Some("amina: looked it up"))]);
    expect_that!(stream.state.unresolved().count(), eq(0));
}

#[gtest]
fn a_takeover_charges_reservations_but_not_open_actions() {
    let mut stream = Stream::new();
    let reserved = Entry::Reserved(Reserved {
        program: PROGRAM,
        reserved: unit(8),
        spent: unit(0),
    });
    stream.write(vec![reserved, intent(9)]);
    stream.claim();
    let program = stream.state.program(PROGRAM).unwrap();
    expect_that!(program.spent, eq(unit(3)));
    expect_that!(program.total_reserved(), eq(unit(5)));
}

// Guards against usage of failed runs that a takeover or a release leaves out.
#[gtest]
fn a_reservation_with_usage_of_failed_runs_charges_it_once() {
    let reserved = |spent| {
        Entry::Reserved(Reserved {
            program: PROGRAM,
            reserved: unit(4),
            spent: unit(spent),
        })
    };
    let mut stream = Stream::new();
    stream.write(vec![reserved(3)]);
    expect_that!(stream.state.program(PROGRAM).unwrap().spent, eq(unit(3)));
    stream.write(vec![reserved(2)]);
    stream.claim();
    let program = stream.state.program(PROGRAM).unwrap();
    expect_that!(program.spent, eq(unit(9)));
    expect_that!(program.total_reserved(), eq(unit(0)));
}

// Guards against a record format that older nodes cannot read, or that cannot read theirs.
#[gtest]
fn a_reservation_without_spent_usage_is_encoded_as_before() {
    #[derive(serde::Serialize)]
    struct Earlier {
        program: ProgramId,
        reserved: Usage,
    }
    let reserved = Reserved {
        program: PROGRAM,
        reserved: unit(4),
        spent: unit(0),
    };
    let earlier = Earlier {
        program: PROGRAM,
        reserved: unit(4),
    };
    let (mut new, mut old) = (Vec::new(), Vec::new());
    ciborium::into_writer(&reserved, &mut new).unwrap();
    ciborium::into_writer(&earlier, &mut old).unwrap();
    expect_that!(new, eq(&old));
    let decoded: Reserved = ciborium::from_reader(old.as_slice()).unwrap();
    expect_that!(decoded, eq(&reserved));
}

// Guards against failed runs that leave the budget before a record has them.
#[gtest]
fn usage_of_failed_runs_stays_reserved_until_it_is_recorded() {
    let mut ledger = Ledger::new(unit(10));
    expect_true!(ledger.reserve(unit(6)));
    ledger.use_reserved(unit(2), unit(2));
    expect_that!(ledger.reserved(), eq(unit(6)));
    expect_that!(ledger.unrecorded(), eq(unit(2)));
    // The call ends without an answer.
    ledger.settle(unit(4), unit(0));
    expect_that!(ledger.reserved(), eq(unit(2)));
    expect_that!(ledger.remaining(), eq(unit(8)));
    expect_false!(ledger.reserve(unit(9)));
    expect_that!(ledger.take_unrecorded(), eq(unit(2)));
    expect_that!(ledger.take_unrecorded(), eq(unit(0)));
    expect_that!(ledger.spent(), eq(unit(2)));
    expect_that!(ledger.reserved(), eq(unit(0)));
    // Its record was not written.
    ledger.restore_unrecorded(unit(2));
    expect_that!(ledger.spent(), eq(unit(0)));
    expect_that!(ledger.remaining(), eq(unit(8)));
    ledger.charge_reserved();
    expect_that!(ledger.spent(), eq(unit(2)));
    expect_that!(ledger.unrecorded(), eq(unit(0)));
}

// Guards against a failed run that leaves room for another call beside the next attempt.
#[gtest]
fn another_attempt_needs_room_for_what_failed_runs_used() {
    let mut ledger = Ledger::new(unit(10));
    expect_true!(ledger.reserve(unit(6)));
    ledger.use_reserved(unit(4), unit(4));
    expect_true!(ledger.reserve(unit(4)));
    ledger.use_reserved(unit(4), unit(4));
    expect_false!(ledger.reserve(unit(4)));
    expect_that!(ledger.reserved(), eq(unit(10)));
    ledger.settle(unit(2), unit(0));
    expect_that!(ledger.take_unrecorded(), eq(unit(8)));
}

#[gtest]
fn batches_after_a_release_are_rejected() {
    let mut stream = Stream::new();
    stream.write(vec![Entry::Released]);
    let late = stream.write(vec![Entry::Turn(first_turn(1))]);
    expect_that!(late, eq(&Applied::Rejected(RejectReason::Released)));
}

#[gtest]
fn a_history_with_foreign_or_unchained_turns_is_refused() {
    let client_account = "saa".to_owned();
    let first = first_turn(1);
    let mut foreign = turn("saa", 2, turn_hash(&first), 2);
    foreign.program += 1;
    let turns = [Arc::new(first.clone()), Arc::new(foreign)];
    expect_that!(
        verify(&client_account, PROGRAM, 0, &turns),
        err(eq(&HistoryError::ForeignTurn))
    );
    let changed = turn("saa", 2, [7; 32], 2);
    let turns = [Arc::new(first), Arc::new(changed)];
    expect_that!(
        verify(&client_account, PROGRAM, 0, &turns),
        err(eq(&HistoryError::BrokenChain))
    );
}

#[gtest]
fn the_cache_evicts_the_least_recently_used_body() {
    let mut cache = BodyCache::new(1_200);
    for call in 1..=3 {
        let mut body = first_turn(call);
        body.number = call as u32;
        cache.insert(Arc::new(body));
        // Keeps the first body in use.
        cache.get(&(PROGRAM, 0, 1));
    }
    cache.insert(Arc::new(turn("saa", 4, [0; 32], 4)));
    expect_that!(cache.get(&(PROGRAM, 0, 1)).is_some(), eq(true));
    expect_that!(cache.get(&(PROGRAM, 0, 2)).is_some(), eq(false));
    expect_that!(cache.size_bytes(), le(1_200));
}

proptest! {
    #[test]
    fn an_altered_receipt_is_refused(call: u128, text: String, at: prop::sample::Index) {
        let key = ReceiptKey::new(b"secret");
        let mut signed = first_turn(call);
        signed.messages[0].content = text;
        let receipt = key.sign(&signed);
        prop_assert_eq!(key.verify(&receipt), Ok(signed));
        let mut digits: Vec<char> = receipt.chars().collect();
        let index = at.index(digits.len());
        digits[index] = if digits[index] == '0' { '1' } else { '0' };
        let changed: String = digits.into_iter().collect();
        prop_assert_eq!(key.verify(&changed), Err(ReceiptError::Forged));
        let other = ReceiptKey::new(b"another");
        prop_assert_eq!(other.verify(&receipt), Err(ReceiptError::Forged));
    }

    #[test]
    fn arbitrary_text_is_not_a_receipt(text: String) {
        prop_assert!(ReceiptKey::new(b"secret").verify(&text).is_err());
    }
}
