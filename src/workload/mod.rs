//! Synthetic programs for tests and load: a seeded generator, a runner that acts as the caller, and
//! checks of every answer and history that the caller receives.

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
pub use result::{ActionVerdict, ObservedAction, ProgramResult};
pub use run::{RunOptions, run_program};
