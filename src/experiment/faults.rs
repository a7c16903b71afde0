//! Faults that an experiment can bring about.

/// A fault. Those that strike do so after a third of the run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ExperimentFault {
    /// Nothing.
    None,
    /// One engine dies.
    Dead,
    /// One engine works at a tenth of its speed.
    Slow,
    /// All load reports come two seconds late.
    LateLoads,
    /// All cache events are lost.
    LostEvents,
    /// All endpoints of a failure domain die.
    DomainLost,
}
