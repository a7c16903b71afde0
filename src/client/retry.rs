//! Requests with retries until a deadline.

use super::{CallError, Client, Collector, StreamEvent, StreamFault};
use crate::ids::{CallId, ProgramId};
use crate::protocol::caller::{CallRequest, ProgramAnswer, ProgramRequest, TurnAnswer};
use crate::protocol::link::Answer;
use crate::protocol::refusal::{Ran, RefusalCode};
use smol::Timer;
use std::future::Future;
use std::time::{Duration, Instant};

/// Back-off before the first retry after a lost connection; doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest back-off between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The time until which a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDeadline {
    /// No retry starts after this time.
    pub deadline: Instant,
}

impl RetryDeadline {
    /// Allows retries for `time` from now on.
    pub fn after(time: Duration) -> Self {
        Self {
            deadline: Instant::now() + time,
        }
    }
}

/// The outcome of a request with retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryOutcome<T> {
    /// The outcome of the last attempt.
    pub result: Result<T, CallError>,
    /// Number of times that the request was sent.
    pub requests_sent: u32,
    /// Time from the start of the first attempt to the first token; `None` unless the answer was
    /// streamed.
    pub first_token: Option<Duration>,
    /// The first inconsistency found in the stream.
    pub fault: Option<StreamFault>,
}

impl Client {
    /// Creates a program. With a key, a retry returns the same program; without one, only requests
    /// that had no effect are retried.
    pub async fn create_with_retry(
        &self,
        request: &ProgramRequest,
        deadline: RetryDeadline,
    ) -> RetryOutcome<ProgramAnswer> {
        let is_idempotent = request.key.is_some();
        retry(deadline, is_idempotent, || self.create(request)).await
    }

    /// Runs a call and waits for its whole answer. Without a key, only calls that did not run are
    /// retried.
    pub async fn call_with_retry(
        &self,
        program: ProgramId,
        request: &CallRequest,
        deadline: RetryDeadline,
    ) -> RetryOutcome<Answer> {
        let is_idempotent = request.key.is_some();
        retry(deadline, is_idempotent, || self.call(program, request)).await
    }

    /// Reads the turns of a program.
    pub async fn history_with_retry(
        &self,
        program: ProgramId,
        deadline: RetryDeadline,
    ) -> RetryOutcome<Vec<TurnAnswer>> {
        retry(deadline, true, || self.history(program)).await
    }

    /// Submits the receipt of a pending answer.
    pub async fn submit_receipt_with_retry(
        &self,
        program: ProgramId,
        receipt: &str,
        deadline: RetryDeadline,
    ) -> RetryOutcome<()> {
        retry(deadline, true, || self.submit_receipt(program, receipt)).await
    }

    /// Ends a program.
    pub async fn end_with_retry(
        &self,
        program: ProgramId,
        deadline: RetryDeadline,
    ) -> RetryOutcome<()> {
        retry(deadline, true, || self.end(program)).await
    }

    /// Runs a call and reads its answer as a stream. A broken stream is resumed at its next token. If
    /// the call is no longer known, it is sent again with the same key.
    pub async fn stream_with_retry(
        &self,
        program: ProgramId,
        request: &CallRequest,
        deadline: RetryDeadline,
    ) -> RetryOutcome<Answer> {
        let mut call = StreamCall::new(self, program, request);
        let is_idempotent = request.key.is_some();
        let mut retries = RetryLoop::new(deadline, is_idempotent);
        let result = loop {
            let result = call.attempt().await;
            if !retries.wait_before_retry(&result).await {
                break result;
            }
        };
        RetryOutcome {
            result,
            requests_sent: retries.requests_sent,
            first_token: call.first_token,
            fault: call.fault,
        }
    }
}

/// A streamed call and the part of its answer received so far.
struct StreamCall<'a> {
    client: &'a Client,
    program: ProgramId,
    request: &'a CallRequest,
    call: Option<CallId>,
    attempts: u32,
    collector: Collector,
    started_at: Instant,
    first_token: Option<Duration>,
    fault: Option<StreamFault>,
}

impl<'a> StreamCall<'a> {
    fn new(client: &'a Client, program: ProgramId, request: &'a CallRequest) -> Self {
        Self {
            client,
            program,
            request,
            call: None,
            attempts: 0,
            collector: Collector::default(),
            started_at: Instant::now(),
            first_token: None,
            fault: None,
        }
    }

