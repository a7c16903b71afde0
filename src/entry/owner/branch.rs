//! Per-branch job queues. The calls of one branch run sequentially.

use crate::entry::crashes::FingerprintedCall;
use crate::entry::owner::program::{
    AddOutcome, AnswerResult, AnswerStream, OwnedProgram, TrackedCall,
};
use crate::entry::owner::refusals::{refuse_history, refuse_no_owner};
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

/// Job in a branch's queue.
pub(super) enum BranchJob {
    /// A call to run.
    Call(CallJob),
    /// A turn that was acknowledged as pending, to be committed.
    CommitPending {
        /// The turn as a log entry.
        record: Record,
        /// Receives the result once the turn is committed or refused.
        done: Sender<Result<(), Refusal>>,
    },
}

/// A call queued in its branch.
pub(super) struct CallJob {
    /// Request of the caller.
    pub(super) call: Call,
    /// The call with its fingerprints.
    pub(super) fingerprinted: FingerprintedCall,
    /// Stream that receives the answer.
    pub(super) answer: AnswerStream,
    /// Closed to stop the call.
    pub(super) stopped: Receiver<()>,
}

/// Messages and position of a branch, including turns that are not committed yet.
pub(super) struct BranchContext {
    /// Number of the last turn.
    pub(super) number: u32,
    /// Hash of the last turn.
    pub(super) hash: TurnHash,
    /// Messages of all turns, in order.
    pub(super) messages: Vec<Message>,
    /// Upper bound of the number of tokens in `messages`.
    pub(super) tokens: u64,
}

impl BranchContext {
    fn empty(client_account: &String, program: u128, branch: BranchId) -> Self {
        Self {
            number: 0,
            hash: initial_hash(client_account, program, branch),
            messages: Vec::new(),
            tokens: 0,
        }
    }

    /// Appends a turn; `tokens` is the new upper bound for the whole branch.
    pub(super) fn add(&mut self, turn: &Turn, tokens: u64) {
        self.number = turn.number;
        self.hash = turn_hash(turn);
        self.messages.extend_from_slice(&turn.messages);
        self.tokens = tokens;
    }

    /// Appends a turn and adds the bound of its messages' tokens.
    fn add_counted(&mut self, turn: &Turn) {
        self.add(turn, self.tokens + token_bound(&turn.messages));
    }

    /// Returns whether a turn is the next one of the branch.
    fn is_followed_by(&self, turn: &Turn) -> bool {
        turn.number == self.number + 1 && turn.previous == self.hash
    }
}

/// Returns an upper bound of the number of tokens in messages. A token has at least one byte.
pub(super) fn token_bound(messages: &[Message]) -> u64 {
    let bytes = |message: &Message| message.content.len() as u64 + MESSAGE_FRAME_TOKENS;
    messages.iter().map(bytes).sum()
}

/// Maximum number of tokens that an engine adds to frame one message.
const MESSAGE_FRAME_TOKENS: u64 = 8;

impl<L: Log> Entry<L> {
    /// Queues a call in its branch, or returns the call with the same id or key.
    pub(super) fn enqueue_call(
        &self,
        owned: OwnedProgram<L>,
        call: Call,
    ) -> Result<(CallId, AnswerStream), Refusal> {
        let (stop, stopped) = async_channel::bounded(1);
        let answer = AnswerStream::new();
        let tracked = TrackedCall {
            answer: answer.clone(),
            stop,
        };
        let id = call.call;
        match owned.live.add_call(id, call.key.as_deref(), tracked) {
            AddOutcome::New => {}
            AddOutcome::Duplicate(first, answer) => return Ok((first, answer)),
            // The caller's retry loads the program again, here or at another owner.
            AddOutcome::Closed => return Err(refuse_no_owner()),
        }
        self.0.programs.count_call(true);
        let branch = call.branch;
        let job = CallJob {
            fingerprinted: FingerprintedCall::new(&call),
            call,
            answer: answer.clone(),
            stopped,
        };
        if self
            .enqueue_job(owned, branch, BranchJob::Call(job))
            .is_err()
        {
            self.0.programs.count_call(false);
            answer.finish(Err(refuse_ended()));
        }
        Ok((id, answer))
    }

    /// Queues a job in a branch and starts the branch's task if it has none.
    pub(super) fn enqueue_job(
        &self,
        owned: OwnedProgram<L>,
        branch: BranchId,
        job: BranchJob,
    ) -> Result<(), Refusal> {
        let live = owned.live.clone();
        let queue = live.branch_queue(branch, || {
            let (queue, jobs) = async_channel::unbounded();
            let work = self.clone().run_branch(owned, branch, jobs);
            self.0.spawner.spawn(work);
            queue
        });
        queue
            .and_then(|queue| queue.try_send(job).ok())
            .ok_or_else(refuse_no_owner)
    }

