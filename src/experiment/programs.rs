//! Programs under way: their branches, histories and next calls.

use super::mix::{ProgramSpec, Stage};
use crate::ids::CallId;
use crate::protocol::message::{Message, Role};
use crate::standin::engine::answer::{EMPTY_PREFIX_HASH, answer_text, answer_tokens, prefix_hash};
use fastrand::Rng;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// One branch of a program.
struct Branch {
    stages: Vec<Stage>,
    /// The stage that runs or comes next.
    at: usize,
    history: Vec<Message>,
}

/// A program under way.
pub(crate) struct Program {
    /// What was drawn.
    pub(crate) spec: ProgramSpec,
    /// When it began.
    pub(crate) began: Instant,
    /// Service that it has had, in tokens.
    pub(crate) attained_tokens: u64,
    /// Calls under way.
    pub(crate) calls: HashSet<CallId>,
    branches: Vec<Branch>,
    /// Sub-agents that branch 0 waits for.
    agents: usize,
    rng: Rng,
}

/// What a branch does next.
pub(crate) enum Next {
    /// Asks the model with its whole history.
    Generate {
        /// The prompt.
        messages: Vec<Message>,
        /// Stop after so many tokens.
        max_tokens: u32,
    },
    /// Calls the service.
    Serve(Duration),
    /// Waits.
    Pause(Duration),
    /// Starts these branches and waits for them.
    Agents(std::ops::Range<usize>),
    /// Nothing: this branch waits for others.
    Wait,
    /// Branch 0 goes on, since the last sub-agent is done.
    Join,
    /// The program is done.
    Done,
}

/// Mean time of a service call.
const SERVICE_TIME: Duration = Duration::from_millis(60);

impl Program {
    /// Begins a program.
    pub(crate) fn new(spec: ProgramSpec, now: Instant) -> Self {
        let main = Branch {
            stages: spec.stages.clone(),
            at: 0,
            history: Vec::new(),
        };
        Self {
            rng: Rng::with_seed(spec.id as u64),
            spec,
            began: now,
            attained_tokens: 0,
            calls: HashSet::new(),
            branches: vec![main],
            agents: 0,
        }
    }

    /// Returns when its result is of no more use.
    pub(crate) fn deadline(&self) -> Instant {
        self.began + self.spec.patience
    }

    /// Moves a branch to its next stage.
    pub(crate) fn next(&mut self, branch: usize) -> Next {
        let current = &mut self.branches[branch];
        let Some(stage) = current.stages.get(current.at).cloned() else {
            return self.end_branch(branch);
        };
        current.at += 1;
        match stage {
            Stage::Model {
                new_tokens,
                max_tokens,
            } => self.generate(branch, new_tokens, max_tokens),
            Stage::Service => {
                let factor = -(1.0 - self.rng.f64()).ln();
                Next::Serve(SERVICE_TIME.mul_f64(factor))
            }
            Stage::Pause(pause) => Next::Pause(pause),
            Stage::Agents(agents) => self.start_agents(agents),
        }
    }

    /// Puts the model's answer into a branch's history.
    pub(crate) fn answered(&mut self, branch: usize, max_tokens: u32) {
        let history = &mut self.branches[branch].history;
        let hash = history.iter().fold(EMPTY_PREFIX_HASH, prefix_hash);
        let text = answer_text(hash, 0, answer_tokens(hash, max_tokens));
        history.push(Message::new(Role::Assistant, text));
    }

    fn generate(&mut self, branch: usize, new_tokens: u32, max_tokens: u32) -> Next {
        let text = text(new_tokens, &mut self.rng);
        let history = &mut self.branches[branch].history;
        history.push(Message::new(Role::User, text));
        Next::Generate {
            messages: history.clone(),
            max_tokens,
        }
    }

    fn start_agents(&mut self, agents: Vec<Vec<Stage>>) -> Next {
        self.agents = agents.len();
        let first = self.branches.len();
        for stages in agents {
            self.branches.push(Branch {
                stages,
                at: 0,
                history: Vec::new(),
            });
        }
        Next::Agents(first..self.branches.len())
    }

    fn end_branch(&mut self, branch: usize) -> Next {
        if branch == 0 {
            return Next::Done;
        }
        self.agents -= 1;
        if self.agents == 0 {
            Next::Join
        } else {
            Next::Wait
        }
    }
}

/// Writes a message's text that has `tokens` tokens together with the message's own one.
fn text(tokens: u32, rng: &mut Rng) -> String {
    let words = tokens.saturating_sub(1).max(1);
    let mut text = String::with_capacity(words as usize * 5);
    for _ in 0..words {
        for _ in 0..4 {
            text.push(char::from(rng.u8(b'a'..=b'z')));
        }
        text.push(' ');
    }
    text
}
