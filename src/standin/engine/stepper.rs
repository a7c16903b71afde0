//! Drives an engine's steps: one task and one timer for all streams.

use super::core::Core;
use async_channel::Receiver;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When the engine is behind by more than this, it does not try to catch up.
const MAX_LAG: Duration = Duration::from_millis(50);

/// How often a paused engine looks whether it may go on.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Steps an engine until `work` is closed; a message on it says that there may be something to do.
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
        // Steps that are due are done at once: timers are coarser than the steps of a fast engine.
        if step_end > Instant::now() {
            Timer::at(step_end).await;
        }
        core.step();
    }
}

/// Returns when a step ends that begins at `next_at`, or now if that is long past.
fn step_end_after(step_end: Instant, step: Duration) -> Instant {
    let now = Instant::now();
    let begin = if step_end + MAX_LAG < now {
        now
    } else {
        step_end
    };
    begin + step
}
