//! Model of one non-repeatable call that its caller retries under one key at the current owner.

use crate::search::{Spec, search};
use crate::stream::{
    FoldFaults, ReadOutcome, Records, SearchBounds, Stream, node_name, search_bounds,
};
use galenapick::ids::{CallId, Incarnation, Offset, ProgramId};
use galenapick::protocol::service::{ServiceReply, ServiceRequest};
use galenapick::{
    Action, ActionPhase, ActionResult, Claim, Created, Dispatch, DispatchLimits, DispatchOutcome,
    DispatchTable, Entry, Intent, Outcome, Program, Record, SettleOutcome, Ticket, Usage,
};
use googletest::prelude::*;

const PROGRAM: ProgramId = 1 << 80;
/// The caller's idempotency key for the call.
const KEY: &str = "transfer-1";
const PARTITION: u16 = 0;

/// A node's work on the call that exists in its memory only.
#[derive(Clone, PartialEq, Eq, Hash)]
enum NodeWork {
    None,
    /// The intent is being committed. The dispatch follows its commit.
    CommittingIntent(Ticket),
    /// The outcome is being committed. The reply to the caller follows its commit.
    CommittingOutcome(Ticket),
}

/// The check that a specification disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledCheck {
    Nothing,
    /// The fold's epoch check.
    Epoch,
    /// The sidecar's incarnation check.
    Incarnation,
    /// The committed intent before the dispatch.
    Intent,
    /// The sidecar's record of voided calls.
    VoidMemory,
}

/// The sidecar and the local service that it calls.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    incarnation: Incarnation,
    table: DispatchTable,
    /// Calls sent to the service that have not taken effect yet.
    running_calls: Vec<CallId>,
}

/// The whole state of the model.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    stream: Stream,
    node_work: [NodeWork; 2],
    sidecar: Sidecar,
    /// Dispatches in flight with their remaining copies. Each copy arrives at any time or never.
    dispatches: Vec<(Dispatch, u8)>,
    /// Calls that have taken effect at the service.
    effects: Vec<CallId>,
    /// Calls whose caller was told that they have not run.
    reported_not_run: Vec<CallId>,
    sidecar_restarts_left: u8,
}

/// The specification of one action.
struct Actions {
    records: Records,
    disabled_check: DisabledCheck,
    remaining: SearchBounds,
}

impl Actions {
    fn new(disabled_check: DisabledCheck) -> Self {
        let faults = FoldFaults {
            skip_epoch_check: disabled_check == DisabledCheck::Epoch,
            ..FoldFaults::default()
        };
        Self {
            records: Records::new(faults),
            disabled_check,
            remaining: SearchBounds {
                // The model of turns covers lost answers. Here they would only widen the search.
                lost_answers: 0,
                ..search_bounds()
            },
        }
    }

    /// Returns the steps of a node's sequencer.
    fn node_steps(&self, state: &State, node: usize) -> Vec<(String, State)> {
        if state.stream.nodes[node].commit.is_none() || state.node_work[node] != NodeWork::None {
            return Vec::new();
        }
        let folded_state = state.stream.folded_state(&self.records, node);
        let Some(program) = folded_state.program(PROGRAM) else {
            return Vec::new();
        };
        match program.action_by_key(KEY) {
            None => vec![self.intend(state, node)],
            Some(action) if action.state == ActionPhase::Open => {
                self.settle(state, node, action).into_iter().collect()
            }
            Some(_) => Vec::new(),
        }
    }

    /// Writes the intent of a retry. The receiving entry has generated the call's id.
    fn intend(&self, state: &State, node: usize) -> (String, State) {
        let mut next = state.clone();
        let node_state = &state.stream.nodes[node];
        let call = CallId::from(node_state.incarnation) * 2 + node as CallId;
        let intent = Intent {
            program: PROGRAM,
            branch: 0,
            call,
            key: Some(KEY.to_owned()),
            service: "bank-core".to_owned(),
            request: ServiceRequest {
                operation: "transfer".to_owned(),
                call,
                body: String::new(),
            },
            endpoint: "bank-core-1".to_owned(),
            incarnation: state.sidecar.incarnation,
            reserved: Usage::default(),
        };
        if self.disabled_check == DisabledCheck::Intent {
            let offset = state.stream.log.len() as Offset + 1;
            let epoch = node_state.epoch().unwrap_or(0);
            next.dispatches.push((dispatch(&intent, epoch, offset), 2));
        }
        let ticket = next.stream.push(node, vec![Entry::Intent(intent)]);
        next.node_work[node] = ticket.map_or(NodeWork::None, NodeWork::CommittingIntent);
        (format!("intend {node}"), next)
    }

