//! Tests of what a sidecar takes for a crash of its endpoint.

use super::{CrashedActions, EndpointLifetimes, MAX_ACTIONS};
use crate::adapter::{HttpEngine, HttpService};
use crate::coordination::crashes::Lifetime;
use crate::ids::CallId;
use crate::protocol::link::{Generate, Invoke, Reply, Serving};
use crate::protocol::refusal::Refusal;
use crate::protocol::service::ServiceRequest;
use crate::sidecar::generation::Generation;
use crate::sidecar::tests::{LIMIT, config, generate, sidecar_of};
use crate::sidecar::{Endpoint, Sidecar, SidecarConfig};
use crate::standin::{
    EngineConfig, EngineControl, EngineStandin, ServiceConfig, ServiceControl, ServiceStandin,
    TokenLedger,
};
use crate::transport::spawn::Runtime;
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

/// Timeout that a silent endpoint exceeds.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of tokens that take an engine long enough to be disturbed.
const LONG_ANSWER: u32 = 200;

type TestSidecar = Sidecar<HttpEngine, HttpService>;

async fn start_engine() -> EngineStandin {
    let engine = EngineStandin::start(EngineConfig::default(), TokenLedger::default());
    engine.await.unwrap()
}

fn call(call: CallId, input: &str) -> Generate {
    let mut generate = generate(LONG_ANSWER);
    generate.request.call = call;
    generate.request.messages[0].content = input.to_owned();
    generate
}

/// Starts a generation and waits for its first token.
async fn start_streaming(sidecar: &TestSidecar, request: Generate) -> Generation {
    let generation = sidecar.get_or_start(request).unwrap();
    let started_at = Instant::now();
    while generation.output.next_index() == 0 && started_at.elapsed() < LIMIT {
        Timer::after(Duration::from_millis(1)).await;
    }
    generation
}

/// Waits for the end of a generation; returns its refusal unless it was answered.
async fn refusal_of(generation: &Generation) -> Option<Refusal> {
    let started_at = Instant::now();
    while generation.output.result().is_none() && started_at.elapsed() < LIMIT {
        Timer::after(Duration::from_millis(1)).await;
    }
    generation.output.result().expect("a result").err()
}

async fn crash_of(generation: &Generation) -> Option<Lifetime> {
    refusal_of(generation).await?.crashed
}

async fn control(engine: &EngineStandin, control: EngineControl) {
    engine.control(control).await;
}

// Guards against a call that its sidecar sends again and again to the engine that it crashes.
#[gtest]
fn a_call_that_crashes_its_engine_is_sent_once() {
    smol::block_on(async {
        let engine = start_engine().await;
        let crash_on = Some("heron".to_owned());
        control(
            &engine,
            EngineControl {
                crash_on,
                ..EngineControl::default()
            },
        )
        .await;
        let runtime = Runtime::start("s1", 1).unwrap();
        let sidecar = sidecar_of(&engine.url(), runtime.spawner());
        let generation = sidecar.get_or_start(call(1, "heron")).unwrap();
        expect_that!(crash_of(&generation).await, some(anything()));
        expect_that!(engine.counts().crashes, eq(1));
    });
}

// Guards against one crash that counts as several, and against several that count as one.
#[gtest]
fn calls_that_an_engine_had_when_it_crashed_name_one_lifetime() {
    smol::block_on(async {
        let engine = start_engine().await;
        let crash_on = Some("heron".to_owned());
        control(
            &engine,
            EngineControl {
                crash_on,
                ..EngineControl::default()
            },
        )
        .await;
        let runtime = Runtime::start("s1", 1).unwrap();
        let sidecar = sidecar_of(&engine.url(), runtime.spawner());
        let beside = start_streaming(&sidecar, call(1, "otter")).await;
        let first = sidecar.get_or_start(call(2, "heron")).unwrap();
        let lifetime = crash_of(&first).await;
        expect_that!(lifetime, some(anything()));
        expect_that!(crash_of(&beside).await, eq(lifetime));
        let second = sidecar.get_or_start(call(3, "heron")).unwrap();
        let next_lifetime = crash_of(&second).await;
        expect_that!(next_lifetime, some(anything()));
        expect_that!(next_lifetime, not(eq(lifetime)));
    });
}

#[gtest]
fn an_engine_that_ends_in_mid_stream_and_stays_away_has_crashed() {
    smol::block_on(async {
        let engine = start_engine().await;
        let runtime = Runtime::start("s1", 1).unwrap();
        let sidecar = sidecar_of(&engine.url(), runtime.spawner());
        let generation = start_streaming(&sidecar, call(1, "otter")).await;
        engine.stop().await;
        expect_that!(crash_of(&generation).await, some(anything()));
    });
}

