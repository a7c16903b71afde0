//! Measures the time from an accepted change until every node uses it.
//!
//! `GALENAPICK_TOKEN=any cargo run --example configuration_spread` starts 4 entries and 40 sidecars
//! in one process, makes 50 changes through the command-line tool, and prints the time from the
//! acceptance to the last node. With the argument `outage`, the log refuses connections as soon as
//! a change is accepted.

use anyhow::Context;
use galenapick::protocol::vms::NodeRole;
use galenapick::standin::{LogConfig, LogControl, LogStandin, Outage};
use galenapick::{Daemon, Settings, run_tool};
use std::process::ExitCode;
use std::time::{Duration, Instant};

const ENTRIES: usize = 4;
const SIDECARS: usize = 40;
const CHANGES: u32 = 50;

/// Maximum wait for one change to reach all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> anyhow::Result<()> {
    let outage = std::env::args().nth(1).as_deref() == Some("outage");
    smol::block_on(measure(outage))
}

async fn measure(outage: bool) -> anyhow::Result<()> {
    let log = LogStandin::start(LogConfig::default()).await?;
    let nodes = start_nodes(&log).await?;
    let entry = nodes[SIDECARS].http_address().to_string();
    let (mut from_request, mut from_acceptance) = (Vec::new(), Vec::new());
    let mut version = 0;
    for number in 0..CHANGES {
        let requested_at = Instant::now();
        apply_change(&entry, number, version).await?;
        let accepted_at = Instant::now();
        set_outage(&log, outage).await;
        version = newest_version(&nodes);
        while nodes
            .iter()
            .any(|node| node.configuration_version() < version)
        {
            anyhow::ensure!(
                accepted_at.elapsed() < CHANGE_TIMEOUT,
                "the change did not reach all nodes in time"
            );
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        from_request.push(requested_at.elapsed().as_millis());
        from_acceptance.push(accepted_at.elapsed().as_millis());
        set_outage(&log, false).await;
    }
    println!("{CHANGES} changes on {ENTRIES} entries and {SIDECARS} sidecars, outage: {outage}");
    print_times("request to last node", &mut from_request);
    print_times(
        "acceptance as the operator hears it to last node",
        &mut from_acceptance,
    );
    Ok(())
}

fn print_times(label: &str, times_ms: &mut [u128]) {
    times_ms.sort_unstable();
    let (median, max) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
    println!("{label}: median {median} ms, max {max} ms");
}

fn newest_version(nodes: &[Daemon]) -> u64 {
    let versions = nodes.iter().map(Daemon::configuration_version);
    versions.max().unwrap_or(0)
}

async fn set_outage(log: &LogStandin, is_down: bool) {
    let outage = Some(if is_down {
        Outage::Refuse
    } else {
        Outage::None
    });
    let control = LogControl {
        outage,
        ..LogControl::default()
    };
    log.control(control).await;
}

/// Starts sidecars and then entries, and adds all nodes to each entry.
async fn start_nodes(log: &LogStandin) -> anyhow::Result<Vec<Daemon>> {
    let mut nodes = Vec::new();
    let endpoint = "[endpoint]\nkind = engine\nurl = http://127.0.0.1:9\n";
    for number in 0..SIDECARS {
        nodes.push(Daemon::start(settings(&format!("s{number}"), "sidecar", endpoint)?).await?);
    }
    let platform = format!("[platform]\nlog_url = {}\n", log.url());
    for number in 0..ENTRIES {
        nodes.push(Daemon::start(settings(&format!("n{number}"), "entry", &platform)?).await?);
    }
    for entry in &nodes[SIDECARS..] {
        for (number, node) in nodes.iter().enumerate() {
            let (name, role) = match number.checked_sub(SIDECARS) {
                None => (format!("s{number}"), NodeRole::Sidecar),
                Some(number) => (format!("n{number}"), NodeRole::Entry),
            };
            entry.add_node(&name, role, node.link_address(), "a");
        }
    }
    smol::Timer::after(Duration::from_secs(3)).await;
    Ok(nodes)
}

fn settings(name: &str, role: &str, sections: &str) -> anyhow::Result<Settings> {
    let token = std::env::var("GALENAPICK_TOKEN").context("GALENAPICK_TOKEN is not set")?;
    let hash = blake3::hash(token.as_bytes()).to_hex();
    let text = format!(
        "[node]\nname = {name}\nrole = {role}\nfailure_domain = a\n\
         [keys]\nsecret = the deployment's own secret\n[operators]\nalice = {hash}\n\
         [partition]\ncount = 4\n{sections}"
    );
    Ok(Settings::parse(&text, name, |_| None)?)
}

/// Applies a document with the command-line tool.
async fn apply_change(entry: &str, number: u32, replaces: u64) -> anyhow::Result<()> {
    let hash = blake3::hash(b"member").to_hex();
    let document = format!(
        "[environment]\nname = shop\n[member one]\ntoken_hash = {hash}\n[limits]\nopen_calls = {}\n",
        number + 1
    );
    let path = std::env::temp_dir().join(format!("spread-{}.ini", std::process::id()));
    std::fs::write(&path, document)?;
    let file = path.display().to_string();
    let replaces = replaces.to_string();
    let args = [
        "env",
        "apply",
        &file,
        "--replaces",
        &replaces,
        "--entry",
        entry,
    ];
    let args: Vec<std::ffi::OsString> = args.map(Into::into).to_vec();
    let code = smol::unblock(move || run_tool(args)).await;
    anyhow::ensure!(
        code == ExitCode::SUCCESS,
        "change {number} was not accepted"
    );
    Ok(())
}
