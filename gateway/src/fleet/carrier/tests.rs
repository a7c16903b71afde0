use super::{Incoming, MAX_REPORT_DELAY, MIN_REPORT_DELAY, Report, report_delay, to_datagram};
use crate::turns::record::encode;
use googletest::prelude::*;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Sample(u64, String);

impl Report for Sample {
    const TAG: u8 = b'x';
}

/// A report that begins with its tag, as an array of two elements does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SelfTagged(u64, u64);

impl Report for SelfTagged {
    const TAG: u8 = 0x82;
    const IS_TAG_ENCODED: bool = true;
}

fn incoming(datagram: &[u8]) -> Incoming<'_> {
    Incoming {
        from: ([127, 0, 0, 1], 7).into(),
        datagram,
    }
}

#[googletest::test]
fn a_report_arrives_as_it_was_sent() {
    let sample = Sample(7, "a".to_owned());
    let datagram = to_datagram(&sample);
    expect_that!(incoming(&datagram).tag(), some(eq(Sample::TAG)));
    expect_that!(incoming(&datagram).read::<Sample>(), some(eq(&sample)));
    let own = SelfTagged(1, 2);
    let datagram = to_datagram(&own);
    expect_that!(datagram, eq(&encode(&own)));
    expect_that!(incoming(&datagram).tag(), some(eq(SelfTagged::TAG)));
    expect_that!(incoming(&datagram).read::<SelfTagged>(), some(eq(&own)));
}

#[googletest::test]
fn an_unreadable_datagram_is_no_report() {
    let datagram = to_datagram(&Sample(7, "abc".to_owned()));
    for length in 0..datagram.len() {
        let cut = incoming(&datagram[..length]);
        expect_that!(cut.read::<Sample>(), none());
    }
    expect_that!(incoming(&[]).tag(), none());
}

#[googletest::test]
fn the_delay_grows_with_the_number_of_peers() {
    expect_that!(report_delay(0), eq(MIN_REPORT_DELAY));
    expect_that!(report_delay(127), gt(report_delay(34)));
    expect_that!(report_delay(usize::MAX), eq(MAX_REPORT_DELAY));
}
