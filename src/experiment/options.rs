//! Command-line options of the policy experiment.

use super::faults::ExperimentFault;
use super::mix::{self, Deployment};
use super::policy::{Component, Policy};
use super::{chart, report, runs};
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use strum::IntoEnumIterator;

/// Compares scheduling policies on seeded mixes of programs.
///
/// ```
/// let arguments = ["--deployment", "pnw", "--load", "50", "--seeds", "1", "--seconds", "10"];
/// let mut parser = lexopt::Parser::from_args(arguments);
/// let experiment = galenapick::PolicyExperiment::parse(&mut parser).unwrap().unwrap();
/// let mut table = Vec::new();
/// experiment.run(&mut table).unwrap();
/// assert!(String::from_utf8(table).unwrap().contains("galenapick"));
/// ```
#[derive(Clone, Debug)]
pub struct PolicyExperiment {
    /// Names of deployments; empty for all.
    deployments: Vec<String>,
    /// Loads in percent of the engines' capacity; above 0.
    loads: Vec<u32>,
    /// Number of runs of each case, with the seeds 1 to this number.
    seeds: u64,
    /// Virtual time during which programs arrive.
    arrival_period: Duration,
    /// Faults. Each one gets its own table.
    faults: Vec<ExperimentFault>,
    /// Whether to disable each component of the galenapick policy in turn, instead of comparing it
    /// with the baseline policies.
    ablation: bool,
    /// Directory for the CSV file and the charts; `None` to write no files.
    output_dir: Option<PathBuf>,
    /// Number of threads; above 0.
    jobs: usize,
}

impl Default for PolicyExperiment {
    fn default() -> Self {
        Self {
            deployments: Vec::new(),
            loads: Vec::new(),
            seeds: 5,
            arrival_period: Duration::from_secs(240),
            faults: Vec::new(),
            ablation: false,
            output_dir: None,
            jobs: 4,
        }
    }
}

impl PolicyExperiment {
    /// Text of `galenapick experiment policies --help`.
    pub const HELP: &str = "\
Compares scheduling policies on seeded mixes of programs, in virtual time.

Usage: galenapick experiment policies [OPTIONS]

  --deployment NAME  tn-north or pnw; may be repeated (default: both)
  --load PERCENT     load in percent of the engines' capacity; may be repeated
                     (default: 50, 80, 95, 120)
  --seeds N          runs of each case, with seeds 1 to N (default: 5)
  --seconds N        virtual time during which programs arrive (default: 240)
  --fault NAME       none, dead, slow, late-loads, lost-events, domain-lost or all;
                     may be repeated (default: none)
  --ablation         disable each component of the galenapick policy in turn
  --out DIR          write policies.csv and an SVG for each deployment and fault to DIR
  --jobs N           number of threads (default: 4)
";

    /// Parses the rest of a command line. Returns `None` if it requests help.
    ///
    /// Fails on unknown options, deployments and faults, and on values that must be above 0.
    pub fn parse(parser: &mut lexopt::Parser) -> Result<Option<Self>> {
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("deployment") => options.deployments.push(parser.value()?.string()?),
                Long("load") => options.loads.push(parser.value()?.parse()?),
                Long("seeds") => options.seeds = parser.value()?.parse()?,
                Long("seconds") => {
                    options.arrival_period = Duration::from_secs(parser.value()?.parse()?)
                }
                Long("fault") => options.add_fault(&parser.value()?.string()?)?,
                Long("ablation") => options.ablation = true,
                Long("out") => options.output_dir = Some(parser.value()?.into()),
                Long("jobs") => options.jobs = parser.value()?.parse()?,
                Short('h') | Long("help") => return Ok(None),
                other => return Err(other.unexpected().into()),
            }
        }
        options.validate()?;
        Ok(Some(options))
    }

    /// Runs all cases, writes their tables to `out`, and writes the files if a directory is set.
    pub fn run(&self, out: &mut impl Write) -> Result<()> {
        let deployments = self.selected_deployments()?;
        let mut results = Vec::new();
        for deployment in &deployments {
            for fault in &self.faults {
                for load in &self.loads {
                    let case = runs::Case {
                        deployment,
                        load_percent: *load,
                        fault: *fault,
                        arrival_period: self.arrival_period,
                    };
                    let outcome = runs::run(&case, &self.policies(), self.seeds, self.jobs);
                    report::write_table(out, &outcome)?;
                    results.push(outcome);
                }
            }
        }
        match &self.output_dir {
            Some(dir) => self.write_files(dir, &results),
            None => Ok(()),
        }
    }

    fn write_files(&self, dir: &PathBuf, results: &[runs::CaseResult]) -> Result<()> {
        std::fs::create_dir_all(dir).with_context(|| format!("cannot create {}", dir.display()))?;
        let csv = dir.join("policies.csv");
        std::fs::write(&csv, report::csv(results))
            .with_context(|| format!("cannot write {}", csv.display()))?;
        for (name, svg) in chart::charts(results) {
            let path = dir.join(format!("{name}.svg"));
            std::fs::write(&path, svg)
                .with_context(|| format!("cannot write {}", path.display()))?;
        }
        Ok(())
    }

    fn add_fault(&mut self, name: &str) -> Result<()> {
        if name == "all" {
            self.faults.extend(ExperimentFault::iter());
            return Ok(());
        }
        let fault = name.parse();
        let fault = fault.with_context(|| format!("unknown fault {name}"))?;
        self.faults.push(fault);
        Ok(())
    }

    /// Fills in the default loads and faults, and rejects invalid values.
    fn validate(&mut self) -> Result<()> {
        if self.loads.is_empty() {
            self.loads = vec![50, 80, 95, 120];
        }
        if self.faults.is_empty() {
            self.faults = vec![ExperimentFault::None];
        }
        if self.seeds == 0
            || self.jobs == 0
            || self.arrival_period.is_zero()
            || self.loads.contains(&0)
        {
            bail!("loads, seeds, seconds and jobs must be above 0");
        }
        self.selected_deployments().map(|_| ())
    }

    fn selected_deployments(&self) -> Result<Vec<Deployment>> {
        let all = [mix::tn_north(), mix::pnw()];
        if self.deployments.is_empty() {
            return Ok(all.into());
        }
        for name in &self.deployments {
            if !all.iter().any(|deployment| deployment.name == name) {
                bail!("unknown deployment {name}");
            }
        }
        let is_selected = |deployment: &Deployment| {
            let names = &mut self.deployments.iter();
            names.any(|name| name == deployment.name)
        };
        Ok(all.into_iter().filter(is_selected).collect())
    }

    fn policies(&self) -> Vec<Policy> {
        if self.ablation {
            let ablated = Component::iter().map(Policy::Without);
            return [Policy::Galenapick].into_iter().chain(ablated).collect();
        }
        vec![
            Policy::RoundRobin,
            Policy::LeastLoaded,
            Policy::PrefixSticky,
            Policy::Galenapick,
        ]
    }
}
