use super::{CRASH_REPORTS_TAG, MAX_REPORTS};
use crate::gossip::is_readable_heartbeat;
use crate::record::{decode, encode};
use galenapick::crashes::{CrashReport, Crashes, Fingerprint, MAX_LIFETIMES};
use googletest::prelude::*;
use std::time::Instant;

// Guards against reports that do not fit into one datagram, or that a heartbeat is taken for.
#[googletest::test]
fn a_full_list_of_reports_fits_into_a_datagram() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for number in 0..(MAX_REPORTS * MAX_LIFETIMES) as u64 {
        let request = Fingerprint::Request(u64::MAX - number % MAX_REPORTS as u64);
        crashes.record_crash(now, request, u64::MAX - number);
    }
    let reports = crashes.due_reports(now, MAX_REPORTS);
    expect_that!(reports.len(), eq(MAX_REPORTS));
    let datagram = encode(&reports);
    expect_that!(datagram.len(), le(4 * 1024));
    expect_that!(decode::<Vec<CrashReport>>(&datagram), ok(eq(&reports)));
    expect_that!(is_readable_heartbeat(&[CRASH_REPORTS_TAG]), eq(false));
}
