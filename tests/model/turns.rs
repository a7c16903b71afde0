//! Turns and the budget of one program: run ahead of the log, told only when committed.

use crate::search::{Spec, search};
use crate::stream::{Budgets, FoldFaults, Heard, RecordId, Records, Stream, budgets, name};
use galenapick::ids::ProgramId;
use galenapick::{
    Claim, Created, Entry, Ledger, Message, Program, Record, Reserved, Role, Ticket, Turn, Usage,
};
use googletest::prelude::*;

/// Calls that the program's budget covers.
const BUDGET: u64 = 2;
/// The program.
const PROGRAM: ProgramId = 1 << 80;

/// What a node does with the program in memory only.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Work {
    /// Nothing.
    None,
    /// The reservation is being committed.
    Reserving(Ticket),
    /// The model runs.
    Running { call: u64 },
    /// The turn is being committed.
    Committing {
        ticket: Ticket,
        number: u32,
        call: u64,
    },
    /// The partition is being handed over.
    Releasing,
}

/// Everything.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    stream: Stream,
    work: [Work; 2],
    /// Calls that began so far, which number them; each cost one unit.
    ran: u64,
    /// Turns told to the caller as committed: number and call.
    told: Vec<(u32, u64)>,
}

/// The specification.
struct Turns {
    records: Records,
    left: Budgets,
    /// Tell the caller as soon as the turn is pushed.
    tell_early: bool,
    /// Run on a reservation as soon as it is pushed.
    run_early: bool,
}

fn unit(amount: u64) -> Usage {
    Usage {
        tokens: amount,
        calls: amount,
        time_ms: amount,
    }
}

impl Turns {
    fn new(faults: FoldFaults, left: Budgets) -> Self {
        Self {
            records: Records::new(faults),
            left,
            tell_early: false,
            run_early: false,
        }
    }

    /// A log with the program in it, owned by the first node.
    fn log(&self) -> Vec<RecordId> {
        let claim = Record::Claim(Claim {
            owner: name(0),
            incarnation: 1,
            expects: 0,
            root: 0,
        });
        vec![self.records.id(claim)]
    }

    /// The program's beginning, with a reservation for its first call.
    fn created() -> Entry {
        Entry::Created(Created {
            program: PROGRAM,
            client_account: "saa".to_owned(),
            environment: "matching".to_owned(),
            key: None,
            budget: unit(BUDGET),
            deadline_ms: 0,
            reserved: unit(1),
        })
    }

    /// Steps of a node's sequencer.
    fn work(&self, state: &State, node: usize) -> Vec<(String, State)> {
        if state.stream.nodes[node].commit.is_none() {
            return Vec::new();
        }
        let seen = state.stream.seen(&self.records, node);
        let Some(program) = seen.program(PROGRAM) else {
            return Vec::new();
        };
        match &state.work[node] {
            Work::None => self.begin(state, node, program),
            Work::Running { call } => vec![self.finish(state, node, program, *call)],
            _ => Vec::new(),
        }
    }

