//! Measures the tokens per second of the engine stand-ins, read through the adapter.
//!
//! `cargo bench --bench standin -- [ENGINES] [STREAMS] [TOKENS] [CHUNK]`

use futures_lite::future::block_on;
use galenapick::protocol::engine::{Engine, EngineEvent, EngineStream, GenerateRequest};
use galenapick::standin::{EngineConfig, EngineStandin, TokenLedger};
use galenapick::{HttpEngine, Message, Role};
use std::io::Read;
use std::time::{Duration, Instant};

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Request timeout, longer than any run.
const TIMEOUT: Duration = Duration::from_secs(600);

fn main() -> anyhow::Result<()> {
    let numbers: Vec<u32> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    if let [engines, streams, tokens, chunk] = *numbers.as_slice() {
        return block_on(run(engines, streams, tokens, chunk));
    }
    for (engines, streams, chunk) in [(1, 96, 1), (1, 500, 1), (20, 96, 1), (20, 96, 8)] {
        block_on(run(engines, streams, 200, chunk))?;
    }
    Ok(())
}

/// Measures one configuration. Every engine runs at full speed in real time.
async fn run(engines: u32, streams: u32, tokens: u32, chunk_tokens: u32) -> anyhow::Result<()> {
    let config = EngineConfig {
        max_running: streams as usize,
        chunk_tokens,
        cache_tokens: u64::MAX / 2,
        decode_per_stream: Duration::from_micros(100),
        ..EngineConfig::default()
    };
    let ledger = TokenLedger::default();
    let mut standins = Vec::new();
    for _ in 0..engines {
        standins.push(EngineStandin::start(config.clone(), ledger.clone()).await?);
    }
    let (started, cpu) = (Instant::now(), process_cpu_s());
    let mut readers = Vec::new();
    for (index, standin) in standins.iter().enumerate() {
        let engine = HttpEngine::new(&standin.url(), TIMEOUT);
        for stream in 0..streams {
            let call = u128::from(stream) << 32 | index as u128;
            let read = read_stream(engine.clone(), call, tokens);
            readers.push(trillium_smol::async_global_executor::spawn(read));
        }
    }
    let mut total = 0;
    for reader in readers {
        total += reader.await?;
    }
    let (wall_s, cpu) = (started.elapsed().as_secs_f64(), process_cpu_s() - cpu);
    let generated = ledger.counts().completion_tokens;
    anyhow::ensure!(
        generated == total,
        "{generated} tokens were generated and {total} read"
    );
    println!(
        "{engines} engines x {streams} streams, chunks of {chunk_tokens}: {total} tokens in \
         {wall_s:.2} s, {:.0} tokens/s, cpu {cpu:.2} s, {:.0} tokens a cpu second",
        total as f64 / wall_s,
        total as f64 / cpu,
    );
    Ok(())
}

/// Reads one stream to its end and returns the number of tokens.
async fn read_stream(engine: HttpEngine, call: u128, max_tokens: u32) -> anyhow::Result<u64> {
    let request = GenerateRequest {
        call,
        program: call,
        model: "matcher-llm".to_owned(),
        messages: vec![Message::new(Role::User, format!("call {call}"))],
        max_tokens,
    };
    let mut stream = engine.generate(request).await?;
    let mut tokens = 0;
    while let Some(event) = stream.next().await {
        if let EngineEvent::Delta { tokens: count, .. } = event? {
            tokens += u64::from(count);
        }
    }
    Ok(tokens)
}

/// Returns the processor time of this process in seconds.
fn process_cpu_s() -> f64 {
    let mut stat = String::new();
    let read = std::fs::File::open("/proc/self/stat").and_then(|mut f| f.read_to_string(&mut stat));
    if read.is_err() {
        return 0.0;
    }
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks: f64 = [11, 12]
        .iter()
        .filter_map(|&i| fields.get(i)?.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}
