//! A sidecar must not pass a replaced owner's orders to an engine that does not check epochs.
//!
//! Orders of two owners arrive in random order, each order of the present owner twice.

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

/// Timeout that no step of the test reaches.
const LIMIT: Duration = Duration::from_secs(20);

fn config() -> SidecarConfig {
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
        let endpoint: Endpoint<HttpEngine, HttpService> =
            Endpoint::Engine(HttpEngine::new(&engine.url(), LIMIT));
        let sidecar = Sidecar::start(config(), endpoint, runtime.spawner());
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
