use super::{CrashReports, MAX_REPORTS};
use crate::fleet::carrier::{Report, to_datagram};
use crate::fleet::gossip::is_readable_heartbeat;
use crate::turns::record::{decode, encode};
use galenapick::crashes::{
    Admission, CrashReport, Crashes, Fingerprint, Lifetime, MAX_LIFETIMES, TrialReport,
};
use googletest::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

// Guards against reports that do not fit into one datagram, or that a heartbeat is taken for.
#[googletest::test]
fn a_full_list_of_reports_fits_into_a_datagram() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for number in 0..(MAX_REPORTS * MAX_LIFETIMES) as u64 {
        let request = Fingerprint::Request(u64::MAX - number % MAX_REPORTS as u64);
        crashes.record_crash(now, request, u64::MAX - number);
        crashes.record_prefix(&[Fingerprint::Prefix(u64::MAX), request]);
    }
    let later = now + Duration::from_secs(24 * 3_600);
    for number in 0..MAX_REPORTS as u64 {
        let request = [
            Fingerprint::Prefix(0),
            Fingerprint::Request(u64::MAX - number),
        ];
        expect_that!(
            crashes.admit(later, &request, u64::MAX),
            eq(Admission::Trial)
        );
    }
    let reports = crashes.due_reports(later, MAX_REPORTS);
    expect_that!(reports.len(), eq(MAX_REPORTS));
    let datagram = encode(&reports);
    expect_that!(datagram.len(), le(4 * 1024));
    expect_that!(decode::<Vec<CrashReport>>(&datagram), ok(eq(&reports)));
    expect_that!(is_readable_heartbeat(&[CrashReports::TAG]), eq(false));
    let tagged = [&[CrashReports::TAG], &*datagram].concat();
    expect_that!(to_datagram(&CrashReports(reports)), eq(&tagged));
}

/// A report as the earlier version writes and reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EarlierReport {
    f: Fingerprint,
    a: u64,
    l: Vec<(Lifetime, bool)>,
}

// Guards against datagrams that gateways of different versions cannot read.
#[googletest::test]
fn reports_of_the_earlier_version_are_read_and_it_reads_ours() {
    let earlier = EarlierReport {
        f: Fingerprint::Request(7),
        a: 5,
        l: vec![(1, false), (2, true)],
    };
    let read = CrashReport {
        fingerprint: earlier.f,
        age_ms: earlier.a,
        lifetimes: earlier.l.clone(),
        prefix: None,
        unrepeated: Vec::new(),
        trial: None,
    };
    expect_that!(decode::<CrashReport>(&encode(&earlier)), ok(eq(&read)));
    let ours = CrashReport {
        prefix: Some(7),
        unrepeated: vec![1],
        trial: Some(TrialReport {
            number: 1,
            claimant: 2,
            left_ms: 3,
        }),
        ..read
    };
    expect_that!(decode::<EarlierReport>(&encode(&ours)), ok(eq(&earlier)));
}
