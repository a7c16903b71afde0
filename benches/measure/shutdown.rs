//! Measures the shutdown of an entry with 200 open streams after SIGTERM.

use crate::support::{
    Cluster, Processes, cluster_options, create_program, direct_client, model_call,
};
use futures_util::future::join_all;
use galenapick::{ClusterOptions, RunningNode, StreamEvent};
use smol::Timer;
use std::time::{Duration, Instant};

/// Number of streams that are open when the signal arrives.
const STREAMS: usize = 200;

/// Time between the start of the streams and the signal.
const SHUTDOWN_DELAY: Duration = Duration::from_secs(1);

pub(crate) async fn measure() -> anyhow::Result<()> {
    let options = ClusterOptions {
        engines: 3,
        ..cluster_options(2, 1.0)
    };
    let mut cluster = Cluster::start(Processes, options).await?;
    let client = direct_client(&cluster, &["entry-1"]);
    let mut programs = Vec::new();
    for _ in 0..STREAMS {
        programs.push(create_program(&client).await?);
    }
    let opened = programs.iter().map(async |program| {
        let request = model_call("tell me about the gate", 300).key("c");
        client.stream(*program, &request).await
    });
    let mut streams = Vec::new();
    for stream in join_all(opened).await {
        streams.push(stream?);
    }
    let readers = streams.into_iter().map(|mut stream| async move {
        let mut is_done = false;
        while let Some(event) = stream.next().await {
            is_done = matches!(event, Ok(StreamEvent::Done(_)));
        }
        is_done
    });
    let node = cluster.take_node("entry-1");
    let node = node.ok_or_else(|| anyhow::anyhow!("entry-1 does not run"))?;
    let shut_down = async {
        Timer::after(SHUTDOWN_DELAY).await;
        let requested_at = Instant::now();
        let is_clean_exit = node.shut_down().await;
        (is_clean_exit, requested_at.elapsed())
    };
    let (completions, (is_clean_exit, time)) =
        smol::future::zip(join_all(readers), shut_down).await;
    let cut = completions.iter().filter(|is_done| !**is_done).count();
    println!(
        "open streams {STREAMS}, cut {cut}, exit code 0: {is_clean_exit}, down after {time:.1?}"
    );
    Ok(())
}
