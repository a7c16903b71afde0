//! Keeps requests from endpoints that they would crash.

#[cfg(test)]
mod tests;

use super::survival::{CHECK_TIMEOUT, StatusAddress, Survival};
use super::{Execution, Failure, FailureCause};
use crate::choice::announced_ends::{Announcement, ObservedEnd};
use crate::choice::endpoints::{CallOutcome, EndpointRecord};
use crate::dialect::{AnswerInfo, Dialect};
use crate::node::Gateway;
use crate::routes::Account;
use crate::serve::call::Call;
use crate::serve::http::{Framing, RequestHead, ResponseHead};
use crate::serve::reply::Refusal;
use galenapick::crashes::{
    self, Admission, Claimant, Crashes, Fingerprint, Fingerprints, Lifetime, Suspicion, lifetime,
};
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
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

/// Why an end that counted as a crash was none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
enum Counterevidence {
    #[strum(to_string = "its end was announced")]
    Announcement,
    #[strum(to_string = "it sent heartbeats afterwards")]
    Heartbeats,
}

/// What an attempt says of its request once it has ended.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    request_id: String,
    fingerprints: Fingerprints,
    pub(super) lifetime: Lifetime,
    /// When the attempt began.
    sent_at: Instant,
    /// `None` if the endpoint cannot be asked whether it still runs.
    status: Option<StatusAddress>,
    /// Whether a complete answer proves that the endpoint sent all of it.
    is_proof: Cell<bool>,
}

impl Attempt {
    pub(super) fn new(call: &Call, endpoint: &EndpointRecord) -> Self {
        Self {
            request_id: call.id().to_owned(),
            fingerprints: call.fingerprints,
            lifetime: lifetime(&endpoint.id, endpoint.started_unix_ms),
            sent_at: Instant::now(),
            status: StatusAddress::of(call, endpoint),
            is_proof: Cell::new(false),
        }
    }

