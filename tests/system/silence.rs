//! Open connections stop transferring data permanently while new connections work.
//!
//! Nodes and callers must reconnect, and programs must finish without violations.

use crate::support::{
    Cluster, bank_client, create_program, find_violations, owner_of, pause, resume, run_checked,
    small_cluster, with_cluster,
};
use galenapick::standin::EngineControl;
use galenapick::{ClusterOptions, Deployment, FlowDirection, Planner};
use googletest::prelude::*;
use smol::Timer;
use std::time::Duration;

/// Interval between injected faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(2_500);

/// Runs programs while `inject_fault` repeats, and checks that all programs finish.
fn check_programs_with_faults(seed: u64, inject_fault: impl AsyncFn(&Cluster)) {
    let options = ClusterOptions {
        engines: 2,
        services: 2,
        seed,
        ..small_cluster(2)
    };
    with_cluster(options, async |cluster| {
        let mut planner = Planner::new(seed);
        let plans: Vec<_> = (0..16)
            .map(|_| planner.plan(Deployment::Cedarfen))
            .collect();
        let fault_loop = async {
            loop {
                Timer::after(FAULT_INTERVAL).await;
                inject_fault(cluster).await;
            }
        };
        let results = futures_lite::future::or(run_checked(cluster, &plans), fault_loop).await;
        expect_that!(find_violations(cluster, &results), is_empty());
        for result in &results {
            // An action whose link went silent may need manual resolution. Nothing else may fail.
            if let Some(failure) = &result.failure {
                expect_that!(failure, contains_substring("unknown_outcome"));
            }
        }
    });
}

#[gtest]
fn silent_links_are_redialled() {
    check_programs_with_faults(31, async |cluster| {
        for name in cluster.names() {
            let node = cluster.node(&name).expect("node");
            node.link.silence();
        }
    });
}

#[gtest]
fn half_silent_links_are_redialled() {
    check_programs_with_faults(32, async |cluster| {
        for name in cluster.names() {
            let node = cluster.node(&name).expect("node");
            node.link.silence_direction(FlowDirection::Answer);
        }
    });
}

#[gtest]
fn calls_to_silent_engines_are_retried() {
    check_programs_with_faults(33, async |cluster| {
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
fn callers_reconnect_after_silent_connections() {
    check_programs_with_faults(34, async |cluster| {
        for name in cluster.names() {
            let node = cluster.node(&name).expect("node");
            node.http.silence();
        }
    });
}

#[gtest]
fn programs_finish_with_a_paused_owner_and_silent_links() {
    with_cluster(small_cluster(3), async |cluster| {
        let client = bank_client(cluster);
        let program = create_program(&client, "p").await;
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
        expect_that!(find_violations(cluster, &results), is_empty());
    });
}
