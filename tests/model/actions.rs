//! One call that may not be repeated, retried under its key at whichever node owns the program.

use crate::search::{Spec, search};
use crate::stream::{Budgets, FoldFaults, Heard, Records, Stream, budgets, name};
use galenapick::ids::{CallId, Incarnation, Offset, ProgramId};
use galenapick::protocol::service::{ServiceReply, ServiceRequest};
use galenapick::{
    Action, ActionPhase, ActionResult, Claim, Created, Dispatch, DispatchLimits, DispatchOutcome,
    DispatchTable, Entry, Intent, Outcome, Program, Record, SettleOutcome, Ticket, Usage,
};
use googletest::prelude::*;

/// The program.
const PROGRAM: ProgramId = 1 << 80;
/// The caller's key for the call.
const KEY: &str = "transfer-1";
/// The partition.
const PARTITION: u16 = 0;

/// What a node does with the call in memory only.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Work {
    None,
    /// The intent is being committed; then it is dispatched.
    Intending(Ticket),
    /// The outcome is being committed; then the caller is told.
    Settling(Ticket),
}

/// Which check is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The fold's epoch check.
    Epoch,
    /// The sidecar's incarnation check.
    Incarnation,
    /// The committed intent before the dispatch.
    Intent,
    /// The sidecar's memory of what it has voided.
    VoidMemory,
}

/// The sidecar and the service beside it.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    incarnation: Incarnation,
    table: DispatchTable,
    /// Calls handed to the service that have not had their effect.
    handed: Vec<CallId>,
}

/// Everything.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    stream: Stream,
    work: [Work; 2],
    sidecar: Sidecar,
    /// Dispatches on their way; each may arrive once or twice, at any time or never.
    frames: Vec<(Dispatch, u8)>,
    /// Effects at the service.
    effects: Vec<CallId>,
    /// Callers told "not run", by call.
    told_not_run: Vec<CallId>,
    sidecar_crashes: u8,
}

/// The specification.
struct Actions {
    records: Records,
    without: Without,
    left: Budgets,
}

impl Actions {
    fn new(without: Without) -> Self {
        let faults = FoldFaults {
            no_epoch_check: without == Without::Epoch,
            ..FoldFaults::default()
        };
        Self {
            records: Records::new(faults),
            without,
            left: Budgets {
                // The turns' specification loses answers; here it only widens the search.
                lost_answers: 0,
                ..budgets()
            },
        }
    }

