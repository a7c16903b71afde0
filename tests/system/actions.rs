//! Non-repeatable calls whose owner, sidecar or entry is killed or paused at any step.

use crate::support::{
    CALL_TIMEOUT, Cluster, bank_client, create_program, owner_of, pause, resume, small_cluster,
    wait_for, with_cluster,
};
use galenapick::ids::NodeId;
use galenapick::protocol::caller::CallRequest;
use galenapick::standin::{LogControl, ServiceControl};
use galenapick::{
    CallError, Client, ClusterOptions, Deployment, Endpoint, FlowDirection, Message, Ran,
    RetryDeadline, Role,
};
use googletest::prelude::*;
use smol::Timer;
use std::time::Duration;

/// A step of the call that the test slows down, so that the fault occurs during the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The append of the intent is in flight.
    Intent,
    /// The service has received the request and has not run the action.
    Service,
    /// The service has run the action, and the append of the outcome is in flight.
    Outcome,
    /// The outcome is committed, and the answer to the caller is in flight.
    Answer,
}

const STEPS: [Step; 4] = [Step::Intent, Step::Service, Step::Outcome, Step::Answer];

/// The node that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Owner,
    /// The entry that the caller is connected to, which is not the owner.
    Entry,
    Sidecar,
}

/// The fault of the victim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// SIGKILL, followed by a new process after [`DOWNTIME`].
    Kill,
    /// SIGSTOP, followed by SIGCONT after [`DOWNTIME`].
    Pause,
}

/// Duration of a slowed step.
const STEP_DURATION: Duration = Duration::from_millis(700);

/// Delay of the fault within the slowed step.
const FAULT_DELAY: Duration = Duration::from_millis(250);

/// Time for which a victim is down or stopped. It is longer than a takeover takes.
const DOWNTIME: Duration = Duration::from_secs(4);

/// Number of partitions of the cluster.
const PARTITIONS: u16 = 4;

fn service_endpoint() -> Endpoint {
    Endpoint::Service(Deployment::SaaMubadala, 0)
}

/// Slows down a step of the next call.
async fn slow_down(cluster: &Cluster, step: Step) {
    let duration_ms = STEP_DURATION.as_millis() as u64;
    let service = cluster
        .platform
        .service(service_endpoint())
        .expect("service");
    match step {
        Step::Intent => set_log_latency(cluster, duration_ms).await,
        Step::Service => service.control(with_work_ms(duration_ms)).await,
        Step::Outcome => service.control(with_work_ms(50)).await,
        Step::Answer => {
            for name in cluster.names() {
                let node = cluster.node(&name).expect("node");
                node.http
                    .delay(FlowDirection::Answer, STEP_DURATION..STEP_DURATION);
            }
        }
    }
}

fn with_work_ms(work_ms: u64) -> ServiceControl {
    ServiceControl {
        work_ms: Some(work_ms),
        ..ServiceControl::default()
    }
}

async fn set_log_latency(cluster: &Cluster, latency_ms: u64) {
    let control = LogControl {
        latency_ms: Some(latency_ms),
        ..LogControl::default()
    };
    cluster.platform.log.control(control).await;
}

/// Waits until the call is in the step.
async fn wait_for_step(cluster: &Cluster, step: Step, action: &str) {
    let has_run = || cluster.platform.action_runs().contains_key(action);
    match step {
        Step::Intent | Step::Service => {}
        Step::Outcome => {
            wait_for(STEP_DURATION * 4, has_run).await;
            set_log_latency(cluster, STEP_DURATION.as_millis() as u64).await;
            return;
        }
        Step::Answer => {
            wait_for(STEP_DURATION * 4, has_run).await;
        }
    }
    Timer::after(FAULT_DELAY).await;
}

/// Restores normal speed.
async fn end_slow_down(cluster: &Cluster) {
    set_log_latency(cluster, 0).await;
    let service = cluster
        .platform
        .service(service_endpoint())
        .expect("service");
    service.control(with_work_ms(2)).await;
    for name in cluster.names() {
        let node = cluster.node(&name).expect("node");
        node.http
            .delay(FlowDirection::Answer, Duration::ZERO..Duration::ZERO);
    }
}

async fn inject_fault(cluster: &mut Cluster, name: &str, fault: Fault) {
    match fault {
        Fault::Kill => {
            cluster.kill_node(name);
            Timer::after(DOWNTIME).await;
            end_slow_down(cluster).await;
            cluster.start_node(name).await.expect("the node restarts");
        }
        Fault::Pause => {
            pause(cluster, name);
            Timer::after(DOWNTIME).await;
            end_slow_down(cluster).await;
            resume(cluster, name);
        }
    }
}

