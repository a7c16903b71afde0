//! Options of the policy experiment.

use super::faults::ExperimentFault;
use super::mix::{self, Deployment};
use super::policy::{Part, Policy};
use super::{chart, report, runs};
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use strum::IntoEnumIterator;

/// Compares the policies on seeded mixes of programs.
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
    /// Deployments by name; empty for all.
    deployments: Vec<String>,
    /// Loads in percent of the capacity.
    loads: Vec<u32>,
    /// Seeds are 1 to this.
    seeds: u64,
    /// Time in which programs arrive.
    lasts: Duration,
    /// Faults, each in a table of its own.
    faults: Vec<ExperimentFault>,
    /// Whether each part of the product's policy is switched off in turn.
    ablation: bool,
    /// Where files are written, if at all.
    out: Option<PathBuf>,
    /// Threads.
    jobs: usize,
}

impl Default for PolicyExperiment {
    fn default() -> Self {
        Self {
            deployments: Vec::new(),
            loads: Vec::new(),
            seeds: 5,
            lasts: Duration::from_secs(240),
            faults: Vec::new(),
            ablation: false,
            out: None,
            jobs: 4,
        }
    }
}

impl PolicyExperiment {
    /// Text of `galenapick experiment policies --help`.
    pub const HELP: &str = "\
Compares policies on seeded mixes of programs, in virtual time.

Usage: galenapick experiment policies [OPTIONS]

  --deployment NAME  tn-north or pnw; may be repeated (default: both)
  --load PERCENT     load in percent of the engines' capacity; may be repeated
                     (default: 50, 80, 95, 120)
  --seeds N          runs of each case, with seeds 1 to N (default: 5)
  --seconds N        time in which programs arrive (default: 240)
  --fault NAME       none, dead, slow, late-loads, lost-events, domain-lost or all;
                     may be repeated (default: none)
  --ablation         switch off each part of the product's policy in turn
  --out DIR          write policies.csv and an SVG for each deployment there
  --jobs N           threads (default: 4)
";

    /// Reads the options from the rest of a command line; `None` if it asks for help.
    pub fn parse(parser: &mut lexopt::Parser) -> Result<Option<Self>> {
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("deployment") => options.deployments.push(parser.value()?.string()?),
                Long("load") => options.loads.push(parser.value()?.parse()?),
                Long("seeds") => options.seeds = parser.value()?.parse()?,
                Long("seconds") => options.lasts = Duration::from_secs(parser.value()?.parse()?),
                Long("fault") => options.add_fault(&parser.value()?.string()?)?,
                Long("ablation") => options.ablation = true,
                Long("out") => options.out = Some(parser.value()?.into()),
                Long("jobs") => options.jobs = parser.value()?.parse()?,
                Short('h') | Long("help") => return Ok(None),
                other => return Err(other.unexpected().into()),
            }
        }
        options.check()?;
        Ok(Some(options))
    }

    /// Runs all cases, and writes tables and files.
    pub fn run(&self, out: &mut impl Write) -> Result<()> {
        let deployments = self.chosen()?;
        let mut results = Vec::new();
        for deployment in &deployments {
            for fault in &self.faults {
                for load in &self.loads {
                    let case = runs::Case {
                        deployment,
                        load_percent: *load,
                        fault: *fault,
                        lasts: self.lasts,
                    };
                    let outcome = runs::run(&case, &self.policies(), self.seeds, self.jobs);
                    report::table(out, &outcome)?;
                    results.push(outcome);
                }
            }
        }
        match &self.out {
            Some(dir) => self.write_files(dir, &results),
            None => Ok(()),
        }
    }

    fn write_files(&self, dir: &PathBuf, results: &[runs::CaseResult]) -> Result<()> {
        std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
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
        let fault = fault.with_context(|| format!("there is no fault {name}"))?;
        self.faults.push(fault);
        Ok(())
    }

    /// Fills in defaults and refuses what cannot be run.
    fn check(&mut self) -> Result<()> {
        if self.loads.is_empty() {
            self.loads = vec![50, 80, 95, 120];
        }
        if self.faults.is_empty() {
            self.faults = vec![ExperimentFault::None];
        }
        if self.seeds == 0 || self.jobs == 0 || self.lasts.is_zero() || self.loads.contains(&0) {
            bail!("loads, seeds, seconds and jobs must be above 0");
        }
        self.chosen().map(|_| ())
    }

    fn chosen(&self) -> Result<Vec<Deployment>> {
        let all = [mix::tn_north(), mix::pnw()];
        if self.deployments.is_empty() {
            return Ok(all.into());
        }
        for name in &self.deployments {
            if !all.iter().any(|deployment| deployment.name == name) {
                bail!("there is no deployment {name}");
            }
        }
        let chosen = |deployment: &Deployment| {
            let names = &mut self.deployments.iter();
            names.any(|name| name == deployment.name)
        };
        Ok(all.into_iter().filter(chosen).collect())
    }

    fn policies(&self) -> Vec<Policy> {
        if self.ablation {
            let parts = Part::iter().map(Policy::Without);
            return [Policy::Product].into_iter().chain(parts).collect();
        }
        vec![
            Policy::RoundRobin,
            Policy::LeastLoaded,
            Policy::PrefixSticky,
            Policy::Product,
        ]
    }
}