    /// Steps of a node's sequencer.
    fn work(&self, state: &State, node: usize) -> Vec<(String, State)> {
        if state.stream.nodes[node].commit.is_none() || state.work[node] != Work::None {
            return Vec::new();
        }
        let seen = state.stream.seen(&self.records, node);
        let Some(program) = seen.program(PROGRAM) else {
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

    /// Writes the intent of a retry; the receiving entry has drawn the call's id.
    fn intend(&self, state: &State, node: usize) -> (String, State) {
        let mut next = state.clone();
        let me = &state.stream.nodes[node];
        let call = CallId::from(me.incarnation) * 2 + node as CallId;
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
        if self.without == Without::Intent {
            let offset = state.stream.log.len() as Offset + 1;
            let epoch = me.epoch().unwrap_or(0);
            next.frames.push((dispatch(&intent, epoch, offset), 2));
        }
        let ticket = next.stream.push(node, vec![Entry::Intent(intent)]);
        next.work[node] = ticket.map_or(Work::None, Work::Intending);
        (format!("intend {node}"), next)
    }

    /// Asks the sidecar what became of an intent, and writes the outcome.
    fn settle(&self, state: &State, node: usize, action: &Action) -> Option<(String, State)> {
        let mut next = state.clone();
        let asked = Dispatch {
            partition: PARTITION,
            epoch: state.stream.nodes[node].epoch()?,
            intent: action.intent,
            call: action.call,
            incarnation: self.incarnation(action.incarnation, &state.sidecar),
        };
        let before = next.sidecar.table.clone();
        let result = match next.sidecar.table.settle(&asked) {
            SettleOutcome::Running | SettleOutcome::OldEpoch => return None,
            SettleOutcome::Finished(result) => result,
            SettleOutcome::Voided => ActionResult::NotRun("voided".to_owned()),
            SettleOutcome::Unknown => ActionResult::Unknown("sidecar restarted".to_owned()),
        };
        if self.without == Without::VoidMemory {
            next.sidecar.table = before;
        }
        let outcome = Entry::Outcome(Outcome {
            program: PROGRAM,
            call: action.call,
            result,
            spent: Usage::default(),
            resolved_by: None,
        });
        let ticket = next.stream.push(node, vec![outcome])?;
        next.work[node] = Work::Settling(ticket);
        Some((format!("settle {node}"), next))
    }

    /// The incarnation that the sidecar is given to check.
    fn incarnation(&self, named: Incarnation, sidecar: &Sidecar) -> Incarnation {
        if self.without == Without::Incarnation {
            sidecar.incarnation
        } else {
            named
        }
    }

    /// Steps of the sidecar and its service.
    fn sidecar(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for index in 0..state.frames.len() {
            steps.push((format!("deliver {index}"), self.deliver(state, index)));
        }
        for index in 0..state.sidecar.handed.len() {
            let mut next = state.clone();
            let call = next.sidecar.handed.remove(index);
            next.effects.push(call);
            next.effects.sort_unstable();
            let done = ActionResult::Done(ServiceReply {
                status: 200,
                body: String::new(),
            });
            next.sidecar.table.finish(call, done);
            steps.push((format!("effect {call}"), next));
        }
        steps.extend(self.restart(state));
        steps
    }

    /// A dispatch reaches the sidecar.
    fn deliver(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let (mut frame, copies) = next.frames.remove(index);
        if copies > 1 {
            next.frames.push((frame, copies - 1));
            next.frames
                .sort_unstable_by_key(|(frame, copies)| (frame.call, *copies));
        }
        frame.incarnation = self.incarnation(frame.incarnation, &state.sidecar);
        if next.sidecar.table.dispatch(&frame) == DispatchOutcome::Run {
            next.sidecar.handed.push(frame.call);
        }
        next
    }

    /// The sidecar starts again; what it has handed to the service may still have its effect.
    fn restart(&self, state: &State) -> Option<(String, State)> {
        let mut next = state.clone();
        next.sidecar_crashes = state.sidecar_crashes.checked_sub(1)?;
        let incarnation = state.sidecar.incarnation + 1;
        next.sidecar.incarnation = incarnation;
        next.sidecar.table = DispatchTable::new(incarnation, DispatchLimits::default());
        Some(("sidecar restarts".to_owned(), next))
    }

    /// What a node does with what it has read.
    fn hear(&self, state: &mut State, node: usize, heard: &Heard) {
        for done in &heard.committed {
            let seen = state.stream.seen(&self.records, node);
            let program = seen.program(PROGRAM);
            match state.work[node] {
                Work::Intending(ticket) if ticket == done.ticket => {
                    state.work[node] = Work::None;
                    self.dispatch(state, node, done.offset);
                }
                Work::Settling(ticket) if ticket == done.ticket => {
                    state.work[node] = Work::None;
                    tell(state, program);
                }
                _ => {}
            }
        }
        if heard.lost {
            state.work[node] = Work::None;
        }
    }

    /// Sends the one dispatch of an intent that is committed.
    fn dispatch(&self, state: &mut State, node: usize, offset: Offset) {
        let Some(epoch) = state.stream.nodes[node].epoch() else {
            return;
        };
        if self.without == Without::Intent {
            return;
        }
        let record = self.records.record(state.stream.log[offset as usize - 1]);
        let Record::Batch(batch) = &*record else {
            return;
        };
        for entry in &batch.entries {
            if let Entry::Intent(intent) = entry {
                state.frames.push((dispatch(intent, epoch, offset), 2));
            }
        }
        state
            .frames
            .sort_unstable_by_key(|(frame, copies)| (frame.call, *copies));
    }
}

/// Tells the caller an outcome that is committed.
fn tell(state: &mut State, program: Option<&Program>) {
    let action = program.and_then(|program| program.action_by_key(KEY));
    if let Some(action) = action
        && matches!(action.state, ActionPhase::NotRun(_))
    {
        state.told_not_run.push(action.call);
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

    fn start(&self) -> State {
        let claim = Record::Claim(Claim {
            owner: name(0),
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
        let mut stream = Stream::owned(&self.records, log, self.left);
        stream.commit_at_once(&self.records, vec![created]);
        State {
            stream,
            work: [Work::None, Work::None],
            sidecar: Sidecar {
                incarnation: 1,
                table: DispatchTable::new(1, DispatchLimits::default()),
                handed: Vec::new(),
            },
            frames: Vec::new(),
            effects: Vec::new(),
            told_not_run: Vec::new(),
            sidecar_crashes: 1,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for (name, stream, heard) in state.stream.steps(&self.records) {
            let mut next = state.clone();
            next.stream = stream;
            if let Some((node, heard)) = &heard {
                self.hear(&mut next, *node, heard);
            }
            steps.push((name, next));
        }
        for node in 0..2 {
            steps.extend(self.work(state, node));
            if let Some(stream) = state.stream.crash(node) {
                let mut next = state.clone();
                next.stream = stream;
                next.work[node] = Work::None;
                steps.push((format!("crash {node}"), next));
            }
        }
        steps.extend(self.sidecar(state));
        steps
    }

    fn broken(&self, state: &State) -> Vec<&'static str> {
        let mut broken = Vec::new();
        if state.effects.len() > 1 {
            broken.push("what may not be repeated runs at most once");
        }
        let ran = |call: &CallId| state.effects.contains(call);
        if state.told_not_run.iter().any(ran) {
            broken.push("a refusal that says not run is true");
        }
        broken
    }
}

/// Names what breaks first without a check.
fn broken_without(without: Without) -> Vec<&'static str> {
    let report = search(
        &format!("actions without {without:?}"),
        &Actions::new(without),
    );
    report.violation.map_or(Vec::new(), |(broken, _)| broken)
}

#[gtest]
fn an_action_runs_at_most_once() {
    let report = search("actions", &Actions::new(Without::Nothing));
    expect_that!(report.violation, none());
    expect_that!(report.states, gt(5_000));
}

#[gtest]
fn without_the_epoch_check_an_action_runs_twice() {
    let broken = broken_without(Without::Epoch);
    expect_that!(broken, eq(&["what may not be repeated runs at most once"]));
}

#[gtest]
fn without_the_incarnation_check_an_action_runs_twice() {
    let broken = broken_without(Without::Incarnation);
    expect_that!(broken, eq(&["what may not be repeated runs at most once"]));
}

#[gtest]
fn without_the_intent_an_action_runs_twice() {
    let broken = broken_without(Without::Intent);
    expect_that!(broken, eq(&["what may not be repeated runs at most once"]));
}

#[gtest]
fn without_the_memory_of_voids_not_run_is_false() {
    let broken = broken_without(Without::VoidMemory);
    expect_that!(broken, eq(&["a refusal that says not run is true"]));
}
