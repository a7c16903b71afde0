use super::Announcement::{Removed, Stated};
use super::{AnnouncedEnds, MAX_LIFETIMES, MAX_LIST_AGE, MAX_READ_DELAY, MIN_NOTICE, REMEMBERED};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const ENDPOINT: u64 = 1;

const MS: Duration = Duration::from_millis(1);

/// Ends of a gateway that has just read the list of endpoints.
fn reader(now: Instant) -> AnnouncedEnds {
    let mut ends = AnnouncedEnds::default();
    ends.record_read(now);
    ends.record_read(now);
    ends
}

#[googletest::test]
fn an_end_some_time_after_its_announcement_is_announced() {
    for (announcement, notice, is_announced) in [
        (Stated, Duration::ZERO, true),
        (Removed, MIN_NOTICE, true),
        (Removed, REMEMBERED / 2, true),
        // A crash that removes the entry of its endpoint.
        (Removed, MIN_NOTICE - MS, false),
    ] {
        let now = Instant::now();
        let mut ends = reader(now);
        expect_that!(ends.announce(now, ENDPOINT, announcement), eq(false));
        ends.record_read(now + notice);
        let end = ends.end(now + notice);
        expect_that!(ends.covers(ENDPOINT, end), eq(is_announced));
        expect_that!(ends.observe_end(end, ENDPOINT), eq(is_announced));
        expect_that!(ends.observe_end(end, ENDPOINT + 1), eq(false));
    }
}

// Guards against planned ends that a late reader of the list takes for crashes, and against crashes
// after which entries are removed.
#[googletest::test]
fn a_removal_that_is_read_after_the_end_explains_it_if_the_list_was_out_of_date() {
    for (list_age, announcement, delay, is_announced) in [
        (MAX_LIST_AGE, Removed, MAX_READ_DELAY, true),
        (MAX_LIST_AGE, Removed, MAX_READ_DELAY + MS, false),
        (MAX_LIST_AGE - MS, Removed, Duration::ZERO, false),
        (MAX_LIST_AGE - MS, Stated, MAX_READ_DELAY * 9, true),
    ] {
        let read_at = Instant::now();
        let ended_at = read_at + list_age;
        let mut ends = reader(read_at);
        let end = ends.end(ended_at);
        expect_that!(ends.observe_end(end, ENDPOINT), eq(false));
        ends.record_read(ended_at + delay);
        let explains = ends.announce(ended_at + delay, ENDPOINT, announcement);
        expect_that!(explains, eq(is_announced), "{announcement:?} {delay:?}");
        expect_that!(ends.covers(ENDPOINT, end), eq(is_announced));
        expect_that!(
            ends.announce(ended_at + delay, ENDPOINT, announcement),
            eq(false)
        );
    }
}

// Guards against a gateway that stood still and notices the end after it has read the list.
#[googletest::test]
fn a_removal_that_is_read_late_explains_an_end_that_is_noticed_later() {
    let read_at = Instant::now();
    let mut ends = reader(read_at);
    let now = read_at + MAX_LIST_AGE;
    ends.record_read(now);
    ends.announce(now, ENDPOINT, Removed);
    let end = ends.end(now + MS);
    expect_that!(ends.observe_end(end, ENDPOINT), eq(true));
}

#[googletest::test]
fn an_endpoint_that_is_listed_again_still_ends_if_it_has_stated_so() {
    for (announcement, is_announced) in [(Removed, false), (Stated, true)] {
        let now = Instant::now();
        let mut ends = reader(now);
        ends.announce(now, ENDPOINT, announcement);
        ends.relist(ENDPOINT);
        let end = ends.end(now + MIN_NOTICE);
        expect_that!(ends.observe_end(end, ENDPOINT), eq(is_announced));
    }
}

#[googletest::test]
fn old_lifetimes_make_way_for_new_ones() {
    let now = Instant::now();
    let mut ends = reader(now);
    let last = MAX_LIFETIMES as u64;
    for lifetime in 0..=last {
        ends.announce(now, lifetime, Stated);
    }
    let end = ends.end(now);
    expect_that!(ends.covers(last, end), eq(false));
    ends.announce(now + REMEMBERED, last, Stated);
    expect_that!(ends.covers(last, end), eq(true));
    expect_that!(ends.covers(0, end), eq(false));
}
