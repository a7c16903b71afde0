//! Orders of two owners through a sidecar, over sockets, to an engine that checks nothing.

use crate::adapter::{HttpEngine, HttpService};
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::cache::ReleaseConfig;
use crate::protocol::engine::EngineOrder;
use crate::protocol::link::{Reply, Serving};
use crate::sidecar::{Endpoint, Sidecar, SidecarConfig};
use crate::standin::{EngineConfig, EngineStandin, TokenLedger};
use crate::transport::spawn::Runtime;
use googletest::prelude::*;
use std::time::Duration;

/// Longer than any step.
const LIMIT: Duration = Duration::from_secs(20);

fn config() -> SidecarConfig {
    SidecarConfig {
        node: "s1".to_string(),
        incarnation: 1,
        admission: AdmissionConfig::default(),
        first_token: LIMIT,
        token_gap: LIMIT,
        service_timeout: LIMIT,
        keep_answers: LIMIT,
        orphan_after: LIMIT,
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

#[gtest]
fn an_engine_that_checks_nothing_acts_on_no_old_or_repeated_order() {
    smol::block_on(async {
        let engine = EngineConfig {
            checks_fence: false,
            ..EngineConfig::default()
        };
        let engine = EngineStandin::start(engine, TokenLedger::default())
            .await
            .unwrap();
        let runtime = Runtime::start("s1", 1).unwrap();
        let endpoint: Endpoint<HttpEngine, HttpService> =
            Endpoint::Engine(HttpEngine::new(&engine.url(), LIMIT));
        let sidecar = Sidecar::start(config(), endpoint, runtime.spawner());
        let mut rng = fastrand::Rng::with_seed(7);
        // Epoch 3 is an owner that was replaced and does not know it; 7 is the present one.
        let mut orders: Vec<(u64, u64)> = (1..=20).flat_map(|n| [(3, n), (7, n), (7, n)]).collect();
        rng.shuffle(&mut orders);
        let mut newest = (0, 0);
        let mut wanted = Vec::new();
        for (epoch, sequence) in orders {
            let version = (epoch * 100 + sequence) as u32;
            let reply = sidecar.order(load(version), epoch, sequence).await;
            let is_old = (epoch, sequence) < newest;
            expect_that!(matches!(reply, Reply::Refused(_)), eq(is_old));
            if (epoch, sequence) > newest {
                newest = (epoch, sequence);
                wanted.push((epoch, load(version)));
            }
        }
        let acted: Vec<_> = engine
            .counts()
            .orders
            .iter()
            .map(|o| (o.fence, o.order.clone()))
            .collect();
        expect_that!(acted, eq(&wanted));
        expect_that!(newest, eq((7, 20)));
    });
}
