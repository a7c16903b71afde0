//! SIGTERM of an entry under two hundred open streams.

use crate::support::{Cluster, Processes, ask, begin, client, small};
use futures_util::future::join_all;
use galenapick::{ClusterOptions, RunningNode, StreamEvent};
use smol::Timer;
use std::time::{Duration, Instant};

/// Streams that are open when the signal comes.
const STREAMS: usize = 200;

/// How long they have run by then.
const RUN: Duration = Duration::from_secs(1);

pub(crate) async fn measure() -> anyhow::Result<()> {
    let options = ClusterOptions {
        engines: 3,
        ..small(2, 1.0)
    };
    let mut cluster = Cluster::start(Processes, options).await?;
    let client = client(&cluster, &["entry-1"]);
    let mut programs = Vec::new();
    for _ in 0..STREAMS {
        programs.push(begin(&client).await?);
    }
    let opened = programs.iter().map(async |program| {
        let request = ask("tell me about the gate", 300).key("c");
        client.stream(*program, &request).await
    });
    let mut streams = Vec::new();
    for stream in join_all(opened).await {
        streams.push(stream?);
    }
    let readers = streams.into_iter().map(|mut stream| async move {
        let mut done = false;
        while let Some(event) = stream.next().await {
            done = matches!(event, Ok(StreamEvent::Done(_)));
        }
        done
    });
    let node = cluster.take_node("entry-1");
    let node = node.ok_or_else(|| anyhow::anyhow!("entry-1 does not run"))?;
    let stop = async {
        Timer::after(RUN).await;
        let asked = Instant::now();
        let clean = node.shut_down().await;
        (clean, asked.elapsed())
    };
    let (ends, (clean, time)) = smol::future::zip(join_all(readers), stop).await;
    let cut = ends.iter().filter(|done| !**done).count();
    println!("open streams {STREAMS}, cut {cut}, exit code 0: {clean}, down after {time:.1?}");
    Ok(())
}
