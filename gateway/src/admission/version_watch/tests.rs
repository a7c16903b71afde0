use super::{ARRIVAL_TIME, CONFIRMED_FOR, MAX_READ_INTERVAL, VersionWatch};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(5);

fn at_version(now: Instant, version: u64) -> VersionWatch {
    let mut watch = VersionWatch::default();
    watch.apply(now, version);
    watch.confirm(now);
    watch
}

// Guards against gateways that serve revoked keys while the store turns them away.
#[googletest::test]
fn a_newer_version_of_a_peer_that_does_not_arrive_is_read() {
    let now = Instant::now();
    let mut watch = at_version(now, 3);
    expect_that!(watch.hear(now, 3, true, 0.0), eq(false));
    expect_that!(watch.hear(now, 2, true, 0.0), eq(false));
    expect_that!(watch.read_at(), none());
    expect_that!(watch.hear(now, 4, false, 0.0), eq(true));
    expect_that!(watch.is_behind(now), eq(true));
    expect_that!(watch.read_at(), some(eq(now + ARRIVAL_TIME)));
    expect_that!(watch.begin_read(now), some(eq(4)));
    watch.apply(now, 4);
    expect_that!(watch.is_behind(now), eq(false));
    expect_that!(watch.read_at(), none());
}

// Guards against reads by all gateways at each change.
#[googletest::test]
fn a_change_that_arrives_by_itself_is_not_read_again() {
    let now = Instant::now();
    let mut watch = at_version(now, 3);
    watch.hear(now, 4, true, 1.0);
    watch.apply(now + Duration::from_millis(20), 4);
    expect_that!(watch.hear(now, 4, true, 1.0), eq(false));
    expect_that!(watch.read_at(), none());
}

// Guards against a storm of reads for a version that cannot be read, for instance a malformed one.
#[googletest::test]
fn reads_for_a_version_that_does_not_come_become_rare() {
    let start = Instant::now();
    let mut watch = at_version(start, 3);
    watch.hear(start, 9, true, 0.0);
    let mut now = start;
    let mut reads = 0;
    while now < start + Duration::from_secs(20) {
        now += Duration::from_millis(10);
        watch.hear(now, 9, true, 0.0);
        if watch.read_at().is_some_and(|at| at <= now) {
            watch.begin_read(now);
            reads += 1;
        }
    }
    expect_that!(reads, all![ge(4), le(10)]);
    expect_that!(watch.is_behind(start), eq(true));
    expect_that!(watch.is_behind(now), eq(false));
    let wait = watch.read_at().expect("a read") - now;
    expect_that!(wait, le(MAX_READ_INTERVAL));
}

// Guards against a gateway out of touch that serves revoked keys where that is forbidden.
#[googletest::test]
fn a_version_without_confirmation_is_not_relied_on_where_revocation_is_strict() {
    let now = Instant::now();
    let mut watch = at_version(now, 3);
    let later = now + LIMIT + Duration::from_millis(1);
    expect_that!(watch.is_unconfirmed(now + LIMIT, Some(LIMIT)), eq(false));
    expect_that!(watch.is_unconfirmed(later, Some(LIMIT)), eq(true));
    expect_that!(watch.is_unconfirmed(later, None), eq(false));
    // A peer that is itself out of touch, or that has another version, confirms nothing.
    watch.hear(later, 3, false, 0.0);
    watch.hear(later, 2, true, 0.0);
    watch.hear(later, 4, true, 0.0);
    expect_that!(watch.is_unconfirmed(later, Some(LIMIT)), eq(true));
    // Nor does one that has not heard of the newer version.
    watch.hear(later, 3, true, 0.0);
    expect_that!(watch.is_unconfirmed(later, Some(LIMIT)), eq(true));
    watch.apply(later, 4);
    expect_that!(watch.is_unconfirmed(later, Some(LIMIT)), eq(true));
    watch.hear(later, 4, true, 0.0);
    expect_that!(watch.is_unconfirmed(later, Some(LIMIT)), eq(false));
}

#[googletest::test]
fn a_gateway_without_configuration_hears_nothing() {
    let now = Instant::now();
    let mut watch = VersionWatch::default();
    expect_that!(watch.hear(now, 4, true, 0.0), eq(false));
    expect_that!(watch.is_unconfirmed(now, Some(LIMIT)), eq(true));
}

// Guards against a final refusal of what a newer version may allow that nobody could tell of.
#[googletest::test]
fn a_version_that_is_not_confirmed_is_not_relied_on() {
    let now = Instant::now();
    expect_that!(VersionWatch::default().is_confirmed(now), eq(false));
    let mut watch = at_version(now, 3);
    let limit = now + CONFIRMED_FOR;
    let later = limit + Duration::from_millis(1);
    expect_that!(watch.is_confirmed(limit), eq(true));
    expect_that!(watch.is_confirmed(later), eq(false));
    // A peer that is itself turned away, or that has an older version, confirms nothing.
    watch.hear(later, 3, false, 0.0);
    watch.hear(later, 2, true, 0.0);
    expect_that!(watch.is_confirmed(later), eq(false));
    watch.hear(later, 3, true, 0.0);
    expect_that!(watch.is_confirmed(later), eq(true));
}

// Guards against a final refusal by a version that is known not to be the newest.
#[googletest::test]
fn a_version_is_not_relied_on_while_a_newer_one_is_known() {
    let start = Instant::now();
    let mut watch = at_version(start, 3);
    watch.hear(start, 4, false, 0.0);
    let later = start + Duration::from_secs(20);
    watch.hear(later, 3, true, 0.0);
    expect_that!(watch.is_confirmed(later), eq(false));
    watch.confirm(later);
    expect_that!(watch.is_confirmed(later), eq(false));
    watch.apply(later, 4);
    expect_that!(watch.is_confirmed(later), eq(true));
}

// Guards against gateways without the store that confirm a version to each other.
#[googletest::test]
fn only_a_gateway_that_has_read_the_store_itself_confirms_versions_to_others() {
    let now = Instant::now();
    let mut watch = at_version(now, 3);
    expect_that!(watch.has_read_store(now + CONFIRMED_FOR), eq(true));
    let later = now + CONFIRMED_FOR + Duration::from_millis(1);
    watch.hear(later, 3, true, 0.0);
    expect_that!(watch.is_confirmed(later), eq(true));
    expect_that!(watch.has_read_store(later), eq(false));
}
