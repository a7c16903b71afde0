//! Keeps calls from endpoints that they would crash, and tells other entries of them.

#[cfg(test)]
mod tests;

use crate::coordination::crashes::{
    self, Admission, CrashReport, Fingerprints, Lifetime, Suspicion,
};
use crate::coordination::membership::NodeState;
use crate::coordination::stable_hash::stable_hash;
use crate::entry::{Entry, lock};
use crate::ids::{CallId, NodeId, ProgramId, format_id};
use crate::protocol::link::{Call, Reply, Request, Work};
use crate::protocol::log::Log;
use crate::protocol::message::Message;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::vms::NodeRole;
use crate::transport::handshake::Remote;
use futures_lite::FutureExt;
use smol::Timer;
use std::fmt;
use std::time::{Duration, Instant};

/// Reason given to callers.
const REASON: &str = "The call crashed the endpoints that ran it.";

/// Minimum retry delay sent to callers, which applies while a trial runs.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time in which entries that claim a trial at the same time have told each other.
const CLAIM_TIME: Duration = Duration::from_millis(200);

/// Maximum number of reports in a message to another entry.
const MAX_REPORTS: usize = 32;

/// A call with what identifies its input over all calls that have it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FingerprintedCall {
    program: ProgramId,
    call: CallId,
    pub(super) fingerprints: Fingerprints,
}

impl FingerprintedCall {
    /// Computes the fingerprints of a call.
    pub(super) fn new(call: &Call) -> Self {
        Self {
            program: call.program,
            call: call.call,
            fingerprints: call_fingerprints(call),
        }
    }
}

impl fmt::Display for FingerprintedCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [prefix, request] = self.fingerprints;
        let (call, program) = (format_id(self.call), format_id(self.program));
        write!(f, "call {call} of program {program} ({request}, {prefix})")
    }
}

/// Returns the fingerprints of a call: the environment, the client account, what is called and the
/// call's own input. The history that an owner adds is not part of it.
fn call_fingerprints(call: &Call) -> Fingerprints {
    let caller = (&call.caller.environment, &call.caller.client_account);
    match &call.work {
        Work::Model {
            model, messages, ..
        } => crashes::fingerprints((caller, "model", model), &input_bytes(messages)),
        Work::Tool {
            service,
            operation,
            body,
            ..
        } => crashes::fingerprints((caller, "service", service, operation), body.as_bytes()),
    }
}

