//! The whole path of a call in one process: caller, entry, owner, sidecar, endpoint and log.

mod fixture;

use fixture::{Deployment, ServiceRules, wait_until};
use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::protocol::link::Durability;
use galenapick::standin::{LogControl, Outage, ServiceControl, expected_answer};
use galenapick::{Message, Ran, RetryDeadline, Role};
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

fn user_message(text: &str) -> Vec<Message> {
    vec![Message::new(Role::User, text)]
}

#[gtest]
fn a_program_runs_through_all_components() {
    smol::block_on(async {
        let deployment = Deployment::start(1, 1).await;
        let client = &deployment.client;
        let created = client.create(&ProgramRequest::default()).await;
        let program = created.unwrap().program;

        let messages = user_message("who can mend a gate in Sfax");
        let call = CallRequest::model("matcher-llm", messages.clone(), 24).key("c1");
        let answer = client.call(program, &call).await.unwrap();
        expect_that!(answer.content, eq(&expected_answer(&messages, 24)));
        let retry = client.call(program, &call).await.unwrap();
        expect_that!(retry.content, eq(&answer.content));
        expect_that!(retry.call, eq(answer.call));

        let transfer = CallRequest::tool("bank-core", "transfer", serde_json::json!({"hours": 2}));
        let transfer = transfer.key("c2");
        let first_reply = client.call(program, &transfer).await.unwrap();
        let second_reply = client.call(program, &transfer).await.unwrap();
        expect_that!(first_reply.call, eq(second_reply.call));
        expect_that!(deployment.service.run_count(first_reply.call), eq(1));

        let turns = client.history(program).await.unwrap();
        expect_that!(turns.len(), eq(2));
        expect_that!(turns[0].messages[0], eq(&messages[0]));
        expect_that!(turns[0].messages[1].content, eq(&answer.content));
        expect_that!(turns.iter().all(|turn| turn.committed), eq(true));

        client.end(program).await.unwrap();
        wait_until("cache freed", || {
            deployment.engines[0].cached_programs().is_empty()
        })
        .await;
        expect_that!(deployment.log.counts().appends, ge(5));
        deployment.stop();
    });
}

#[gtest]
fn a_pending_turn_survives_the_loss_of_its_owner_and_an_outage() {
    smol::block_on(async {
        let mut deployment = Deployment::start(2, 2).await;
        let client = deployment.client.clone();
        let created = client.create(&ProgramRequest::default()).await;
        let program = created.unwrap().program;
        let messages = user_message("who has hours to give");
        let call = CallRequest::model("matcher-llm", messages.clone(), 16).key("before");
        client.call(program, &call).await.unwrap();

        deployment.log.control(outage_control(Outage::Error)).await;
        let call =
            CallRequest::model("matcher-llm", user_message("and who takes them"), 16).key("during");
        let pending = client.call(program, &call).await.unwrap();
        expect_that!(
            pending.durability,
            matches_pattern!(Durability::Pending { .. })
        );
        let transfer = CallRequest::tool("bank-core", "transfer", serde_json::json!({"hours": 1}));
        let refused = client.call(program, &transfer.key("action")).await;
        expect_that!(refused, err(anything()));
        expect_that!(deployment.service.counts().actions, eq(0));

        let partition = galenapick::ids::partition_of(program, 16);
        let stream = format!("partition-{partition}");
        let owner = owner_of(&deployment, &stream);
        deployment.entries[owner].take().unwrap().kill();
        deployment.log.control(outage_control(Outage::None)).await;

        let turns = read_history(&deployment, program).await;
        expect_that!(turns.len(), eq(2));
        expect_that!(turns[1].call, eq(pending.call));
        expect_that!(turns[1].messages[1].content, eq(&pending.content));
        deployment.stop();
    });
}

fn outage_control(outage: Outage) -> LogControl {
    LogControl {
        outage: Some(outage),
        ..LogControl::default()
    }
}

/// Returns the index of the entry with the last claim in a stream.
fn owner_of(deployment: &Deployment, stream: &str) -> usize {
    let records = deployment.log.records(stream);
    let mut claims = records.iter().rev().filter_map(|record| {
        match ciborium::from_reader(&record.data[..]).unwrap() {
            galenapick::Record::Claim(claim) => Some(claim.owner),
            galenapick::Record::Batch(_) => None,
        }
    });
    let owner = claims.next().unwrap();
    owner.strip_prefix('n').unwrap().parse().unwrap()
}

/// Retries reading a history until an entry returns it.
async fn read_history(
    deployment: &Deployment,
    program: u128,
) -> Vec<galenapick::protocol::caller::TurnAnswer> {
    let deadline = Instant::now() + fixture::STEP_TIMEOUT;
    loop {
        match deployment.client.history(program).await {
            Ok(turns) => return turns,
            Err(error) if Instant::now() >= deadline => panic!("no history: {error}"),
            Err(_) => Timer::after(Duration::from_millis(100)).await,
        };
    }
}

// Guards against a service's timeout in the environment being ignored, so that a request that hangs
// holds its call for the sidecar's 30 s.
#[gtest]
fn a_hanging_service_request_ends_with_the_timeout_of_the_environment() {
    let rules = ServiceRules {
        timeout: Duration::from_secs(1),
    };
    smol::block_on(async {
        let deployment = Deployment::start_with(1, 1, rules).await;
        let client = &deployment.client;
        let created = client.create(&ProgramRequest::default()).await;
        let program = created.unwrap().program;

        deployment.service.control(hang_requests(1)).await;
        let started_at = Instant::now();
        let mut balance = CallRequest::tool("bank-core", "balance", serde_json::json!({}));
        balance.repeatable = true;
        let deadline = RetryDeadline::after(fixture::STEP_TIMEOUT * 2);
        let outcome = client
            .call_with_retry(program, &balance.key("c1"), deadline)
            .await;
        expect_that!(outcome.result, ok(anything()));
        expect_that!(started_at.elapsed(), lt(Duration::from_secs(10)));

        deployment.service.control(hang_requests(1)).await;
        let started_at = Instant::now();
        let transfer = CallRequest::tool("bank-core", "transfer", serde_json::json!({"hours": 2}));
        let error = client.call(program, &transfer.key("c2")).await.unwrap_err();
        expect_that!(error.ran(), eq(Ran::Unknown));
        expect_that!(started_at.elapsed(), lt(Duration::from_secs(10)));
        deployment.stop();
    });
}

// Guards against a service that does not answer in time counting as healthy, so that it goes on
// getting its share of the calls.
#[gtest]
fn a_service_that_does_not_answer_in_time_gets_no_more_calls() {
    const CALLS: u64 = 12;
    let rules = ServiceRules {
        timeout: Duration::from_millis(100),
    };
    smol::block_on(async {
        let deployment = Deployment::start_with(1, 1, rules).await;
        let client = &deployment.client;
        let created = client.create(&ProgramRequest::default()).await;
        let program = created.unwrap().program;
        deployment.service.control(hang_requests(100)).await;
        for number in 0..CALLS {
            let mut balance = CallRequest::tool("bank-core", "balance", serde_json::json!({}));
            balance.repeatable = true;
            let key = format!("c{number}");
            let refused = client.call(program, &balance.key(key)).await;
            expect_that!(refused, err(anything()));
        }
        let requests = deployment.service.counts().requests;
        expect_that!(requests, all!(ge(3), lt(CALLS / 2)));
        deployment.stop();
    });
}

fn hang_requests(count: u32) -> ServiceControl {
    ServiceControl {
        hang_before: Some(count),
        ..ServiceControl::default()
    }
}
