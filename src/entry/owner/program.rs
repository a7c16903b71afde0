//! A program as its owner holds it in memory, ahead of the log.

use crate::coordination::partition::PartitionHandle;
use crate::entry::lock;
use crate::entry::owner::branch::Job;
use crate::ids::{BranchId, CallId, ClientAccountId, EnvironmentId, Epoch, ProgramId};
use crate::protocol::image;
use crate::protocol::link::{Answer, Create, Tokens};
use crate::protocol::message::Usage;
use crate::protocol::record::{EndReason, Turn};
use crate::protocol::refusal::Refusal;
use crate::state::budget::Ledger;
use crate::transport::replay::Replay;
use async_channel::Sender;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How an answer ended.
pub(crate) type AnswerEnd = Result<Answer, Refusal>;

/// An answer that callers follow.
pub(crate) type Answers = Replay<Tokens, AnswerEnd>;

/// Reserved for a program before its first call, as far as the budget goes.
const FIRST_RESERVE: Usage = Usage {
    tokens: 4_096,
    calls: 2,
    time_ms: 60_000,
};

/// A program of this node with the partition that it is in.
#[derive(Clone)]
pub(super) struct Owned<L> {
    /// The partition.
    pub(super) handle: PartitionHandle<L>,
    /// The epoch in which this node owns it.
    pub(super) epoch: Epoch,
    /// The program.
    pub(super) live: Arc<LiveProgram>,
}

/// A call that is under way or over.
#[derive(Clone)]
pub(super) struct KnownCall {
    /// Its answer.
    pub(super) text: Answers,
    /// Closing it stops the call.
    pub(super) stop: Sender<()>,
}

/// What became of a call that was to be added.
pub(super) enum Added {
    /// It is in.
    New,
    /// A call with its id or key is in already.
    Known(CallId, Answers),
    /// The program is leaving memory.
    Closed,
}

/// A program in memory. It is valid in one epoch only.
pub(super) struct LiveProgram {
    pub(super) id: ProgramId,
    pub(super) client_account: ClientAccountId,
    pub(super) environment: EnvironmentId,
    pub(super) deadline_ms: u64,
    pub(super) epoch: Epoch,
    state: Mutex<State>,
}

/// Invariants: `committed_reserve` is the reservation that the newest pushed entry names;
/// `keys` names only calls in `calls`; turns in `pending` are pushed and not known as committed;
/// once `closed` no call is added, so that another copy of the program may take its place.
struct State {
    closed: bool,
    ledger: Ledger,
    committed_reserve: Usage,
    branches: HashMap<BranchId, Sender<Job>>,
    calls: HashMap<CallId, KnownCall>,
    keys: HashMap<String, CallId>,
    pending: Vec<Arc<Turn>>,
    ended: Option<EndReason>,
    touched: Instant,
}

