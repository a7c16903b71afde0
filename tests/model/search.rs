//! Breadth-first search that records the path to each state and reports the first violation.

use pathfinding::prelude::bfs_reach;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// A specification whose reachable states are searched.
pub(crate) trait Spec {
    /// The whole state of the model; steps depend on nothing else.
    type State: Clone + Eq + Hash;

    /// Returns the state in which the search starts.
    fn initial_state(&self) -> Self::State;

    /// Returns every possible step from a state: its name and the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns the names of the invariants that a state violates.
    fn violated_invariants(&self, state: &Self::State) -> Vec<&'static str>;
}

/// The result of a search.
#[derive(Debug)]
pub(crate) struct Report {
    /// Number of states visited.
    pub(crate) states: usize,
    /// Number of steps to the farthest visited state.
    pub(crate) depth: usize,
    /// The invariants that the first bad state violates, and the steps that lead to it.
    pub(crate) violation: Option<(Vec<&'static str>, Vec<String>)>,
}

/// A state and the shortest path to it. Equality and hash consider the state only.
#[derive(Clone)]
struct Visit<S> {
    state: S,
    depth: usize,
    path: Option<Rc<PathNode>>,
}

struct PathNode {
    step: String,
    previous: Option<Rc<PathNode>>,
}

impl<S: Eq> PartialEq for Visit<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Visit<S> {}

impl<S: Hash> Hash for Visit<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every reachable state and stops at the first one that violates an invariant.
pub(crate) fn search<P: Spec>(name: &str, spec: &P) -> Report {
    let initial_state = Visit {
        state: spec.initial_state(),
        depth: 0,
        path: None,
    };
    let mut report = Report {
        states: 0,
        depth: 0,
        violation: None,
    };
    for visit in bfs_reach(initial_state, |visit| successors(spec, visit)) {
        report.states += 1;
        report.depth = report.depth.max(visit.depth);
        let violations = spec.violated_invariants(&visit.state);
        if !violations.is_empty() {
            report.violation = Some((violations, steps_to(&visit)));
            break;
        }
    }
    println!("{name}: {} states, depth {}", report.states, report.depth);
    if let Some((violations, path)) = &report.violation {
        println!("{name}: violates {violations:?} after the steps {path:#?}");
    }
    report
}

fn successors<P: Spec>(spec: &P, visit: &Visit<P::State>) -> Vec<Visit<P::State>> {
    let steps = spec.steps(&visit.state);
    steps
        .into_iter()
        .map(|(step, state)| Visit {
            state,
            depth: visit.depth + 1,
            path: Some(Rc::new(PathNode {
                step,
                previous: visit.path.clone(),
            })),
        })
        .collect()
}

fn steps_to<S>(visit: &Visit<S>) -> Vec<String> {
    let mut steps = Vec::new();
    let mut path = visit.path.as_ref();
    while let Some(node) = path {
        steps.push(node.step.clone());
        path = node.previous.as_ref();
    }
    steps.reverse();
    steps
}