/// Returns the bytes of a model call's own input.
fn input_bytes(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for message in messages {
        bytes.extend_from_slice(message.role.to_string().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(message.content.as_bytes());
        bytes.push(0);
    }
    bytes
}

impl<L: Log> Entry<L> {
    /// Refuses a call that is due to run but is quarantined, or lets it run as a trial. A trial waits
    /// until other entries have reported their claims to it.
    pub(super) async fn admit(&self, call: &FingerprintedCall) -> Result<(), Refusal> {
        let claimant = stable_hash(&self.0.config.node);
        let fingerprints = &call.fingerprints;
        let admission = lock(&self.0.crashes).admit(Instant::now(), fingerprints, claimant);
        let admission = match admission {
            Admission::Trial => {
                self.share_crashes();
                Timer::after(CLAIM_TIME).await;
                lock(&self.0.crashes).confirm_trial(Instant::now(), fingerprints, claimant)
            }
            decided => decided,
        };
        match admission {
            Admission::Open => Ok(()),
            Admission::Trial => {
                log::info!(
                    target: "owner",
                    "owner: {} runs as a trial after its quarantine",
                    call
                );
                Ok(())
            }
            Admission::Refused(left) => Err(refuse_quarantined(call, left, 0)),
        }
    }

    /// Refuses a call that failed `attempts` times and has been quarantined meanwhile.
    pub(super) fn check_quarantine(
        &self,
        call: &FingerprintedCall,
        attempts: u32,
    ) -> Result<(), Refusal> {
        let left = lock(&self.0.crashes).quarantine_left(Instant::now(), &call.fingerprints);
        left.map_or(Ok(()), |left| Err(refuse_quarantined(call, left, attempts)))
    }

    /// Records that an endpoint crashed while it had an attempt of a call that was sent at a time, and
    /// tells the other entries. The end of one whose VM is leaving is no crash, whatever still ran
    /// there.
    pub(super) fn record_crash(
        &self,
        call: &FingerprintedCall,
        endpoint: &str,
        lifetime: Lifetime,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        if lock(&self.0.membership).state(now, endpoint) == Some(NodeState::Leaving) {
            log::info!(
                target: "owner",
                "owner: endpoint {endpoint} ended while it had {call}; its VM is leaving, so this is no \
                 crash (lifetime {lifetime:016x})"
            );
            return;
        }
        let mut crashes = lock(&self.0.crashes);
        let states = call
            .fingerprints
            .map(|print| crashes.record_crash_of_attempt(now, print, lifetime, sent_at));
        drop(crashes);
        let [prefix, request] = states.map(describe_state);
        log::warn!(
            target: "owner",
            "owner: endpoint {endpoint} crashed while it had {}; same input: {request}; inputs that \
             begin alike: {prefix} (lifetime {lifetime:016x})",
            call
        );
        self.share_crashes();
    }

    /// Records a complete answer, which proves a call harmless.
    pub(super) fn record_answer(&self, call: &FingerprintedCall) {
        let now = Instant::now();
        let mut crashes = lock(&self.0.crashes);
        let cleared = call
            .fingerprints
            .map(|print| crashes.record_answer(now, print));
        drop(crashes);
        let count = cleared.iter().flatten().map(|state| state.lifetimes).max();
        let Some(count) = count else {
            return;
        };
        log::info!(
            target: "owner",
            "owner: an answer clears {count} crashes of {}",
            call
        );
        self.share_crashes();
    }

    /// Forgets expired calls and tells the other entries what has changed.
    pub(super) fn share_crashes(&self) {
        let now = Instant::now();
        let mut crashes = lock(&self.0.crashes);
        crashes.forget_expired(now);
        let reports = crashes.due_reports(now, MAX_REPORTS);
        drop(crashes);
        if reports.is_empty() {
            return;
        }
        let peers = lock(&self.0.membership).candidates(now, NodeRole::Entry);
        for peer in peers {
            let send = self.clone().send_crash_reports(peer, reports.clone());
            self.0.spawner.spawn(send);
        }
    }

    /// Asks an entry that has just been heard of for what it knows, so that a restart forgets nothing.
    pub(super) fn fetch_crash_reports(&self, peer: NodeId) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            let reply = entry.ask_about_crashes(&peer, Request::FetchCrashReports);
            if let Some(Reply::CrashReports(reports)) = reply.await {
                entry.merge_crash_reports(&peer, &reports);
            }
        });
    }

    async fn send_crash_reports(self, peer: NodeId, reports: Vec<CrashReport>) {
        // Reports are repeated, so that a lost one needs no retry here.
        let _ = self
            .ask_about_crashes(&peer, Request::ReportCrashes(reports))
            .await;
    }

    async fn ask_about_crashes(&self, peer: &NodeId, request: Request) -> Option<Reply> {
        let timeout = async {
            Timer::after(self.0.config.membership.suspect_after).await;
            None
        };
        let ask = async { self.0.links.ask(peer, request).await.ok() };
        ask.or(timeout).await
    }

    /// Serves a request of another entry about crashes; `None` for other requests.
    pub(super) fn serve_crash_request(&self, from: &Remote, request: &Request) -> Option<Reply> {
        match request {
            Request::ReportCrashes(reports) => {
                self.merge_crash_reports(&from.node, reports);
                Some(Reply::Done)
            }
            Request::FetchCrashReports => {
                let mut crashes = lock(&self.0.crashes);
                crashes.report_all();
                let reports = crashes.due_reports(Instant::now(), MAX_REPORTS);
                Some(Reply::CrashReports(reports))
            }
            _ => None,
        }
    }

    /// Merges the reports of another entry. What was answered here recently is cleared there at once.
    pub(super) fn merge_crash_reports(&self, from: &str, reports: &[CrashReport]) {
        for report in reports.iter().take(MAX_REPORTS) {
            let merged = lock(&self.0.crashes).merge(Instant::now(), report);
            let Some(state) = merged else {
                continue;
            };
            log::info!(
                target: "owner",
                "owner: {from} reports crashes under {}, the last {} ms ago: {}",
                report.fingerprint,
                report.age_ms,
                describe_state(Some(state))
            );
        }
        self.share_crashes();
    }
}

fn refuse_quarantined(call: &FingerprintedCall, left: Duration, attempts: u32) -> Refusal {
    log::warn!(
        target: "owner",
        "owner: refusing {} after {attempts} attempts, quarantined for another {} ms",
        call,
        left.as_millis()
    );
    let wait = left.max(MIN_RETRY_AFTER);
    Refusal::not_run(RefusalCode::EndpointFailed, REASON).retry_after_ms(wait.as_millis() as u64)
}

fn describe_state(state: Option<Suspicion>) -> String {
    match state {
        None => "not counted".to_owned(),
        Some(state) if state.is_quarantined => format!("{} crashes, quarantined", state.lifetimes),
        Some(state) => format!("{} crashes", state.lifetimes),
    }
}
