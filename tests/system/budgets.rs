//! Budgets of programs whose calls fail while they are answered.

use crate::support::{CALL_TIMEOUT, Cluster, bank_client, owner_of, small_cluster, with_cluster};
use galenapick::ids::ProgramId;
use galenapick::protocol::caller::{BudgetRequest, CallRequest, ProgramRequest};
use galenapick::protocol::link::Answer;
use galenapick::standin::EngineControl;
use galenapick::{
    CallError, Client, ClusterOptions, Deployment, Endpoint, Message, Ran, Refusal, RefusalCode,
    RetryDeadline, Role, RunningNode, StreamEvent,
};
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

/// Token budget of the program.
const BUDGET_TOKENS: u64 = 400;

/// Number of tokens after which the engines cut off every stream.
const CUT_AFTER_TOKENS: u32 = 24;

/// Maximum number of tokens of a call.
const MAX_TOKENS: u32 = 64;

/// Number of partitions of the clusters.
const PARTITIONS: u16 = 4;

/// Pause after a refused call.
const PAUSE: Duration = Duration::from_millis(100);

async fn cut_streams(cluster: &Cluster, cut_after: u32) {
    for engine in cluster.platform.engines() {
        let control = EngineControl {
            cut_after: Some(cut_after),
            ..EngineControl::default()
        };
        engine.control(control).await;
    }
}

/// Cuts streams off at one of the bank's two engines.
async fn cut_streams_at(cluster: &Cluster, index: usize) {
    for (other, cut_after) in [(index, CUT_AFTER_TOKENS), (1 - index, 0)] {
        let control = EngineControl {
            cut_after: Some(cut_after),
            ..EngineControl::default()
        };
        let engine = cluster
            .platform
            .engine(Endpoint::Engine(Deployment::SaaMubadala, other));
        engine.expect("an engine").control(control).await;
    }
}

fn model_call(input: &str) -> CallRequest {
    CallRequest::model(
        "matcher-llm",
        vec![Message::new(Role::User, input)],
        MAX_TOKENS,
    )
}

async fn create_program(client: &Client, budget_tokens: u64) -> ProgramId {
    let request = ProgramRequest {
        key: Some("p".to_owned()),
        budget: BudgetRequest {
            tokens: Some(budget_tokens),
            ..BudgetRequest::default()
        },
        ..ProgramRequest::default()
    };
    let deadline = RetryDeadline::after(CALL_TIMEOUT);
    let created = client.create_with_retry(&request, deadline).await;
    created.result.expect("the program is created").program
}

/// Streams one call. Returns the tokens of all its runs that were received, and its end.
async fn stream_call(
    client: &Client,
    program: ProgramId,
    request: &CallRequest,
) -> (u64, Result<(), CallError>) {
    let mut received_tokens = 0;
    let mut stream = match client.stream(program, request).await {
        Ok(stream) => stream,
        Err(error) => return (0, Err(error)),
    };
    while let Some(event) = stream.next().await {
        match event {
            Ok(StreamEvent::Tokens(tokens)) => received_tokens += u64::from(tokens.count),
            Ok(_) => {}
            Err(error) => return (received_tokens, Err(error)),
        }
    }
    (received_tokens, Ok(()))
}

/// What a program received with calls that fail.
struct Received {
    tokens: u64,
    calls: u32,
    /// Refusal for the budget, if there was one.
    refusal: Option<Refusal>,
}

