use super::{NumberedQuotaAnswer, QuotaAnswer, QuotaRequest, ask_of};
use crate::admission::quota::{Ask, Demand, Verdict};
use crate::fleet::carrier::{Report, to_datagram};
use crate::turns::record::decode;
use googletest::prelude::*;
use std::time::Duration;

fn request(demand: u8) -> QuotaRequest {
    QuotaRequest(
        u64::MAX,
        "account-7".to_owned(),
        (12, 62.5, 62.5),
        (demand, 3, 250, 9),
    )
}

#[googletest::test]
fn a_request_for_tokens_is_short_and_read_as_it_was_sent() {
    let datagram = to_datagram(&request(Demand::Begin as u8));
    expect_that!(datagram.first(), some(eq(&QuotaRequest::TAG)));
    expect_that!(datagram.len(), le(64));
    let read = decode::<QuotaRequest>(&datagram[1..]);
    expect_that!(read, ok(eq(&request(1))));
    let ask = Ask {
        demand: Demand::Begin,
        spare: 3,
        max_wait: Duration::from_millis(250),
        used: 9,
    };
    expect_that!(ask_of(&request(1)), some(eq(ask)));
}

// Guards against a demand of a later version that is taken for another one.
#[googletest::test]
fn an_unknown_demand_is_not_granted() {
    expect_that!(ask_of(&request(200)), none());
}

// Guards against times that are rounded down, so that who comes back is too early.
#[googletest::test]
fn times_in_answers_are_rounded_up() {
    let delay = Duration::from_micros(1_001);
    let granted = QuotaAnswer::new(Verdict::Granted { delay, spare: 2 }, 0.0);
    expect_that!(granted, eq(QuotaAnswer::Granted(2, 2)));
    let refused = Verdict::Refused {
        wait: delay,
        retry_after: delay * 2,
    };
    let refused = QuotaAnswer::new(refused, -1.5);
    expect_that!(refused, eq(QuotaAnswer::Refused(2, 3, -1_500)));
    let datagram = to_datagram(&NumberedQuotaAnswer(u64::MAX, refused));
    expect_that!(datagram.len(), le(32));
}
