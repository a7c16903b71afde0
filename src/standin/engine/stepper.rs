//! The loop that runs an engine's steps, with one task and one timer for all streams.

use super::core::Core;
use async_channel::Receiver;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum lag behind the schedule that the engine catches up. A longer lag is skipped.
const MAX_LAG: Duration = Duration::from_millis(50);

/// Interval at which a paused engine checks whether it may continue.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the steps of an engine until `wake_rx` is closed. A message on `wake_rx` signals that there may
/// be work.
pub(crate) async fn run(core: Arc<Core>, wake_rx: Receiver<()>) {
    let mut step_end = Instant::now();
    loop {
        if core.is_paused() {
            Timer::after(PAUSE_POLL_INTERVAL).await;
            continue;
        }
        let Some(step) = core.plan() else {
            if wake_rx.recv().await.is_err() {
                return;
            }
            step_end = Instant::now();
            continue;
        };
        step_end = step_end_after(step_end, step);
        // A step that is due runs without a timer, because timers are coarser than the steps of a
        // fast engine.
        if step_end > Instant::now() {
            Timer::at(step_end).await;
        }
        core.step();
    }
}

/// Returns the end of a step that starts at the end of the previous one, or now if the engine lags by
/// more than [`MAX_LAG`].
fn step_end_after(previous_end: Instant, step: Duration) -> Instant {
    let now = Instant::now();
    let start = if previous_end + MAX_LAG < now {
        now
    } else {
        previous_end
    };
    start + step
}
