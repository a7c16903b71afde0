//! The cases, by name.

mod alike;
mod frozen;
mod helpers;

use crate::Verdict;
use crate::record::Record;
use alike::Disruption;

/// Plays a case; `None` if the deployment did not start.
pub fn play(case: &str, record: &Record, has_trouble: bool) -> Option<Verdict> {
    match case {
        "alike-crash" => alike::play(record, has_trouble.then_some(Disruption::Crash)),
        "alike-cut" => alike::play(record, has_trouble.then_some(Disruption::Cut)),
        "alike-leave" => alike::play(record, has_trouble.then_some(Disruption::Leave)),
        "frozen" => frozen::play(record, has_trouble),
        "helpers" => helpers::play(record, has_trouble),
        _ => Some(Verdict::NotRun(format!("no case {case}"))),
    }
}
