//! Branches: the calls of one branch run one after the other.

use crate::entry::owner::answer::{refuse_history, refuse_no_owner};
use crate::entry::owner::program::{Added, AnswerEnd, Answers, KnownCall, Owned};
use crate::entry::{Entry, unix_ms};
use crate::ids::{BranchId, CallId, TurnHash};
use crate::protocol::link::{Call, Work};
use crate::protocol::log::Log;
use crate::protocol::message::Message;
use crate::protocol::record::{Entry as Record, Turn};
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::state::history::{initial_hash, turn_hash};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Duration;

/// Work in a branch's queue.
pub(super) enum Job {
    /// A call.
    Call(CallJob),
    /// A turn that was pending elsewhere.
    Adopt {
        /// The turn.
        record: Record,
        /// Told when it is in the log.
        done: Sender<Result<(), Refusal>>,
    },
}

/// A call in its branch's queue.
pub(super) struct CallJob {
    /// The call.
    pub(super) call: Call,
    /// Its answer.
    pub(super) text: Answers,
    /// Closed when the call is to stop.
    pub(super) stopped: Receiver<()>,
}

/// The end of a branch, ahead of the log.
pub(super) struct Tail {
    /// Number of the last turn.
    pub(super) number: u32,
    /// Its hash.
    pub(super) hash: TurnHash,
    /// All messages so far.
    pub(super) messages: Vec<Message>,
    /// Upper bound of the tokens that `messages` have.
    pub(super) tokens: u64,
}

impl Tail {
    fn begin(owned_client_account: &String, program: u128, branch: BranchId) -> Self {
        Self {
            number: 0,
            hash: initial_hash(owned_client_account, program, branch),
            messages: Vec::new(),
            tokens: 0,
        }
    }

    /// Adds a turn.
    pub(super) fn add(&mut self, turn: &Turn, tokens: u64) {
        self.number = turn.number;
        self.hash = turn_hash(turn);
        self.messages.extend_from_slice(&turn.messages);
        self.tokens = tokens;
    }
}

/// Returns an upper bound of the tokens of messages: no token has less than a byte.
pub(super) fn token_bound(messages: &[Message]) -> u64 {
    let bytes = |message: &Message| message.content.len() as u64 + MESSAGE_TOKENS;
    messages.iter().map(bytes).sum()
}

/// Tokens that an engine may add to frame one message.
const MESSAGE_TOKENS: u64 = 8;

impl<L: Log> Entry<L> {
    /// Puts a call in line in its branch, or finds the call that has its key.
    pub(super) fn enqueue(
        &self,
        owned: Owned<L>,
        call: Call,
    ) -> Result<(CallId, Answers), Refusal> {
        let (stop, stopped) = async_channel::bounded(1);
        let text = Answers::new();
        let known = KnownCall {
            text: text.clone(),
            stop,
        };
        let id = call.call;
        match owned.live.add_call(id, call.key.as_deref(), known) {
            Added::New => {}
            Added::Known(first, text) => return Ok((first, text)),
            // The next attempt finds the program anew, here or elsewhere.
            Added::Closed => return Err(refuse_no_owner()),
        }
        self.0.programs.count(true);
        let branch = call.branch;
        let job = CallJob {
            call,
            text: text.clone(),
            stopped,
        };
        if self.enqueue_job(owned, branch, Job::Call(job)).is_err() {
            self.0.programs.count(false);
            text.finish(Err(ended()));
        }
        Ok((id, text))
    }

    /// Puts work in line in a branch.
    pub(super) fn enqueue_job(
        &self,
        owned: Owned<L>,
        branch: BranchId,
        job: Job,
    ) -> Result<(), Refusal> {
        let live = owned.live.clone();
        let queue = live.branch(branch, || {
            let (queue, jobs) = async_channel::unbounded();
            let work = self.clone().work_branch(owned, branch, jobs);
            self.0.spawner.spawn(work);
            queue
        });
        queue
            .and_then(|queue| queue.try_send(job).ok())
            .ok_or_else(refuse_no_owner)
    }

