//! Measures tokens per second through one entry, and the CPU time per thousand tokens.

use crate::support::{
    Cluster, Processes, cluster_options, create_program, direct_client, model_call,
};
use futures_util::future::join_all;
use galenapick::{Client, ClusterOptions, StreamEvent};
use std::time::Instant;

/// Number of concurrent streams.
const STREAMS: usize = 64;

/// Number of consecutive calls in each stream.
const CALLS: usize = 4;

/// Maximum number of tokens in an answer.
const TOKENS: u32 = 1_000;

/// Number of engines. It is high enough that they are not the bottleneck.
const ENGINES: usize = 4;

/// Factor on the engines' times.
const TIME_SCALE: f64 = 0.02;

pub(crate) async fn measure() -> anyhow::Result<()> {
    let options = ClusterOptions {
        engines: ENGINES,
        ..cluster_options(1, TIME_SCALE)
    };
    let cluster = Cluster::start(Processes, options).await?;
    let client = direct_client(&cluster, &["entry-1"]);
    let cpu = |role: &str| -> u64 {
        let names = cluster.names().into_iter();
        let names = names.filter(|name| name.starts_with(role));
        names
            .filter_map(|name| Some(cluster.node(&name)?.running.as_ref()?.cpu_ms()))
            .sum()
    };
    let cpu_before = (cpu("entry"), cpu("matcher-llm"));
    let started = Instant::now();
    let streams = (0..STREAMS).map(|number| read_answers(&client, number));
    let mut tokens = 0;
    for count in join_all(streams).await {
        tokens += count?;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_after = (cpu("entry"), cpu("matcher-llm"));
    let per_thousand = |ms: u64| ms as f64 * 1_000.0 / tokens as f64;
    println!("streams at once                {STREAMS}");
    println!("tokens                         {tokens}");
    println!(
        "tokens a second                {:.0}",
        tokens as f64 / elapsed
    );
    println!(
        "CPU of the entry               {:.2} ms per 1,000 tokens",
        per_thousand(cpu_after.0 - cpu_before.0)
    );
    println!(
        "CPU of all sidecars            {:.2} ms per 1,000 tokens",
        per_thousand(cpu_after.1 - cpu_before.1)
    );
    Ok(())
}

async fn read_answers(client: &Client, number: usize) -> anyhow::Result<u64> {
    let program = create_program(client).await?;
    let mut tokens = 0;
    for call in 0..CALLS {
        let request = model_call(&format!("story {number}, part {call}"), TOKENS);
        let mut stream = client
            .stream(program, &request.key(call.to_string()))
            .await?;
        while let Some(event) = stream.next().await {
            if let StreamEvent::Tokens(delta) = event? {
                tokens += u64::from(delta.count);
            }
        }
    }
    client.end(program).await?;
    Ok(tokens)
}
