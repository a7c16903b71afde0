//! Tests of the state machines of the stand-ins, without sockets, and of the command line.

use super::engine::batch::Batch;
use super::engine::cache::{Prefix, PrefixCache};
use super::engine::orders::Orders;
use super::log::state::LogState;
use super::vms::state::VmsState;
use super::{EngineConfig, LogConfig, TokenLedger, VmsConfig, expected_answer};
use crate::ids::{CallId, ProgramId};
use crate::protocol::engine::{EngineOrder, GenerateRequest};
use crate::protocol::message::{Message, Role};
use googletest::prelude::*;
use proptest::prelude::*;
use std::ffi::OsString;
use std::time::{Duration, Instant};

fn prefix(hash: u64, tokens: u32) -> Prefix {
    Prefix { hash, tokens }
}

fn generate_request(call: CallId, program: ProgramId, messages: &[Message]) -> GenerateRequest {
    GenerateRequest {
        call,
        program,
        model: "helper-models".to_owned(),
        messages: messages.to_vec(),
        max_tokens: 8,
    }
}

fn user_message(text: &str) -> Message {
    Message::new(Role::User, text)
}

/// Steps an engine until no stream runs and returns the simulated time that this took.
fn run_to_end(batch: &mut Batch, start: Instant) -> Duration {
    let mut now = start;
    while let Some(step) = batch.plan(now) {
        now += step;
        batch.step(now);
    }
    now - start
}

#[gtest]
fn log_offsets_survive_retention() {
    let config = LogConfig {
        retention: Duration::from_millis(100),
        retention_records: 3,
        ..LogConfig::default()
    };
    let mut log = LogState::new(config, Instant::now());
    for at_ms in 1000..1005 {
        log.append("s", vec![0], at_ms);
    }
    expect_that!(log.read("s", 2, 100, 1005), err(eq(&3)));
    let page = log.read("s", 4, 100, 1005).unwrap();
    let offsets: Vec<_> = page.records.iter().map(|record| record.offset).collect();
    expect_that!(offsets, elements_are![eq(&4), eq(&5)]);
    let page = log.read("s", 6, 100, 1200).unwrap();
    expect_that!((page.first, page.next), eq((6, 6)));
    expect_that!(log.append("s", vec![0], 1200), eq(6));
}

#[gtest]
fn log_read_returns_at_least_one_record() {
    let mut log = LogState::new(LogConfig::default(), Instant::now());
    log.append("s", vec![0; 50], 1);
    log.append("s", vec![0; 50], 1);
    expect_that!(log.read("s", 1, 10, 1).unwrap().records.len(), eq(1));
    expect_that!(log.read("s", 1, 100, 1).unwrap().records.len(), eq(2));
}

#[gtest]
fn log_limits_the_append_rate() {
    let now = Instant::now();
    let config = LogConfig {
        appends_per_s: 100.0,
        burst: 10.0,
        ..LogConfig::default()
    };
    let mut log = LogState::new(config, now);
    let admitted = (0..5000)
        .map(|ms| now + Duration::from_millis(ms))
        .filter(|at| log.admit(*at).is_ok())
        .count();
    expect_that!(admitted, all![ge(505), le(511)]);
    expect_that!(log.counts.throttled, eq(5000 - admitted as u64));
}

#[gtest]
fn cache_evicts_the_least_recently_used_idle_program() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut cache = PrefixCache::new(100);
    cache.insert(1, &[prefix(1, 40)], now);
    cache.insert(2, &[prefix(2, 40)], now + Duration::from_secs(1));
    expect_true!(cache.reserve(1, 10, later));
    expect_true!(cache.reserve(3, 40, later));
    expect_that!([1, 2, 3].map(|p| cache.held_tokens(p)), eq([40, 0, 0]));
    expect_false!(cache.reserve(4, 20, later));
    expect_that!(cache.used_tokens(), eq(90));
    let dropped = cache.take_changes().pop().unwrap();
    expect_that!((dropped.program, dropped.held_tokens), eq((2, 0)));
    expect_that!(dropped.unused_token_s, near(40.0, 1e-6));
}

#[gtest]
fn release_of_a_cache_in_use_waits_for_its_stream() {
    let now = Instant::now();
    let mut cache = PrefixCache::new(100);
    cache.insert(1, &[prefix(1, 40)], now);
    expect_true!(cache.reserve(1, 10, now));
    expect_that!(cache.release(1, now), eq(40));
    cache.release_reservation(1, 10, now);
    expect_that!(cache.release(1, now), eq(0));
    expect_that!(cache.used_tokens(), eq(0));
}

