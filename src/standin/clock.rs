//! The stand-ins' wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time in Unix milliseconds.
pub(crate) fn unix_now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
