//! The engine's shared state, protected by one lock.

use super::batch::Batch;
use super::config::{EngineConfig, EngineControl};
use super::ledger::TokenLedger;
use super::orders::Orders;
use crate::protocol::engine::GenerateRequest;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Minimum speed of an engine, relative to full speed.
const MIN_SPEED: f64 = 1e-4;

/// The state that the handler and the stepper share.
pub(crate) struct Core {
    pub(crate) config: EngineConfig,
    inner: Mutex<Inner>,
}

/// The mutable part of the shared state.
pub(crate) struct Inner {
    /// The streams, the cache and the reports.
    pub(crate) batch: Batch,
    /// The executed orders.
    pub(crate) orders: Orders,
    paused: bool,
    /// Whether new generations are refused.
    pub(crate) refuse: bool,
    /// Speed relative to full speed.
    speed: f64,
    /// Text in prompts that crashes the engine.
    crash_on: Option<String>,
}

impl Inner {
    /// Returns whether a generation crashes the engine.
    pub(crate) fn crashes_on(&self, request: &GenerateRequest) -> bool {
        let crashes = |text: &str| request.messages.iter().any(|m| m.content.contains(text));
        self.crash_on.as_deref().is_some_and(crashes)
    }
}

impl Core {
    /// Creates an engine without streams.
    pub(crate) fn new(config: EngineConfig, ledger: TokenLedger) -> Self {
        let inner = Inner {
            batch: Batch::new(config.clone(), ledger, Instant::now()),
            orders: Orders::new(config.checks_fence),
            paused: false,
            refuse: false,
            speed: 1.0,
            crash_on: None,
        };
        Self {
            config,
            inner: Mutex::new(inner),
        }
    }

    /// Applies a change, except for `down`, which concerns the server.
    pub(crate) fn apply(&self, control: &EngineControl) {
        let mut inner = self.lock();
        if let Some(paused) = control.paused {
            inner.paused = paused;
        }
        if let Some(speed) = control.speed {
            inner.speed = speed;
        }
        if let Some(refuse) = control.refuse {
            inner.refuse = refuse;
        }
        if let Some(text) = &control.crash_on {
            inner.crash_on = Some(text.clone()).filter(|text| !text.is_empty());
        }
        if let Some(tokens) = control.cut_after {
            inner.batch.set_cut_after(tokens);
        }
        if control.silence == Some(true) {
            inner.batch.silence();
        }
        if let Some(share) = control.event_loss {
            inner.batch.set_event_loss(share);
        }
        if let Some(lag_ms) = control.load_lag_ms {
            inner.batch.set_load_lag(Duration::from_millis(lag_ms));
        }
    }

    /// Returns whether the engine's work is suspended.
    pub(crate) fn is_paused(&self) -> bool {
        self.lock().paused
    }

    /// Admits waiting streams and returns the duration of the next step, or `None` if no stream runs.
    pub(crate) fn plan(&self) -> Option<Duration> {
        let mut inner = self.lock();
        let slowdown = 1.0 / inner.speed.max(MIN_SPEED);
        inner
            .batch
            .plan(Instant::now())
            .map(|step| step.mul_f64(slowdown))
    }

    /// Runs one step.
    pub(crate) fn step(&self) {
        self.lock().batch.step(Instant::now());
    }

    /// Scales a configured duration by the time scale.
    pub(crate) fn scale(&self, time: Duration) -> Duration {
        time.mul_f64(self.config.time_scale)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
