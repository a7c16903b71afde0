//! The `standin` subcommand: runs one stand-in as a separate process.

use super::{
    EngineConfig, EngineStandin, LogConfig, LogStandin, ServiceConfig, ServiceStandin, TokenLedger,
    VmsConfig, VmsStandin, WeightsConfig, WeightsStandin,
};
use anyhow::{Context, bail, ensure};
use lexopt::Parser;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::future::pending;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// The help text for the arguments of [`run`].
pub const USAGE: &str = "\
galenapick standin KIND [--listen IP:PORT] [OPTIONS]

Runs a stand-in for an external system. It prints its URL on the first line and runs until it is
terminated. POST /control changes its behaviour, GET /counts returns its counters.

engine:   --time-scale X  --max-running N  --prefill-per-s X  --decode-base-ms X
          --decode-per-stream-ms X  --chunk-tokens N  --cache-tokens N  --load-lag-ms N
          --event-lag-ms N  --event-loss SHARE  --model NAME=VERSION (again for more)
          --load-time-ms N  --ignore-fence  --seed N
log:      --appends-per-s X  --burst X  --retention-ms N  --retention-records N  --latency-ms N
          --seed N
service:  --work-ms N  --work-spread-ms N  --seed N
vms:      --lag-ms N  --vms JSON
weights:  --grants-per-s X  --burst X";

/// Runs the stand-in that the first argument names until the process is terminated.
///
/// Returns an error if the arguments are invalid or if the address cannot be bound.
pub async fn run(args: impl IntoIterator<Item = OsString>) -> anyhow::Result<()> {
    let mut parser = Parser::from_args(args);
    let Some(Value(kind)) = parser.next()? else {
        bail!("the kind of stand-in is missing\n\n{USAGE}");
    };
    let kind = kind.string()?;
    match kind.as_str() {
        "engine" => run_engine(&mut parser).await,
        "log" => run_log(&mut parser).await,
        "service" => run_service(&mut parser).await,
        "vms" => run_vms(&mut parser).await,
        "weights" => run_weights(&mut parser).await,
        _ => bail!("unknown kind of stand-in {kind:?}\n\n{USAGE}"),
    }
}

/// Command-line options of one kind of stand-in.
trait Options {
    /// Applies an option without a value. Returns `false` if the name is unknown.
    fn set_flag(&mut self, _name: &str) -> bool {
        false
    }

    /// Applies an option with a value. Returns `false` if the name is unknown, and an error if the
    /// value is invalid.
    fn set_option(&mut self, name: &str, value: &OsString) -> anyhow::Result<bool>;
}

/// Reads the arguments after the kind into `options`. Returns the listen address, which defaults to a
/// free port on the loopback address.
fn read_options(parser: &mut Parser, options: &mut impl Options) -> anyhow::Result<SocketAddr> {
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    while let Some(arg) = parser.next()? {
        let Long(name) = arg else {
            return Err(arg.unexpected().into());
        };
        let name = name.to_owned();
        if options.set_flag(&name) {
            continue;
        }
        let value = parser.value()?;
        if name == "listen" {
            listen = parse(&name, &value)?;
        } else if !options.set_option(&name, &value)? {
            return Err(Long(&name).unexpected().into());
        }
    }
    Ok(listen)
}

/// Parses the value of an option.
fn parse<T: FromStr>(name: &str, value: &OsString) -> anyhow::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = value.to_str().context("an argument is not UTF-8")?;
    text.parse()
        .with_context(|| format!("invalid value {text:?} for --{name}"))
}

/// Parses a finite number greater than 0.
fn parse_positive(name: &str, value: &OsString) -> anyhow::Result<f64> {
    let number: f64 = parse(name, value)?;
    ensure!(
        number.is_finite() && number > 0.0,
        "--{name} must be a finite number greater than 0"
    );
    Ok(number)
}

/// Parses a share from 0 to 1.
fn parse_share(name: &str, value: &OsString) -> anyhow::Result<f64> {
    let number: f64 = parse(name, value)?;
    ensure!(
        (0.0..=1.0).contains(&number),
        "--{name} must be between 0 and 1"
    );
    Ok(number)
}

/// Parses a duration in milliseconds, with an optional fraction.
fn parse_millis(name: &str, value: &OsString) -> anyhow::Result<Duration> {
    let number: f64 = parse(name, value)?;
    Duration::try_from_secs_f64(number / 1000.0)
        .with_context(|| format!("invalid value {number} for --{name}"))
}

/// Prints the URL of a stand-in and keeps the stand-in running until the process is terminated.
async fn run_until_stopped<T>(url: String, standin: T) -> anyhow::Result<()> {
    println!("{url}");
    pending::<()>().await;
    drop(standin);
    Ok(())
}