    /// Asks the sidecar for the result of an intent and writes the outcome.
    fn settle(&self, state: &State, node: usize, action: &Action) -> Option<(String, State)> {
        let mut next = state.clone();
        let request = Dispatch {
            partition: PARTITION,
            epoch: state.stream.nodes[node].epoch()?,
            intent: action.intent,
            call: action.call,
            incarnation: self.expected_incarnation(action.incarnation, &state.sidecar),
        };
        let table_before = next.sidecar.table.clone();
        let result = match next.sidecar.table.settle(&request) {
            SettleOutcome::Running | SettleOutcome::OldEpoch => return None,
            SettleOutcome::Finished(result) => result,
            SettleOutcome::Voided => ActionResult::NotRun("voided".to_owned()),
            SettleOutcome::Unknown => ActionResult::Unknown("sidecar restarted".to_owned()),
        };
        if self.disabled_check == DisabledCheck::VoidMemory {
            next.sidecar.table = table_before;
        }
        let outcome = Entry::Outcome(Outcome {
            program: PROGRAM,
            call: action.call,
            result,
            spent: Usage::default(),
            resolved_by: None,
        });
        let ticket = next.stream.push(node, vec![outcome])?;
        next.node_work[node] = NodeWork::CommittingOutcome(ticket);
        Some((format!("settle {node}"), next))
    }

    /// Returns the incarnation in a request, which the sidecar compares with its own.
    fn expected_incarnation(&self, expected: Incarnation, sidecar: &Sidecar) -> Incarnation {
        if self.disabled_check == DisabledCheck::Incarnation {
            sidecar.incarnation
        } else {
            expected
        }
    }

    /// Returns the steps of the sidecar and its service.
    fn sidecar_steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for index in 0..state.dispatches.len() {
            steps.push((format!("deliver {index}"), self.deliver(state, index)));
        }
        for index in 0..state.sidecar.running_calls.len() {
            let mut next = state.clone();
            let call = next.sidecar.running_calls.remove(index);
            next.effects.push(call);
            next.effects.sort_unstable();
            let result = ActionResult::Done(ServiceReply {
                status: 200,
                body: String::new(),
            });
            next.sidecar.table.finish(call, result);
            steps.push((format!("effect {call}"), next));
        }
        steps.extend(self.restart(state));
        steps
    }

    /// Delivers one copy of a dispatch to the sidecar.
    fn deliver(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let (mut dispatch, copies) = next.dispatches.remove(index);
        if copies > 1 {
            next.dispatches.push((dispatch, copies - 1));
            next.dispatches
                .sort_unstable_by_key(|(dispatch, copies)| (dispatch.call, *copies));
        }
        dispatch.incarnation = self.expected_incarnation(dispatch.incarnation, &state.sidecar);
        if next.sidecar.table.dispatch(&dispatch) == DispatchOutcome::Run {
            next.sidecar.running_calls.push(dispatch.call);
        }
        next
    }

    /// Restarts the sidecar. Calls that it sent to the service may still take effect.
    fn restart(&self, state: &State) -> Option<(String, State)> {
        let mut next = state.clone();
        next.sidecar_restarts_left = state.sidecar_restarts_left.checked_sub(1)?;
        let incarnation = state.sidecar.incarnation + 1;
        next.sidecar.incarnation = incarnation;
        next.sidecar.table = DispatchTable::new(incarnation, DispatchLimits::default());
        Some(("sidecar restarts".to_owned(), next))
    }

    /// Applies the result of a read to the node's work.
    fn apply_read(&self, state: &mut State, node: usize, read_outcome: &ReadOutcome) {
        for commit in &read_outcome.committed {
            let folded_state = state.stream.folded_state(&self.records, node);
            let program = folded_state.program(PROGRAM);
            match state.node_work[node] {
                NodeWork::CommittingIntent(ticket) if ticket == commit.ticket => {
                    state.node_work[node] = NodeWork::None;
                    self.dispatch(state, node, commit.offset);
                }
                NodeWork::CommittingOutcome(ticket) if ticket == commit.ticket => {
                    state.node_work[node] = NodeWork::None;
                    report_outcome(state, program);
                }
                _ => {}
            }
        }
        if read_outcome.lost_ownership {
            state.node_work[node] = NodeWork::None;
        }
    }

    /// Sends the dispatch of a committed intent.
    fn dispatch(&self, state: &mut State, node: usize, offset: Offset) {
        let Some(epoch) = state.stream.nodes[node].epoch() else {
            return;
        };
        if self.disabled_check == DisabledCheck::Intent {
            return;
        }
        let record = self.records.record(state.stream.log[offset as usize - 1]);
        let Record::Batch(batch) = &*record else {
            return;
        };
        for entry in &batch.entries {
            if let Entry::Intent(intent) = entry {
                state.dispatches.push((dispatch(intent, epoch, offset), 2));
            }
        }
        state
            .dispatches
            .sort_unstable_by_key(|(dispatch, copies)| (dispatch.call, *copies));
    }
}

