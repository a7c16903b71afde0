//! Programs of both deployments through the whole system, without faults.

use crate::support::{
    bank_client, cached_tokens_after, create_program, find_violations, run_checked, small_cluster,
    with_cluster,
};
use galenapick::protocol::caller::CallRequest;
use galenapick::{
    CallError, Client, ClusterOptions, Deployment, Message, Planner, RefusalCode, Role,
};
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn programs_finish_without_violations() {
    let options = ClusterOptions {
        engines: 2,
        services: 2,
        ..small_cluster(2)
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
        expect_that!(find_violations(cluster, &results), is_empty());
        let turns: u64 = results.iter().map(|result| result.turns_checked).sum();
        expect_that!(turns, gt(100));
        let programs: Vec<_> = results.iter().filter_map(|r| r.program).collect();
        let cached = cached_tokens_after(cluster, &programs, Duration::from_secs(20)).await;
        expect_that!(cached, eq(0));
    });
}

fn refusal_code<T>(result: std::result::Result<T, CallError>) -> Option<RefusalCode> {
    match result {
        Err(CallError::Refused(refusal)) => Some(refusal.code),
        _ => None,
    }
}

#[gtest]
fn a_client_account_cannot_use_ids_of_another() {
    with_cluster(small_cluster(2), async |cluster| {
        let owner = bank_client(cluster);
        let program = create_program(&owner, "p").await;
        let request = CallRequest::model("matcher-llm", vec![Message::new(Role::User, "hi")], 8);
        let call = owner.call(program, &request).await.expect("answered").call;
        let other_account = cluster.client(Deployment::Cedarfen.tokens()[0]);
        let unauthenticated = cluster.client("no such token");
        let unknown = program ^ 1;
        for id in [program, unknown] {
            let code = |client: Client| async move { refusal_code(client.history(id).await) };
            expect_that!(
                code(other_account.clone()).await,
                some(eq(RefusalCode::NotFound))
            );
            expect_that!(
                code(unauthenticated.clone()).await,
                some(eq(RefusalCode::Unauthorized))
            );
            let read_refusal = refusal_code(other_account.answer(id, call).await);
            expect_that!(read_refusal, some(eq(RefusalCode::NotFound)));
            let end_refusal = refusal_code(other_account.end(id).await);
            expect_that!(end_refusal, some(eq(RefusalCode::NotFound)));
            let foreign_call = CallRequest::model("helper-models", request.messages.clone(), 8);
            let call_refusal = refusal_code(other_account.call(id, &foreign_call).await);
            expect_that!(call_refusal, some(eq(RefusalCode::NotFound)));
        }
        expect_that!(
            owner.history(program).await.map(|turns| turns.len()),
            ok(eq(&1))
        );
    });
}

#[gtest]
fn a_retry_with_the_same_key_gets_the_first_answer() {
    with_cluster(small_cluster(2), async |cluster| {
        let client = bank_client(cluster);
        let program = create_program(&client, "p").await;
        expect_that!(
            create_program(&client.starting_at(1), "p").await,
            eq(program)
        );
        let body = serde_json::json!({"action": "a1", "hours": 2});
        let transfer = CallRequest::tool("bank-core", "transfer", body).key("t");
        let first = client.call(program, &transfer).await.expect("answered");
        let retry = client.starting_at(1).call(program, &transfer).await;
        let retry = retry.expect("answered");
        expect_that!(retry.call, eq(first.call));
        expect_that!(retry.content, eq(&first.content));
        expect_that!(cluster.platform.action_runs().get("a1"), some(eq(&1)));
        let answer = client
            .answer(program, first.call)
            .await
            .expect("read again");
        expect_that!(answer.content, eq(&first.content));
    });
}
