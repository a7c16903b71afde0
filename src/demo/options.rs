//! Command-line options of the demonstration.

use lexopt::{Arg, Parser, ValueExt};

/// Options of the demonstration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoOptions {
    /// Number of programs; above 0. Default: 80.
    pub programs: usize,
    /// Seed of the programs and the faults. Default: 1.
    pub seed: u64,
    /// Whether faults are injected while the programs run.
    pub faults: bool,
    /// Whether the report is printed as JSON.
    pub json: bool,
    /// Whether progress messages are suppressed.
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
    /// Text of `galenapick demo --help`.
    pub const HELP: &str = "\
Usage: galenapick demo [options]

Runs a cluster on loopback with stand-ins of the engines, services and platform, sends it a mix of
programs, and prints the counts of the stand-ins. Exit code 1 if a guarantee was violated.

  --programs NUMBER    programs to run (default 80)
  --seed NUMBER        seed of the programs and the faults (default 1)
  --faults             meanwhile kill nodes, silence links, stop the log and lose answers
  --json               print the report as one JSON object
  --quiet              do not print progress
";

    /// Parses the options. Returns `None` if help is requested.
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
