//! Keeps requests from endpoints that they would crash.

#[cfg(test)]
mod tests;

use super::{Execution, Failure, FailureCause};
use crate::choice::endpoints::{CallOutcome, EndpointRecord};
use crate::dialect::{AnswerInfo, Dialect};
use crate::node::Gateway;
use crate::routes::Account;
use crate::serve::call::Call;
use crate::serve::http::{Framing, RequestHead, ResponseHead};
use crate::serve::reply::Refusal;
use galenapick::crashes::{self, Admission, Claimant, Fingerprints, Lifetime, Suspicion, lifetime};
use smol::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Reason given to clients.
const REASON: &str = "the request crashed the endpoints that ran it";

/// Minimum `Retry-After` delay, which applies while a trial runs.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the fingerprints of a request as the client sent it.
///
/// Requests of different client accounts have different ones. Where the deployment has no accounts,
/// the credential stands for the account.
pub(crate) fn fingerprints(
    head: &RequestHead,
    body: &[u8],
    account: Option<&Account>,
) -> Fingerprints {
    if let Some(account) = account {
        let target = (&head.method, &head.host, &head.target, None::<&str>);
        return crashes::fingerprints((target, &*account.name), body);
    }
    let mut headers = head.headers.iter();
    let credential = headers.find(|header| header.is("authorization"));
    let credential = credential.map(|header| header.value.as_str());
    crashes::fingerprints((&head.method, &head.host, &head.target, credential), body)
}

/// What an attempt says of its request once it has ended.
pub(super) struct Attempt {
    request_id: String,
    fingerprints: Fingerprints,
    lifetime: Lifetime,
    /// Whether a complete answer proves that the endpoint sent all of it.
    is_proof: Cell<bool>,
}

impl Attempt {
    pub(super) fn new(call: &Call, endpoint: &EndpointRecord) -> Self {
        Self {
            request_id: call.id().to_owned(),
            fingerprints: call.fingerprints,
            lifetime: lifetime(&endpoint.id, endpoint.started_unix_ms),
            is_proof: Cell::new(false),
        }
    }

    /// The body of an answer without length or chunks seems complete wherever its endpoint crashes,
    /// and an endpoint that failed a request may have done so before it reached what crashes others.
    pub(super) fn observe_head(&self, head: &ResponseHead, info: &AnswerInfo) {
        let is_framed = head.framing != Framing::UntilClose;
        let has_failed = head.status >= 500;
        self.is_proof
            .set(info.is_signed && is_framed && !has_failed);
    }
}

/// Ends a trial once it is dropped, unless its request may have run. One that has run without an
/// outcome may still crash its endpoint, so its trial goes on until the timeout.
pub(crate) struct TrialGuard<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    call: &'a Call,
}

impl<D: Dialect> Drop for TrialGuard<'_, D> {
    fn drop(&mut self) {
        if self.call.execution.get() == Execution::MayHaveRun {
            return;
        }
        let claimant = self.gateway.claimant();
        let fingerprints = &self.call.fingerprints;
        let mut crashes = self.gateway.crashes.borrow_mut();
        crashes.cancel_trial(Instant::now(), fingerprints, claimant);
        self.gateway.crash_sync.notify_changed();
    }
}

