//! Rates of requests that endpoints state.

use serde::{Deserialize, Serialize};

/// Requests a second that an endpoint takes from all its callers together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "f64", into = "f64")]
pub struct RequestRate {
    requests_per_s: f64,
}

impl RequestRate {
    /// Creates a rate. A value that is no rate counts as 0.
    pub fn per_second(requests_per_s: f64) -> Self {
        let is_rate = requests_per_s.is_finite() && requests_per_s > 0.0;
        Self {
            requests_per_s: if is_rate { requests_per_s } else { 0.0 },
        }
    }

    /// Returns the requests a second.
    pub fn requests_per_s(self) -> f64 {
        self.requests_per_s
    }

    /// Returns a share of the rate. `share` is between 0 and 1.
    pub fn share(self, share: f64) -> Self {
        Self::per_second(self.requests_per_s * share)
    }
}

impl From<f64> for RequestRate {
    fn from(requests_per_s: f64) -> Self {
        Self::per_second(requests_per_s)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.requests_per_s
    }
}

/// What an answer states of its endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The endpoint has no limit.
    #[default]
    None,
    /// The statement cannot be read, so it neither sets a limit nor ends one.
    Unreadable,
    /// The endpoint takes this rate of requests.
    Limited(RequestRate),
}

impl StatedLimit {
    /// Parses the value of a header: a decimal number without sign or exponent.
    pub fn parse(value: Option<&str>) -> Self {
        let Some(value) = value else {
            return Self::None;
        };
        let value = value.trim();
        let is_decimal = value
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match value.parse::<f64>() {
            Ok(rate) if is_decimal && rate.is_finite() => {
                Self::Limited(RequestRate::per_second(rate))
            }
            _ => Self::Unreadable,
        }
    }
}
