//! The engine's state behind one lock.

use super::batch::Batch;
use super::config::{EngineConfig, EngineControl};
use super::ledger::TokenLedger;
use super::orders::Orders;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The slowest that an engine can be made, as a share of its full speed.
const MIN_SPEED: f64 = 1e-4;

/// What the handler and the stepper share.
pub(crate) struct Core {
    pub(crate) config: EngineConfig,
    inner: Mutex<Inner>,
}

/// What changes.
pub(crate) struct Inner {
    /// The streams and the cache.
    pub(crate) batch: Batch,
    /// The orders.
    pub(crate) orders: Orders,
    paused: bool,
    /// Whether new generations are refused.
    pub(crate) refuse: bool,
    /// The share of its full speed at which the engine works.
    speed: f64,
}

impl Core {
    /// Makes an engine without streams.
    pub(crate) fn new(config: EngineConfig, ledger: TokenLedger) -> Self {
        let inner = Inner {
            batch: Batch::new(config.clone(), ledger, Instant::now()),
            orders: Orders::new(config.checks_fence),
            paused: false,
            refuse: false,
            speed: 1.0,
        };
        Self {
            config,
            inner: Mutex::new(inner),
        }
    }

    /// Takes over the part of a change that is not the server's.
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

    /// Tells whether the engine does no work for now.
    pub(crate) fn is_paused(&self) -> bool {
        self.lock().paused
    }

    /// Returns how long the next step takes; `None` if there is nothing to do.
    pub(crate) fn plan(&self) -> Option<Duration> {
        let mut inner = self.lock();
        let slowdown = 1.0 / inner.speed.max(MIN_SPEED);
        inner
            .batch
            .plan(Instant::now())
            .map(|step| step.mul_f64(slowdown))
    }

    /// Does one step.
    pub(crate) fn step(&self) {
        self.lock().batch.step(Instant::now());
    }

    /// Turns a duration of the engine's life into one of ours.
    pub(crate) fn scale(&self, time: Duration) -> Duration {
        time.mul_f64(self.config.time_scale)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
