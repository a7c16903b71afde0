//! How long turns wait before they are refused, and when their clients retry.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Fraction of the client's remaining time for which a turn waits for the store to recover before
/// it is refused. A refused turn comes back only after its retry delay, and programs end after a few
/// refusals, while most of the time remains for the run itself.
const WAIT_SHARE: f64 = 0.45;

/// Fraction of the client's remaining time after which it should retry a request that cannot be
/// served during an outage. Outages last seconds, and clients wait no longer than a third of their
/// time.
const RETRY_SHARE: f64 = 0.33;

/// Fraction of that retry delay over which clients' retries are spread.
const RETRY_SPREAD: f64 = 0.25;

/// Returns the maximum wait before a turn is refused.
pub(crate) fn max_wait(time_left: Duration) -> Duration {
    time_left.mul_f64(WAIT_SHARE)
}

/// Returns the delay after which a client should retry a request. `spread`, between 0 and 1, places
/// it within the range of delays.
pub(crate) fn retry_delay(time_left: Duration, spread: f64) -> Duration {
    time_left.mul_f64(RETRY_SHARE * (1.0 - RETRY_SPREAD * spread))
}