// Guards against a broken connection to an engine that still runs the call taken for a crash.
#[gtest]
fn a_stream_that_can_be_resumed_is_no_crash() {
    smol::block_on(async {
        let engine = start_engine().await;
        let runtime = Runtime::start("s1", 1).unwrap();
        let sidecar = sidecar_of(&engine.url(), runtime.spawner());
        let generation = start_streaming(&sidecar, call(1, "otter")).await;
        for down in [true, false] {
            control(
                &engine,
                EngineControl {
                    down: Some(down),
                    ..EngineControl::default()
                },
            )
            .await;
        }
        expect_that!(refusal_of(&generation).await, none());
    });
}

// Guards against failures of other kinds taken for crashes.
#[gtest]
fn silent_absent_and_refusing_engines_and_cancelled_calls_are_no_crashes() {
    smol::block_on(async {
        let engine = start_engine().await;
        let runtime = Runtime::start("s1", 1).unwrap();
        let config = SidecarConfig {
            first_token_timeout: SHORT_TIMEOUT,
            token_gap_timeout: SHORT_TIMEOUT,
            ..config()
        };
        let endpoint = Endpoint::Engine(HttpEngine::new(&engine.url(), SHORT_TIMEOUT));
        let sidecar = TestSidecar::start(config, endpoint, runtime.spawner());

        let cancelled = start_streaming(&sidecar, call(1, "otter")).await;
        cancelled.stop();
        let refused = EngineControl {
            refuse: Some(true),
            ..EngineControl::default()
        };
        control(&engine, refused).await;
        let refused = sidecar.get_or_start(call(2, "otter")).unwrap();
        let refused_refusal = refusal_of(&refused).await;
        let silent = EngineControl {
            refuse: Some(false),
            paused: Some(true),
            ..EngineControl::default()
        };
        control(&engine, silent).await;
        let silent = sidecar.get_or_start(call(3, "otter")).unwrap();
        let silent_refusal = refusal_of(&silent).await;
        engine.stop().await;
        let absent = sidecar.get_or_start(call(4, "otter")).unwrap();
        let refusals = [
            refusal_of(&cancelled).await,
            refused_refusal,
            silent_refusal,
            refusal_of(&absent).await,
        ];
        for refusal in refusals {
            let refusal = refusal.expect("a refusal");
            expect_that!(refusal.crashed, none(), "{refusal}");
        }
    });
}

async fn invoke(sidecar: &TestSidecar, call: CallId) -> Option<Lifetime> {
    let template = generate(1);
    let invoke = Invoke {
        request: ServiceRequest {
            operation: "balance".to_owned(),
            call,
            body: "{}".to_owned(),
        },
        priority: template.priority,
        partition: 0,
        epoch: 1,
        once: None,
        limit_ms: SHORT_TIMEOUT.as_millis() as u64,
    };
    match sidecar.invoke(invoke).await {
        Reply::Action(reply) => reply.crashed,
        other => panic!("another reply: {other:?}"),
    }
}

// Guards against time-outs and absent services taken for crashes.
#[gtest]
fn a_service_that_ends_the_connection_before_its_answer_has_crashed() {
    smol::block_on(async {
        let service = ServiceStandin::start(ServiceConfig::default()).await;
        let service = service.unwrap();
        let runtime = Runtime::start("s1", 1).unwrap();
        let config = SidecarConfig {
            serving: Serving::Service("s".to_owned()),
            ..config()
        };
        let endpoint = Endpoint::Service(HttpService::new(&service.url(), LIMIT));
        let sidecar = TestSidecar::start(config, endpoint, runtime.spawner());
        expect_that!(invoke(&sidecar, 1).await, none());
        let cut = ServiceControl {
            cut_before: Some(1),
            ..ServiceControl::default()
        };
        service.control(cut).await;
        expect_that!(invoke(&sidecar, 2).await, some(anything()));
        let hang = ServiceControl {
            hang_before: Some(1),
            ..ServiceControl::default()
        };
        service.control(hang).await;
        expect_that!(invoke(&sidecar, 3).await, none());
        service.stop().await;
        expect_that!(invoke(&sidecar, 4).await, none());
    });
}

#[gtest]
fn lifetimes_are_numbered_once_for_each_end() {
    let lifetimes = EndpointLifetimes::new(&"s1".to_owned(), 1);
    let first = lifetimes.current();
    lifetimes.end(first);
    lifetimes.end(first);
    expect_that!(lifetimes.current(), eq(first + 1));
    let restarted = EndpointLifetimes::new(&"s1".to_owned(), 2);
    expect_that!(restarted.tag(first), not(eq(lifetimes.tag(first))));
}

#[gtest]
fn crashed_actions_are_bounded() {
    let mut crashed = CrashedActions::default();
    for number in 0..2 * MAX_ACTIONS as u64 {
        crashed.insert(u128::from(number), number);
    }
    expect_that!(crashed.actions.len(), eq(MAX_ACTIONS));
    expect_that!(crashed.get(0), none());
    let last = 2 * MAX_ACTIONS as u64 - 1;
    expect_that!(crashed.get(u128::from(last)), some(eq(last)));
}
