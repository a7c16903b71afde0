//! Simulated programs: their branches, histories and next actions.

use super::mix::{ProgramSpec, Stage};
use crate::ids::CallId;
use crate::protocol::message::{Message, Role};
use crate::standin::engine::answer::{EMPTY_PREFIX_HASH, answer_text, answer_tokens, prefix_hash};
use fastrand::Rng;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Progress of one branch of a program.
struct Branch {
    stages: Vec<Stage>,
    /// Index of the next stage.
    next_stage: usize,
    history: Vec<Message>,
}

/// Running program.
pub(crate) struct Program {
    /// Specification drawn from the mix.
    pub(crate) spec: ProgramSpec,
    /// Start of the program.
    pub(crate) started_at: Instant,
    /// Service received so far, in computed tokens.
    pub(crate) attained_tokens: u64,
    /// Calls in flight.
    pub(crate) calls: HashSet<CallId>,
    branches: Vec<Branch>,
    /// Number of unfinished sub-agents that branch 0 waits for.
    running_agents: usize,
    rng: Rng,
}

/// Next action of a branch.
pub(crate) enum NextAction {
    /// Call the model with the history of the branch.
    Generate {
        /// Prompt.
        messages: Vec<Message>,
        /// Maximum number of answer tokens.
        max_tokens: u32,
    },
    /// Call the service, with this processing time.
    Serve(Duration),
    /// Pause for this time.
    Pause(Duration),
    /// Start these branches and wait for all of them.
    Agents(std::ops::Range<usize>),
    /// Nothing, since other sub-agents are still running.
    Wait,
    /// Resume branch 0, since the last sub-agent has finished.
    Join,
    /// The program has finished.
    Done,
}

/// Mean processing time of a service call, exponentially distributed.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(60);

impl Program {
    /// Starts a program.
    pub(crate) fn new(spec: ProgramSpec, now: Instant) -> Self {
        let main = Branch {
            stages: spec.stages.clone(),
            next_stage: 0,
            history: Vec::new(),
        };
        Self {
            rng: Rng::with_seed(spec.id as u64),
            spec,
            started_at: now,
            attained_tokens: 0,
            calls: HashSet::new(),
            branches: vec![main],
            running_agents: 0,
        }
    }

    /// Returns the time after which the program's result is useless.
    pub(crate) fn deadline(&self) -> Instant {
        self.started_at + self.spec.time_limit
    }

    /// Advances a branch to its next stage and returns the action to take.
    pub(crate) fn next_action(&mut self, branch: usize) -> NextAction {
        let state = &mut self.branches[branch];
        let Some(stage) = state.stages.get(state.next_stage).cloned() else {
            return self.end_branch(branch);
        };
        state.next_stage += 1;
        match stage {
            Stage::Model {
                new_tokens,
                max_tokens,
            } => self.generate(branch, new_tokens, max_tokens),
            Stage::Service => {
                let factor = -(1.0 - self.rng.f64()).ln();
                NextAction::Serve(MEAN_SERVICE_TIME.mul_f64(factor))
            }
            Stage::Pause(pause) => NextAction::Pause(pause),
            Stage::Agents(agents) => self.start_agents(agents),
        }
    }

    /// Appends the model's answer to the history of a branch.
    pub(crate) fn append_answer(&mut self, branch: usize, max_tokens: u32) {
        let history = &mut self.branches[branch].history;
        let hash = history.iter().fold(EMPTY_PREFIX_HASH, prefix_hash);
        let text = answer_text(hash, 0, answer_tokens(hash, max_tokens));
        history.push(Message::new(Role::Assistant, text));
    }

    fn generate(&mut self, branch: usize, new_tokens: u32, max_tokens: u32) -> NextAction {
        let text = random_text(new_tokens, &mut self.rng);
        let history = &mut self.branches[branch].history;
        history.push(Message::new(Role::User, text));
        NextAction::Generate {
            messages: history.clone(),
            max_tokens,
        }
    }

    fn start_agents(&mut self, agents: Vec<Vec<Stage>>) -> NextAction {
        self.running_agents = agents.len();
        let first = self.branches.len();
        for stages in agents {
            self.branches.push(Branch {
                stages,
                next_stage: 0,
                history: Vec::new(),
            });
        }
        NextAction::Agents(first..self.branches.len())
    }

    fn end_branch(&mut self, branch: usize) -> NextAction {
        if branch == 0 {
            return NextAction::Done;
        }
        self.running_agents -= 1;
        if self.running_agents == 0 {
            NextAction::Join
        } else {
            NextAction::Wait
        }
    }
}

/// Returns a random text for a message of `tokens` tokens: one for each word and one for the
/// message itself. The text has at least one word.
fn random_text(tokens: u32, rng: &mut Rng) -> String {
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
