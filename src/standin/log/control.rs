//! Faults of the log stand-in.

use serde::{Deserialize, Serialize};

/// How the log fails during an outage.
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
    /// It works.
    #[default]
    None,
    /// Connections are refused, and the open ones are cut.
    Refuse,
    /// Connections are taken, and requests get no answer.
    Hang,
    /// Requests are answered with status 503.
    Error,
}

/// A change in how the log behaves; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Begins or ends an outage.
    pub outage: Option<Outage>,
    /// The outage ends by itself after so many milliseconds.
    pub outage_ms: Option<u64>,
    /// So many appends from now on take effect and get no answer.
    pub lose_answers: Option<u32>,
    /// The share of appends that take effect and get no answer.
    pub lose_answer_share: Option<f64>,
    /// So many appends from now on get no answer and take effect after `delay_ms`.
    pub delay_appends: Option<u32>,
    /// The delay of delayed appends in milliseconds.
    pub delay_ms: Option<u64>,
    /// Added to every answer, in milliseconds.
    pub latency_ms: Option<u64>,
    /// Appends accepted a second.
    pub appends_per_s: Option<f64>,
    /// Records older than this in milliseconds are removed.
    pub retention_ms: Option<u64>,
}

/// The faults in force.
#[derive(Clone, Debug)]
pub(crate) struct LogFaults {
    /// The outage.
    pub(crate) outage: Outage,
    /// Counts outages, so that the end of one does not end the next.
    pub(crate) outage_number: u64,
    /// Answers to lose.
    lose_answers: u32,
    /// The share of answers to lose.
    lose_answer_share: f64,
    /// Appends to delay.
    delay_appends: u32,
    /// By how much, in milliseconds.
    delay_ms: u64,
    rng: fastrand::Rng,
}

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendFault {
    /// Nothing.
    None,
    /// Its answer is lost.
    LostAnswer,
    /// Its answer is lost, and it takes effect after so many milliseconds.
    Delayed(u64),
}

impl LogFaults {
    /// No faults yet.
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

    /// Takes over a change.
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

    /// Draws what happens to the next append.
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

/// Replaces a value if there is a new one.
fn replace_if_some<T: Copy>(value: &mut T, new: Option<T>) {
    if let Some(new) = new {
        *value = new;
    }
}