/// Reports a committed outcome to the caller.
fn report_outcome(state: &mut State, program: Option<&Program>) {
    let action = program.and_then(|program| program.action_by_key(KEY));
    if let Some(action) = action
        && matches!(action.state, ActionPhase::NotRun(_))
    {
        state.reported_not_run.push(action.call);
    }
}

fn dispatch(intent: &Intent, epoch: Offset, offset: Offset) -> Dispatch {
    Dispatch {
        partition: PARTITION,
        epoch,
        intent: offset,
        call: intent.call,
        incarnation: intent.incarnation,
    }
}

impl Spec for Actions {
    type State = State;

    fn initial_state(&self) -> State {
        let claim = Record::Claim(Claim {
            owner: node_name(0),
            incarnation: 1,
            expects: 0,
            root: 0,
        });
        let created = Entry::Created(Created {
            program: PROGRAM,
            client_account: "saa".to_owned(),
            environment: "matching".to_owned(),
            key: None,
            budget: Usage::default(),
            deadline_ms: 0,
            reserved: Usage::default(),
        });
        let log = vec![self.records.id(claim)];
        let mut stream = Stream::owned(&self.records, log, self.remaining);
        stream.commit_immediately(&self.records, vec![created]);
        State {
            stream,
            node_work: [NodeWork::None, NodeWork::None],
            sidecar: Sidecar {
                incarnation: 1,
                table: DispatchTable::new(1, DispatchLimits::default()),
                running_calls: Vec::new(),
            },
            dispatches: Vec::new(),
            effects: Vec::new(),
            reported_not_run: Vec::new(),
            sidecar_restarts_left: 1,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for (step_name, stream, read_outcome) in state.stream.steps(&self.records) {
            let mut next = state.clone();
            next.stream = stream;
            if let Some((node, read_outcome)) = &read_outcome {
                self.apply_read(&mut next, *node, read_outcome);
            }
            steps.push((step_name, next));
        }
        for node in 0..2 {
            steps.extend(self.node_steps(state, node));
            if let Some(stream) = state.stream.crash(node) {
                let mut next = state.clone();
                next.stream = stream;
                next.node_work[node] = NodeWork::None;
                steps.push((format!("crash {node}"), next));
            }
        }
        steps.extend(self.sidecar_steps(state));
        steps
    }

    fn violated_invariants(&self, state: &State) -> Vec<&'static str> {
        let mut violations = Vec::new();
        if state.effects.len() > 1 {
            violations.push("what may not be repeated runs at most once");
        }
        let has_run = |call: &CallId| state.effects.contains(call);
        if state.reported_not_run.iter().any(has_run) {
            violations.push("a refusal that says not run is true");
        }
        violations
    }
}

/// Returns the invariants that the first bad state violates without a check.
fn violations_without(disabled_check: DisabledCheck) -> Vec<&'static str> {
    let report = search(
        &format!("actions without {disabled_check:?}"),
        &Actions::new(disabled_check),
    );
    report
        .violation
        .map_or(Vec::new(), |(violations, _)| violations)
}

#[gtest]
fn an_action_runs_at_most_once() {
    let report = search("actions", &Actions::new(DisabledCheck::Nothing));
    expect_that!(report.violation, none());
    expect_that!(report.states, gt(5_000));
}

#[gtest]
fn without_the_epoch_check_an_action_runs_twice() {
    let violations = violations_without(DisabledCheck::Epoch);
    expect_that!(
        violations,
        eq(&["what may not be repeated runs at most once"])
    );
}

#[gtest]
fn without_the_incarnation_check_an_action_runs_twice() {
    let violations = violations_without(DisabledCheck::Incarnation);
    expect_that!(
        violations,
        eq(&["what may not be repeated runs at most once"])
    );
}

#[gtest]
fn without_the_intent_an_action_runs_twice() {
    let violations = violations_without(DisabledCheck::Intent);
    expect_that!(
        violations,
        eq(&["what may not be repeated runs at most once"])
    );
}

#[gtest]
fn without_void_memory_a_not_run_reply_is_false() {
    let violations = violations_without(DisabledCheck::VoidMemory);
    expect_that!(violations, eq(&["a refusal that says not run is true"]));
}