impl Options for EngineConfig {
    fn set_flag(&mut self, name: &str) -> bool {
        let is_known = name == "ignore-fence";
        if is_known {
            self.checks_fence = false;
        }
        is_known
    }

    fn set_option(&mut self, name: &str, value: &OsString) -> anyhow::Result<bool> {
        match name {
            "time-scale" => self.time_scale = parse_positive(name, value)?,
            "max-running" => self.max_running = parse(name, value)?,
            "prefill-per-s" => self.prefill_tokens_per_s = parse_positive(name, value)?,
            "decode-base-ms" => self.decode_base = parse_millis(name, value)?,
            "decode-per-stream-ms" => self.decode_per_stream = parse_millis(name, value)?,
            "chunk-tokens" => self.chunk_tokens = parse(name, value)?,
            "cache-tokens" => self.cache_tokens = parse(name, value)?,
            "load-lag-ms" => self.load_lag = parse_millis(name, value)?,
            "event-lag-ms" => self.event_lag = parse_millis(name, value)?,
            "event-loss" => self.event_loss = parse_share(name, value)?,
            "model" => self.models.push(parse_model(value)?),
            "load-time-ms" => self.load_time = parse_millis(name, value)?,
            "seed" => self.seed = parse(name, value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

/// Parses `NAME=VERSION`.
fn parse_model(value: &OsString) -> anyhow::Result<(String, u32)> {
    let text = value.to_str().context("an argument is not UTF-8")?;
    let (name, version) = text
        .split_once('=')
        .with_context(|| format!("--model must be NAME=VERSION, got {text:?}"))?;
    Ok((name.to_owned(), version.parse().context("--model")?))
}

impl Options for LogConfig {
    fn set_option(&mut self, name: &str, value: &OsString) -> anyhow::Result<bool> {
        match name {
            "appends-per-s" => self.appends_per_s = parse_positive(name, value)?,
            "burst" => self.burst = parse_positive(name, value)?,
            "retention-ms" => self.retention = parse_millis(name, value)?,
            "retention-records" => self.retention_records = parse(name, value)?,
            "latency-ms" => self.latency = parse_millis(name, value)?,
            "seed" => self.seed = parse(name, value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

impl Options for ServiceConfig {
    fn set_option(&mut self, name: &str, value: &OsString) -> anyhow::Result<bool> {
        match name {
            "work-ms" => self.work = parse_millis(name, value)?,
            "work-spread-ms" => self.work_spread = parse_millis(name, value)?,
            "seed" => self.seed = parse(name, value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

impl Options for VmsConfig {
    fn set_option(&mut self, name: &str, value: &OsString) -> anyhow::Result<bool> {
        match name {
            "lag-ms" => self.lag = parse_millis(name, value)?,
            "vms" => {
                let text = value.to_str().context("an argument is not UTF-8")?;
                self.vms = serde_json::from_str(text).context("--vms")?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }
}

impl Options for WeightsConfig {
    fn set_option(&mut self, name: &str, value: &OsString) -> anyhow::Result<bool> {
        match name {
            "grants-per-s" => self.grants_per_s = parse_positive(name, value)?,
            "burst" => self.burst = parse_positive(name, value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

/// Runs an engine stand-in.
async fn run_engine(parser: &mut Parser) -> anyhow::Result<()> {
    let mut config = EngineConfig::default();
    let listen = read_options(parser, &mut config)?;
    let standin = EngineStandin::start_on(listen, config, TokenLedger::default()).await?;
    run_until_stopped(standin.url(), standin).await
}

/// Runs a log stand-in.
async fn run_log(parser: &mut Parser) -> anyhow::Result<()> {
    let mut config = LogConfig::default();
    let listen = read_options(parser, &mut config)?;
    let standin = LogStandin::start_on(listen, config).await?;
    run_until_stopped(standin.url(), standin).await
}

/// Runs a service stand-in.
async fn run_service(parser: &mut Parser) -> anyhow::Result<()> {
    let mut config = ServiceConfig::default();
    let listen = read_options(parser, &mut config)?;
    let standin = ServiceStandin::start_on(listen, config).await?;
    run_until_stopped(standin.url(), standin).await
}

/// Runs a VM list stand-in.
async fn run_vms(parser: &mut Parser) -> anyhow::Result<()> {
    let mut config = VmsConfig::default();
    let listen = read_options(parser, &mut config)?;
    let standin = VmsStandin::start_on(listen, config).await?;
    run_until_stopped(standin.url(), standin).await
}

/// Runs a weight store stand-in.
async fn run_weights(parser: &mut Parser) -> anyhow::Result<()> {
    let mut config = WeightsConfig::default();
    let listen = read_options(parser, &mut config)?;
    let standin = WeightsStandin::start_on(listen, config).await?;
    run_until_stopped(standin.url(), standin).await
}
