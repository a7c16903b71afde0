//! Shutdown of a gateway in phases, so that each request it takes gets an answer.

use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::serve::reply::Refusal;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which a stopping gateway still takes requests. Callers are redirected only after two
/// failed readiness probes, which are a second apart.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_800);

/// Time for which a connection that was accepted last may still send its first request, and for
/// which the rest of a request is still received. Both are refused, which leaves their callers in no
/// doubt.
const REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Maximum part of the grace period that remains when unfinished requests are answered.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Fraction of the margin for writing the answers of unfinished requests and settling their turns.
/// The rest is for the exit of the process itself.
const ENDING_SHARE: f64 = 0.4;

/// Number of parts of a short grace period, one of which is the margin. Work that is cut earlier than
/// in the last sixth of the grace period counts as lost.
const SHORT_GRACE_PARTS: u32 = 7;

/// Interval between checks whether a stopping gateway has finished its work.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Phases of a gateway's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Phase {
    /// Requests are served.
    Serving,
    /// Requests are still served, but callers are told to go elsewhere.
    Draining,
    /// No connections are accepted, and requests that arrive are refused. Those that were taken
    /// before are finished.
    Closing,
    /// Requests that are still unfinished are answered as failed.
    Ending,
}

/// Times of a shutdown, since the stop signal. They are in order and within the grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// Start of [`Phase::Closing`].
    closing: Duration,
    /// Latest start of [`Phase::Ending`].
    ending: Duration,
    /// Latest exit of the process.
    exit: Duration,
}

impl Schedule {
    /// Creates the schedule of a shutdown that ends within the grace period, however short that is.
    fn new(grace: Duration) -> Self {
        let margin = GRACE_MARGIN.min(grace / SHORT_GRACE_PARTS);
        let ending = grace - margin;
        Self {
            closing: DRAIN_NOTICE.min(ending / 2),
            ending,
            exit: ending + margin.mul_f64(ENDING_SHARE),
        }
    }
}

/// When unfinished requests are answered as failed, shared with the requests under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndingTime(Rc<Cell<Option<Instant>>>);

impl EndingTime {
    /// Returns the time; `None` unless the gateway is stopping.
    pub(crate) fn get(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Progress of the shutdown.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// Only ever advances.
    phase: Cell<Phase>,
    started_at: Cell<Option<Instant>>,
    ending_time: EndingTime,
    advanced: event_listener::Event,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            phase: Cell::new(Phase::Serving),
            started_at: Cell::new(None),
            ending_time: EndingTime::default(),
            advanced: event_listener::Event::new(),
        }
    }
}

impl Shutdown {
    /// Returns whether the stop signal was received.
    pub(crate) fn has_begun(&self) -> bool {
        self.phase.get() > Phase::Serving
    }

    /// Returns whether requests that arrive now are refused.
    pub(crate) fn refuses_requests(&self) -> bool {
        self.phase.get() >= Phase::Closing
    }

    /// Returns the time since the stop signal; `None` if there was none.
    pub(crate) fn elapsed(&self) -> Option<Duration> {
        self.started_at.get().map(|at| at.elapsed())
    }

    /// Returns when requests under way are ended, once the gateway is stopping.
    pub(crate) fn ending_time(&self) -> EndingTime {
        self.ending_time.clone()
    }

    /// Waits until a phase has been reached.
    pub(crate) async fn wait_for(&self, phase: Phase) {
        while self.phase.get() < phase {
            let listener = self.advanced.listen();
            if self.phase.get() >= phase {
                return;
            }
            listener.await;
        }
    }

    /// Waits until a connection on which a request is awaited must be closed.
    pub(crate) async fn wait_for_idle_close(&self, has_sent_request: bool) {
        if has_sent_request {
            self.wait_for(Phase::Closing).await;
        } else {
            self.wait_for_receive_end().await;
        }
    }

    /// Waits until a request of which only a part has been received must be refused.
    pub(crate) async fn wait_for_receive_end(&self) {
        self.wait_for(Phase::Closing).await;
        Timer::after(REQUEST_WAIT).await;
    }

    fn advance(&self, phase: Phase) {
        if !self.has_begun() {
            self.started_at.set(Some(Instant::now()));
        }
        self.phase.set(phase);
        self.advanced.notify(usize::MAX);
        crate::event!("shutdown_phase", "phase" => phase.to_string());
    }
}

/// Returns the refusal of a request that arrives too late. Another gateway can serve it at once.
pub(crate) const fn late_refusal() -> Refusal {
    Refusal::retry_later(Duration::ZERO, "the gateway is stopping")
}

impl<D: Dialect> Gateway<D> {
    /// Fails readiness, finishes the requests taken by the end of the notice and returns. Those that
    /// last longer than the grace period are answered as failed.
    pub(crate) async fn stop(&self) {
        let started_at = Instant::now();
        let schedule = Schedule::new(self.settings.stop_grace);
        crate::event!("stopping", "requests" => self.requests_in_flight.get());
        let ending_time = &self.shutdown.ending_time.0;
        ending_time.set(Some(started_at + schedule.ending));
        self.shutdown.advance(Phase::Draining);
        Timer::at(started_at + schedule.closing).await;
        self.shutdown.advance(Phase::Closing);
        let time_left = schedule.ending.saturating_sub(started_at.elapsed());
        Timer::after(REQUEST_WAIT.min(time_left)).await;
        self.wait_until_finished(started_at, schedule.ending).await;
        let unfinished = self.requests_in_flight.get();
        self.shutdown.advance(Phase::Ending);
        self.wait_until_finished(started_at, schedule.exit).await;
        crate::event!("stopped", "unfinished" => unfinished,
            "requests" => self.requests_in_flight.get(),
            "has_committed_all" => self.has_committed_all(),
            "took_ms" => started_at.elapsed().as_millis());
    }

    /// Waits until no request is in flight and all records are acknowledged, but no longer than
    /// until `limit` after `started_at`.
    async fn wait_until_finished(&self, started_at: Instant, limit: Duration) {
        while started_at.elapsed() < limit && !self.has_finished_all() {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn has_finished_all(&self) -> bool {
        self.requests_in_flight.get() == 0 && self.has_committed_all()
    }
}
