use super::{CallEnd, EndpointRecord, Endpoints, Want, tag_of};
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
        endpoints.put(record(id, "near"));
    }
    endpoints
}

fn choose(endpoints: &Endpoints, now: Instant, want: &Want<'_>) -> Option<String> {
    let mut rng = fastrand::Rng::with_seed(1);
    let chosen = endpoints.choose(now, want, "near", &mut rng);
    chosen.map(|record| record.id.to_string())
}

/// Tokens of an engine's memory.
const MEMORY_TOKENS: u64 = 10_000;

fn want(prompt_parts: &[(u64, u32)]) -> Want<'_> {
    Want {
        service: "llm",
        prompt_tokens: 2_000,
        answer_tokens: 70,
        prompt_parts,
        exclude: &[],
    }
}

#[googletest::test]
fn a_call_goes_where_fewest_run() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin("a");
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("b")));
}

#[googletest::test]
fn calls_of_other_gateways_count_until_they_are_old() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.hear(now, "other", vec![(tag_of("a"), 3)]);
    endpoints.begin("b");
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("b")));
    endpoints.forget_silent(now + Duration::from_secs(1));
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("b")));
    endpoints.forget_silent(now + Duration::from_secs(5));
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("a")));
}

#[googletest::test]
fn newer_counts_of_a_gateway_replace_its_older_ones() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.hear(now, "other", vec![(tag_of("a"), 3)]);
    endpoints.hear(now, "third", vec![(tag_of("a"), 1), (tag_of("b"), 2)]);
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("b")));
    endpoints.hear(now, "other", vec![]);
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("a")));
}

#[googletest::test]
fn a_turn_returns_to_its_cache_until_that_endpoint_is_busy() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin("a");
    let parts = [(1, 500), (2, 1_500)];
    endpoints.remember("a", &parts, MEMORY_TOKENS);
    let cached = want(&parts);
    expect_that!(choose(&endpoints, now, &cached), some(eq("a")));
    for _ in 0..8 {
        endpoints.begin("a");
    }
    expect_that!(choose(&endpoints, now, &cached), some(eq("b")));
}

#[googletest::test]
fn an_endpoint_that_failed_is_avoided_for_a_while() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin("a");
    endpoints.end(now, "a", Duration::ZERO, CallEnd::Broken);
    endpoints.begin("b");
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("b")));
    let later = now + Duration::from_secs(1);
    expect_that!(choose(&endpoints, later, &want(&[])), some(eq("a")));
}

#[googletest::test]
fn an_endpoint_that_failed_is_better_than_none() {
    let mut endpoints = endpoints(&["a"]);
    let now = Instant::now();
    endpoints.begin("a");
    endpoints.end(now, "a", Duration::ZERO, CallEnd::Broken);
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("a")));
}

#[googletest::test]
fn a_draining_endpoint_gets_nothing() {
    let mut endpoints = endpoints(&["a"]);
    let draining = EndpointRecord {
        is_draining: true,
        ..record("a", "near")
    };
    endpoints.put(draining);
    expect_that!(choose(&endpoints, Instant::now(), &want(&[])), none());
}

#[googletest::test]
fn a_new_lifetime_of_an_id_knows_nothing_of_the_old_one() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.begin("a");
    endpoints.end(now, "a", Duration::ZERO, CallEnd::Broken);
    endpoints.begin("b");
    let reborn = EndpointRecord {
        started_unix_ms: Some(2),
        ..record("a", "near")
    };
    expect_that!(endpoints.put(reborn), eq(true));
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("a")));
}

#[googletest::test]
fn the_own_failure_domain_is_preferred_among_equals() {
    let mut endpoints = Endpoints::default();
    endpoints.put(record("far", "other"));
    endpoints.put(record("near", "near"));
    let now = Instant::now();
    expect_that!(choose(&endpoints, now, &want(&[])), some(eq("near")));
}

#[googletest::test]
fn a_sub_agent_goes_where_its_parents_prompt_is() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.remember("a", &[(1, 500), (2, 1_500)], MEMORY_TOKENS);
    endpoints.begin("a");
    let child = [(1, 500), (2, 1_500), (3, 100)];
    expect_that!(choose(&endpoints, now, &want(&child)), some(eq("a")));
}

#[googletest::test]
fn parts_behind_one_that_is_missing_are_read_again() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.remember("a", &[(2, 1_500)], MEMORY_TOKENS);
    endpoints.begin("a");
    let parts = [(1, 500), (2, 1_500)];
    expect_that!(choose(&endpoints, now, &want(&parts)), some(eq("b")));
}

#[googletest::test]
fn the_parts_used_least_recently_are_taken_for_gone() {
    let mut endpoints = endpoints(&["a", "b"]);
    let now = Instant::now();
    endpoints.remember("a", &[(1, 2_000)], MEMORY_TOKENS);
    for part in 10..20 {
        endpoints.remember("a", &[(part, 2_000)], MEMORY_TOKENS);
    }
    endpoints.begin("a");
    expect_that!(choose(&endpoints, now, &want(&[(1, 2_000)])), some(eq("b")));
    expect_that!(
        choose(&endpoints, now, &want(&[(19, 2_000)])),
        some(eq("a"))
    );
}
