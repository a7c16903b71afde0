//! Retries within a deadline.

use super::{CallError, Client, Collector, StreamEvent, StreamFault};
use crate::ids::{CallId, ProgramId};
use crate::protocol::caller::{CallRequest, ProgramAnswer, ProgramRequest, TurnAnswer};
use crate::protocol::link::Answer;
use crate::protocol::refusal::{Ran, RefusalCode};
use smol::Timer;
use std::future::Future;
use std::time::{Duration, Instant};

/// Wait before the first retry after a broken connection; doubles with each.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// Longest wait between two attempts.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Until when a request is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// No attempt begins after this.
    pub deadline: Instant,
}

impl Patience {
    /// Tries for so long from now on.
    pub fn of(time: Duration) -> Self {
        Self {
            deadline: Instant::now() + time,
        }
    }
}

/// An outcome and what it took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempts<T> {
    /// The outcome of the last attempt.
    pub result: Result<T, CallError>,
    /// How often the request was sent.
    pub sent: u32,
    /// Time from the first attempt to the first token, if the answer was streamed.
    pub first_token: Option<Duration>,
    /// What was wrong with the stream.
    pub fault: Option<StreamFault>,
}

impl Client {
    /// Begins a program; needs a key, so that a retry gives the same program.
    pub async fn create_patiently(
        &self,
        request: &ProgramRequest,
        patience: Patience,
    ) -> Attempts<ProgramAnswer> {
        let keyed = request.key.is_some();
        retry(patience, keyed, || self.create(request)).await
    }

    /// Runs a call and waits for its whole answer; without a key only what did not run is retried.
    pub async fn call_patiently(
        &self,
        program: ProgramId,
        request: &CallRequest,
        patience: Patience,
    ) -> Attempts<Answer> {
        let keyed = request.key.is_some();
        retry(patience, keyed, || self.call(program, request)).await
    }

    /// Reads a program's turns.
    pub async fn history_patiently(
        &self,
        program: ProgramId,
        patience: Patience,
    ) -> Attempts<Vec<TurnAnswer>> {
        retry(patience, true, || self.history(program)).await
    }

    /// Brings the receipt of a pending answer back.
    pub async fn bring_back_patiently(
        &self,
        program: ProgramId,
        receipt: &str,
        patience: Patience,
    ) -> Attempts<()> {
        retry(patience, true, || self.bring_back(program, receipt)).await
    }

    /// Ends a program.
    pub async fn end_patiently(&self, program: ProgramId, patience: Patience) -> Attempts<()> {
        retry(patience, true, || self.end(program)).await
    }

    /// Streams a call; a stream that breaks is resumed at its next token, or the call is sent again
    /// under the same key.
    pub async fn stream_patiently(
        &self,
        program: ProgramId,
        request: &CallRequest,
        patience: Patience,
    ) -> Attempts<Answer> {
        let mut run = StreamRun::new(self, program, request);
        let keyed = request.key.is_some();
        let mut backoff = Backoff::new(patience, keyed);
        let result = loop {
            let result = run.attempt().await;
            if !backoff.pause(&result).await {
                break result;
            }
        };
        Attempts {
            result,
            sent: backoff.sent,
            first_token: run.first_token,
            fault: run.fault,
        }
    }
}

/// A streamed call with what has come of it.
struct StreamRun<'a> {
    client: &'a Client,
    program: ProgramId,
    request: &'a CallRequest,
    call: Option<CallId>,
    attempts: u32,
    collector: Collector,
    begun: Instant,
    first_token: Option<Duration>,
    fault: Option<StreamFault>,
}

impl<'a> StreamRun<'a> {
    fn new(client: &'a Client, program: ProgramId, request: &'a CallRequest) -> Self {
        Self {
            client,
            program,
            request,
            call: None,
            attempts: 0,
            collector: Collector::default(),
            begun: Instant::now(),
            first_token: None,
            fault: None,
        }
    }

