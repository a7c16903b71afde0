use super::{TurnIndex, completed_key, parse_key, reservation_key};
use crate::dialect::StoreRecord;
use crate::turns::record::{CompletedTurn, TurnRecord, encode};
use googletest::prelude::*;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

const BUDGET: u64 = 600;

/// An index together with the records that a test appends to it.
struct Log {
    index: TurnIndex,
    now: Instant,
    next_offset: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            index: TurnIndex::default(),
            now: Instant::now(),
            next_offset: 0,
        }
    }

    fn append(&mut self, key: &str, value: Option<TurnRecord>) {
        let record = StoreRecord {
            key: key.to_owned(),
            value: value.map(|value| encode(&value)),
            offset: self.next_offset,
        };
        self.next_offset += 1;
        self.index.apply(self.now, &record).expect("a valid record");
    }

    fn reserve(&mut self, turn: &str, max_tokens: u64) {
        let reserved = TurnRecord::Reserved {
            program: "p".to_owned(),
            max_tokens,
        };
        self.append(&reservation_key(turn, 1), Some(reserved));
    }

    fn settle(&mut self, turn: &str, spent_tokens: u64) {
        let settled = TurnRecord::Settled {
            program: "p".to_owned(),
            spent_tokens,
        };
        self.append(&reservation_key(turn, 1), Some(settled));
    }

    fn complete(&mut self, turn: &str, previous: Option<&str>, spent_tokens: u64) {
        let completed = CompletedTurn {
            program: "p".to_owned(),
            spent_tokens,
            previous: previous.map(str::to_owned),
            endpoint: "e".to_owned(),
            prompt_parts: SmallVec::new(),
            retention_ms: 60_000,
            account: None,
            text: turn.as_bytes().to_vec(),
        };
        self.append(&completed_key(turn), Some(TurnRecord::Completed(completed)));
    }
}

#[googletest::test]
fn chain_lists_turns_oldest_first() {
    let mut log = Log::new();
    log.complete("a", None, 1);
    log.complete("b", Some("a"), 1);
    log.complete("c", Some("b"), 1);
    log.complete("d", Some("b"), 1);
    let chain = log.index.chain("d");
    expect_that!(chain.missing, none());
    let texts: Vec<&[u8]> = chain
        .turns
        .iter()
        .map(|turn| turn.text.as_slice())
        .collect();
    expect_that!(texts, elements_are![eq(b"a"), eq(b"b"), eq(b"d")]);
}

#[googletest::test]
fn a_turn_that_did_not_complete_has_no_chain() {
    let mut log = Log::new();
    log.reserve("a", 100);
    expect_that!(log.index.chain("a").missing, some(eq("a")));
    log.settle("a", 10);
    expect_that!(log.index.chain("a").missing, some(eq("a")));
    expect_that!(log.index.chain("unknown").missing, some(eq("unknown")));
}

#[googletest::test]
fn an_incomplete_chain_names_its_missing_turn() {
    let mut log = Log::new();
    log.complete("b", Some("a"), 1);
    log.complete("c", Some("b"), 1);
    let chain = log.index.chain("c");
    expect_that!(chain.turns.len(), eq(2));
    expect_that!(chain.missing, some(eq("a")));
}

#[googletest::test]
fn only_the_first_of_two_competing_reservations_is_within_budget() {
    let mut log = Log::new();
    log.complete("a", None, 300);
    log.reserve("b", 200);
    log.reserve("c", 200);
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(true));
    expect_that!(log.index.is_within_budget("c", BUDGET), eq(false));
}

#[googletest::test]
fn a_denied_reservation_settled_with_zero_frees_the_budget() {
    let mut log = Log::new();
    log.reserve("a", 400);
    log.reserve("b", 400);
    log.settle("b", 0);
    log.settle("a", 100);
    log.reserve("c", 400);
    expect_that!(log.index.is_within_budget("c", BUDGET), eq(true));
    expect_that!(log.index.charged_tokens("p"), eq(500));
}

#[googletest::test]
fn settled_tokens_of_an_incomplete_turn_count() {
    let mut log = Log::new();
    log.reserve("a", 400);
    log.settle("a", 350);
    log.reserve("b", 300);
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(false));
}

#[googletest::test]
fn an_unsettled_reservation_counts_in_full() {
    let mut log = Log::new();
    log.reserve("lost", 400);
    log.reserve("b", 300);
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(false));
}

#[googletest::test]
fn a_record_applied_twice_counts_once() {
    let mut log = Log::new();
    log.complete("a", None, 300);
    log.next_offset = 0;
    log.complete("a", None, 300);
    expect_that!(log.index.charged_tokens("p"), eq(300));
}

#[googletest::test]
fn an_older_record_does_not_undo_a_newer_one() {
    let mut log = Log::new();
    log.next_offset = 5;
    log.complete("a", None, 300);
    log.next_offset = 2;
    log.reserve("a", 400);
    expect_that!(log.index.charged_tokens("p"), eq(300));
    expect_that!(log.index.chain("a").missing, none());
}

