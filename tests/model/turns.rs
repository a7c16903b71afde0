//! Model of the turns and the budget of one program.
//!
//! A node runs ahead of the log, and acknowledges a turn only when it is committed.

use crate::search::{Spec, search};
use crate::stream::{
    FoldFaults, ReadOutcome, RecordId, Records, SearchBounds, Stream, node_name, search_bounds,
};
use galenapick::ids::ProgramId;
use galenapick::{
    Claim, Created, Entry, Ledger, Message, Program, Record, Reserved, Role, Ticket, Turn, Usage,
};
use googletest::prelude::*;

/// Number of calls that the program's budget covers.
const BUDGET: u64 = 2;
const PROGRAM: ProgramId = 1 << 80;

/// A node's work on the program that exists in its memory only.
#[derive(Clone, PartialEq, Eq, Hash)]
enum NodeWork {
    None,
    /// The reservation is being committed.
    Reserving(Ticket),
    /// The model call is running.
    Running {
        call: u64,
    },
    /// The turn is being committed.
    Committing {
        ticket: Ticket,
        number: u32,
        call: u64,
    },
    /// The release of the partition is being committed.
    Releasing,
}

/// The whole state of the model.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    stream: Stream,
    node_work: [NodeWork; 2],
    /// Number of calls started so far, which also numbers them. Each call costs one unit.
    calls_started: u64,
    /// Turns that the caller was told are committed: number and call.
    acknowledged: Vec<(u32, u64)>,
}

/// The specification of turns.
struct Turns {
    records: Records,
    remaining: SearchBounds,
    /// Acknowledge a turn when it is queued, before its commit.
    acknowledge_early: bool,
    /// Run a call when its reservation is queued, before its commit.
    run_early: bool,
}

fn usage(amount: u64) -> Usage {
    Usage {
        tokens: amount,
        calls: amount,
        time_ms: amount,
    }
}

impl Turns {
    fn new(faults: FoldFaults, remaining: SearchBounds) -> Self {
        Self {
            records: Records::new(faults),
            remaining,
            acknowledge_early: false,
            run_early: false,
        }
    }

    /// Returns a log that contains the first node's claim.
    fn initial_log(&self) -> Vec<RecordId> {
        let claim = Record::Claim(Claim {
            owner: node_name(0),
            incarnation: 1,
            expects: 0,
            root: 0,
        });
        vec![self.records.id(claim)]
    }

    /// Returns the entry that creates the program and reserves its first call.
    fn created_entry() -> Entry {
        Entry::Created(Created {
            program: PROGRAM,
            client_account: "saa".to_owned(),
            environment: "matching".to_owned(),
            key: None,
            budget: usage(BUDGET),
            deadline_ms: 0,
            reserved: usage(1),
        })
    }

    /// Returns the steps of a node's sequencer.
    fn node_steps(&self, state: &State, node: usize) -> Vec<(String, State)> {
        if state.stream.nodes[node].commit.is_none() {
            return Vec::new();
        }
        let folded_state = state.stream.folded_state(&self.records, node);
        let Some(program) = folded_state.program(PROGRAM) else {
            return Vec::new();
        };
        match &state.node_work[node] {
            NodeWork::None => self.idle_steps(state, node, program),
            NodeWork::Running { call } => vec![self.commit_turn(state, node, program, *call)],
            _ => Vec::new(),
        }
    }

