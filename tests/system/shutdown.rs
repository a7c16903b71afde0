//! A graceful shutdown cuts no request.

use crate::support::{PATIENCE, bank_client, begin, small, with_cluster};
use galenapick::protocol::caller::CallRequest;
use galenapick::{ClusterOptions, Message, RetryDeadline, Role, RunningNode, StreamEvent};
use googletest::prelude::*;
use smol::Timer;
use std::time::Duration;

/// Streams that are open when the signal comes.
const STREAMS: usize = 40;

/// How long the streams have run by then.
const RUN: Duration = Duration::from_millis(500);

fn slow() -> ClusterOptions {
    ClusterOptions {
        engines: 2,
        time_scale: 0.5,
        ..small(2)
    }
}

/// Opens streams at the first entry, shuts a node down meanwhile, and counts what was cut.
fn check(victim: &str) {
    with_cluster(slow(), async |cluster| {
        let client = bank_client(cluster);
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let program = begin(&client, &format!("p{number}")).await;
            let text = Message::new(Role::User, format!("tell me about gate {number}"));
            let ask = CallRequest::model("matcher-llm", vec![text], 200).key("c");
            let stream = client.stream(program, &ask).await;
            streams.push(stream.expect("the stream opens"));
        }
        let readers = streams.into_iter().map(|mut stream| async move {
            let mut last = None;
            while let Some(event) = stream.next().await {
                last = Some(event);
            }
            last
        });
        let readers = futures_util::future::join_all(readers);
        let node = cluster.take_node(victim).expect("it runs");
        let shut_down = async {
            Timer::after(RUN).await;
            node.shut_down().await
        };
        let (ends, clean) = smol::future::zip(readers, shut_down).await;
        expect_that!(clean, eq(true), "{victim} ends with exit code 0");
        for end in ends {
            expect_that!(
                end,
                some(ok(matches_pattern!(StreamEvent::Done(anything()))))
            );
        }
        let program = begin(&client, "after").await;
        let ask = CallRequest::model("matcher-llm", vec![Message::new(Role::User, "hi")], 8);
        let next = client
            .call_with_retry(program, &ask.key("c"), RetryDeadline::after(PATIENCE))
            .await;
        expect_that!(next.result, ok(anything()));
    });
}

#[gtest]
fn an_entry_that_leaves_cuts_no_stream() {
    check("entry-1");
}

#[gtest]
fn an_owner_that_leaves_cuts_no_stream() {
    check("entry-2");
}

#[gtest]
fn a_sidecar_that_leaves_cuts_no_stream() {
    check("matcher-llm-1");
}