/// Injects a fault at a step of a call and checks the caller's result against the service's count.
async fn test_step(cluster: &mut Cluster, victim: Victim, fault: Fault, step: Step) {
    let action = format!("{victim:?}-{fault:?}-{step:?}");
    let client = bank_client(cluster);
    let program = create_program(&client, &action).await;
    let owner = owner_of(cluster, program, PARTITIONS).expect("an owner");
    let entries = cluster.names_with_role(galenapick::protocol::vms::NodeRole::Entry);
    let position = entries.iter().position(|name| *name != owner);
    let position = position.expect("another entry");
    let client = client.starting_at(position);
    let name: NodeId = match victim {
        Victim::Owner => owner,
        Victim::Entry => entries[position].clone(),
        Victim::Sidecar => "bank-core-1".to_owned(),
    };
    slow_down(cluster, step).await;
    let body = serde_json::json!({"action": action.as_str(), "hours": 1});
    let transfer = CallRequest::tool("bank-core", "transfer", body).key("t");
    let caller = {
        let (client, transfer) = (client.clone(), transfer.clone());
        smol::spawn(async move {
            client
                .call_with_retry(program, &transfer, RetryDeadline::after(CALL_TIMEOUT))
                .await
        })
    };
    wait_for_step(cluster, step, &action).await;
    inject_fault(cluster, &name, fault).await;
    let result = caller.await.result;
    check_result(cluster, &action, &result);
    check_retry(cluster, &client, program, &transfer, &result, &action).await;
}

/// Checks that the result agrees with the number of runs at the service.
fn check_result(
    cluster: &Cluster,
    action: &str,
    result: &std::result::Result<galenapick::protocol::link::Answer, CallError>,
) {
    let runs = cluster.platform.action_runs().get(action).copied();
    let runs = runs.unwrap_or(0);
    println!("{action}: {result:?}, ran {runs} times");
    expect_that!(runs, le(1), "{action} ran {runs} times");
    match result {
        Ok(_) => expect_that!(runs, eq(1), "{action} was answered"),
        Err(error) if error.ran() == Ran::No => {
            expect_that!(runs, eq(0), "{action} was refused as not run: {error}");
        }
        Err(error) if error.ran() == Ran::Yes => {
            expect_that!(runs, eq(1), "{action} was reported as run: {error}");
        }
        // An action's outcome may stay unknown only if its sidecar was lost.
        Err(error) => expect_that!(
            action,
            starts_with("Sidecar-Kill"),
            "{action} is left unknown: {error}"
        ),
    }
}

/// Checks that a retry gets the same outcome without another run, and that the program continues.
async fn check_retry(
    cluster: &Cluster,
    client: &Client,
    program: galenapick::ids::ProgramId,
    transfer: &CallRequest,
    result: &std::result::Result<galenapick::protocol::link::Answer, CallError>,
    action: &str,
) {
    let retry = client
        .call_with_retry(program, transfer, RetryDeadline::after(CALL_TIMEOUT))
        .await
        .result;
    if let (Ok(result), Ok(retry)) = (result, &retry) {
        expect_that!(retry.content, eq(&result.content), "{action}");
    }
    expect_that!(retry.is_ok(), eq(result.is_ok()), "{action}: {retry:?}");
    check_result(cluster, action, &retry);
    let message = Message::new(Role::User, "and then?");
    let request = CallRequest::model("matcher-llm", vec![message], 8).key("after");
    let following = client
        .call_with_retry(program, &request, RetryDeadline::after(CALL_TIMEOUT))
        .await;
    expect_that!(
        following.result,
        ok(anything()),
        "{action}: the program continues"
    );
}

fn test_all_steps(victim: Victim, fault: Fault) {
    let options = ClusterOptions {
        partitions: PARTITIONS,
        ..small_cluster(3)
    };
    with_cluster(options, async |cluster| {
        for step in STEPS {
            test_step(cluster, victim, fault, step).await;
        }
    });
}

#[gtest]
fn a_killed_owner_causes_no_repetition() {
    test_all_steps(Victim::Owner, Fault::Kill);
}

#[gtest]
fn a_paused_owner_causes_no_repetition() {
    test_all_steps(Victim::Owner, Fault::Pause);
}

#[gtest]
fn a_killed_sidecar_causes_no_repetition() {
    test_all_steps(Victim::Sidecar, Fault::Kill);
}

#[gtest]
fn a_paused_sidecar_causes_no_repetition() {
    test_all_steps(Victim::Sidecar, Fault::Pause);
}

#[gtest]
fn a_killed_entry_causes_no_repetition() {
    test_all_steps(Victim::Entry, Fault::Kill);
}

#[gtest]
fn a_paused_entry_causes_no_repetition() {
    test_all_steps(Victim::Entry, Fault::Pause);
}