    /// Runs on the reservation that the log has, or asks for one.
    fn begin(&self, state: &State, node: usize, program: &Program) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let mut next = state.clone();
        if program.reserved.calls > 0 {
            next.ran += 1;
            next.work[node] = Work::Running { call: next.ran };
            steps.push((format!("run {node}"), next));
        } else if Ledger::of(program).reserve(unit(1)) {
            let entry = Entry::Reserved(Reserved {
                program: PROGRAM,
                reserved: unit(1),
            });
            let ticket = next.stream.push(node, vec![entry]);
            next.work[node] = ticket.map_or(Work::None, Work::Reserving);
            if self.run_early {
                next.ran += 1;
                next.work[node] = Work::Running { call: next.ran };
            }
            steps.push((format!("reserve {node}"), next));
        }
        let mut next = state.clone();
        next.stream.push(node, vec![Entry::Released]);
        next.work[node] = Work::Releasing;
        steps.push((format!("release {node}"), next));
        steps
    }

    /// Pushes the turn, with the reservation of the next one if it fits.
    fn finish(&self, state: &State, node: usize, program: &Program, call: u64) -> (String, State) {
        let mut next = state.clone();
        let mut ledger = Ledger::of(program);
        ledger.settle(unit(1), unit(1));
        let more = ledger.reserve(unit(1));
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
            spent: unit(1),
            reserved: unit(u64::from(more)),
            endpoint: "engine-1".to_owned(),
        });
        if self.tell_early {
            next.told.push((number, call));
        }
        if let Some(ticket) = next.stream.push(node, vec![turn]) {
            next.work[node] = Work::Committing {
                ticket,
                number,
                call,
            };
        }
        (format!("finish {node}"), next)
    }

    /// What a node does with what it has read.
    fn hear(&self, state: &mut State, node: usize, heard: &Heard) {
        for done in &heard.committed {
            match state.work[node].clone() {
                Work::Reserving(ticket) if ticket == done.ticket => {
                    state.work[node] = Work::None;
                }
                Work::Committing {
                    ticket,
                    number,
                    call,
                } if ticket == done.ticket => {
                    if done.ignored.is_none() && !self.tell_early {
                        state.told.push((number, call));
                    }
                    state.work[node] = Work::None;
                }
                _ => {}
            }
        }
        if heard.lost {
            state.work[node] = Work::None;
        }
    }
}

impl Spec for Turns {
    type State = State;

    fn start(&self) -> State {
        let mut stream = Stream::owned(&self.records, self.log(), self.left);
        stream.commit_at_once(&self.records, vec![Self::created()]);
        State {
            stream,
            work: [Work::None, Work::None],
            ran: 0,
            told: Vec::new(),
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
        steps
    }

    fn broken(&self, state: &State) -> Vec<&'static str> {
        let fold = self.records.fold(&state.stream.log).state;
        let Some(program) = fold.program(PROGRAM) else {
            return vec!["a conversation's history is never lost"];
        };
        let mut broken = Vec::new();
        let turns = program.branch(0).map_or(&[][..], |branch| &branch.turns);
        let kept = |told: &(u32, u64)| {
            let place = turns.get(told.0 as usize - 1);
            place.is_some_and(|place| place.call == told.1)
        };
        if !state.told.iter().all(kept) {
            broken.push("a conversation's history is never lost");
        }
        let in_order = turns.windows(2).all(|pair| pair[0].call < pair[1].call);
        if !in_order || fold.ignored_entries() > 0 {
            broken.push("the calls of one program run in their order");
        }
        let used = program.spent + program.total_reserved();
        if state.ran > BUDGET || !used.fits(unit(BUDGET)) {
            broken.push("a program's budget holds");
        }
        broken
    }
}

#[gtest]
fn turns_and_budget_hold() {
    let report = search("turns", &Turns::new(FoldFaults::default(), budgets()));
    expect_that!(report.violation, none());
    expect_that!(report.states, gt(5_000));
}

#[gtest]
fn without_the_takeover_charge_the_budget_breaks() {
    let faults = FoldFaults {
        no_takeover_charge: true,
        ..FoldFaults::default()
    };
    let report = search(
        "turns without the takeover charge",
        &Turns::new(faults, budgets()),
    );
    let broken = report.violation.map(|(broken, _)| broken);
    expect_that!(broken, some(eq(&["a program's budget holds"])));
}

#[gtest]
fn a_turn_told_before_its_commit_is_lost() {
    let mut spec = Turns::new(FoldFaults::default(), budgets());
    spec.tell_early = true;
    let report = search("turns told early", &spec);
    let broken = report.violation.map(|(broken, _)| broken);
    expect_that!(
        broken,
        some(eq(&["a conversation's history is never lost"]))
    );
}

#[gtest]
fn a_run_on_a_reservation_that_is_not_committed_breaks_the_budget() {
    let left = Budgets {
        claims: 2,
        ..budgets()
    };
    let mut spec = Turns::new(FoldFaults::default(), left);
    spec.run_early = true;
    let report = search("turns on a pushed reservation", &spec);
    let broken = report.violation.map(|(broken, _)| broken);
    expect_that!(broken, some(eq(&["a program's budget holds"])));
}
