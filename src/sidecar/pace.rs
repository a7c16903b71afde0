//! Pace of the requests to an endpoint that limits their rate.
//!
//! All requests to the endpoint pass its sidecar, so no other node takes part.

#[cfg(test)]
mod tests;

use crate::coordination::pacing::{Pacer, PacerTicket, Urgency};
use crate::protocol::rate::RequestRate;
use crate::sidecar::lock;
use smol::Timer;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Fraction of the remaining time for which a request waits for its permit.
const WAIT_SHARE: f64 = 0.25;

/// Returns the longest wait of a request that must be done within `time_left`.
pub(crate) fn longest_wait(time_left: Duration) -> Duration {
    time_left.mul_f64(WAIT_SHARE)
}

/// Pace of the requests to the endpoint; none as long as it states no limit.
#[derive(Debug, Default)]
pub(crate) struct EndpointPace {
    pacer: Mutex<Option<Pacer>>,
}

impl EndpointPace {
    /// Waits until a request may be sent. Returns the time until it might, if that is longer than
    /// `longest_wait`. `rate` returns the endpoint's limit.
    pub(crate) async fn wait(
        &self,
        rate: impl Fn() -> Option<RequestRate>,
        urgency: Urgency,
        longest_wait: Duration,
    ) -> Result<(), Duration> {
        let deadline = Instant::now() + longest_wait;
        let mut waiting = None;
        loop {
            let Some(rate) = rate() else {
                *lock(&self.pacer) = None;
                return Ok(());
            };
            let wait = match self.poll(rate, urgency, deadline, &mut waiting) {
                Decision::Granted => return Ok(()),
                Decision::Refused(wait) => return Err(wait),
                Decision::Waiting(wait) => wait,
            };
            Timer::after(wait).await;
        }
    }

    /// Asks for the permit of a request, which is added to those that wait if it is new.
    fn poll<'a>(
        &'a self,
        rate: RequestRate,
        urgency: Urgency,
        deadline: Instant,
        waiting: &mut Option<WaitingRequest<'a>>,
    ) -> Decision {
        let now = Instant::now();
        let mut pacer = lock(&self.pacer);
        let pacer = pacer.get_or_insert_with(|| Pacer::new(now, rate));
        pacer.set_rate(now, rate);
        let waiting = waiting.get_or_insert_with(|| WaitingRequest {
            pace: self,
            ticket: pacer.enqueue(now, urgency),
        });
        let wait = pacer.poll(now, waiting.ticket);
        if wait.is_zero() {
            Decision::Granted
        } else if now + wait > deadline {
            Decision::Refused(pacer.refuse(now, waiting.ticket))
        } else {
            // Requests before it may give up.
            Decision::Waiting(wait.min(pacer.period()))
        }
    }
}

/// What becomes of a request that asks for its permit.
enum Decision {
    /// It may be sent now.
    Granted,
    /// It asks again after this time.
    Waiting(Duration),
    /// It would wait for too long; a later one may be sent after this time.
    Refused(Duration),
}

/// A request that waits for its permit until it is dropped.
struct WaitingRequest<'a> {
    pace: &'a EndpointPace,
    ticket: PacerTicket,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if let Some(pacer) = lock(&self.pace.pacer).as_mut() {
            pacer.cancel(self.ticket);
        }
    }
}
