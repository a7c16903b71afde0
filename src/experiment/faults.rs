//! Faults that an experiment can inject.

/// Fault of a run. `Dead`, `Slow` and `DomainLost` occur after a third of the arrival period; the
/// others last for the whole run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ExperimentFault {
    /// No fault.
    None,
    /// One engine dies.
    Dead,
    /// One engine works at a tenth of its speed.
    Slow,
    /// The answers to all probes, with load reports and cache events, are delayed by two seconds.
    LateLoads,
    /// All cache events are lost.
    LostEvents,
    /// All endpoints of a failure domain die.
    DomainLost,
}
