//! Repeatable service calls: second copies of slow calls, and retries of failed ones.

use crate::coordination::choice::{CallOutcome, Choice};
use crate::coordination::hedge::{HedgeCandidate, HedgeConfig, hedge_at};
use crate::coordination::retry::FailedCall;
use crate::entry::dispatch::{DispatchGuard, DispatchedCall, refuse_unreachable};
use crate::entry::{Entry, lock};
use crate::ids::EndpointId;
use crate::protocol::link::{ActionReply, ActionState, Invoke};
use crate::protocol::log::Log;
use crate::protocol::record::ActionResult;
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::protocol::service::ServiceReply;
use crate::transport::link::LinkError;
use futures_lite::FutureExt;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;
use smol::Timer;
use std::time::{Duration, Instant};

/// A service call that was answered.
pub(super) struct FinishedInvocation {
    /// Endpoint that answered.
    pub(super) endpoint: EndpointId,
    /// Answer of the service.
    pub(super) reply: ServiceReply,
    /// Time for which the service ran, in milliseconds.
    pub(super) ran_ms: u64,
}

impl<L: Log> Entry<L> {
    /// Runs a repeatable service call. A slow one is sent a second time, a failed one is retried.
    ///
    /// Refuses if no endpoint is available, or with the last failure.
    pub(super) async fn invoke_repeatable(
        &self,
        dispatch: &mut DispatchedCall<'_>,
        invoke: &Invoke,
    ) -> Result<FinishedInvocation, Refusal> {
        let mut next = Some(self.choose(dispatch)?);
        let mut call = HedgedCall::new(self, dispatch, invoke);
        let mut running = FuturesUnordered::new();
        loop {
            if let Some(choice) = next {
                let number = call.record_sent(&choice);
                running.push(self.invoke_copy(number, choice.endpoint, invoke.clone()));
            }
            let ended = async { Some(running.select_next_some().await) };
            let slow = async {
                call.wait_until_slow().await;
                None
            };
            next = match ended.or(slow).await {
                None => call.hedge(),
                Some((number, Ok(answer))) => return Ok(call.finish(number, answer)),
                Some((number, Err(refusal))) => call.fail(number, refusal).await?,
            };
        }
    }

    /// Sends one copy of a call, without a retry. Returns its number with the result.
    async fn invoke_copy(
        &self,
        number: usize,
        endpoint: EndpointId,
        invoke: Invoke,
    ) -> (usize, Result<ServiceAnswer, Refusal>) {
        let invoked = self.invoke_at(&endpoint, invoke).await;
        (number, into_answer(invoked))
    }
}

/// Answer of a service, with the time for which it ran in milliseconds.
type ServiceAnswer = (ServiceReply, u64);

/// A copy of a call that was sent to an endpoint.
struct SentCopy<'a, L: Log> {
    endpoint: EndpointId,
    sent_at: Instant,
    /// `None` once the copy has ended.
    guard: Option<DispatchGuard<'a, L>>,
    /// Whether a further copy was sent because this one is slow.
    is_hedged: bool,
}

/// A repeatable service call with its copies.
///
/// Invariants: `sent` holds the copies in the order in which they were sent, so that a copy's number
/// is its index. `watched_since` is when the newest copy was sent or last found to be slow.
struct HedgedCall<'a, 'd, 'c, L: Log> {
    entry: &'a Entry<L>,
    dispatch: &'d mut DispatchedCall<'c>,
    invoke: &'d Invoke,
    expected_run: Duration,
    sent: SmallVec<[SentCopy<'a, L>; 4]>,
    watched_since: Instant,
}

impl<'a, 'd, 'c, L: Log> HedgedCall<'a, 'd, 'c, L> {
    fn new(entry: &'a Entry<L>, dispatch: &'d mut DispatchedCall<'c>, invoke: &'d Invoke) -> Self {
        let operation = &invoke.request.operation;
        let expected_run = lock(&entry.0.run_times).expected(dispatch.target.name(), operation);
        Self {
            entry,
            dispatch,
            invoke,
            expected_run,
            sent: SmallVec::new(),
            watched_since: Instant::now(),
        }
    }

    /// Records that a copy is sent now and returns its number.
    fn record_sent(&mut self, choice: &Choice) -> usize {
        let number = self.sent.len();
        let guard = (self.entry).record_dispatch(self.dispatch, choice, number as u32);
        self.watched_since = Instant::now();
        self.sent.push(SentCopy {
            endpoint: choice.endpoint.clone(),
            sent_at: self.watched_since,
            guard: Some(guard),
            is_hedged: false,
        });
        number
    }

    /// Waits until a further copy may be sent. Never returns if none may.
    async fn wait_until_slow(&self) {
        let newest = HedgeCandidate {
            repeatable: self.dispatch.repeatable,
            started: false,
            hedged: false,
            sent_at: self.watched_since,
            expected_wait: self.expected_run,
        };
        match hedge_at(&newest, &HedgeConfig::default()) {
            Some(at) => Timer::at(at).await,
            None => std::future::pending().await,
        };
    }

