//! Measures the time from the SIGKILL of an owner to the next successful turn of its programs.

use crate::support::{
    Cluster, Processes, cluster_options, create_program, direct_client, model_call, print_times,
};
use galenapick::ids::{Epoch, NodeId, ProgramId, partition_of};
use galenapick::{ClusterOptions, Record, RetryDeadline, Timeouts};
use smol::Timer;
use std::time::{Duration, Instant};

/// Number of kills.
const KILLS: usize = 20;

/// Number of programs of the killed owner in each round.
const PROGRAMS: usize = 6;

/// Number of partitions of the cluster.
const PARTITIONS: u16 = 8;

/// Pause after a node's restart.
const RECOVERY_PAUSE: Duration = Duration::from_secs(2);

pub(crate) async fn measure() -> anyhow::Result<()> {
    let options = ClusterOptions {
        partitions: PARTITIONS,
        ..cluster_options(3, 0.05)
    };
    let mut cluster = Cluster::start(Processes, options).await?;
    let names = ["entry-1", "entry-2", "entry-3"];
    let (mut first_program, mut last_program) = (Vec::new(), Vec::new());
    for round in 0..KILLS {
        let victim = names[round % names.len()];
        let others: Vec<&str> = names.into_iter().filter(|name| *name != victim).collect();
        let client = direct_client(&cluster, &others).with_timeouts(Timeouts {
            reply: Duration::from_secs(2),
            answer: Duration::from_secs(10),
            silence: Duration::from_secs(5),
        });
        let programs = create_programs_of(&cluster, &client, victim).await?;
        cluster.kill_node(victim);
        let killed_at = Instant::now();
        let turns = programs.iter().map(async |program| {
            let request = model_call("and now?", 4).key("after");
            let retry_deadline = RetryDeadline::after(Duration::from_secs(60));
            let outcome = client
                .call_with_retry(*program, &request, retry_deadline)
                .await;
            outcome.result.map(|_| killed_at.elapsed())
        });
        let mut times = Vec::new();
        for time in futures_util::future::join_all(turns).await {
            times.push(time?);
        }
        first_program.extend(times.iter().min());
        last_program.extend(times.iter().max());
        cluster.start_node(victim).await?;
        Timer::after(RECOVERY_PAUSE).await;
    }
    print_times("kill to the first program's next turn", &mut first_program);
    print_times("kill to the last program's next turn", &mut last_program);
    Ok(())
}

/// Creates programs until a node owns enough of them, and runs a turn of each.
async fn create_programs_of(
    cluster: &Cluster,
    client: &galenapick::Client,
    owner: &str,
) -> anyhow::Result<Vec<ProgramId>> {
    let mut programs = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(60);
    while programs.len() < PROGRAMS {
        anyhow::ensure!(
            Instant::now() < deadline,
            "{owner} does not own enough programs in time"
        );
        let program = create_program(client).await?;
        if owner_of(cluster, program).as_deref() == Some(owner) {
            let retry_deadline = RetryDeadline::after(Duration::from_secs(20));
            let request = model_call("first?", 4).key("before");
            let reply = client
                .call_with_retry(program, &request, retry_deadline)
                .await;
            reply.result?;
            programs.push(program);
        }
    }
    Ok(programs)
}

/// Returns the owner of a program's partition according to the claims in the log.
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