impl LiveProgram {
    /// Makes a program that begins now.
    pub(super) fn begin(create: &Create, epoch: Epoch) -> Self {
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

    /// Makes a program as the log has it.
    pub(super) fn load(image: &image::Program, epoch: Epoch) -> Self {
        let ended = image.ended.map(|end| end.reason);
        let state = State {
            committed_reserve: image.reserved,
            ..State::new(idle_ledger(image), ended)
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

    /// Returns why the program has ended, if it has.
    pub(super) fn ended(&self) -> Option<EndReason> {
        lock(&self.state).ended
    }

    /// Ends the program: its calls stop. Returns false if it had ended before.
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

    /// Returns the answer of a call that is in memory.
    pub(super) fn known(&self, call: CallId, key: Option<&str>) -> Option<(CallId, Answers)> {
        let state = lock(&self.state);
        let by_key = key.and_then(|key| state.keys.get(key).copied());
        let id = by_key.unwrap_or(call);
        state.calls.get(&id).map(|known| (id, known.text.clone()))
    }

    /// Adds a call unless its key is taken.
    pub(super) fn add_call(&self, call: CallId, key: Option<&str>, known: KnownCall) -> Added {
        let mut state = lock(&self.state);
        if state.closed {
            return Added::Closed;
        }
        state.touched = Instant::now();
        let first = key.and_then(|key| state.keys.get(key).copied());
        let first = first.unwrap_or(call);
        if let Some(taken) = state.calls.get(&first) {
            return Added::Known(first, taken.text.clone());
        }
        if let Some(key) = key {
            state.keys.insert(key.to_string(), call);
        }
        state.calls.insert(call, known);
        Added::New
    }

    /// Forgets a call that did not run, so that a retry with its key runs.
    pub(super) fn forget_call(&self, call: CallId) {
        let mut state = lock(&self.state);
        state.calls.remove(&call);
        state.keys.retain(|_, id| *id != call);
    }

    /// Returns the queue of a branch, made by `make` if there is none; `None` once closed.
    pub(super) fn branch(
        &self,
        branch: BranchId,
        make: impl FnOnce() -> Sender<Job>,
    ) -> Option<Sender<Job>> {
        let mut state = lock(&self.state);
        let open = !state.closed && state.ended.is_none();
        open.then(|| state.branches.entry(branch).or_insert_with(make).clone())
    }

    /// Looks at the budget and changes it.
    pub(super) fn with_ledger<R>(&self, change: impl FnOnce(&mut Ledger) -> R) -> R {
        change(&mut lock(&self.state).ledger)
    }

    /// Tells whether the newest reservation that was pushed covers all that is reserved.
    pub(super) fn is_covered(&self) -> bool {
        let state = lock(&self.state);
        state.ledger.reserved().fits(state.committed_reserve)
    }

    /// Returns the reservation to be written: what is reserved now and room for more calls, of
    /// which one may have as many tokens as `next_tokens`.
    pub(super) fn reserve_ahead(&self, next_tokens: u64) -> Usage {
        let mut state = lock(&self.state);
        let left = state.ledger.remaining();
        let ahead = Usage {
            tokens: (FIRST_RESERVE.tokens + next_tokens).min(left.tokens),
            calls: FIRST_RESERVE.calls.min(left.calls),
            time_ms: FIRST_RESERVE.time_ms.min(left.time_ms),
        };
        state.committed_reserve = state.ledger.reserved() + ahead;
        state.committed_reserve
    }

    /// Notes a turn that is pushed.
    pub(super) fn add_pending(&self, turn: Arc<Turn>) {
        lock(&self.state).pending.push(turn);
    }

    /// Notes that a turn is in the log.
    pub(super) fn commit_pending(&self, call: CallId) {
        lock(&self.state).pending.retain(|turn| turn.call != call);
    }

    /// Returns turns that are not known to be in the log.
    pub(super) fn pending_turns(&self) -> Vec<Arc<Turn>> {
        lock(&self.state).pending.clone()
    }

    /// Returns how long the program has been without calls, if none is under way.
    pub(super) fn idle(&self) -> Option<Duration> {
        let state = lock(&self.state);
        (!state.is_running()).then(|| state.touched.elapsed())
    }

    /// Takes no more calls if the log has the whole program and none is under way.
    pub(super) fn close(&self) -> bool {
        let mut state = lock(&self.state);
        if state.is_running() || !state.pending.is_empty() {
            return false;
        }
        state.closed = true;
        state.branches.clear();
        true
    }

    /// Forgets answers that nobody has read for a while and stops calls that nobody waits for.
    pub(super) fn sweep(&self, keep: Duration, orphan_after: Duration) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.calls.retain(|_, call| {
            let idle = call.text.idle();
            if call.text.end().is_none() && idle >= orphan_after {
                call.stop.close();
            }
            call.text.end().is_none() || idle < keep
        });
        let calls = &state.calls;
        state.keys.retain(|_, call| calls.contains_key(call));
    }

    /// Ends the answers of all calls with a refusal, since this node does not own the program.
    pub(super) fn abandon(&self, refusal: &Refusal) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.branches.clear();
        for call in state.calls.values() {
            call.text.finish(Err(refusal.clone()));
            call.stop.close();
        }
    }
}

impl State {
    fn is_running(&self) -> bool {
        self.calls.values().any(|call| call.text.end().is_none())
    }

    fn new(ledger: Ledger, ended: Option<EndReason>) -> Self {
        Self {
            closed: false,
            ledger,
            committed_reserve: Usage::default(),
            branches: HashMap::new(),
            calls: HashMap::new(),
            keys: HashMap::new(),
            pending: Vec::new(),
            ended,
            touched: Instant::now(),
        }
    }
}

/// Returns the budget of a program without calls under way; open actions keep their reservation.
fn idle_ledger(image: &image::Program) -> Ledger {
    let mut ledger = Ledger::of(image);
    ledger.settle(image.reserved, Usage::default());
    ledger
}
