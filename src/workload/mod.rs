//! Programs as callers run them: a seeded generator, a runner, and checks of all that it sees.

mod check;
mod latency;
mod plan;
mod result;
mod run;
mod text;

#[cfg(test)]
mod tests;

pub use check::{ActionRuns, audit_actions, count_actions};
pub use latency::{Latencies, Percentiles};
pub use plan::{Deployment, Plan, PlanKind, Planner, Step};
pub use result::{ActionSeen, ActionVerdict, ProgramResult};
pub use run::{RunOptions, run_program};