#[gtest]
fn cache_can_be_exported_and_imported() {
    let now = Instant::now();
    let prefixes = [prefix(1, 40), prefix(2, 5)];
    let mut source = PrefixCache::new(100);
    source.insert(1, &prefixes, now);
    let bytes = source.export(1).unwrap();
    let mut target = PrefixCache::new(100);
    expect_true!(target.import(1, &bytes, now));
    expect_that!(target.cached_prefix_tokens(1, &prefixes), eq(45));
    expect_that!(target.used_tokens(), eq(45));
    expect_false!(PrefixCache::new(44).import(1, &bytes, now));
    expect_false!(target.import(2, b"nonsense", now));
}

proptest! {
    /// After any sequence of operations, the use of a cache is the sum of cached and reserved tokens.
    #[test]
    fn cache_use_equals_cached_and_reserved_tokens(
        steps in proptest::collection::vec((0..5_u8, 0..4_u128, 0..6_u64, 1..30_u32), 1..200),
    ) {
        let mut now = Instant::now();
        let mut cache = PrefixCache::new(120);
        let mut reserved: Vec<(ProgramId, u64)> = Vec::new();
        for (action, program, hash, tokens) in steps {
            now += Duration::from_millis(1);
            match action {
                0 => cache.insert(program, &[prefix(hash, 7)], now),
                1 => {
                    if cache.reserve(program, u64::from(tokens), now) {
                        reserved.push((program, u64::from(tokens)));
                    }
                }
                2 => {
                    if let Some((program, tokens)) = reserved.pop() {
                        cache.release_reservation(program, tokens, now);
                    }
                }
                3 => {
                    cache.release(program, now);
                }
                _ => {
                    if let Some((_, left)) = reserved.last_mut() {
                        cache.shrink_reservation(left, u64::from(tokens));
                    }
                }
            }
            let held_tokens: u64 = cache.cached_programs().iter().map(|(_, tokens)| tokens).sum();
            let reserved_tokens: u64 = reserved.iter().map(|(_, tokens)| tokens).sum();
            prop_assert_eq!(cache.used_tokens(), held_tokens + reserved_tokens);
        }
    }
}

#[gtest]
fn batch_admits_in_order_and_slows_with_its_size() {
    let now = Instant::now();
    let config = EngineConfig {
        max_running: 2,
        ..EngineConfig::default()
    };
    let alone = {
        let mut batch = Batch::new(config.clone(), TokenLedger::default(), now);
        drop(batch.start(&generate_request(1, 1, &[user_message("one")]), now));
        run_to_end(&mut batch, now)
    };
    let mut batch = Batch::new(config, TokenLedger::default(), now);
    for call in 1..=3 {
        let request = generate_request(call, call, &[user_message("one")]);
        drop(batch.start(&request, now));
    }
    batch.plan(now);
    let counts = batch.counts();
    expect_that!((counts.running, counts.waiting), eq((2, 1)));
    let together = run_to_end(&mut batch, now);
    expect_that!(batch.counts().finished, eq(3));
    expect_that!(together, gt(alone * 2));
    expect_that!(together, lt(alone * 3));
}

#[gtest]
fn batch_reuses_the_prefix_of_the_previous_turn() {
    let now = Instant::now();
    let ledger = TokenLedger::default();
    let mut batch = Batch::new(EngineConfig::default(), ledger.clone(), now);
    let first = [user_message("a repair offer for a carpenter")];
    drop(batch.start(&generate_request(1, 7, &first), now));
    run_to_end(&mut batch, now);
    let held_tokens = batch.counts().held_tokens;
    let answer = Message::new(Role::Assistant, expected_answer(&first, 8));
    let second = [first[0].clone(), answer, user_message("and then?")];
    drop(batch.start(&generate_request(2, 7, &second), now));
    drop(batch.start(&generate_request(3, 8, &second), now));
    run_to_end(&mut batch, now);
    expect_that!(batch.counts().cached_tokens, eq(held_tokens));
    expect_that!(batch.counts().recomputed_tokens, eq(0));
    let mut other = Batch::new(EngineConfig::default(), ledger.clone(), now);
    drop(other.start(&generate_request(4, 7, &second), now));
    run_to_end(&mut other, now);
    expect_that!(other.counts().recomputed_tokens, gt(held_tokens));
    expect_that!(
        ledger.counts().recomputed_tokens,
        eq(other.counts().recomputed_tokens)
    );
}