#[googletest::test]
fn expired_turns_are_removed() {
    let mut log = Log::new();
    log.complete("a", None, 300);
    expect_that!(
        log.index.expired_keys(log.now + Duration::from_secs(100)),
        is_empty()
    );
    let later = log.now + Duration::from_secs(121);
    expect_that!(log.index.expired_keys(later), eq(&[completed_key("a")]));
    log.append(&completed_key("a"), None);
    expect_that!(log.index.len(), eq(0));
    expect_that!(log.index.charged_tokens("p"), eq(0));
}

// Guards against a program that outlives the retention of its first turns: their tokens no longer
// counted, and later turns could not be continued.
#[googletest::test]
fn turns_of_a_program_that_still_runs_do_not_expire() {
    let mut log = Log::new();
    log.complete("a", None, 300);
    log.reserve("b", 100);
    log.settle("b", 50);
    log.now += Duration::from_secs(100);
    log.complete("c", Some("a"), 200);
    let later = log.now + Duration::from_secs(119);
    expect_that!(log.index.expired_keys(later), is_empty());
    expect_that!(log.index.charged_tokens("p"), eq(550));
    let last = log.now + Duration::from_secs(121);
    expect_that!(log.index.expired_keys(last).len(), eq(3));
}

/// Appends the late reservation of a second gateway that was considered lost.
fn reserve_late(log: &mut Log, turn: &str, max_tokens: u64) {
    let reserved = TurnRecord::Reserved {
        program: "p".to_owned(),
        max_tokens,
    };
    log.append(&reservation_key(turn, 2), Some(reserved));
}

#[googletest::test]
fn a_late_reservation_does_not_undo_a_completed_turn_in_any_order() {
    let mut log = Log::new();
    log.next_offset = 10;
    reserve_late(&mut log, "a", 100);
    log.next_offset = 4;
    log.reserve("a", 100);
    log.complete("a", None, 30);
    expect_that!(log.index.chain("a").missing, none());
    expect_that!(log.index.charged_tokens("p"), eq(30));
}

#[googletest::test]
fn a_late_reservation_of_a_settled_turn_does_not_count() {
    let mut log = Log::new();
    log.reserve("a", 100);
    log.settle("a", 10);
    reserve_late(&mut log, "a", 100);
    expect_that!(log.index.charged_tokens("p"), eq(10));
}

#[googletest::test]
fn a_turn_reserved_twice_counts_once_at_its_first_offset() {
    let mut log = Log::new();
    log.reserve("a", 400);
    log.reserve("b", 400);
    reserve_late(&mut log, "a", 400);
    expect_that!(log.index.charged_tokens("p"), eq(800));
    expect_that!(log.index.is_within_budget("a", BUDGET), eq(true));
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(false));
}

#[googletest::test]
fn keys_round_trip_for_any_turn_id() {
    for id in ["k", "r", "r01", "", "kr7f"] {
        expect_that!(parse_key(&completed_key(id)), some(eq((id, None))));
        expect_that!(
            parse_key(&reservation_key(id, 0xf)),
            some(eq((id, Some(15))))
        );
    }
    expect_that!(parse_key("r0"), none());
    expect_that!(parse_key("x"), none());
}

#[googletest::test]
fn removing_a_reservation_retains_the_completed_turn() {
    let mut log = Log::new();
    log.reserve("a", 100);
    log.complete("a", None, 30);
    log.append(&reservation_key("a", 1), None);
    expect_that!(log.index.chain("a").missing, none());
    expect_that!(
        log.index
            .expired_keys(log.now + Duration::from_secs(121))
            .len(),
        eq(1)
    );
}

#[googletest::test]
fn reusing_an_id_does_not_undo_a_completed_turn() {
    let mut log = Log::new();
    log.complete("a", None, 30);
    log.reserve("a", 100);
    log.settle("a", 0);
    expect_that!(log.index.chain("a").missing, none());
    expect_that!(log.index.charged_tokens("p"), eq(30));
}

// Guards against a turn that is told that its budget is spent by its own reservation, which an owner that
// was lost has written.
#[googletest::test]
fn the_reservation_of_a_turn_is_known_until_the_turn_ends() {
    let mut log = Log::new();
    log.reserve("a", 300);
    log.reserve("b", 200);
    expect_that!(log.index.charged_tokens("p"), eq(500));
    expect_that!(log.index.reserved_tokens("a"), eq(300));
    expect_that!(log.index.reserved_tokens("unknown"), eq(0));
    log.settle("a", 100);
    expect_that!(log.index.charged_tokens("p"), eq(300));
    expect_that!(log.index.reserved_tokens("a"), eq(0));
    log.complete("b", None, 150);
    expect_that!(log.index.reserved_tokens("b"), eq(0));
}
