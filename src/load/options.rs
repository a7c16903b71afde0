//! Options of the load generator.

use crate::workload::Deployment;
use lexopt::{Arg, Parser, ValueExt};
use std::time::Duration;

/// Options of the load generator.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Addresses of the entries, each as `IP:port`. Programs are distributed over them.
    pub entries: Vec<String>,
    /// The caller's bearer token. Defaults to the environment variable `GALENAPICK_TOKEN`.
    pub token: String,
    /// The deployment whose programs are run.
    pub deployment: Deployment,
    /// Mean arrival rate, in programs per second.
    pub rate_per_s: f64,
    /// Duration of the period in which programs start.
    pub duration: Duration,
    /// Seed of the programs and of their arrival times.
    pub seed: u64,
    /// Factor on the pauses in programs.
    pub pause_scale: f64,
    /// Whether to check the content of answers. This requires that engines and services are stand-ins.
    pub check_answers: bool,
    /// Whether to print the report as JSON.
    pub json: bool,
    /// Path of a CSV file with a line for each program; `None` writes no file.
    pub csv: Option<std::path::PathBuf>,
}

impl LoadOptions {
    /// The help text of `galenapick load`.
    pub const HELP: &str = "\
Usage: galenapick load --entry IP:PORT --token TOKEN [options]

Starts programs at random times, whether or not earlier programs have finished.

  --entry IP:PORT      an entry; may be given several times
  --token TOKEN        the caller's token, or GALENAPICK_TOKEN in the environment
  --deployment NAME    saa-mubadala or cedarfen (default saa-mubadala)
  --rate NUMBER        mean number of programs started per second (default 2)
  --seconds NUMBER     time during which programs are started (default 30)
  --seed NUMBER        seed of the programs and their start times (default 1)
  --pause-scale NUMBER factor on the pauses in programs (default 1)
  --check              check answers; requires engines and services to be stand-ins
  --csv FILE           write a CSV file with a line for each program
  --json               print the report as JSON
";

    /// Parses and validates the options. Returns `None` if help is requested.
    pub fn parse(parser: &mut Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("entry") => options.entries.push(parser.value()?.string()?),
                Arg::Long("token") => options.token = parser.value()?.string()?,
                Arg::Long("deployment") => options.deployment = parser.value()?.parse()?,
                Arg::Long("rate") => options.rate_per_s = parser.value()?.parse()?,
                Arg::Long("seconds") => {
                    options.duration = Duration::try_from_secs_f64(parser.value()?.parse()?)
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
        options.validate()?;
        Ok(Some(options))
    }

    fn validate(&self) -> Result<(), lexopt::Error> {
        if self.entries.is_empty() {
            return Err("at least one --entry is required".into());
        }
        if self.token.is_empty() {
            return Err("--token or GALENAPICK_TOKEN is required".into());
        }
        if !(self.rate_per_s.is_finite() && self.rate_per_s > 0.0) {
            return Err("--rate must be a finite number greater than 0".into());
        }
        if !(self.pause_scale.is_finite() && self.pause_scale >= 0.0) {
            return Err("--pause-scale must be a finite number not less than 0".into());
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
            duration: Duration::from_secs(30),
            seed: 1,
            pause_scale: 1.0,
            check_answers: false,
            json: false,
            csv: None,
        }
    }
}