#[gtest]
fn batch_frees_the_cache_of_cancelled_and_released_programs() {
    let now = Instant::now();
    let mut batch = Batch::new(EngineConfig::default(), TokenLedger::default(), now);
    drop(batch.start(&generate_request(1, 7, &[user_message("one")]), now));
    drop(batch.start(&generate_request(2, 8, &[user_message("two")]), now));
    let step = batch.plan(now).unwrap();
    batch.step(now + step);
    expect_true!(batch.cancel(1, now + step));
    expect_false!(batch.cancel(1, now + step));
    expect_that!(batch.release(7, now + step), eq(0));
    run_to_end(&mut batch, now + step);
    expect_that!(batch.release(8, now + step), eq(0));
    expect_that!(batch.cached_programs(), is_empty());
    expect_that!(batch.cache.used_tokens(), eq(0));
    expect_that!(batch.counts().cancelled, eq(1));
}

#[gtest]
fn batch_reports_are_delayed_and_events_get_lost() {
    let now = Instant::now();
    let config = EngineConfig {
        load_lag: Duration::from_secs(5),
        event_lag: Duration::from_secs(5),
        event_loss: 0.3,
        seed: 3,
        ..EngineConfig::default()
    };
    let mut batch = Batch::new(config, TokenLedger::default(), now);
    for call in 1..=40 {
        let request = generate_request(call, call, &[user_message("one")]);
        drop(batch.start(&request, now));
    }
    let end = now + run_to_end(&mut batch, now);
    expect_that!(batch.events(0, now + Duration::from_secs(4)), is_empty());
    expect_that!(
        batch.load(now + Duration::from_secs(4)).cache_used_tokens,
        eq(0)
    );
    let events = batch.events(0, end + Duration::from_secs(5));
    let last = events.last().map_or(0, |event| event.sequence);
    expect_that!(events.len() as u64, all![gt(last / 2), lt(last)]);
    let load = batch.load(end + Duration::from_secs(5));
    expect_that!(load.cache_used_tokens, eq(batch.counts().held_tokens));
}

#[gtest]
fn old_orders_are_refused_only_if_fencing_is_checked() {
    let order = EngineOrder::Unload {
        model: "m".to_owned(),
    };
    let mut checked = Orders::new(true);
    let accepted = [5, 4, 5, 6].map(|fence| checked.accept(fence, &order));
    expect_that!(accepted, eq([true, false, true, true]));
    let mut unchecked = Orders::new(false);
    let accepted = [5, 4].map(|fence| unchecked.accept(fence, &order));
    expect_that!(accepted, eq([true, true]));
    expect_that!(unchecked.executed().len(), eq(2));
}

#[gtest]
fn vm_list_changes_become_visible_after_the_lag() {
    let now = Instant::now();
    let config = VmsConfig {
        vms: Vec::new(),
        lag: Duration::from_secs(3),
    };
    let vm: crate::protocol::vms::Vm = serde_json::from_value(serde_json::json!({
        "node": "e1", "role": "entry", "address": "127.0.0.1:1", "failure_domain": "pnw-a",
        "state": "live",
    }))
    .unwrap();
    let mut list = VmsState::new(config, now);
    list.set(vec![vm], now + Duration::from_secs(1));
    expect_that!(list.visible_list(now + Duration::from_secs(3)), is_empty());
    expect_that!(list.visible_list(now + Duration::from_secs(4)).len(), eq(1));
}

#[gtest]
fn command_rejects_invalid_arguments() {
    let lines = [
        "",
        "enigne",
        "engine --time-scale 0",
        "engine --model matcher-llm",
        "engine --event-loss 1.5",
        "engine --listen nowhere",
        "log --appends-per-s nan",
        "log --model a=1",
        "log stray",
        "vms --vms nonsense",
        "service --work-ms -1",
        "weights --burst",
    ];
    for line in lines {
        let args = line.split_whitespace().map(OsString::from);
        let run = futures_lite::future::block_on(super::run(args));
        expect_that!(run, err(anything()), "{line}");
    }
}