    async fn attempt(&mut self) -> Result<Answer, CallError> {
        if self.attempts > 0 {
            self.collector.expect_resumed();
        }
        self.attempts += 1;
        let is_resumed = self.call.is_some();
        let mut result = self.stream_or_resume().await;
        if is_resumed && is_not_found(&result) {
            // The owner failed before it had written the call to the log: send it again with its key.
            self.call = None;
            result = self.stream_or_resume().await;
        }
        if let Err(CallError::Refused(_)) = result {
            self.call = None;
        }
        result
    }

    async fn stream_or_resume(&mut self) -> Result<Answer, CallError> {
        let from = self.collector.next_index();
        let mut stream = match self.call {
            Some(call) => {
                let resumed = self.client.resume(self.program, call, from).await?;
                resumed.limited_by(self.request)
            }
            None => {
                self.collector.restart();
                self.client.stream(self.program, self.request).await?
            }
        };
        let result = self.read(&mut stream).await;
        if let Err(CallError::Broken(_)) = result {
            self.client.switch_entry();
        }
        result
    }

    async fn read(&mut self, stream: &mut super::AnswerStream) -> Result<Answer, CallError> {
        while let Some(event) = stream.next().await {
            match event? {
                StreamEvent::Accepted(call) => self.call = Some(call),
                StreamEvent::Restart => self.collector.discard(),
                StreamEvent::Tokens(tokens) => {
                    let elapsed = self.started_at.elapsed();
                    self.first_token.get_or_insert(elapsed);
                    let fault = self.collector.add(&tokens).err();
                    self.record_fault(fault);
                }
                StreamEvent::Done(answer) => {
                    let fault = self.collector.finish(&answer).err();
                    self.record_fault(fault);
                    return Ok(answer);
                }
            }
        }
        Err(CallError::Broken(
            "the stream ended before its last event".to_owned(),
        ))
    }

    fn record_fault(&mut self, fault: Option<StreamFault>) {
        if self.fault.is_none() {
            self.fault = fault;
        }
    }
}

fn is_not_found(result: &Result<Answer, CallError>) -> bool {
    matches!(result, Err(CallError::Refused(refusal)) if refusal.code == RefusalCode::NotFound)
}

async fn retry<T, F: Future<Output = Result<T, CallError>>>(
    deadline: RetryDeadline,
    is_idempotent: bool,
    mut attempt: impl FnMut() -> F,
) -> RetryOutcome<T> {
    let mut retries = RetryLoop::new(deadline, is_idempotent);
    let result = loop {
        let result = attempt().await;
        if !retries.wait_before_retry(&result).await {
            break result;
        }
    };
    RetryOutcome {
        result,
        requests_sent: retries.requests_sent,
        first_token: None,
        fault: None,
    }
}

/// Decides whether to retry, and waits for the back-off.
struct RetryLoop {
    deadline: RetryDeadline,
    is_idempotent: bool,
    wait: Duration,
    requests_sent: u32,
}

impl RetryLoop {
    fn new(deadline: RetryDeadline, is_idempotent: bool) -> Self {
        Self {
            deadline,
            is_idempotent,
            wait: INITIAL_BACKOFF,
            requests_sent: 0,
        }
    }

    /// Waits until the next attempt; returns `false` if the result is final.
    async fn wait_before_retry<T>(&mut self, result: &Result<T, CallError>) -> bool {
        self.requests_sent += 1;
        let Some(wait) = self.next_wait(result) else {
            return false;
        };
        // A refusal asks for a minimum, so the jitter only adds.
        let jittered = wait.mul_f64(1.0 + 0.5 * fastrand::f64());
        if Instant::now() + jittered >= self.deadline.deadline {
            return false;
        }
        Timer::after(jittered).await;
        true
    }

    fn next_wait<T>(&mut self, result: &Result<T, CallError>) -> Option<Duration> {
        match result {
            Ok(_) | Err(CallError::Unreadable(_)) => None,
            Err(CallError::Refused(refusal)) => {
                let may_retry = self.is_idempotent || refusal.ran == Ran::No;
                let wait = refusal.retry_after_ms.map(Duration::from_millis);
                wait.filter(|_| may_retry)
            }
            Err(CallError::Broken(_)) if !self.is_idempotent => None,
            Err(CallError::Unreachable(_) | CallError::Broken(_)) => {
                let wait = self.wait;
                self.wait = (wait * 2).min(MAX_BACKOFF);
                Some(wait)
            }
        }
    }
}