    /// Runs the jobs of a branch until its queue is closed.
    async fn run_branch(self, owned: OwnedProgram<L>, branch: BranchId, jobs: Receiver<BranchJob>) {
        let mut context = None;
        while let Ok(job) = jobs.recv().await {
            match job {
                BranchJob::Call(job) => {
                    self.run_and_finish_job(&owned, branch, &mut context, &job)
                        .await
                }
                BranchJob::CommitPending { record, done } => {
                    let result = self.commit_pending_turn(&owned, record).await;
                    if let Ok(true) = result {
                        // The next job reads the branch again, including this turn. All
                        // earlier pending turns precede it in the log.
                        context = None;
                    }
                    let _ = done.try_send(result.map(|_| ()));
                }
            }
        }
    }

    async fn run_and_finish_job(
        &self,
        owned: &OwnedProgram<L>,
        branch: BranchId,
        context: &mut Option<BranchContext>,
        job: &CallJob,
    ) {
        let result = self.run_job(owned, branch, context, job).await;
        if result.is_err() {
            // The next job reads the branch again from the log.
            *context = None;
            self.record_failed_runs(owned);
        }
        if has_not_run(&result) {
            owned.live.forget_call(job.call.call);
        }
        job.answer.finish(result);
        self.0.programs.count_call(false);
    }

    async fn run_job(
        &self,
        owned: &OwnedProgram<L>,
        branch: BranchId,
        context: &mut Option<BranchContext>,
        job: &CallJob,
    ) -> AnswerResult {
        if owned.live.end_reason().is_some() {
            return Err(refuse_ended());
        }
        let limit = self.time_left(owned)?;
        if context.is_none() {
            self.wait_for_open_actions(owned, branch, limit).await?;
            *context = Some(self.read_context(owned, branch).await?);
        }
        let Some(context) = context.as_mut() else {
            return Err(refuse_ended());
        };
        if let Work::Tool {
            repeatable: false, ..
        } = &job.call.work
        {
            // An action runs to its end even if the call is stopped or late.
            return self.run_action(owned, context, job, limit).await;
        }
        let stopped = async {
            let _ = job.stopped.recv().await;
            Err(refuse_ended())
        };
        let timeout = async {
            Timer::after(limit).await;
            Err(refuse_deadline())
        };
        let running = self.run_repeatable(owned, context, job, limit);
        let output = running.or(stopped).or(timeout).await?;
        // From here on the turn is written even if the call is stopped or late.
        self.write_turn(owned, context, job, output).await
    }

    /// Returns the time limit of a call that starts now.
    ///
    /// It is the time to the program's deadline, capped by the call timeout.
    fn time_left(&self, owned: &OwnedProgram<L>) -> Result<Duration, Refusal> {
        let left_ms = owned.live.deadline_ms.saturating_sub(unix_ms());
        let remaining = Duration::from_millis(left_ms).min(self.0.config.call_timeout);
        if remaining.is_zero() {
            return Err(refuse_deadline());
        }
        Ok(remaining)
    }

    /// Reads the turns of a branch: the committed ones from the log, then those that are queued for it.
    async fn read_context(
        &self,
        owned: &OwnedProgram<L>,
        branch: BranchId,
    ) -> Result<BranchContext, Refusal> {
        let live = &owned.live;
        // Read first: a turn that is committed meanwhile is then in the log or among these.
        let pending = live.pending_turns();
        let mut context = BranchContext::empty(&live.client_account, live.id, branch);
        let is_logged = owned
            .handle
            .with_state(|state| state.program(live.id).is_some());
        if is_logged {
            let read = owned
                .handle
                .history(&live.client_account, live.id, branch)
                .await;
            for turn in read.map_err(|e| refuse_history(&e))? {
                context.add_counted(&turn);
            }
        }
        for turn in pending.iter().filter(|turn| turn.branch == branch) {
            if context.is_followed_by(turn) {
                context.add_counted(turn);
            }
        }
        Ok(context)
    }
}

/// Returns whether a call was refused without running, so that a retry with its key may run.
fn has_not_run(result: &AnswerResult) -> bool {
    matches!(result, Err(refusal) if refusal.ran == Ran::No)
}

fn refuse_ended() -> Refusal {
    Refusal::not_run(
        RefusalCode::Ended,
        "The program has ended or the call was stopped.",
    )
}

fn refuse_deadline() -> Refusal {
    Refusal::not_run(RefusalCode::Deadline, "The program's deadline has passed.")
}
