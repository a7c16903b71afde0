//! Programs of both deployments from the caller to the engines and back, without faults.

use crate::support::{
    bank_client, begin, broken_promises, held_after, run_checked, small, with_cluster,
};
use galenapick::protocol::caller::CallRequest;
use galenapick::{
    CallError, Client, ClusterOptions, Deployment, Message, Planner, RefusalCode, Role,
};
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn programs_finish_and_every_promise_holds() {
    let options = ClusterOptions {
        engines: 2,
        services: 2,
        ..small(2)
    };
    with_cluster(options, async |cluster| {
        let mut planner = Planner::new(11).with_pause_scale(0.2);
        let plans: Vec<_> = (0..24)
            .map(|number| match number % 2 {
                0 => planner.plan(Deployment::SaaMubadala),
                _ => planner.plan(Deployment::Cedarfen),
            })
            .collect();
        let results = run_checked(cluster, &plans).await;
        let failures: Vec<_> = results.iter().filter_map(|r| r.failure.clone()).collect();
        expect_that!(failures, is_empty());
        expect_that!(broken_promises(cluster, &results), is_empty());
        let turns: u64 = results.iter().map(|result| result.turns_checked).sum();
        expect_that!(turns, gt(100));
        let programs: Vec<_> = results.iter().filter_map(|r| r.program).collect();
        let held = held_after(cluster, &programs, Duration::from_secs(20)).await;
        expect_that!(held, eq(0));
    });
}

fn refusal_code<T>(result: std::result::Result<T, CallError>) -> Option<RefusalCode> {
    match result {
        Err(CallError::Refused(refusal)) => Some(refusal.code),
        _ => None,
    }
}

#[gtest]
fn one_client_accounts_ids_tell_another_nothing() {
    with_cluster(small(2), async |cluster| {
        let owner = bank_client(cluster);
        let program = begin(&owner, "p").await;
        let ask = CallRequest::model("matcher-llm", vec![Message::new(Role::User, "hi")], 8);
        let call = owner.call(program, &ask).await.expect("answered").call;
        let stranger = cluster.client(Deployment::Cedarfen.tokens()[0]);
        let nobody = cluster.client("no such token");
        let unknown = program ^ 1;
        for id in [program, unknown] {
            let code = |client: Client| async move { refusal_code(client.history(id).await) };
            expect_that!(
                code(stranger.clone()).await,
                some(eq(RefusalCode::NotFound))
            );
            expect_that!(
                code(nobody.clone()).await,
                some(eq(RefusalCode::Unauthorized))
            );
            let read = refusal_code(stranger.answer(id, call).await);
            expect_that!(read, some(eq(RefusalCode::NotFound)));
            let ended = refusal_code(stranger.end(id).await);
            expect_that!(ended, some(eq(RefusalCode::NotFound)));
            let other = CallRequest::model("helper-models", ask.messages.clone(), 8);
            let called = refusal_code(stranger.call(id, &other).await);
            expect_that!(called, some(eq(RefusalCode::NotFound)));
        }
        expect_that!(
            owner.history(program).await.map(|turns| turns.len()),
            ok(eq(&1))
        );
    });
}

#[gtest]
fn a_retry_with_the_same_key_gets_the_first_answer() {
    with_cluster(small(2), async |cluster| {
        let client = bank_client(cluster);
        let program = begin(&client, "p").await;
        expect_that!(begin(&client.starting_at(1), "p").await, eq(program));
        let body = serde_json::json!({"action": "a1", "hours": 2});
        let transfer = CallRequest::tool("bank-core", "transfer", body).key("t");
        let first = client.call(program, &transfer).await.expect("answered");
        let again = client.starting_at(1).call(program, &transfer).await;
        let again = again.expect("answered");
        expect_that!(again.call, eq(first.call));
        expect_that!(again.content, eq(&first.content));
        expect_that!(cluster.platform.action_runs().get("a1"), some(eq(&1)));
        let answer = client
            .answer(program, first.call)
            .await
            .expect("read again");
        expect_that!(answer.content, eq(&first.content));
    });
}
