//! Wall clock of the stand-ins.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in milliseconds, or 0 if the clock is before 1970.
pub(crate) fn unix_now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
