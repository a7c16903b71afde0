//! In-memory state of an owned program, which may be ahead of the log.

use crate::coordination::partition::PartitionHandle;
use crate::entry::lock;
use crate::entry::owner::branch::BranchJob;
use crate::ids::{BranchId, CallId, ClientAccountId, EnvironmentId, Epoch, ProgramId};
use crate::protocol::image;
use crate::protocol::link::{Answer, Create, Tokens};
use crate::protocol::message::Usage;
use crate::protocol::record::{EndReason, Reserved, Turn};
use crate::protocol::refusal::Refusal;
use crate::state::budget::Ledger;
use crate::transport::replay::ReplayBuffer;
use async_channel::Sender;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Final result of a call.
pub(crate) type AnswerResult = Result<Answer, Refusal>;

/// Replayable stream of a call's tokens and its final result.
pub(crate) type AnswerStream = ReplayBuffer<Tokens, AnswerResult>;

/// Headroom that each reservation adds for further calls, capped by the remaining budget.
const RESERVE_AHEAD: Usage = Usage {
    tokens: 4_096,
    calls: 2,
    time_ms: 60_000,
};

/// A program owned by this node, with its partition.
#[derive(Clone)]
pub(super) struct OwnedProgram<L> {
    /// Handle of the program's partition.
    pub(super) handle: PartitionHandle<L>,
    /// Epoch in which this node owns the partition.
    pub(super) epoch: Epoch,
    /// In-memory state of the program.
    pub(super) live: Arc<LiveProgram>,
}

/// A call that is running, or whose answer is still retained.
#[derive(Clone)]
pub(super) struct TrackedCall {
    /// Answer stream of the call.
    pub(super) answer: AnswerStream,
    /// Closing this channel stops the call.
    pub(super) stop: Sender<()>,
}

/// Outcome of adding a call to a program.
pub(super) enum AddOutcome {
    /// The call was added.
    New,
    /// A call with the same id or key exists.
    Duplicate(CallId, AnswerStream),
    /// The program is being removed from memory.
    Closed,
}

/// In-memory state of a program, valid in one epoch only.
pub(super) struct LiveProgram {
    pub(super) id: ProgramId,
    pub(super) client_account: ClientAccountId,
    pub(super) environment: EnvironmentId,
    pub(super) deadline_ms: u64,
    pub(super) epoch: Epoch,
    state: Mutex<State>,
}

/// Invariants:
/// - `queued_reserve` is the reservation in the newest entry queued for the log.
/// - `keys` refers only to calls in `calls`.
/// - Turns in `pending` are queued for the log and not known to be committed.
/// - Once `closed` is set, no call is added, so that another copy of the program can replace it.
struct State {
    closed: bool,
    ledger: Ledger,
    queued_reserve: Usage,
    branches: HashMap<BranchId, Sender<BranchJob>>,
    calls: HashMap<CallId, TrackedCall>,
    keys: HashMap<String, CallId>,
    pending: Vec<Arc<Turn>>,
    ended: Option<EndReason>,
    last_call_at: Instant,
}

impl LiveProgram {
    /// Creates the state of a new program.
    pub(super) fn create(create: &Create, epoch: Epoch) -> Self {
        let ledger = Ledger::new(create.budget);
        Self {
            id: create.program,
            client_account: create.caller.client_account.clone(),
            environment: create.caller.environment.clone(),
            deadline_ms: create.deadline_ms,
            epoch,
            state: Mutex::new(State::new(ledger, None)),
        }
    }

    /// Creates the state of a program from its logged image.
    pub(super) fn load(image: &image::Program, epoch: Epoch) -> Self {
        let ended = image.ended.map(|end| end.reason);
        let state = State {
            queued_reserve: image.reserved,
            ..State::new(ledger_without_calls(image), ended)
        };
        Self {
            id: image.program,
            client_account: image.client_account.clone(),
            environment: image.environment.clone(),
            deadline_ms: image.deadline_ms,
            epoch,
            state: Mutex::new(state),
        }
    }

    /// Returns why the program ended, or `None` while it runs.
    pub(super) fn end_reason(&self) -> Option<EndReason> {
        lock(&self.state).ended
    }

    /// Ends the program and stops its calls. Returns false if it had already ended.
    pub(super) fn end(&self, reason: EndReason) -> bool {
        let mut state = lock(&self.state);
        if state.ended.is_some() {
            return false;
        }
        state.ended = Some(reason);
        state.branches.clear();
        for call in state.calls.values() {
            call.stop.close();
        }
        true
    }

    /// Finds a call in memory by id or key. Returns its actual id and its answer.
    pub(super) fn find_call(
        &self,
        call: CallId,
        key: Option<&str>,
    ) -> Option<(CallId, AnswerStream)> {
        let state = lock(&self.state);
        let by_key = key.and_then(|key| state.keys.get(key).copied());
        let id = by_key.unwrap_or(call);
        state
            .calls
            .get(&id)
            .map(|tracked| (id, tracked.answer.clone()))
    }

    /// Adds a call unless its id or key is taken.
    pub(super) fn add_call(
        &self,
        call: CallId,
        key: Option<&str>,
        tracked: TrackedCall,
    ) -> AddOutcome {
        let mut state = lock(&self.state);
        if state.closed {
            return AddOutcome::Closed;
        }
        state.last_call_at = Instant::now();
        let id = key.and_then(|key| state.keys.get(key).copied());
        let id = id.unwrap_or(call);
        if let Some(existing_call) = state.calls.get(&id) {
            return AddOutcome::Duplicate(id, existing_call.answer.clone());
        }
        if let Some(key) = key {
            state.keys.insert(key.to_string(), call);
        }
        state.calls.insert(call, tracked);
        AddOutcome::New
    }