    /// Chooses the endpoint of a further copy and spends the retry budgets. Returns `None` if no copy
    /// may be sent now.
    fn hedge(&mut self) -> Option<Choice> {
        let now = Instant::now();
        self.watched_since = now;
        let entry = self.entry;
        let fingerprints = &self.dispatch.fingerprinted.fingerprints;
        let quarantine_left = lock(&entry.0.crashes).quarantine_left(now, fingerprints);
        if quarantine_left.is_some() {
            return None;
        }
        let attempts = self.sent.len() as u32;
        let endpoint = self.sent.last()?.endpoint.clone();
        let mut retries = lock(&entry.0.retries);
        let slow = FailedCall {
            client_account: self.dispatch.client_account,
            endpoint: &endpoint,
            repeatable: self.dispatch.repeatable,
            ran: Ran::Unknown,
            attempts,
            deadline: self.dispatch.deadline,
            expected_run: self.expected_run,
        };
        if !retries.may_copy(now, &slow) {
            return None;
        }
        let choice = self.choose_for_copy()?;
        retries.spend_copy(now, &slow);
        drop(retries);
        log::debug!(
            target: "owner",
            "owner: a repeatable call is slow at {endpoint}, sending a copy to {}",
            choice.endpoint
        );
        for copy in &mut self.sent {
            copy.is_hedged = true;
        }
        Some(choice)
    }

    /// Chooses an endpoint without a copy of this call or, if there is none, any that has not failed
    /// it.
    fn choose_for_copy(&mut self) -> Option<Choice> {
        let failed = self.dispatch.failed.clone();
        let running = self.sent.iter().filter(|copy| copy.guard.is_some());
        let running = running.map(|copy| copy.endpoint.clone());
        self.dispatch.failed.extend(running);
        let other = self.entry.choose(self.dispatch);
        self.dispatch.failed = failed;
        other.or_else(|_| self.entry.choose(self.dispatch)).ok()
    }

    /// Ends the call with the answer of a copy.
    ///
    /// Copies that were slow and are still running count as failed at their endpoints.
    fn finish(mut self, number: usize, (reply, ran_ms): ServiceAnswer) -> FinishedInvocation {
        for copy in self.sent.iter_mut().filter(|copy| copy.is_hedged) {
            copy.end(CallOutcome::Failed);
        }
        self.entry.record_answer(&self.dispatch.fingerprinted);
        let answered = &mut self.sent[number];
        answered.end(CallOutcome::Answered);
        let run_time = answered.sent_at.elapsed();
        let endpoint = answered.endpoint.clone();
        let operation = &self.invoke.request.operation;
        lock(&self.entry.0.run_times).record(self.dispatch.target.name(), operation, run_time);
        FinishedInvocation {
            endpoint,
            reply,
            ran_ms,
        }
    }

    /// Records a failed copy. If no other copy runs, waits for the back-off and returns the endpoint
    /// of the next one, or the refusal if the call must not be retried.
    async fn fail(
        &mut self,
        number: usize,
        mut refusal: Refusal,
    ) -> Result<Option<Choice>, Refusal> {
        let failed = &mut self.sent[number];
        failed.end(CallOutcome::Failed);
        let (endpoint, sent_at) = (failed.endpoint.clone(), failed.sent_at);
        if let Some(lifetime) = refusal.crashed.take() {
            let call = &self.dispatch.fingerprinted;
            self.entry.record_crash(call, &endpoint, lifetime, sent_at);
        }
        if self.sent.iter().any(|copy| copy.guard.is_some()) {
            self.dispatch.failed.push(endpoint);
            return Ok(None);
        }
        let attempts = self.sent.len() as u32;
        let entry = self.entry;
        entry
            .back_off(self.dispatch, &endpoint, attempts, refusal)
            .await?;
        entry.choose(self.dispatch).map(Some)
    }
}

impl<L: Log> SentCopy<'_, L> {
    fn end(&mut self, outcome: CallOutcome) {
        if let Some(mut guard) = self.guard.take() {
            guard.outcome = outcome;
        }
    }
}

fn into_answer(invoked: Result<ActionReply, LinkError>) -> Result<ServiceAnswer, Refusal> {
    let action = invoked.map_err(|error| refuse_unreachable(&error))?;
    let reason = match action.state {
        ActionState::Finished(ActionResult::Done(reply)) => return Ok((reply, action.ran_ms)),
        ActionState::Finished(ActionResult::NotRun(reason) | ActionResult::Unknown(reason)) => {
            reason
        }
        _ => "The call was lost.".to_owned(),
    };
    Err(Refusal::not_run(RefusalCode::EndpointFailed, reason).crashed(action.crashed))
}
