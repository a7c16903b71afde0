use super::{CompletedTurn, TurnRecord, decode, encode};
use crate::dialect::PartId;
use googletest::prelude::*;
use serde::Serialize;
use smallvec::SmallVec;

/// A completed turn as earlier versions wrote it.
#[derive(Serialize)]
struct EarlierTurn {
    program: String,
    spent_tokens: u64,
    previous: Option<String>,
    endpoint: String,
    prompt_parts: SmallVec<[(PartId, u32); 4]>,
    keep_ms: u64,
    #[serde(with = "serde_bytes")]
    text: Vec<u8>,
}

#[derive(Serialize)]
enum EarlierRecord {
    Kept(EarlierTurn),
}

// Guards against turns that are lost with the update of a gateway.
#[googletest::test]
fn a_turn_of_before_is_read_and_has_no_account() {
    let earlier = EarlierRecord::Kept(EarlierTurn {
        program: "p".to_owned(),
        spent_tokens: 3,
        previous: Some("t".to_owned()),
        endpoint: "e".to_owned(),
        prompt_parts: SmallVec::new(),
        keep_ms: 9,
        text: b"text".to_vec(),
    });
    let read: TurnRecord = decode(&encode(&earlier)).expect("a record");
    let TurnRecord::Completed(turn) = read else {
        panic!("a completed turn");
    };
    expect_that!(turn.account, none());
    expect_that!(turn.previous, some(eq("t")));
    expect_that!(turn.text, eq(b"text"));
    // Without an account, records are written as before, so that earlier versions read them.
    expect_that!(encode(&TurnRecord::Completed(turn)), eq(&encode(&earlier)));
    let with_account = CompletedTurn {
        account: Some("a".to_owned()),
        ..CompletedTurn::default()
    };
    let record = TurnRecord::Completed(with_account);
    expect_that!(decode::<TurnRecord>(&encode(&record)), ok(eq(&record)));
}
