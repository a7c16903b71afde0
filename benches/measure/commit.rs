//! Measures appends per second, and the latency that a commit adds to a turn, at three turn rates.

use crate::support::{
    Cluster, Processes, cluster_options, create_program, direct_client, model_call, print_times,
};
use galenapick::{Client, ClusterOptions, StreamEvent};
use smol::Timer;
use std::time::{Duration, Instant};

/// Turns started per second.
const RATES: [u32; 3] = [50, 200, 500];

/// Duration of each rate.
const RATE_DURATION: Duration = Duration::from_secs(8);

/// Number of programs over which the turns are spread.
const PROGRAMS: usize = 400;

pub(crate) async fn measure() -> anyhow::Result<()> {
    for rate in RATES {
        let options = ClusterOptions {
            engines: 3,
            ..cluster_options(2, 0.05)
        };
        let cluster = Cluster::start(Processes, options).await?;
        let client = direct_client(&cluster, &["entry-1", "entry-2"]);
        measure_rate(&cluster, &client, rate).await?;
    }
    Ok(())
}

async fn measure_rate(cluster: &Cluster, client: &Client, rate: u32) -> anyhow::Result<()> {
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        programs.push(create_program(&client.starting_at(number)).await?);
    }
    let counts_before = cluster.platform.log.counts();
    let started = Instant::now();
    let turns = RATE_DURATION.as_secs() as u32 * rate;
    let mut tasks = Vec::new();
    for turn in 0..turns {
        Timer::at(started + RATE_DURATION * turn / turns).await;
        let client = client.starting_at(turn as usize);
        let program = programs[turn as usize % PROGRAMS];
        tasks.push(smol::spawn(async move {
            run_turn(&client, program, turn).await
        }));
    }
    let (mut commits, mut failed) = (Vec::new(), 0);
    for task in tasks {
        match task.await {
            Ok(commit) => commits.push(commit),
            Err(error) => {
                failed += 1;
                if failed == 1 {
                    println!("first failure: {error}");
                }
            }
        }
    }
    let elapsed = started.elapsed().as_secs_f64();
    let counts_after = cluster.platform.log.counts();
    println!(
        "{rate} turns/s: {} committed, {failed} failed, {:.1} appends/s, {} throttled, {:.1} KB/s",
        commits.len(),
        (counts_after.appends - counts_before.appends) as f64 / elapsed,
        counts_after.throttled - counts_before.throttled,
        (counts_after.append_bytes - counts_before.append_bytes) as f64 / elapsed / 1_000.0,
    );
    print_times("last token to the committed answer", &mut commits);
    Ok(())
}

/// Runs a turn and returns the time from the last token to the committed answer.
async fn run_turn(client: &Client, program: u128, turn: u32) -> anyhow::Result<Duration> {
    let request = model_call(&format!("turn {turn}"), 4).key(turn.to_string());
    let mut stream = client.stream(program, &request).await?;
    let mut last_token = Instant::now();
    while let Some(event) = stream.next().await {
        if let StreamEvent::Tokens(_) = event? {
            last_token = Instant::now();
        }
    }
    Ok(last_token.elapsed())
}
