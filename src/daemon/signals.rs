//! Termination signals.

use anyhow::Context;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_signal() -> anyhow::Result<()> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).context("cannot install signal handlers")?;
    signals.next().await;
    Ok(())
}