    /// Runs a call on a committed reservation, requests a reservation, or releases the partition.
    fn idle_steps(&self, state: &State, node: usize, program: &Program) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let mut next = state.clone();
        if program.reserved.calls > 0 {
            next.calls_started += 1;
            next.node_work[node] = NodeWork::Running {
                call: next.calls_started,
            };
            steps.push((format!("run {node}"), next));
        } else if Ledger::of(program).reserve(usage(1)) {
            let entry = Entry::Reserved(Reserved {
                program: PROGRAM,
                reserved: usage(1),
                spent: usage(0),
            });
            let ticket = next.stream.push(node, vec![entry]);
            next.node_work[node] = ticket.map_or(NodeWork::None, NodeWork::Reserving);
            if self.run_early {
                next.calls_started += 1;
                next.node_work[node] = NodeWork::Running {
                    call: next.calls_started,
                };
            }
            steps.push((format!("reserve {node}"), next));
        }
        let mut next = state.clone();
        next.stream.push(node, vec![Entry::Released]);
        next.node_work[node] = NodeWork::Releasing;
        steps.push((format!("release {node}"), next));
        steps
    }

    /// Queues the turn, with a reservation for the next call if the budget covers it.
    fn commit_turn(
        &self,
        state: &State,
        node: usize,
        program: &Program,
        call: u64,
    ) -> (String, State) {
        let mut next = state.clone();
        let mut ledger = Ledger::of(program);
        ledger.settle(usage(1), usage(1));
        let is_next_reserved = ledger.reserve(usage(1));
        let head = program.head(0);
        let number = head.number + 1;
        let turn = Entry::Turn(Turn {
            program: PROGRAM,
            client_account: "saa".to_owned(),
            branch: 0,
            number,
            previous: head.hash,
            call: u128::from(call),
            key: None,
            messages: vec![Message::new(Role::Assistant, call.to_string())],
            spent: usage(1),
            reserved: usage(u64::from(is_next_reserved)),
            endpoint: "engine-1".to_owned(),
        });
        if self.acknowledge_early {
            next.acknowledged.push((number, call));
        }
        if let Some(ticket) = next.stream.push(node, vec![turn]) {
            next.node_work[node] = NodeWork::Committing {
                ticket,
                number,
                call,
            };
        }
        (format!("finish {node}"), next)
    }

    /// Applies the result of a read to the node's work.
    fn apply_read(&self, state: &mut State, node: usize, read_outcome: &ReadOutcome) {
        for commit in &read_outcome.committed {
            match state.node_work[node].clone() {
                NodeWork::Reserving(ticket) if ticket == commit.ticket => {
                    state.node_work[node] = NodeWork::None;
                }
                NodeWork::Committing {
                    ticket,
                    number,
                    call,
                } if ticket == commit.ticket => {
                    if commit.ignored.is_none() && !self.acknowledge_early {
                        state.acknowledged.push((number, call));
                    }
                    state.node_work[node] = NodeWork::None;
                }
                _ => {}
            }
        }
        if read_outcome.lost_ownership {
            state.node_work[node] = NodeWork::None;
        }
    }
}

impl Spec for Turns {
    type State = State;

    fn initial_state(&self) -> State {
        let mut stream = Stream::owned(&self.records, self.initial_log(), self.remaining);
        stream.commit_immediately(&self.records, vec![Self::created_entry()]);
        State {
            stream,
            node_work: [NodeWork::None, NodeWork::None],
            calls_started: 0,
            acknowledged: Vec::new(),
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
        steps
    }

    fn violated_invariants(&self, state: &State) -> Vec<&'static str> {
        let fold = self.records.fold(&state.stream.log).state;
        let Some(program) = fold.program(PROGRAM) else {
            return vec!["a conversation's history is never lost"];
        };
        let mut violations = Vec::new();
        let turns = program.branch(0).map_or(&[][..], |branch| &branch.turns);
        let is_committed = |acknowledged: &(u32, u64)| {
            let location = turns.get(acknowledged.0 as usize - 1);
            location.is_some_and(|location| location.call == acknowledged.1)
        };
        if !state.acknowledged.iter().all(is_committed) {
            violations.push("a conversation's history is never lost");
        }
        let in_order = turns.windows(2).all(|pair| pair[0].call < pair[1].call);
        if !in_order || fold.ignored_entries() > 0 {
            violations.push("the calls of one program run in their order");
        }
        let used = program.spent + program.total_reserved();
        if state.calls_started > BUDGET || !used.fits(usage(BUDGET)) {
            violations.push("a program's budget holds");
        }
        violations
    }
}

#[gtest]
fn turns_and_budget_hold() {
    let report = search("turns", &Turns::new(FoldFaults::default(), search_bounds()));
    expect_that!(report.violation, none());
    expect_that!(report.states, gt(5_000));
}

#[gtest]
fn without_the_takeover_charge_the_budget_is_exceeded() {
    let faults = FoldFaults {
        skip_takeover_charge: true,
        ..FoldFaults::default()
    };
    let report = search(
        "turns without the takeover charge",
        &Turns::new(faults, search_bounds()),
    );
    let violations = report.violation.map(|(violations, _)| violations);
    expect_that!(violations, some(eq(&["a program's budget holds"])));
}

#[gtest]
fn a_turn_acknowledged_before_its_commit_can_be_lost() {
    let mut spec = Turns::new(FoldFaults::default(), search_bounds());
    spec.acknowledge_early = true;
    let report = search("turns acknowledged early", &spec);
    let violations = report.violation.map(|(violations, _)| violations);
    expect_that!(
        violations,
        some(eq(&["a conversation's history is never lost"]))
    );
}

#[gtest]
fn a_call_on_an_uncommitted_reservation_can_exceed_the_budget() {
    let remaining = SearchBounds {
        claims: 2,
        ..search_bounds()
    };
    let mut spec = Turns::new(FoldFaults::default(), remaining);
    spec.run_early = true;
    let report = search("turns on an uncommitted reservation", &spec);
    let violations = report.violation.map(|(violations, _)| violations);
    expect_that!(violations, some(eq(&["a program's budget holds"])));
}