/// Makes calls with different inputs until the budget refuses one or the tokens received are twice
/// the budget.
async fn call_until_refused(client: &Client, program: ProgramId, from: u32) -> Received {
    let mut received = Received {
        tokens: 0,
        calls: 0,
        refusal: None,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    while received.tokens < 2 * BUDGET_TOKENS && Instant::now() < deadline {
        let request = model_call(&format!("{} heron", from + received.calls));
        let (tokens, end) = stream_call(client, program, &request).await;
        received.tokens += tokens;
        received.calls += 1;
        match end {
            Err(CallError::Refused(refusal)) if refusal.code == RefusalCode::Budget => {
                received.refusal = Some(refusal);
                break;
            }
            _ => Timer::after(PAUSE).await,
        };
    }
    println!("{} tokens in {} calls", received.tokens, received.calls);
    received
}

fn expect_budget_held(received: &Received) {
    expect_that!(received.tokens, all![gt(0), le(BUDGET_TOKENS)]);
    let refusal = received.refusal.as_ref();
    expect_that!(refusal.map(|refusal| refusal.ran), some(eq(Ran::No)));
}

/// Returns the tokens that all engines have generated.
fn generated_tokens(cluster: &Cluster) -> u64 {
    let engines = cluster.platform.engines();
    engines.map(|e| e.counts().completion_tokens).sum()
}

/// Returns what the run that answered a call costs.
fn cost(answer: &Answer) -> u64 {
    u64::from(answer.usage.prompt_tokens) + u64::from(answer.usage.completion_tokens)
}

/// Returns the options of a cluster with two entries that each own one partition or more.
fn two_entries() -> ClusterOptions {
    ClusterOptions {
        engines: 4,
        ..small_cluster(2)
    }
}

/// Makes calls that fail until they received a third of the budget.
async fn receive_a_third(client: &Client, program: ProgramId) -> u64 {
    let mut received_tokens = 0;
    let mut number = 1_000;
    while received_tokens < BUDGET_TOKENS / 3 {
        let request = model_call(&format!("{number} otter"));
        received_tokens += stream_call(client, program, &request).await.0;
        number += 1;
        Timer::after(PAUSE).await;
    }
    received_tokens
}

// Guards against failed calls whose tokens are charged twice, or with the wrong turn.
#[gtest]
fn a_turn_charges_the_failed_calls_before_it_and_costs_what_it_did() {
    let options = ClusterOptions {
        engines: 4,
        ..small_cluster(1)
    };
    with_cluster(options, async |cluster| {
        let client = bank_client(cluster);
        let program = create_program(&client, 10 * BUDGET_TOKENS).await;
        let first = client.call(program, &model_call("otter")).await;
        let first = first.expect("an answer");
        expect_that!(first.spent.tokens, eq(cost(&first)));
        expect_that!(first.spent.calls, eq(1));

        let before = generated_tokens(cluster);
        cut_streams(cluster, CUT_AFTER_TOKENS).await;
        let (_, failed) = stream_call(&client, program, &model_call("heron")).await;
        expect_that!(failed, err(anything()));
        cut_streams(cluster, 0).await;
        let failed_tokens = generated_tokens(cluster) - before;
        expect_that!(failed_tokens, ge(u64::from(CUT_AFTER_TOKENS)));

        let deadline = RetryDeadline::after(CALL_TIMEOUT);
        let request = model_call("stork").key("c");
        let second = client.call_with_retry(program, &request, deadline).await;
        let second = second.result.expect("an answer");
        println!("{failed_tokens} tokens failed, {:?} spent", second.spent);
        let expected = first.spent.tokens + failed_tokens + cost(&second);
        expect_that!(second.spent.tokens, eq(expected));
        expect_that!(second.spent.calls, eq(2));
    });
}

// Guards against earlier runs of an answered call that are not charged, or charged twice.
#[gtest]
fn an_answered_call_charges_its_earlier_runs_once() {
    let options = ClusterOptions {
        engines: 2,
        ..small_cluster(1)
    };
    with_cluster(options, async |cluster| {
        let client = bank_client(cluster);
        let program = create_program(&client, 100 * BUDGET_TOKENS).await;
        let (mut costs, mut answer_tokens, mut failed_tokens) = (0, 0, 0);
        for number in 0..20 {
            // Each engine has the program's cache when it cuts its streams off.
            cut_streams_at(cluster, number % 2).await;
            let request = model_call(&format!("{number} heron")).key(format!("c{number}"));
            let deadline = RetryDeadline::after(CALL_TIMEOUT);
            let answer = client.call_with_retry(program, &request, deadline).await;
            let answer = answer.result.expect("an answer");
            costs += cost(&answer);
            answer_tokens += u64::from(answer.usage.completion_tokens);
            failed_tokens = generated_tokens(cluster) - answer_tokens;
            expect_that!(answer.spent.tokens, eq(costs + failed_tokens));
            if failed_tokens >= 2 * u64::from(CUT_AFTER_TOKENS) {
                break;
            }
        }
        println!("{failed_tokens} tokens failed, {costs} answered");
        expect_that!(failed_tokens, ge(u64::from(CUT_AFTER_TOKENS)));
    });
}

// Guards against a new owner that does not count what failed calls received at a killed one.
#[gtest]
fn a_killed_owner_leaves_the_failed_calls_charged() {
    with_cluster(two_entries(), async |cluster| {
        cut_streams(cluster, CUT_AFTER_TOKENS).await;
        let client = bank_client(cluster);
        let program = create_program(&client, BUDGET_TOKENS).await;
        let before = receive_a_third(&client, program).await;
        let owner = owner_of(cluster, program, PARTITIONS).expect("an owner");
        cluster.kill_node(&owner);
        let mut received = call_until_refused(&client, program, 0).await;
        received.tokens += before;
        println!(
            "{before} tokens before the kill, {} in all",
            received.tokens
        );
        expect_budget_held(&received);
    });
}

// Guards against a new owner that does not count what failed calls received before a handover.
#[gtest]
fn an_owner_that_stops_leaves_the_failed_calls_charged() {
    with_cluster(two_entries(), async |cluster| {
        cut_streams(cluster, CUT_AFTER_TOKENS).await;
        let client = bank_client(cluster);
        let program = create_program(&client, BUDGET_TOKENS).await;
        let before = receive_a_third(&client, program).await;
        let owner = owner_of(cluster, program, PARTITIONS).expect("an owner");
        let node = cluster.take_node(&owner).expect("the node is running");
        expect_true!(node.shut_down().await);
        let mut received = call_until_refused(&client, program, 0).await;
        received.tokens += before;
        println!(
            "{before} tokens before the stop, {} in all",
            received.tokens
        );
        expect_budget_held(&received);
    });
}

// Guards against a program that receives tokens beyond its budget from calls that fail.
#[gtest]
fn calls_that_break_off_exhaust_the_budget() {
    let options = ClusterOptions {
        engines: 4,
        ..small_cluster(1)
    };
    with_cluster(options, async |cluster| {
        cut_streams(cluster, CUT_AFTER_TOKENS).await;
        let client = bank_client(cluster);
        let program = create_program(&client, BUDGET_TOKENS).await;
        let received = call_until_refused(&client, program, 0).await;
        expect_budget_held(&received);
    });
}
