//! Breadth-first search that keeps the way to each state, and the report of what it found.

use pathfinding::prelude::bfs_reach;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// A specification.
pub(crate) trait Spec {
    /// Everything that a step may depend on.
    type State: Clone + Eq + Hash;

    /// Where the search starts.
    fn start(&self) -> Self::State;

    /// All steps from a state, with their names.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Names of the invariants that a state breaks.
    fn broken(&self, state: &Self::State) -> Vec<&'static str>;
}

/// What a search found.
#[derive(Debug)]
pub(crate) struct Report {
    /// States visited.
    pub(crate) states: usize,
    /// Steps to the farthest state visited.
    pub(crate) depth: usize,
    /// The invariants that the first bad state breaks, and the way to it.
    pub(crate) violation: Option<(Vec<&'static str>, Vec<String>)>,
}

/// A state and the shortest way to it; only the state tells visits apart.
#[derive(Clone)]
struct Visit<S> {
    state: S,
    depth: usize,
    way: Option<Rc<Way>>,
}

struct Way {
    step: String,
    before: Option<Rc<Way>>,
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

/// Visits every state, up to the first one that breaks an invariant.
pub(crate) fn search<P: Spec>(name: &str, spec: &P) -> Report {
    let start = Visit {
        state: spec.start(),
        depth: 0,
        way: None,
    };
    let mut report = Report {
        states: 0,
        depth: 0,
        violation: None,
    };
    for visit in bfs_reach(start, |visit| next(spec, visit)) {
        report.states += 1;
        report.depth = report.depth.max(visit.depth);
        let broken = spec.broken(&visit.state);
        if !broken.is_empty() {
            report.violation = Some((broken, steps_to(&visit)));
            break;
        }
    }
    println!("{name}: {} states, depth {}", report.states, report.depth);
    if let Some((broken, way)) = &report.violation {
        println!("{name}: breaks {broken:?} by {way:#?}");
    }
    report
}

fn next<P: Spec>(spec: &P, visit: &Visit<P::State>) -> Vec<Visit<P::State>> {
    let steps = spec.steps(&visit.state);
    steps
        .into_iter()
        .map(|(step, state)| Visit {
            state,
            depth: visit.depth + 1,
            way: Some(Rc::new(Way {
                step,
                before: visit.way.clone(),
            })),
        })
        .collect()
}

fn steps_to<S>(visit: &Visit<S>) -> Vec<String> {
    let mut steps = Vec::new();
    let mut way = visit.way.as_ref();
    while let Some(last) = way {
        steps.push(last.step.clone());
        way = last.before.as_ref();
    }
    steps.reverse();
    steps
}
