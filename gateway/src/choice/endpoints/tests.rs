use super::{CallOutcome, EndpointRecord, EndpointRequirements, Endpoints, instance_tag};
use googletest::prelude::*;
use std::time::{Duration, Instant};

fn record(id: &str, failure_domain: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        failure_domain: failure_domain.to_owned(),
        slots: 4,
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

fn endpoints(ids: &[&str]) -> Endpoints {
    let mut endpoints = Endpoints::default();
    for id in ids {
        endpoints.upsert(record(id, "near"));
    }
    endpoints
}

fn choose(
    endpoints: &Endpoints,
    now: Instant,
    requirements: &EndpointRequirements<'_>,
) -> Option<String> {
    let mut rng = fastrand::Rng::with_seed(1);
    let chosen = endpoints.choose(now, requirements, "near", &mut rng);
    chosen.map(|record| record.id.to_string())
}

/// Capacity of an engine's KV cache, in tokens.
const KV_CACHE_TOKENS: u64 = 10_000;

fn requirements(prompt_parts: &[(u64, u32)]) -> EndpointRequirements<'_> {
    EndpointRequirements {
        service: "llm",
        prompt_tokens: 2_000,
        answer_tokens: 70,
        prompt_parts,
        ..EndpointRequirements::default()
    }
}

#[googletest::test]
fn a_call_goes_to_the_endpoint_with_fewest_calls() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin_call("a");
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("b")));
}

#[googletest::test]
fn calls_of_peers_count_until_they_expire() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.set_peer_counts(now, "other", vec![(instance_tag("a"), 3)]);
    endpoints.begin_call("b");
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("b")));
    endpoints.expire_peer_counts(now + Duration::from_secs(1));
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("b")));
    endpoints.expire_peer_counts(now + Duration::from_secs(5));
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("a")));
}

#[googletest::test]
fn newer_counts_of_a_peer_replace_its_older_counts() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.set_peer_counts(now, "other", vec![(instance_tag("a"), 3)]);
    endpoints.set_peer_counts(
        now,
        "third",
        vec![(instance_tag("a"), 1), (instance_tag("b"), 2)],
    );
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("b")));
    endpoints.set_peer_counts(now, "other", vec![]);
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("a")));
}

#[googletest::test]
fn a_turn_stays_with_its_cached_prompt_until_that_endpoint_is_busy() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin_call("a");
    let parts = [(1, 500), (2, 1_500)];
    endpoints.record_prompt("a", &parts, KV_CACHE_TOKENS);
    let cached = requirements(&parts);
    expect_that!(choose(&endpoints, now, &cached), some(eq("a")));
    for _ in 0..8 {
        endpoints.begin_call("a");
    }
    expect_that!(choose(&endpoints, now, &cached), some(eq("b")));
}

#[googletest::test]
fn an_endpoint_backs_off_after_a_failure() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin_call("a");
    endpoints.finish_call(now, "a", Duration::ZERO, CallOutcome::Failed);
    endpoints.begin_call("b");
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("b")));
    let later = now + Duration::from_secs(1);
    expect_that!(choose(&endpoints, later, &requirements(&[])), some(eq("a")));
}

#[googletest::test]
fn an_endpoint_in_back_off_is_chosen_if_there_is_no_other() {
    let mut endpoints = endpoints(&["a"]);
    let now = Instant::now();
    endpoints.begin_call("a");
    endpoints.finish_call(now, "a", Duration::ZERO, CallOutcome::Failed);
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("a")));
}

#[googletest::test]
fn a_draining_endpoint_is_never_chosen() {
    let mut endpoints = endpoints(&["a"]);
    let draining = EndpointRecord {
        is_draining: true,
        ..record("a", "near")
    };
    endpoints.upsert(draining);
    expect_that!(
        choose(&endpoints, Instant::now(), &requirements(&[])),
        none()
    );
}

#[googletest::test]
fn a_new_incarnation_of_an_endpoint_resets_its_state() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin_call("a");
    endpoints.finish_call(now, "a", Duration::ZERO, CallOutcome::Failed);
    endpoints.begin_call("b");
    let restarted = EndpointRecord {
        started_unix_ms: Some(2),
        ..record("a", "near")
    };
    expect_that!(endpoints.upsert(restarted), eq(true));
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("a")));
}

#[googletest::test]
fn the_local_failure_domain_is_preferred_at_equal_load() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(record("far", "other"));
    endpoints.upsert(record("near", "near"));
    let now = Instant::now();
    expect_that!(
        choose(&endpoints, now, &requirements(&[])),
        some(eq("near"))
    );
}

#[googletest::test]
fn a_sub_agent_goes_to_the_endpoint_that_caches_its_parents_prompt() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.record_prompt("a", &[(1, 500), (2, 1_500)], KV_CACHE_TOKENS);
    endpoints.begin_call("a");
    let child = [(1, 500), (2, 1_500), (3, 100)];
    expect_that!(
        choose(&endpoints, now, &requirements(&child)),
        some(eq("a"))
    );
}

#[googletest::test]
fn parts_after_a_missing_part_are_not_cached() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.record_prompt("a", &[(2, 1_500)], KV_CACHE_TOKENS);
    endpoints.begin_call("a");
    let parts = [(1, 500), (2, 1_500)];
    expect_that!(
        choose(&endpoints, now, &requirements(&parts)),
        some(eq("b"))
    );
}

