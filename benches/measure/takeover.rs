//! Time from the SIGKILL of an owner to the next successful turn of its programs.

use crate::support::{Cluster, Processes, ask, begin, client, print_times, small};
use galenapick::ids::{Epoch, NodeId, ProgramId, partition_of};
use galenapick::{ClusterOptions, Record, RetryDeadline, Timeouts};
use smol::Timer;
use std::time::{Duration, Instant};

/// Kills.
const KILLS: usize = 20;

/// Programs of the killed owner in each round.
const PROGRAMS: usize = 6;

/// Partitions of the system.
const PARTITIONS: u16 = 8;

/// Quiet time after a node has started again.
const SETTLE: Duration = Duration::from_secs(2);

pub(crate) async fn measure() -> anyhow::Result<()> {
    let options = ClusterOptions {
        partitions: PARTITIONS,
        ..small(3, 0.05)
    };
    let mut cluster = Cluster::start(Processes, options).await?;
    let names = ["entry-1", "entry-2", "entry-3"];
    let (mut first, mut last) = (Vec::new(), Vec::new());
    for round in 0..KILLS {
        let victim = names[round % names.len()];
        let others: Vec<&str> = names.into_iter().filter(|name| *name != victim).collect();
        let client = client(&cluster, &others).with_timeouts(Timeouts {
            reply: Duration::from_secs(2),
            answer: Duration::from_secs(10),
            silence: Duration::from_secs(5),
        });
        let programs = programs_of(&cluster, &client, victim).await?;
        cluster.kill_node(victim);
        let killed = Instant::now();
        let turns = programs.iter().map(async |program| {
            let request = ask("and now?", 4).key("after");
            let patience = RetryDeadline::after(Duration::from_secs(60));
            let attempts = client.call_with_retry(*program, &request, patience).await;
            attempts.result.map(|_| killed.elapsed())
        });
        let mut times = Vec::new();
        for time in futures_util::future::join_all(turns).await {
            times.push(time?);
        }
        first.extend(times.iter().min());
        last.extend(times.iter().max());
        cluster.start_node(victim).await?;
        Timer::after(SETTLE).await;
    }
    print_times("kill to the first program's next turn", &mut first);
    print_times("kill to the last program's next turn", &mut last);
    Ok(())
}

/// Begins programs until enough of them belong to a node, each with a turn.
async fn programs_of(
    cluster: &Cluster,
    client: &galenapick::Client,
    owner: &str,
) -> anyhow::Result<Vec<ProgramId>> {
    let mut programs = Vec::new();
    let give_up = Instant::now() + Duration::from_secs(60);
    while programs.len() < PROGRAMS {
        anyhow::ensure!(Instant::now() < give_up, "{owner} owns nothing");
        let program = begin(client).await?;
        if owner_of(cluster, program).as_deref() == Some(owner) {
            let patience = RetryDeadline::after(Duration::from_secs(20));
            let request = ask("first?", 4).key("before");
            let asked = client.call_with_retry(program, &request, patience).await;
            asked.result?;
            programs.push(program);
        }
    }
    Ok(programs)
}

/// The node whose claim is in force, read from the log itself.
fn owner_of(cluster: &Cluster, program: ProgramId) -> Option<NodeId> {
    let stream = format!("partition-{}", partition_of(program, PARTITIONS));
    let mut epoch: Epoch = 0;
    let mut owner = None;
    for record in cluster.platform.log.records(&stream) {
        let decoded = ciborium::from_reader(record.data.as_slice());
        if let Ok(Record::Claim(claim)) = decoded
            && claim.expects == epoch
        {
            epoch = record.offset;
            owner = Some(claim.owner);
        }
    }
    owner
}
