//! The options of the demonstration.

use lexopt::{Arg, Parser, ValueExt};

/// What the demonstration runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoOptions {
    /// Programs.
    pub programs: usize,
    /// Seed of the programs and the faults.
    pub seed: u64,
    /// Whether faults are injected while they run.
    pub faults: bool,
    /// Whether the report is JSON.
    pub json: bool,
    /// Whether progress is not shown.
    pub quiet: bool,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self {
            programs: 80,
            seed: 1,
            faults: false,
            json: false,
            quiet: false,
        }
    }
}

impl DemoOptions {
    /// The options of `galenapick demo`.
    pub const HELP: &str = "\
Usage: galenapick demo [options]

Runs a whole system on loopback with stand-ins of the engines, services and platform, sends it a
mix of programs, and prints what the stand-ins counted. Exit code 1 if a promise broke.

  --programs NUMBER    programs to run (default 80)
  --seed NUMBER        seed of the programs and the faults (default 1)
  --faults             kill nodes, silence links, stop the log, lose answers meanwhile
  --json               print one JSON object
  --quiet              show no progress
";

    /// Reads the options; `None` if help is asked for.
    pub fn parse(parser: &mut Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("programs") => options.programs = parser.value()?.parse()?,
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("faults") => options.faults = true,
                Arg::Long("json") => options.json = true,
                Arg::Long("quiet") => options.quiet = true,
                Arg::Short('h') | Arg::Long("help") => return Ok(None),
                other => return Err(other.unexpected()),
            }
        }
        if options.programs == 0 {
            return Err("--programs must be above 0".into());
        }
        Ok(Some(options))
    }
}
