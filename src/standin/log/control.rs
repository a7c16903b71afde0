//! Simulated faults of the log stand-in.

use serde::{Deserialize, Serialize};

/// How the log behaves during an outage.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outage {
    /// There is no outage.
    #[default]
    None,
    /// New connections are refused, and open connections are closed.
    Refuse,
    /// Connections are accepted, but requests are not answered.
    Hang,
    /// Requests are answered with status 503.
    Error,
}

/// A change of the log's behaviour. Omitted fields keep their values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Starts or ends an outage.
    pub outage: Option<Outage>,
    /// Duration of the outage in milliseconds. By default, it lasts until another change ends it.
    pub outage_ms: Option<u64>,
    /// Number of following appends that take effect but are not answered.
    pub lose_answers: Option<u32>,
    /// Share of appends that take effect but are not answered, from 0 to 1.
    pub lose_answer_share: Option<f64>,
    /// Number of following appends that are not answered and take effect after `delay_ms`.
    pub delay_appends: Option<u32>,
    /// Delay of delayed appends, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Latency added to every answer, in milliseconds.
    pub latency_ms: Option<u64>,
    /// Maximum append rate, in appends per second.
    pub appends_per_s: Option<f64>,
    /// Retention time of records, in milliseconds.
    pub retention_ms: Option<u64>,
}

/// The active faults.
#[derive(Clone, Debug)]
pub(crate) struct LogFaults {
    /// The current outage.
    pub(crate) outage: Outage,
    /// Number of outage changes. It ensures that the timer of one outage does not end the next one.
    pub(crate) outage_number: u64,
    /// Number of following appends whose answers are lost.
    lose_answers: u32,
    /// Share of appends whose answers are lost, from 0 to 1.
    lose_answer_share: f64,
    /// Number of following appends that are delayed.
    delay_appends: u32,
    /// Delay of these appends, in milliseconds.
    delay_ms: u64,
    rng: fastrand::Rng,
}

/// The fault that affects an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendFault {
    /// No fault.
    None,
    /// The append takes effect, but its answer is lost.
    LostAnswer,
    /// The answer is lost, and the append takes effect after this delay in milliseconds.
    Delayed(u64),
}

impl LogFaults {
    /// Creates a state without faults.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            outage: Outage::None,
            outage_number: 0,
            lose_answers: 0,
            lose_answer_share: 0.0,
            delay_appends: 0,
            delay_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies a change.
    pub(crate) fn apply(&mut self, control: &LogControl) {
        if let Some(outage) = control.outage {
            self.outage = outage;
            self.outage_number += 1;
        }
        replace_if_some(&mut self.lose_answers, control.lose_answers);
        replace_if_some(&mut self.lose_answer_share, control.lose_answer_share);
        replace_if_some(&mut self.delay_appends, control.delay_appends);
        replace_if_some(&mut self.delay_ms, control.delay_ms);
    }

    /// Determines the fault that affects the next append.
    pub(crate) fn next_append_fault(&mut self) -> AppendFault {
        if self.delay_appends > 0 {
            self.delay_appends -= 1;
            return AppendFault::Delayed(self.delay_ms);
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return AppendFault::LostAnswer;
        }
        if self.rng.f64() < self.lose_answer_share {
            return AppendFault::LostAnswer;
        }
        AppendFault::None
    }
}

/// Replaces a value if a new one is given.
fn replace_if_some<T: Copy>(value: &mut T, new: Option<T>) {
    if let Some(new) = new {
        *value = new;
    }
}
