//! Drives an engine's steps: one task and one timer for all streams.

use super::core::Core;
use async_channel::Receiver;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When the engine is behind by more than this, it does not try to catch up.
const MAX_BEHIND: Duration = Duration::from_millis(50);

/// How often a paused engine looks whether it may go on.
const PAUSE: Duration = Duration::from_millis(10);

/// Steps an engine until `work` is closed; a message on it says that there may be something to do.
pub(crate) async fn run(core: Arc<Core>, work: Receiver<()>) {
    let mut next_at = Instant::now();
    loop {
        if core.is_paused() {
            Timer::after(PAUSE).await;
            continue;
        }
        let Some(step) = core.plan() else {
            if work.recv().await.is_err() {
                return;
            }
            next_at = Instant::now();
            continue;
        };
        next_at = advance(next_at, step);
        // Steps that are due are done at once: timers are coarser than the steps of a fast engine.
        if next_at > Instant::now() {
            Timer::at(next_at).await;
        }
        core.step();
    }
}

/// Returns when a step ends that begins at `next_at`, or now if that is long past.
fn advance(next_at: Instant, step: Duration) -> Instant {
    let now = Instant::now();
    let begin = if next_at + MAX_BEHIND < now {
        now
    } else {
        next_at
    };
    begin + step
}