    fn log_left(&self, endpoint: &str) {
        crate::event!("endpoint_left", "request" => self.request_id.as_str(),
            "endpoint" => endpoint);
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
    /// A connection that ends shows a crash only if its endpoint does not run any more and has not
    /// announced that.
    pub(super) fn judge_attempt(
        self: &Rc<Self>,
        endpoint: &str,
        attempt: &Attempt,
        outcome: CallOutcome,
    ) {
        match outcome {
            CallOutcome::Disconnected => self.judge_disconnected(endpoint, attempt),
            CallOutcome::Answered if attempt.is_proof.get() => {
                self.record_verdict(
                    "crash_cleared",
                    endpoint,
                    attempt,
                    |crashes, fingerprint| crashes.record_answer(Instant::now(), fingerprint),
                );
            }
            _ => {}
        }
    }

    fn judge_disconnected(self: &Rc<Self>, endpoint: &str, attempt: &Attempt) {
        let announced_ends = self.announced_ends.borrow();
        let end = announced_ends.end(Instant::now());
        if announced_ends.covers(attempt.lifetime, end) {
            attempt.log_left(endpoint);
            return;
        }
        drop(announced_ends);
        match self.checkable(attempt) {
            Some(status) if self.suspect_crash(attempt) => {
                self.judge_after_check(status, attempt, end);
            }
            Some(_) => {}
            None => self.record_crash(endpoint, attempt, end),
        }
    }

    /// Returns how the endpoint of an attempt is asked whether it still runs. One that limits the rate
    /// of requests is not asked, as that would count as a request.
    fn checkable<'a>(&self, attempt: &'a Attempt) -> Option<&'a StatusAddress> {
        let endpoints = self.endpoints.borrow();
        let limits_rate = endpoints.rate_limits().rate(attempt.lifetime).is_some();
        attempt.status.as_ref().filter(|_| !limits_rate)
    }

    /// Counts an ended connection like a crash until it is known whether there was one. Returns
    /// whether a crash would be blamed on the request.
    fn suspect_crash(&self, attempt: &Attempt) -> bool {
        let now = Instant::now();
        let mut crashes = self.crashes.borrow_mut();
        let suspected = attempt.fingerprints.map(|fingerprint| {
            crashes.suspect(now, fingerprint, attempt.lifetime, now + CHECK_TIMEOUT)
        });
        suspected.contains(&true)
    }

    /// Records what has become of the endpoint of an attempt whose connection ended.
    pub(super) fn judge_ended_connection(
        &self,
        endpoint: &str,
        attempt: &Attempt,
        end: ObservedEnd,
        survival: Survival,
    ) {
        let mut crashes = self.crashes.borrow_mut();
        for fingerprint in attempt.fingerprints {
            crashes.withdraw(fingerprint, attempt.lifetime);
        }
        drop(crashes);
        if survival != Survival::Survived {
            self.record_crash(endpoint, attempt, end);
        }
    }

    /// Records the crash of an endpoint. The end of one that has announced it is no crash, whatever
    /// still ran there.
    fn record_crash(&self, endpoint: &str, attempt: &Attempt, end: ObservedEnd) {
        let mut announced_ends = self.announced_ends.borrow_mut();
        if announced_ends.observe_end(end, attempt.lifetime) {
            attempt.log_left(endpoint);
            return;
        }
        drop(announced_ends);
        self.record_verdict(
            "crash_suspected",
            endpoint,
            attempt,
            |crashes, fingerprint| {
                let now = Instant::now();
                crashes.record_crash_of_attempt(now, fingerprint, attempt.lifetime, attempt.sent_at)
            },
        );
    }

    /// Records that an endpoint has announced its end. If a connection has shown the end before, it
    /// was no crash.
    pub(crate) fn announce_end(&self, endpoint: &str, lifetime: Lifetime, by: Announcement) {
        let mut announced_ends = self.announced_ends.borrow_mut();
        if announced_ends.announce(Instant::now(), lifetime, by) {
            drop(announced_ends);
            self.withdraw_crash(endpoint, lifetime, Counterevidence::Announcement);
        }
    }

    /// Takes back the crashes of endpoints that are listed in entries of their own since.
    pub(crate) fn observe_endpoint_heartbeat(&self, endpoint: &EndpointRecord) {
        // Without its start time, an entry may describe a later lifetime.
        if endpoint.started_unix_ms.is_none() {
            return;
        }
        let lifetime = lifetime(&endpoint.id, endpoint.started_unix_ms);
        if self.endpoint_heartbeats.borrow_mut().record(lifetime) {
            self.withdraw_crash(&endpoint.id, lifetime, Counterevidence::Heartbeats);
        }
    }

    /// Takes back that an endpoint crashed under the requests that it had.
    ///
    /// All gateways see heartbeats, so only the owner of the first partition deletes the records of
    /// requests that these clear, and none reports it.
    fn withdraw_crash(&self, endpoint: &str, lifetime: Lifetime, by: Counterevidence) {
        let is_known_here_only = by == Counterevidence::Announcement;
        let mut crashes = self.crashes.borrow_mut();
        let withdrawals = crashes.withdraw_lifetime(lifetime, is_known_here_only);
        drop(crashes);
        for withdrawal in withdrawals {
            let left = withdrawal.left;
            crate::event!("crash_withdrawn", "endpoint" => endpoint,
                "fingerprint" => withdrawal.fingerprint.to_string(), "reason" => by.to_string(),
                "lifetimes" => left.lifetimes, "quarantined" => left.is_quarantined);
            self.counters.record_withdrawn_crash();
            if withdrawal.ends_quarantine && (is_known_here_only || self.owns(0)) {
                self.crash_sync.enqueue(withdrawal.fingerprint);
            }
        }
        if is_known_here_only {
            self.crash_sync.notify_changed();
        }
    }

    /// Records an outcome for each fingerprint of an attempt, logs and reports what it changes.
    fn record_verdict(
        &self,
        event: &str,
        endpoint: &str,
        attempt: &Attempt,
        record: impl Fn(&mut Crashes, Fingerprint) -> Option<Suspicion>,
    ) {
        for fingerprint in attempt.fingerprints {
            let mut crashes = self.crashes.borrow_mut();
            let suspicion = record(&mut crashes, fingerprint);
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
