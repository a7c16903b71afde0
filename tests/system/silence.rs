//! Open connections go silent for good while new ones work.

use crate::support::{
    Cluster, bank_client, begin, broken_promises, owner_of, pause, resume, run_checked, small,
    with_cluster,
};
use galenapick::standin::EngineControl;
use galenapick::{ClusterOptions, Deployment, FlowDirection, Planner};
use googletest::prelude::*;
use smol::Timer;
use std::time::Duration;

/// Time between two silences.
const INTERVAL: Duration = Duration::from_millis(2_500);

/// Runs programs while `disturb` goes on; all must finish.
fn check_programs(seed: u64, disturb: impl AsyncFn(&Cluster)) {
    let options = ClusterOptions {
        engines: 2,
        services: 2,
        seed,
        ..small(2)
    };
    with_cluster(options, async |cluster| {
        let mut planner = Planner::new(seed);
        let plans: Vec<_> = (0..16)
            .map(|_| planner.plan(Deployment::Cedarfen))
            .collect();
        let endless = async {
            loop {
                Timer::after(INTERVAL).await;
                disturb(cluster).await;
            }
        };
        let results = futures_lite::future::or(run_checked(cluster, &plans), endless).await;
        expect_that!(broken_promises(cluster, &results), is_empty());
        for result in &results {
            // An action whose link went silent may be left to a person; nothing else fails.
            if let Some(failure) = &result.failure {
                expect_that!(failure, contains_substring("unknown_outcome"));
            }
        }
    });
}

#[gtest]
fn links_that_go_silent_are_dialled_again() {
    check_programs(31, async |cluster| {
        for name in cluster.names() {
            let node = cluster.node(&name).expect("node");
            node.link.silence();
        }
    });
}

#[gtest]
fn links_that_go_silent_one_way_are_dialled_again() {
    check_programs(32, async |cluster| {
        for name in cluster.names() {
            let node = cluster.node(&name).expect("node");
            node.link.silence_direction(FlowDirection::Answer);
        }
    });
}

#[gtest]
fn engines_that_go_silent_are_asked_again() {
    check_programs(33, async |cluster| {
        for engine in cluster.platform.engines() {
            let control = EngineControl {
                silence: Some(true),
                ..EngineControl::default()
            };
            engine.control(control).await;
        }
    });
}

#[gtest]
fn callers_connections_that_go_silent_are_taken_up_again() {
    check_programs(34, async |cluster| {
        for name in cluster.names() {
            let node = cluster.node(&name).expect("node");
            node.http.silence();
        }
    });
}

#[gtest]
fn a_paused_process_and_silent_links_at_once() {
    with_cluster(small(3), async |cluster| {
        let client = bank_client(cluster);
        let program = begin(&client, "p").await;
        let owner = owner_of(cluster, program, 4).expect("an owner");
        pause(cluster, &owner);
        for name in cluster.names() {
            cluster.node(&name).expect("node").link.silence();
        }
        let mut planner = Planner::new(35);
        let plans: Vec<_> = (0..6)
            .map(|_| planner.plan(Deployment::SaaMubadala))
            .collect();
        let results = run_checked(cluster, &plans).await;
        resume(cluster, &owner);
        Timer::after(Duration::from_secs(1)).await;
        let failures: Vec<_> = results.iter().filter_map(|r| r.failure.clone()).collect();
        expect_that!(failures, is_empty());
        expect_that!(broken_promises(cluster, &results), is_empty());
    });
}