impl<D: Dialect> Gateway<D> {
    /// Admits a request that has just arrived, or returns the refusal of a quarantined one. A request
    /// that may be tried waits until peers have reported their claims to the same trial.
    ///
    /// The guard is kept for as long as the call is served.
    pub(crate) async fn pass_quarantine<'a>(
        &'a self,
        call: &'a Call,
    ) -> Result<Option<TrialGuard<'a, D>>, Refusal> {
        let now = Instant::now();
        let claimant = self.claimant();
        let admission = self
            .crashes
            .borrow_mut()
            .admit(now, &call.fingerprints, claimant);
        let left = match admission {
            Admission::Open => return Ok(None),
            Admission::Refused(left) => left,
            Admission::Trial => {
                let guard = TrialGuard {
                    gateway: self,
                    call,
                };
                self.crash_sync.notify_changed();
                Timer::after(self.claim_time()).await;
                match self.confirm_trial(call, claimant) {
                    Admission::Refused(left) => left,
                    Admission::Open | Admission::Trial => return Ok(Some(guard)),
                }
            }
        };
        self.log_quarantine_refusal(call, left);
        Err(Refusal::retry_later(left.max(MIN_RETRY_AFTER), REASON))
    }

    fn confirm_trial(&self, call: &Call, claimant: Claimant) -> Admission {
        let crashes = self.crashes.borrow();
        let admission = crashes.confirm_trial(Instant::now(), &call.fingerprints, claimant);
        if admission == Admission::Trial {
            call.is_trial.set(true);
            let [prefix, fingerprint] = call.fingerprints.map(|print| print.to_string());
            crate::event!("quarantine_trial", "request" => call.id(),
                "fingerprint" => fingerprint, "prefix" => prefix);
        }
        admission
    }

    /// Returns the failure of a call that must not be sent, or not again, because its request has
    /// been quarantined meanwhile.
    pub(super) fn check_quarantine(&self, call: &Call) -> Option<Failure> {
        let crashes = self.crashes.borrow();
        let left = crashes.quarantine_left(Instant::now(), &call.fingerprints)?;
        if call.is_trial.get() && call.send_count.get() == 0 {
            return None;
        }
        self.log_quarantine_refusal(call, left);
        Some(Failure {
            execution: Execution::NotRun,
            reason: REASON,
            cause: FailureCause::Quarantined(left.max(MIN_RETRY_AFTER)),
        })
    }

    fn log_quarantine_refusal(&self, call: &Call, left: Duration) {
        self.counters.record_quarantine_refusal();
        let [prefix, fingerprint] = call.fingerprints.map(|print| print.to_string());
        crate::event!("quarantine_refused", "request" => call.id(),
            "fingerprint" => fingerprint, "prefix" => prefix, "route" => call.route.name.as_str(),
            "sent" => call.send_count.get(), "left_ms" => left.as_millis());
    }

    /// Records what the outcome of an attempt says of its request.
    ///
    /// The end of an endpoint that has announced it is no crash, whatever still ran there.
    pub(super) fn judge_attempt(&self, endpoint: &str, attempt: &Attempt, outcome: CallOutcome) {
        let is_leaving = self.endpoints.borrow().is_leaving(endpoint);
        if outcome == CallOutcome::Disconnected && is_leaving {
            crate::event!("endpoint_left", "request" => attempt.request_id.as_str(),
                "endpoint" => endpoint);
            return;
        }
        for fingerprint in attempt.fingerprints {
            let now = Instant::now();
            let mut crashes = self.crashes.borrow_mut();
            let (event, suspicion) = match outcome {
                CallOutcome::Disconnected => {
                    let suspicion = crashes.record_crash(now, fingerprint, attempt.lifetime);
                    ("crash_suspected", suspicion)
                }
                CallOutcome::Answered if attempt.is_proof.get() => {
                    ("crash_cleared", crashes.record_answer(now, fingerprint))
                }
                _ => return,
            };
            crashes.record_prefix(&attempt.fingerprints);
            drop(crashes);
            let Some(suspicion) = suspicion else {
                continue;
            };
            let Suspicion {
                lifetimes,
                is_quarantined,
            } = suspicion;
            crate::event!(event, "request" => attempt.request_id.as_str(),
                "fingerprint" => fingerprint.to_string(), "endpoint" => endpoint,
                "lifetimes" => lifetimes, "quarantined" => is_quarantined);
            self.crash_sync.notify_changed();
            if is_quarantined {
                self.crash_sync.enqueue(fingerprint);
            }
        }
    }
}
