//! What is measured, over which windows, and when a burn rate calls for a person.

use serde::{Deserialize, Serialize};

/// What an objective is about.
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
    /// The whole latency of programs that succeed.
    ProgramLatency,
    /// The time to first token of model calls.
    FirstToken,
    /// The share of programs that succeed.
    Success,
}

/// A window over which a burn rate is taken, ending with the minute or hour under way.
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

/// What a burn rate calls for.
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
    /// The error budget lasts.
    #[default]
    Ok,
    /// It will not last the three days: look within the week.
    Watch,
    /// It goes within days: look today.
    Ticket,
    /// It goes within hours: look now.
    Page,
}

/// Burn rate over five minutes and an hour that calls for a person now.
const PAGE_RATE: f64 = 14.4;

/// Burn rate over half an hour and six hours that calls for a person today.
const TICKET_RATE: f64 = 6.0;

/// Burn rate over three days that calls for a look.
const WATCH_RATE: f64 = 1.0;

/// Returns how many times faster than allowed the error budget is used.
///
/// `share` is the share of good events that the objective asks for.
pub(super) fn burn_rate(bad: u64, total: u64, share: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / (1.0 - share).max(f64::EPSILON)
}

/// Judges burn rates; both windows of a pair must burn, so that a short spike that is over does not
/// call anybody.
pub(super) fn alert_for(rate: impl Fn(BurnWindow) -> f64) -> Alert {
    let burns = |short, long, limit| rate(short) >= limit && rate(long) >= limit;
    if burns(BurnWindow::Minutes5, BurnWindow::Hour, PAGE_RATE) {
        Alert::Page
    } else if burns(BurnWindow::Minutes30, BurnWindow::Hours6, TICKET_RATE) {
        Alert::Ticket
    } else if rate(BurnWindow::Days3) >= WATCH_RATE {
        Alert::Watch
    } else {
        Alert::Ok
    }
}
