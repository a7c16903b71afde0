//! Measurements of the whole system, with real processes on loopback addresses.
//!
//! `cargo bench --bench measure -- NAME` runs one of `latency`, `stream`, `takeover`, `commit` and
//! `shutdown`. Without a name, all run in this order.

mod commit;
mod latency;
mod shutdown;
mod stream;
mod support;
mod takeover;

use std::env;

const ALL: [&str; 5] = ["latency", "stream", "takeover", "commit", "shutdown"];

fn main() -> anyhow::Result<()> {
    // Cargo adds the argument `--bench`.
    let args: Vec<String> = env::args().skip(1).filter(|arg| arg != "--bench").collect();
    let names = match args.is_empty() {
        true => ALL.map(str::to_owned).to_vec(),
        false => args,
    };
    for name in names {
        println!("# {name}");
        smol::block_on(run(&name))?;
    }
    Ok(())
}

async fn run(name: &str) -> anyhow::Result<()> {
    match name {
        "latency" => latency::measure().await,
        "stream" => stream::measure().await,
        "takeover" => takeover::measure().await,
        "commit" => commit::measure().await,
        "shutdown" => shutdown::measure().await,
        other => anyhow::bail!("there is no measurement {other:?}; there are {ALL:?}"),
    }
}