    async fn attempt(&mut self) -> Result<Answer, CallError> {
        if self.attempts > 0 {
            self.collector.read_again();
        }
        self.attempts += 1;
        let resumed = self.call.is_some();
        let mut read = self.attempt_once().await;
        if resumed && is_not_found(&read) {
            // Its owner is no more and had not written it down: send it again under its key.
            self.call = None;
            read = self.attempt_once().await;
        }
        if let Err(CallError::Refused(_)) = read {
            self.call = None;
        }
        read
    }

    async fn attempt_once(&mut self) -> Result<Answer, CallError> {
        let from = self.collector.next_index();
        let mut stream = match self.call {
            Some(call) => self.client.resume(self.program, call, from).await?,
            None => {
                self.collector.restart();
                self.client.stream(self.program, self.request).await?
            }
        };
        let read = self.read(&mut stream).await;
        if let Err(CallError::Broken(_)) = read {
            self.client.skip_entry();
        }
        read
    }

    async fn read(&mut self, stream: &mut super::AnswerStream) -> Result<Answer, CallError> {
        while let Some(event) = stream.next().await {
            match event? {
                StreamEvent::Accepted(call) => self.call = Some(call),
                StreamEvent::Restart => self.collector.discard(),
                StreamEvent::Tokens(tokens) => {
                    let elapsed = self.begun.elapsed();
                    self.first_token.get_or_insert(elapsed);
                    let fault = self.collector.add(&tokens).err();
                    self.note(fault);
                }
                StreamEvent::Done(answer) => {
                    let fault = self.collector.finish(&answer).err();
                    self.note(fault);
                    return Ok(answer);
                }
            }
        }
        Err(CallError::Broken("the stream was cut".to_owned()))
    }

    fn note(&mut self, fault: Option<StreamFault>) {
        if self.fault.is_none() {
            self.fault = fault;
        }
    }
}

fn is_not_found(result: &Result<Answer, CallError>) -> bool {
    matches!(result, Err(CallError::Refused(refusal)) if refusal.code == RefusalCode::NotFound)
}

async fn retry<T, F: Future<Output = Result<T, CallError>>>(
    patience: Patience,
    keyed: bool,
    mut attempt: impl FnMut() -> F,
) -> Attempts<T> {
    let mut backoff = Backoff::new(patience, keyed);
    let result = loop {
        let result = attempt().await;
        if !backoff.pause(&result).await {
            break result;
        }
    };
    Attempts {
        result,
        sent: backoff.sent,
        first_token: None,
        fault: None,
    }
}

/// Decides whether there is a next attempt, and waits for it.
struct Backoff {
    patience: Patience,
    keyed: bool,
    wait: Duration,
    sent: u32,
}

impl Backoff {
    fn new(patience: Patience, keyed: bool) -> Self {
        Self {
            patience,
            keyed,
            wait: FIRST_WAIT,
            sent: 0,
        }
    }

    /// Waits for the next attempt; `false` if there is none.
    async fn pause<T>(&mut self, result: &Result<T, CallError>) -> bool {
        self.sent += 1;
        let Some(wait) = self.wait_after(result) else {
            return false;
        };
        let jittered = wait.mul_f64(0.75 + 0.5 * fastrand::f64());
        if Instant::now() + jittered >= self.patience.deadline {
            return false;
        }
        Timer::after(jittered).await;
        true
    }

    fn wait_after<T>(&mut self, result: &Result<T, CallError>) -> Option<Duration> {
        match result {
            Ok(_) | Err(CallError::Unreadable(_)) => None,
            Err(CallError::Refused(refusal)) => {
                let again = self.keyed || refusal.ran == Ran::No;
                let wait = refusal.retry_after_ms.map(Duration::from_millis);
                wait.filter(|_| again)
            }
            Err(CallError::Broken(_)) if !self.keyed => None,
            Err(CallError::Broken(_)) => {
                let wait = self.wait;
                self.wait = (wait * 2).min(LONGEST_WAIT);
                Some(wait)
            }
        }
    }
}
