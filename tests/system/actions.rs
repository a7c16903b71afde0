//! Calls that may not be repeated, when their owner, sidecar or entry dies or is paused at any
//! step.

use crate::support::{
    Cluster, PATIENCE, bank_client, begin, owner_of, pause, resume, small, wait_for, with_cluster,
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

/// A step of the call that is stretched, so that the fault comes while it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The intent is on its way to the log.
    Intent,
    /// The service has the request and has not acted.
    Service,
    /// The service has acted; the outcome is on its way to the log.
    Outcome,
    /// The outcome is committed; the answer is on its way to the caller.
    Answer,
}

const STEPS: [Step; 4] = [Step::Intent, Step::Service, Step::Outcome, Step::Answer];

/// Who is hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Owner,
    /// The entry that the caller talks to, which is not the owner.
    Entry,
    Sidecar,
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hit {
    /// SIGKILL, and a new process after a while.
    Kill,
    /// SIGSTOP, and SIGCONT once others had time to take over.
    Pause,
}

/// How long a step is stretched.
const STRETCH: Duration = Duration::from_millis(700);

/// When the victim is hit within the stretched step.
const HIT_AFTER: Duration = Duration::from_millis(250);

/// How long a victim is down or stopped: longer than others need to take over.
const DOWN: Duration = Duration::from_secs(4);

/// Partitions of the system.
const PARTITIONS: u16 = 4;

fn service_endpoint() -> Endpoint {
    Endpoint::Service(Deployment::SaaMubadala, 0)
}

/// Stretches a step of the next call.
async fn stretch(cluster: &Cluster, step: Step) {
    let stretch_ms = STRETCH.as_millis() as u64;
    let service = cluster
        .platform
        .service(service_endpoint())
        .expect("service");
    match step {
        Step::Intent => slow_log(cluster, stretch_ms).await,
        Step::Service => service.control(work(stretch_ms)).await,
        Step::Outcome => service.control(work(50)).await,
        Step::Answer => {
            for name in cluster.names() {
                let node = cluster.node(&name).expect("node");
                node.http.delay(FlowDirection::Answer, STRETCH..STRETCH);
            }
        }
    }
}

fn work(work_ms: u64) -> ServiceControl {
    ServiceControl {
        work_ms: Some(work_ms),
        ..ServiceControl::default()
    }
}

async fn slow_log(cluster: &Cluster, latency_ms: u64) {
    let control = LogControl {
        latency_ms: Some(latency_ms),
        ..LogControl::default()
    };
    cluster.platform.log.control(control).await;
}

/// Waits until the step is under way.
async fn reach(cluster: &Cluster, step: Step, action: &str) {
    let acted = || cluster.platform.action_runs().contains_key(action);
    match step {
        Step::Intent | Step::Service => {}
        Step::Outcome => {
            wait_for(STRETCH * 4, acted).await;
            slow_log(cluster, STRETCH.as_millis() as u64).await;
            return;
        }
        Step::Answer => {
            wait_for(STRETCH * 4, acted).await;
        }
    }
    Timer::after(HIT_AFTER).await;
}

/// Ends the stretching.
async fn relax(cluster: &Cluster) {
    slow_log(cluster, 0).await;
    let service = cluster
        .platform
        .service(service_endpoint())
        .expect("service");
    service.control(work(2)).await;
    for name in cluster.names() {
        let node = cluster.node(&name).expect("node");
        node.http
            .delay(FlowDirection::Answer, Duration::ZERO..Duration::ZERO);
    }
}

async fn hit(cluster: &mut Cluster, name: &str, how: Hit) {
    match how {
        Hit::Kill => {
            cluster.kill_node(name);
            Timer::after(DOWN).await;
            relax(cluster).await;
            cluster.start_node(name).await.expect("it starts again");
        }
        Hit::Pause => {
            pause(cluster, name);
            Timer::after(DOWN).await;
            relax(cluster).await;
            resume(cluster, name);
        }
    }
}

/// Hits a victim at a step of a call and checks what the caller is told against the service.
async fn try_one(cluster: &mut Cluster, victim: Victim, how: Hit, step: Step) {
    let action = format!("{victim:?}-{how:?}-{step:?}");
    let client = bank_client(cluster);
    let program = begin(&client, &action).await;
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
    stretch(cluster, step).await;
    let body = serde_json::json!({"action": action.as_str(), "hours": 1});
    let transfer = CallRequest::tool("bank-core", "transfer", body).key("t");
    let caller = {
        let (client, transfer) = (client.clone(), transfer.clone());
        smol::spawn(async move {
            client
                .call_with_retry(program, &transfer, RetryDeadline::after(PATIENCE))
                .await
        })
    };
    reach(cluster, step, &action).await;
    hit(cluster, &name, how).await;
    let first = caller.await.result;
    check_verdict(cluster, &action, &first);
    check_again(cluster, &client, program, &transfer, &first, &action).await;
}

/// What the caller is told agrees with what the service did.
fn check_verdict(
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
            expect_that!(runs, eq(1), "{action} was said to have run: {error}");
        }
        // Only the loss of the sidecar that had it may leave an action unknown.
        Err(error) => expect_that!(
            action,
            starts_with("Sidecar-Kill"),
            "{action} is left unknown: {error}"
        ),
    }
}

/// A retry gets the same outcome and runs nothing; the program goes on.
async fn check_again(
    cluster: &Cluster,
    client: &Client,
    program: galenapick::ids::ProgramId,
    transfer: &CallRequest,
    first: &std::result::Result<galenapick::protocol::link::Answer, CallError>,
    action: &str,
) {
    let again = client
        .call_with_retry(program, transfer, RetryDeadline::after(PATIENCE))
        .await
        .result;
    if let (Ok(first), Ok(again)) = (first, &again) {
        expect_that!(again.content, eq(&first.content), "{action}");
    }
    expect_that!(again.is_ok(), eq(first.is_ok()), "{action}: {again:?}");
    check_verdict(cluster, action, &again);
    let text = Message::new(Role::User, "and then?");
    let ask = CallRequest::model("matcher-llm", vec![text], 8).key("after");
    let next = client
        .call_with_retry(program, &ask, RetryDeadline::after(PATIENCE))
        .await;
    expect_that!(next.result, ok(anything()), "{action}: the program goes on");
}

fn try_all(victim: Victim, how: Hit) {
    let options = ClusterOptions {
        partitions: PARTITIONS,
        ..small(3)
    };
    with_cluster(options, async |cluster| {
        for step in STEPS {
            try_one(cluster, victim, how, step).await;
        }
    });
}

#[gtest]
fn a_killed_owner_repeats_nothing() {
    try_all(Victim::Owner, Hit::Kill);
}

#[gtest]
fn a_paused_owner_repeats_nothing() {
    try_all(Victim::Owner, Hit::Pause);
}

#[gtest]
fn a_killed_sidecar_repeats_nothing() {
    try_all(Victim::Sidecar, Hit::Kill);
}

#[gtest]
fn a_paused_sidecar_repeats_nothing() {
    try_all(Victim::Sidecar, Hit::Pause);
}

#[gtest]
fn a_killed_entry_repeats_nothing() {
    try_all(Victim::Entry, Hit::Kill);
}

#[gtest]
fn a_paused_entry_repeats_nothing() {
    try_all(Victim::Entry, Hit::Pause);
}
