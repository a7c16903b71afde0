//! Tests of a sidecar with engines that send too much or do not check epochs.

use crate::adapter::{HttpEngine, HttpService};
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::cache::ReleaseConfig;
use crate::limits::MAX_EXTRA_EVENTS;
use crate::protocol::engine::{EngineOrder, GenerateRequest};
use crate::protocol::link::{Generate, Priority, Reply, Serving};
use crate::protocol::message::{Message, Role};
use crate::protocol::refusal::RefusalCode;
use crate::sidecar::{Endpoint, Sidecar, SidecarConfig};
use crate::standin::{EngineConfig, EngineStandin, TokenLedger};
use crate::transport::spawn::Runtime;
use crate::transport::spawn::Spawner;
use googletest::prelude::*;
use smol::Timer;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout that no step of the test reaches.
pub(super) const LIMIT: Duration = Duration::from_secs(20);

pub(super) fn config() -> SidecarConfig {
    SidecarConfig {
        node: "s1".to_string(),
        incarnation: 1,
        admission: AdmissionConfig::default(),
        first_token_timeout: LIMIT,
        token_gap_timeout: LIMIT,
        service_timeout: LIMIT,
        answer_retention: LIMIT,
        orphan_timeout: LIMIT,
        serving: Serving::Models(vec![("m".to_string(), 1)]),
        releases: ReleaseConfig::default(),
    }
}

fn load(version: u32) -> EngineOrder {
    EngineOrder::Load {
        model: "m".to_string(),
        version,
    }
}

pub(super) fn sidecar_of(engine_url: &str, spawner: Spawner) -> Sidecar<HttpEngine, HttpService> {
    Sidecar::start(
        config(),
        Endpoint::Engine(HttpEngine::new(engine_url, LIMIT)),
        spawner,
    )
}

// Orders of two owners arrive in random order, each order of the present owner twice. Guards against a
// replaced owner's orders reaching an engine that does not check epochs.
#[gtest]
fn sidecar_drops_stale_and_repeated_orders_for_an_engine_without_fencing() {
    smol::block_on(async {
        let engine = EngineConfig {
            checks_fence: false,
            ..EngineConfig::default()
        };
        let engine = EngineStandin::start(engine, TokenLedger::default())
            .await
            .unwrap();
        let runtime = Runtime::start("s1", 1).unwrap();
        let sidecar = sidecar_of(&engine.url(), runtime.spawner());
        let mut rng = fastrand::Rng::with_seed(7);
        // Epoch 3 belongs to a replaced owner that still sends orders, epoch 7 to the present one.
        let mut orders: Vec<(u64, u64)> = (1..=20).flat_map(|n| [(3, n), (7, n), (7, n)]).collect();
        rng.shuffle(&mut orders);
        let mut newest = (0, 0);
        let mut expected = Vec::new();
        for (epoch, sequence) in orders {
            let version = (epoch * 100 + sequence) as u32;
            let reply = sidecar.order(load(version), epoch, sequence).await;
            let is_old = (epoch, sequence) < newest;
            expect_that!(matches!(reply, Reply::Refused(_)), eq(is_old));
            if (epoch, sequence) > newest {
                newest = (epoch, sequence);
                expected.push((epoch, load(version)));
            }
        }
        let executed: Vec<_> = engine
            .counts()
            .orders
            .iter()
            .map(|o| (o.fence, o.order.clone()))
            .collect();
        expect_that!(executed, eq(&expected));
        expect_that!(newest, eq((7, 20)));
    });
}

/// Starts an engine that answers every request with the same event without end, and returns its URL.
fn start_endless_engine(event: &'static str) -> String {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let events = event.repeat(1_000);
                let mut sent = stream.write_all(HEAD.as_bytes());
                // The sidecar closes the connection.
                while sent.is_ok() {
                    sent = stream.write_all(events.as_bytes());
                }
            });
        }
    });
    url
}

pub(super) fn generate(max_tokens: u32) -> Generate {
    Generate {
        request: GenerateRequest {
            call: 1,
            program: 2,
            model: "m".to_string(),
            messages: vec![Message::new(Role::User, "otter")],
            max_tokens,
        },
        priority: Priority {
            environment: "e".to_string(),
            production: true,
            client_account: "a".to_string(),
            share: 1.0,
            attained_tokens: 0,
            slack_ms: 60_000,
        },
        partition: 0,
        epoch: 1,
        expected_cached_tokens: 0,
        seen_tokens: 0,
    }
}

// Guards against an engine that sends more tokens than the call allows, or events without tokens.
#[gtest]
fn a_generation_ends_when_its_engine_sends_more_than_the_call_allows() {
    const MAX_TOKENS: u32 = 8;
    let token = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    let empty = "data: {\"token_count\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    for event in [token, empty] {
        let runtime = Runtime::start("s1", 1).unwrap();
        let sidecar = sidecar_of(&start_endless_engine(event), runtime.spawner());
        let generation = sidecar.get_or_start(generate(MAX_TOKENS)).unwrap();
        let started_at = Instant::now();
        let result = smol::block_on(async {
            while generation.output.result().is_none() && started_at.elapsed() < LIMIT {
                Timer::after(Duration::from_millis(1)).await;
            }
            generation.output.result()
        });
        let refusal = result.and_then(std::result::Result::err).map(|r| r.code);
        let tokens = generation.output.next_index();
        println!("{tokens} tokens, {} ms", started_at.elapsed().as_millis());
        expect_that!(refusal, some(eq(RefusalCode::EndpointFailed)));
        expect_that!(
            u64::from(tokens),
            le(u64::from(MAX_TOKENS) + MAX_EXTRA_EVENTS)
        );
        expect_that!(started_at.elapsed(), lt(Duration::from_millis(200)));
    }
}