    /// Does the work of a branch until its queue is closed.
    async fn work_branch(self, owned: Owned<L>, branch: BranchId, jobs: Receiver<Job>) {
        let mut tail = None;
        while let Ok(job) = jobs.recv().await {
            match job {
                Job::Call(job) => self.finish_job(&owned, branch, &mut tail, &job).await,
                Job::Adopt { record, done } => {
                    let adopted = self.adopt_turn(&owned, record).await;
                    if let Ok(true) = adopted {
                        // The branch is read anew, with the turn in it. All turns that were
                        // pending stand before it in the log.
                        tail = None;
                    }
                    let _ = done.try_send(adopted.map(|_| ()));
                }
            }
        }
    }

    async fn finish_job(
        &self,
        owned: &Owned<L>,
        branch: BranchId,
        tail: &mut Option<Tail>,
        job: &CallJob,
    ) {
        let end = self.run_job(owned, branch, tail, job).await;
        if end.is_err() {
            // What the log has of the branch is read anew.
            *tail = None;
        }
        if not_run(&end) {
            owned.live.forget_call(job.call.call);
        }
        job.text.finish(end);
        self.0.programs.count(false);
    }

    async fn run_job(
        &self,
        owned: &Owned<L>,
        branch: BranchId,
        tail: &mut Option<Tail>,
        job: &CallJob,
    ) -> AnswerEnd {
        if owned.live.ended().is_some() {
            return Err(ended());
        }
        let limit = self.time_left(owned)?;
        if tail.is_none() {
            self.await_settled(owned, branch, limit).await?;
            *tail = Some(self.read_tail(owned, branch).await?);
        }
        let Some(tail) = tail.as_mut() else {
            return Err(ended());
        };
        if let Work::Tool {
            repeatable: false, ..
        } = &job.call.work
        {
            // An action that has begun is seen through, whoever waits for it.
            return self.run_action(owned, tail, job, limit).await;
        }
        let stopped = async {
            let _ = job.stopped.recv().await;
            Err(ended())
        };
        let late = async {
            Timer::after(limit).await;
            Err(deadline())
        };
        let produce = self.produce(owned, tail, job, limit);
        let product = produce.or(stopped).or(late).await?;
        // From here on the turn stands, whoever still waits for it.
        self.write_turn(owned, tail, job, product).await
    }

    /// Returns the time that a call of the program may take now.
    fn time_left(&self, owned: &Owned<L>) -> Result<Duration, Refusal> {
        let left_ms = owned.live.deadline_ms.saturating_sub(unix_ms());
        let left = Duration::from_millis(left_ms).min(self.0.config.call_limit);
        if left.is_zero() {
            return Err(deadline());
        }
        Ok(left)
    }

    /// Reads a branch from the log.
    async fn read_tail(&self, owned: &Owned<L>, branch: BranchId) -> Result<Tail, Refusal> {
        let live = &owned.live;
        let mut tail = Tail::begin(&live.client_account, live.id, branch);
        let known = owned
            .handle
            .with_state(|state| state.program(live.id).is_some());
        if !known {
            return Ok(tail);
        }
        let read = owned
            .handle
            .history(&live.client_account, live.id, branch)
            .await;
        for turn in read.map_err(|e| refuse_history(&e))? {
            let tokens = tail.tokens + token_bound(&turn.messages);
            tail.add(&turn, tokens);
        }
        Ok(tail)
    }
}

/// Tells whether a call had no effect, so that a retry with its key may run.
fn not_run(end: &AnswerEnd) -> bool {
    matches!(end, Err(refusal) if refusal.ran == Ran::No)
}

fn ended() -> Refusal {
    Refusal::not_run(
        RefusalCode::Ended,
        "The program has ended or the call was stopped.",
    )
}

fn deadline() -> Refusal {
    Refusal::not_run(RefusalCode::Deadline, "The program's deadline has passed.")
}
