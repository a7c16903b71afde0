//! Measures, windows and alert thresholds of burn rates.

use serde::{Deserialize, Serialize};

/// Subject of an objective.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Measure {
    /// End-to-end latency of successful programs.
    ProgramLatency,
    /// Time to first token of model calls.
    FirstToken,
    /// Share of programs that succeed.
    Success,
}

/// A window over which a burn rate is computed. It ends with the current minute or hour.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
pub enum BurnWindow {
    /// Five minutes.
    #[serde(rename = "5m")]
    #[strum(serialize = "5m")]
    Minutes5,
    /// Half an hour.
    #[serde(rename = "30m")]
    #[strum(serialize = "30m")]
    Minutes30,
    /// An hour.
    #[serde(rename = "1h")]
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    #[strum(serialize = "6h")]
    Hours6,
    /// Three days.
    #[serde(rename = "3d")]
    #[strum(serialize = "3d")]
    Days3,
}

impl BurnWindow {
    /// Returns the window's length in minutes.
    pub fn minutes(self) -> u64 {
        match self {
            Self::Minutes5 => 5,
            Self::Minutes30 => 30,
            Self::Hour => 60,
            Self::Hours6 => 360,
            Self::Days3 => 3 * 24 * 60,
        }
    }
}

/// Alert level of a burn rate.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Alert {
    /// The error budget is sufficient.
    #[default]
    Ok,
    /// The error budget will not last for three days. Review within a week.
    Watch,
    /// The error budget will be spent within days. Act today.
    Ticket,
    /// The error budget will be spent within hours. Act now.
    Page,
}

/// Minimum burn rate over both five minutes and one hour for [`Alert::Page`].
const PAGE_RATE: f64 = 14.4;

/// Minimum burn rate over both 30 minutes and six hours for [`Alert::Ticket`].
const TICKET_RATE: f64 = 6.0;

/// Minimum burn rate over three days for [`Alert::Watch`].
const WATCH_RATE: f64 = 1.0;

/// Returns the ratio of the error rate to the error rate that the objective allows.
///
/// `share` is the required share of good events. The result is 0 without events.
pub(super) fn burn_rate(bad: u64, total: u64, share: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / (1.0 - share).max(f64::EPSILON)
}

/// Returns the alert level for burn rates. Both windows of a pair must reach the threshold, so
/// that a short spike that is over raises no alert.
pub(super) fn alert_for(rate: impl Fn(BurnWindow) -> f64) -> Alert {
    let reaches = |short, long, threshold| rate(short) >= threshold && rate(long) >= threshold;
    if reaches(BurnWindow::Minutes5, BurnWindow::Hour, PAGE_RATE) {
        Alert::Page
    } else if reaches(BurnWindow::Minutes30, BurnWindow::Hours6, TICKET_RATE) {
        Alert::Ticket
    } else if rate(BurnWindow::Days3) >= WATCH_RATE {
        Alert::Watch
    } else {
        Alert::Ok
    }
}
