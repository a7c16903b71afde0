use super::{TurnIndex, completed_key, parse_key, reservation_key};
use crate::dialect::StoreRecord;
use crate::record::{CompletedTurn, TurnRecord, encode};
use googletest::prelude::*;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

const BUDGET: u64 = 600;

/// An index with the records that a test appends to it.
struct Log {
    index: TurnIndex,
    now: Instant,
    next: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            index: TurnIndex::default(),
            now: Instant::now(),
            next: 0,
        }
    }

    fn append(&mut self, key: &str, value: Option<TurnRecord>) {
        let record = StoreRecord {
            key: key.to_owned(),
            value: value.map(|value| encode(&value)),
            offset: self.next,
        };
        self.next += 1;
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
            text: turn.as_bytes().to_vec(),
        };
        self.append(&completed_key(turn), Some(TurnRecord::Completed(completed)));
    }
}

#[googletest::test]
fn a_chain_is_given_oldest_first() {
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
fn a_turn_that_is_not_kept_has_no_chain() {
    let mut log = Log::new();
    log.reserve("a", 100);
    expect_that!(log.index.chain("a").missing, some(eq("a")));
    log.settle("a", 10);
    expect_that!(log.index.chain("a").missing, some(eq("a")));
    expect_that!(log.index.chain("unknown").missing, some(eq("unknown")));
}

#[googletest::test]
fn a_chain_that_begins_elsewhere_says_where_it_goes_on() {
    let mut log = Log::new();
    log.complete("b", Some("a"), 1);
    log.complete("c", Some("b"), 1);
    let chain = log.index.chain("c");
    expect_that!(chain.turns.len(), eq(2));
    expect_that!(chain.missing, some(eq("a")));
}

#[googletest::test]
fn of_two_reservations_for_the_last_tokens_the_first_holds() {
    let mut log = Log::new();
    log.complete("a", None, 300);
    log.reserve("b", 200);
    log.reserve("c", 200);
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(true));
    expect_that!(log.index.is_within_budget("c", BUDGET), eq(false));
}

#[googletest::test]
fn a_denied_reservation_that_was_settled_takes_nothing() {
    let mut log = Log::new();
    log.reserve("a", 400);
    log.reserve("b", 400);
    log.settle("b", 0);
    log.settle("a", 100);
    log.reserve("c", 400);
    expect_that!(log.index.is_within_budget("c", BUDGET), eq(true));
    expect_that!(log.index.committed_tokens("p"), eq(500));
}

#[googletest::test]
fn tokens_of_a_broken_turn_count() {
    let mut log = Log::new();
    log.reserve("a", 400);
    log.settle("a", 350);
    log.reserve("b", 300);
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(false));
}

#[googletest::test]
fn a_reservation_that_was_never_settled_counts_whole() {
    let mut log = Log::new();
    log.reserve("lost", 400);
    log.reserve("b", 300);
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(false));
}

#[googletest::test]
fn records_read_twice_count_once() {
    let mut log = Log::new();
    log.complete("a", None, 300);
    log.next = 0;
    log.complete("a", None, 300);
    expect_that!(log.index.committed_tokens("p"), eq(300));
}

#[googletest::test]
fn an_older_record_does_not_undo_a_newer_one() {
    let mut log = Log::new();
    log.next = 5;
    log.complete("a", None, 300);
    log.next = 2;
    log.reserve("a", 400);
    expect_that!(log.index.committed_tokens("p"), eq(300));
    expect_that!(log.index.chain("a").missing, none());
}

#[googletest::test]
fn turns_that_nobody_can_continue_are_dropped() {
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
    expect_that!(log.index.committed_tokens("p"), eq(0));
}

/// What a gateway that was taken for lost writes late.
fn reserve_late(log: &mut Log, turn: &str, max_tokens: u64) {
    let reserved = TurnRecord::Reserved {
        program: "p".to_owned(),
        max_tokens,
    };
    log.append(&reservation_key(turn, 2), Some(reserved));
}

#[googletest::test]
fn a_late_reservation_undoes_no_kept_turn_whatever_is_folded_first() {
    let mut log = Log::new();
    log.next = 10;
    reserve_late(&mut log, "a", 100);
    log.next = 4;
    log.reserve("a", 100);
    log.complete("a", None, 30);
    expect_that!(log.index.chain("a").missing, none());
    expect_that!(log.index.committed_tokens("p"), eq(30));
}

#[googletest::test]
fn a_late_reservation_of_a_settled_turn_counts_nothing() {
    let mut log = Log::new();
    log.reserve("a", 100);
    log.settle("a", 10);
    reserve_late(&mut log, "a", 100);
    expect_that!(log.index.committed_tokens("p"), eq(10));
}

#[googletest::test]
fn a_turn_reserved_twice_counts_once_and_from_the_first_time() {
    let mut log = Log::new();
    log.reserve("a", 400);
    log.reserve("b", 400);
    reserve_late(&mut log, "a", 400);
    expect_that!(log.index.committed_tokens("p"), eq(800));
    expect_that!(log.index.is_within_budget("a", BUDGET), eq(true));
    expect_that!(log.index.is_within_budget("b", BUDGET), eq(false));
}

#[googletest::test]
fn keys_name_a_turn_whatever_its_id_looks_like() {
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
fn a_reservation_is_dropped_without_the_turn() {
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
fn a_second_use_of_an_id_does_not_undo_a_kept_turn() {
    let mut log = Log::new();
    log.complete("a", None, 30);
    log.reserve("a", 100);
    log.settle("a", 0);
    expect_that!(log.index.chain("a").missing, none());
    expect_that!(log.index.committed_tokens("p"), eq(30));
}
