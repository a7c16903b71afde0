//! A graceful shutdown completes all open streams.

use crate::support::{CALL_TIMEOUT, bank_client, create_program, small_cluster, with_cluster};
use galenapick::protocol::caller::CallRequest;
use galenapick::{ClusterOptions, Message, RetryDeadline, Role, RunningNode, StreamEvent};
use googletest::prelude::*;
use smol::Timer;
use std::time::Duration;

/// Number of streams that are open when the shutdown signal arrives.
const OPEN_STREAMS: usize = 40;

/// Time between the start of the streams and the shutdown signal.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);

fn slow_cluster() -> ClusterOptions {
    ClusterOptions {
        engines: 2,
        time_scale: 0.5,
        ..small_cluster(2)
    }
}

/// Opens streams at the first entry, shuts down a node, and checks that every stream completes.
fn check_shutdown(victim: &str) {
    with_cluster(slow_cluster(), async |cluster| {
        let client = bank_client(cluster);
        let mut streams = Vec::new();
        for number in 0..OPEN_STREAMS {
            let program = create_program(&client, &format!("p{number}")).await;
            let message = Message::new(Role::User, format!("tell me about gate {number}"));
            let request = CallRequest::model("matcher-llm", vec![message], 200).key("c");
            let stream = client.stream(program, &request).await;
            streams.push(stream.expect("the stream opens"));
        }
        let readers = streams.into_iter().map(|mut stream| async move {
            let mut last_event = None;
            while let Some(event) = stream.next().await {
                last_event = Some(event);
            }
            last_event
        });
        let readers = futures_util::future::join_all(readers);
        let node = cluster.take_node(victim).expect("the node is running");
        let shut_down = async {
            Timer::after(SHUTDOWN_DELAY).await;
            node.shut_down().await
        };
        let (last_events, is_clean_exit) = smol::future::zip(readers, shut_down).await;
        expect_that!(is_clean_exit, eq(true), "{victim} ends with exit code 0");
        for last_event in last_events {
            expect_that!(
                last_event,
                some(ok(matches_pattern!(StreamEvent::Done(anything()))))
            );
        }
        let program = create_program(&client, "after").await;
        let request = CallRequest::model("matcher-llm", vec![Message::new(Role::User, "hi")], 8);
        let next = client
            .call_with_retry(
                program,
                &request.key("c"),
                RetryDeadline::after(CALL_TIMEOUT),
            )
            .await;
        expect_that!(next.result, ok(anything()));
    });
}

#[gtest]
fn an_entry_that_leaves_cuts_no_stream() {
    check_shutdown("entry-1");
}

#[gtest]
fn an_owner_that_shuts_down_completes_its_streams() {
    check_shutdown("entry-2");
}

#[gtest]
fn a_sidecar_that_shuts_down_completes_its_streams() {
    check_shutdown("matcher-llm-1");
}
