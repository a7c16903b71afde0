//! Termination signals.

use anyhow::Context;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The signals that end a daemon. SIGHUP is one of them because there is nothing to reload, and without
/// a handler it would kill the process.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        Ok(Self(signals.context("cannot install signal handlers")?))
    }

    /// Waits for SIGTERM, SIGINT or SIGHUP.
    pub(crate) async fn wait(&mut self) {
        self.0.next().await;
    }

    /// Waits for SIGTERM or SIGINT. Some supervisors send SIGHUP right after SIGTERM.
    pub(crate) async fn wait_for_abort(&mut self) {
        while matches!(self.0.next().await, Some(Ok(Signal::Hup))) {}
    }
}
