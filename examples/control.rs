//! Measures the cost of control traffic in an idle deployment: link bytes, CPU and memory per node.
//!
//! `cargo run --release --example control -- SIDECARS ENTRIES SECONDS`
//!
//! All nodes run in this process. CPU and memory are those of the process, including the
//! stand-ins, divided by the number of nodes. Bytes are counted at each node's own links.

use galenapick::protocol::vms::NodeRole;
use galenapick::standin::{EngineConfig, EngineStandin, LogConfig, LogStandin, TokenLedger};
use galenapick::{Daemon, Settings};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time for links to connect before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(5);

fn main() -> anyhow::Result<()> {
    let args: Vec<u64> = std::env::args()
        .skip(1)
        .map(|arg| arg.parse())
        .collect::<Result<_, _>>()?;
    let [sidecars, entries, seconds] = args[..] else {
        anyhow::bail!("usage: control SIDECARS ENTRIES SECONDS");
    };
    smol::block_on(measure(sidecars, entries, Duration::from_secs(seconds)))
}

async fn measure(sidecars: u64, entries: u64, duration: Duration) -> anyhow::Result<()> {
    let log = LogStandin::start(LogConfig::default()).await?;
    let engine = EngineStandin::start(EngineConfig::default(), TokenLedger::default()).await?;
    let before_kb = resident_kb()?;
    let mut peers = String::new();
    let mut nodes = Vec::new();
    for index in 0..sidecars {
        let endpoint = format!(
            "[endpoint]\nkind = engine\nurl = {}\nmodels = m\n",
            engine.url()
        );
        let daemon = Daemon::start(settings(&format!("s{index}"), "sidecar", &endpoint)?).await?;
        peers += &format!("s{index} = {}\n", daemon.link_address());
        nodes.push((NodeRole::Sidecar, daemon));
    }
    let sections = format!("[platform]\nlog_url = {}\n[peers]\n{peers}", log.url());
    for index in 0..entries {
        let daemon = Daemon::start(settings(&format!("n{index}"), "entry", &sections)?).await?;
        nodes.push((NodeRole::Entry, daemon));
    }
    connect_entries(&nodes);
    Timer::after(WARM_UP).await;
    let bytes_before: Vec<u64> = nodes.iter().map(|(_, node)| link_bytes(node)).collect();
    let cpu_before = cpu_time()?;
    let started = Instant::now();
    Timer::after(duration).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_s = (cpu_time()? - cpu_before).as_secs_f64();
    let kb = resident_kb()?.saturating_sub(before_kb);
    let count = nodes.len() as f64;
    println!("sidecars {sidecars}, entries {entries}, {elapsed_s:.0} s");
    for role in [NodeRole::Entry, NodeRole::Sidecar] {
        let rates = nodes.iter().zip(&bytes_before);
        let rates = rates.filter(|((r, _), _)| *r == role);
        let mut rates: Vec<f64> = rates
            .map(|((_, node), before)| (link_bytes(node) - before) as f64 / elapsed_s)
            .collect();
        rates.sort_by(f64::total_cmp);
        let (median, max) = (rates[rates.len() / 2], rates[rates.len() - 1]);
        println!("  {role}: {median:.0} bytes/s median, {max:.0} max");
    }
    println!(
        "  CPU {:.2} % of a core a node",
        100.0 * cpu_s / elapsed_s / count
    );
    println!("  memory {:.0} KB a node", kb as f64 / count);
    for (_, node) in nodes {
        node.kill();
    }
    Ok(())
}

fn connect_entries(nodes: &[(NodeRole, Daemon)]) {
    let entries = nodes.iter().filter(|(role, _)| *role == NodeRole::Entry);
    let entries: Vec<&Daemon> = entries.map(|(_, node)| node).collect();
    for entry in &entries {
        for (index, other) in entries.iter().enumerate() {
            let name = format!("n{index}");
            entry.add_node(&name, NodeRole::Entry, other.link_address(), "a");
        }
    }
}

fn link_bytes(node: &Daemon) -> u64 {
    let (sent, received) = node.link_bytes();
    sent + received
}

fn settings(name: &str, role: &str, sections: &str) -> anyhow::Result<Settings> {
    let text = format!(
        "[node]\nname = {name}\nrole = {role}\nfailure_domain = a\n\
         [listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         [keys]\nsecret = a secret of this measurement\n{sections}"
    );
    Settings::parse(&text, "control.ini", |_| None).map_err(|faults| anyhow::anyhow!("{faults}"))
}

/// Returns the CPU time of this process.
fn cpu_time() -> anyhow::Result<Duration> {
    let threads = std::fs::read_dir("/proc/self/task")?;
    let mut total_ns = 0;
    for thread in threads {
        let path = thread?.path().join("schedstat");
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let ns = text.split_whitespace().next().unwrap_or("0");
        total_ns += ns.parse::<u64>()?;
    }
    Ok(Duration::from_nanos(total_ns))
}

/// Returns the resident memory of this process.
fn resident_kb() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(kb.unwrap_or("0").parse()?)
}
