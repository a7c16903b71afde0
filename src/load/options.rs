//! What the load is.

use crate::workload::Deployment;
use lexopt::{Arg, Parser, ValueExt};
use std::time::Duration;

/// What the load is.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Entries, each `IP:port`; programs are spread over them.
    pub entries: Vec<String>,
    /// The caller's token.
    pub token: String,
    /// Whose programs are run.
    pub deployment: Deployment,
    /// Programs that begin a second.
    pub rate_per_s: f64,
    /// How long programs begin.
    pub time: Duration,
    /// Seed of the programs and of their times.
    pub seed: u64,
    /// Multiplies the pauses in programs.
    pub pause_scale: f64,
    /// Whether the engines are stand-ins, so that answers can be checked.
    pub check_answers: bool,
    /// Whether the report is JSON.
    pub json: bool,
    /// Where a line for each program is written.
    pub csv: Option<std::path::PathBuf>,
}

impl LoadOptions {
    /// The options of `galenapick load`.
    pub const HELP: &str = "\
Usage: galenapick load --entry IP:PORT --token TOKEN [options]

Runs programs that begin at random times, whether or not earlier ones are done.

  --entry IP:PORT      an entry; may be given several times
  --token TOKEN        the caller's token, or GALENAPICK_TOKEN in the environment
  --deployment NAME    saa-mubadala or cedarfen (default saa-mubadala)
  --rate NUMBER        programs that begin a second (default 2)
  --seconds NUMBER     how long programs begin (default 30)
  --seed NUMBER        seed of the programs and their times (default 1)
  --pause-scale NUMBER multiplies the pauses in programs (default 1)
  --check              check answers: the engines are stand-ins
  --csv FILE           write a line for each program
  --json               print the report as JSON
";

    /// Reads the options; `None` if help is asked for.
    pub fn parse(parser: &mut Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("entry") => options.entries.push(parser.value()?.string()?),
                Arg::Long("token") => options.token = parser.value()?.string()?,
                Arg::Long("deployment") => options.deployment = parser.value()?.parse()?,
                Arg::Long("rate") => options.rate_per_s = parser.value()?.parse()?,
                Arg::Long("seconds") => {
                    options.time = Duration::try_from_secs_f64(parser.value()?.parse()?)
                        .map_err(|why| why.to_string())?;
                }
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("pause-scale") => options.pause_scale = parser.value()?.parse()?,
                Arg::Long("check") => options.check_answers = true,
                Arg::Long("csv") => options.csv = Some(parser.value()?.into()),
                Arg::Long("json") => options.json = true,
                Arg::Short('h') | Arg::Long("help") => return Ok(None),
                other => return Err(other.unexpected()),
            }
        }
        options.check()?;
        Ok(Some(options))
    }

    fn check(&self) -> Result<(), lexopt::Error> {
        if self.entries.is_empty() {
            return Err("give at least one --entry".into());
        }
        if self.token.is_empty() {
            return Err("give --token or set GALENAPICK_TOKEN".into());
        }
        if !(self.rate_per_s.is_finite() && self.rate_per_s > 0.0) {
            return Err("--rate must be above 0".into());
        }
        if !(self.pause_scale.is_finite() && self.pause_scale >= 0.0) {
            return Err("--pause-scale must not be below 0".into());
        }
        Ok(())
    }
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            token: std::env::var("GALENAPICK_TOKEN").unwrap_or_default(),
            deployment: Deployment::SaaMubadala,
            rate_per_s: 2.0,
            time: Duration::from_secs(30),
            seed: 1,
            pause_scale: 1.0,
            check_answers: false,
            json: false,
            csv: None,
        }
    }
}