    /// Removes a call that did not run, so that a retry with its key can run.
    pub(super) fn forget_call(&self, call: CallId) {
        let mut state = lock(&self.state);
        state.calls.remove(&call);
        state.keys.retain(|_, id| *id != call);
    }

    /// Returns the queue of a branch, created by `create_queue` if there is none.
    ///
    /// Returns `None` once the program is closed or has ended.
    pub(super) fn branch_queue(
        &self,
        branch: BranchId,
        create_queue: impl FnOnce() -> Sender<BranchJob>,
    ) -> Option<Sender<BranchJob>> {
        let mut state = lock(&self.state);
        let open = !state.closed && state.ended.is_none();
        open.then(|| {
            state
                .branches
                .entry(branch)
                .or_insert_with(create_queue)
                .clone()
        })
    }

    /// Calls `change` with the program's budget ledger under the lock.
    pub(super) fn with_ledger<R>(&self, change: impl FnOnce(&mut Ledger) -> R) -> R {
        change(&mut lock(&self.state).ledger)
    }

    /// Returns whether the newest reservation queued for the log covers everything reserved now.
    pub(super) fn is_reserve_queued(&self) -> bool {
        let state = lock(&self.state);
        state.ledger.reserved().fits(state.queued_reserve)
    }

    /// Returns the reservation to write next: the reserved usage plus headroom for further calls.
    ///
    /// The headroom includes one call with `next_tokens` tokens.
    pub(super) fn reserve_ahead(&self, next_tokens: u64) -> Usage {
        let mut state = lock(&self.state);
        let remaining = state.ledger.remaining();
        let headroom = Usage {
            tokens: (RESERVE_AHEAD.tokens + next_tokens).min(remaining.tokens),
            calls: RESERVE_AHEAD.calls.min(remaining.calls),
            time_ms: RESERVE_AHEAD.time_ms.min(remaining.time_ms),
        };
        state.queued_reserve = state.ledger.reserved() + headroom;
        state.queued_reserve
    }

    /// Takes what failed runs have used and no record has, as a record of the log. Returns `None` if
    /// there is nothing.
    pub(super) fn take_unrecorded(&self) -> Option<Reserved> {
        let spent = self.with_ledger(Ledger::take_unrecorded);
        (!spent.is_zero()).then(|| Reserved {
            program: self.id,
            reserved: match self.end_reason() {
                Some(_) => Usage::default(),
                None => self.reserve_ahead(0),
            },
            spent,
        })
    }

    /// Records a turn that is queued for the log.
    pub(super) fn add_pending(&self, turn: Arc<Turn>) {
        lock(&self.state).pending.push(turn);
    }

    /// Removes a turn that is committed, or that the log ignores.
    pub(super) fn remove_pending(&self, call: CallId) {
        lock(&self.state).pending.retain(|turn| turn.call != call);
    }

    /// Returns the turns that are not known to be committed.
    pub(super) fn pending_turns(&self) -> Vec<Arc<Turn>> {
        lock(&self.state).pending.clone()
    }

    /// Returns the time since the last call was added, or `None` while a call is running.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        let state = lock(&self.state);
        (!state.has_running_call()).then(|| state.last_call_at.elapsed())
    }

    /// Closes the program for calls. Returns false if a call is running, a turn is pending, or the
    /// budget has usage that no record has.
    pub(super) fn try_close(&self) -> bool {
        let mut state = lock(&self.state);
        let is_recorded = state.ended.is_some() || state.ledger.unrecorded().is_zero();
        if state.has_running_call() || !state.pending.is_empty() || !is_recorded {
            return false;
        }
        state.closed = true;
        state.branches.clear();
        true
    }

    /// Removes answers that were not read within `retention`, and stops running calls that nobody
    /// has followed for `orphan_timeout`.
    pub(super) fn expire_calls(&self, retention: Duration, orphan_timeout: Duration) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.calls.retain(|_, call| {
            let idle = call.answer.idle_time();
            if call.answer.result().is_none() && idle >= orphan_timeout {
                call.stop.close();
            }
            call.answer.result().is_none() || idle < retention
        });
        let calls = &state.calls;
        state.keys.retain(|_, call| calls.contains_key(call));
    }

    /// Closes the program and ends all answers with a refusal, after the loss of ownership.
    pub(super) fn abandon(&self, refusal: &Refusal) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.branches.clear();
        for call in state.calls.values() {
            call.answer.finish(Err(refusal.clone()));
            call.stop.close();
        }
    }
}

impl State {
    fn has_running_call(&self) -> bool {
        self.calls
            .values()
            .any(|call| call.answer.result().is_none())
    }

    fn new(ledger: Ledger, ended: Option<EndReason>) -> Self {
        Self {
            closed: false,
            ledger,
            queued_reserve: Usage::default(),
            branches: HashMap::new(),
            calls: HashMap::new(),
            keys: HashMap::new(),
            pending: Vec::new(),
            ended,
            last_call_at: Instant::now(),
        }
    }
}

/// Returns the budget of a loaded program. Only open actions keep their reservation.
fn ledger_without_calls(image: &image::Program) -> Ledger {
    let mut ledger = Ledger::of(image);
    ledger.settle(image.reserved, Usage::default());
    ledger
}
