//! One server of a service hangs while the other one answers.

use crate::support::{Cluster, bank_client, create_program, small_cluster, with_cluster};
use galenapick::protocol::caller::CallRequest;
use galenapick::standin::{ServiceControl, ServiceCounts};
use galenapick::{ClusterOptions, Deployment, Endpoint};
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

/// Number of calls before and during the hang.
const CALLS: usize = 40;

/// Longest acceptable call. An attempt's time limit in the environment is 20 s.
const CALL_LIMIT: Duration = Duration::from_secs(4);

/// Time after which a call that may not be repeated would have been copied, had it been repeatable.
const COPY_LIMIT: Duration = Duration::from_secs(6);

fn two_servers() -> ClusterOptions {
    ClusterOptions {
        services: 2,
        ..small_cluster(2)
    }
}

fn offers_request(key: &str) -> CallRequest {
    let body = serde_json::json!({"query": key});
    let request = CallRequest::tool("bank-core", "offers", body);
    request.repeatable().key(key)
}

async fn control(cluster: &Cluster, server: usize, control: ServiceControl) {
    let endpoint = Endpoint::Service(Deployment::SaaMubadala, server);
    let service = cluster.platform.service(endpoint).expect("a server");
    service.control(control).await;
}

fn counts(cluster: &Cluster, server: usize) -> ServiceCounts {
    let endpoint = Endpoint::Service(Deployment::SaaMubadala, server);
    cluster
        .platform
        .service(endpoint)
        .expect("a server")
        .counts()
}

// Guards against a repeatable call that waits its whole time limit at a server that hangs.
#[gtest]
fn a_repeatable_call_is_not_held_by_a_server_that_hangs() {
    with_cluster(two_servers(), async |cluster| {
        let client = bank_client(cluster);
        let program = create_program(&client, "p").await;
        for number in 0..CALLS {
            let request = offers_request(&format!("before-{number}"));
            let answer = client.call(program, &request).await;
            expect_that!(answer, ok(anything()));
        }
        let hang = ServiceControl {
            hang_before: Some(u32::MAX),
            ..ServiceControl::default()
        };
        control(cluster, 0, hang).await;
        let sent_before = counts(cluster, 0).requests;
        let mut slowest = Duration::ZERO;
        for number in 0..CALLS {
            let request = offers_request(&format!("during-{number}"));
            let started = Instant::now();
            let answer = client.call(program, &request).await;
            slowest = slowest.max(started.elapsed());
            assert_that!(
                answer,
                ok(anything()),
                "call {number} beside a server that hangs"
            );
        }
        expect_that!(slowest, lt(CALL_LIMIT));
        // The breaker of the server that hangs keeps most calls from it.
        let sent = counts(cluster, 0).requests - sent_before;
        println!("slowest call {slowest:?}, {sent} of {CALLS} sent to the server that hangs");
        expect_that!(sent, all!(ge(1), lt(CALLS as u64 / 3)));
    });
}

// Guards against a copy of a call that may not be repeated.
#[gtest]
fn a_non_repeatable_call_at_a_server_that_hangs_is_sent_once() {
    with_cluster(two_servers(), async |cluster| {
        let client = bank_client(cluster);
        let program = create_program(&client, "p").await;
        for server in [0, 1] {
            let hang = ServiceControl {
                hang_after: Some(u32::MAX),
                ..ServiceControl::default()
            };
            control(cluster, server, hang).await;
        }
        let body = serde_json::json!({"action": "once", "hours": 1});
        let transfer = CallRequest::tool("bank-core", "transfer", body).key("t");
        let call = async { Some(client.call(program, &transfer).await) };
        let waited = async {
            Timer::after(COPY_LIMIT).await;
            None
        };
        let result = futures_lite::future::or(call, waited).await;
        expect_that!(result, none());
        let requests: u64 = [0, 1]
            .map(|server| counts(cluster, server).requests)
            .iter()
            .sum();
        expect_that!(requests, eq(1));
        expect_that!(cluster.platform.action_runs().get("once"), some(eq(&1)));
    });
}