#[googletest::test]
fn the_least_recently_used_parts_are_evicted() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.record_prompt("a", &[(1, 2_000)], KV_CACHE_TOKENS);
    for part in 10..20 {
        endpoints.record_prompt("a", &[(part, 2_000)], KV_CACHE_TOKENS);
    }
    endpoints.begin_call("a");
    expect_that!(
        choose(&endpoints, now, &requirements(&[(1, 2_000)])),
        some(eq("b"))
    );
    expect_that!(
        choose(&endpoints, now, &requirements(&[(19, 2_000)])),
        some(eq("a"))
    );
}

/// Time of the answers that state that an endpoint is leaving.
const MARKED_UNIX_MS: u64 = 100_000;

/// Returns an entry of another incarnation of the same id.
fn incarnation(id: &str, started_unix_ms: Option<u64>) -> EndpointRecord {
    EndpointRecord {
        started_unix_ms,
        ..record(id, "near")
    }
}

// Guards against an entry that is older, newer or read again taking a leaving mark back.
#[googletest::test]
fn only_an_entry_of_a_later_incarnation_ends_the_leaving_mark() {
    let now = Instant::now();
    let mut endpoints = Endpoints::default();
    endpoints.upsert(incarnation("a", Some(5)));
    expect_that!(
        endpoints.mark_leaving(MARKED_UNIX_MS, &"a".into(), Some(5)),
        eq(true)
    );
    expect_that!(
        endpoints.mark_leaving(MARKED_UNIX_MS, &"a".into(), Some(5)),
        eq(false)
    );
    for started_unix_ms in [Some(5), Some(4), None] {
        endpoints.upsert(incarnation("a", started_unix_ms));
        expect_that!(endpoints.takes_calls("a"), eq(false), "{started_unix_ms:?}");
        endpoints.remove("a");
        endpoints.upsert(incarnation("a", started_unix_ms));
        expect_that!(endpoints.takes_calls("a"), eq(false), "{started_unix_ms:?}");
    }
    let moved = EndpointRecord {
        address: "10.0.0.2:80".parse().expect("an address"),
        ..incarnation("a", Some(5))
    };
    endpoints.upsert(moved);
    expect_that!(choose(&endpoints, now, &requirements(&[])), none());
    endpoints.upsert(incarnation("a", Some(MARKED_UNIX_MS)));
    expect_that!(choose(&endpoints, now, &requirements(&[])), some(eq("a")));
}

// Guards against a late list ending a mark when it first shows the incarnation that set it.
#[googletest::test]
fn an_entry_of_the_incarnation_that_answered_does_not_end_the_mark() {
    for (started_unix_ms, takes_calls) in [
        (MARKED_UNIX_MS - 20_000, false),
        (MARKED_UNIX_MS - 1_000, true),
        (MARKED_UNIX_MS + 1_000, true),
    ] {
        let mut endpoints = Endpoints::default();
        endpoints.upsert(incarnation("a", Some(5)));
        endpoints.mark_leaving(MARKED_UNIX_MS, &"a".into(), Some(5));
        for _ in 0..2 {
            endpoints.upsert(incarnation("a", Some(started_unix_ms)));
            expect_that!(
                endpoints.takes_calls("a"),
                eq(takes_calls),
                "started at {started_unix_ms}"
            );
        }
    }
}

// Guards against a late answer of an ended incarnation taking the next one out of use.
#[googletest::test]
fn an_answer_of_an_ended_incarnation_does_not_mark_the_next_one() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(incarnation("a", Some(6)));
    expect_that!(
        endpoints.mark_leaving(MARKED_UNIX_MS, &"a".into(), Some(5)),
        eq(false)
    );
    expect_that!(endpoints.takes_calls("a"), eq(true));
}

#[googletest::test]
fn a_service_has_no_endpoint_once_all_are_draining_or_leaving() {
    let mut endpoints = endpoints(&["a", "b"]);
    expect_that!(endpoints.has_endpoint("llm"), eq(true));
    expect_that!(endpoints.has_endpoint("other"), eq(false));
    endpoints.mark_leaving(MARKED_UNIX_MS, &"a".into(), Some(1));
    endpoints.upsert(EndpointRecord {
        is_draining: true,
        ..record("b", "near")
    });
    expect_that!(endpoints.has_endpoint("llm"), eq(false));
}

// Guards against sums that overflow because an entry names a number of slots that is far too large.
#[googletest::test]
fn endpoints_with_extreme_numbers_of_slots_can_be_counted() {
    let mut endpoints = Endpoints::default();
    for id in ["a", "b"] {
        endpoints.upsert(EndpointRecord {
            slots: u32::MAX,
            started_unix_ms: Some(u64::MAX),
            ..record(id, "near")
        });
    }
    let now = Instant::now();
    endpoints.begin_call("a");
    let room = endpoints.room(now, "llm", 0);
    expect_that!(room.slots, eq(2.0 * f64::from(u32::MAX)));
    expect_that!(room.calls, eq(1.0));
    expect_that!(
        choose(&endpoints, now, &requirements(&[])),
        some(anything())
    );
}
