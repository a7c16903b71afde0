//! What programs do, drawn from a seed.

use super::text::make_text;
use serde_json::{Value, json};
use std::time::Duration;

/// Time that a program has.
const DEADLINE: Duration = Duration::from_secs(120);

/// The deployments that programs belong to.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// The time bank: `matcher-llm` and `bank-core`.
    SaaMubadala,
    /// The gift shop: `helper-models` and `shop-app`.
    Cedarfen,
}

impl Deployment {
    /// The model that its programs ask.
    pub fn model(self) -> &'static str {
        match self {
            Self::SaaMubadala => "matcher-llm",
            Self::Cedarfen => "helper-models",
        }
    }

    /// The service that its programs call.
    pub fn service(self) -> &'static str {
        match self {
            Self::SaaMubadala => "bank-core",
            Self::Cedarfen => "shop-app",
        }
    }

    /// Its failure domains.
    pub fn failure_domains(self) -> &'static [&'static str] {
        match self {
            Self::SaaMubadala => &["tn-north-a", "tn-north-b", "tn-north-c", "tn-north-d"],
            Self::Cedarfen => &["pnw-a", "pnw-b", "pnw-c"],
        }
    }

    /// Its example environment document.
    pub fn document(self) -> &'static str {
        match self {
            Self::SaaMubadala => include_str!("../../examples/environments/tn-north.ini"),
            Self::Cedarfen => include_str!("../../examples/environments/pnw.ini"),
        }
    }

    /// The client accounts' tokens of its example document.
    pub fn tokens(self) -> &'static [&'static str] {
        match self {
            Self::SaaMubadala => &["saa-mubadala-example-token"],
            Self::Cedarfen => &["gift-team-example-token", "keeper-team-example-token"],
        }
    }

    /// An operation that reads, and so may be repeated.
    pub fn lookup(self) -> &'static str {
        match self {
            Self::SaaMubadala => "offers",
            Self::Cedarfen => "catalog",
        }
    }

    /// The operations that may not be repeated, in the order in which a program uses them.
    pub fn actions(self) -> [&'static str; 2] {
        match self {
            Self::SaaMubadala => ["book", "transfer"],
            Self::Cedarfen => ["charge", "certificate"],
        }
    }
}

/// The kinds of programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PlanKind {
    /// A few short turns and at times an action.
    Short,
    /// Many turns over a large history, with pauses.
    Long,
    /// Sub-agents that run at once, then an action.
    Forked,
    /// It would go on without end; its budget ends it.
    Endless,
}

/// One thing that a program does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the model.
    Ask {
        /// The new message.
        text: String,
        /// Longest answer.
        max_tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// Call the service.
    Tool {
        /// The operation.
        operation: &'static str,
        /// The JSON argument; an action's has an `action` that no other has.
        body: Value,
        /// Whether it may run twice.
        repeatable: bool,
    },
    /// Wait, as for a person or a tool outside.
    Pause(Duration),
    /// Run branches at once and wait for all.
    Fork(Vec<Vec<Step>>),
    /// Ask the model again and again until the budget refuses.
    AskWithoutEnd {
        /// The new message of each turn.
        text: String,
        /// Longest answer.
        max_tokens: u32,
    },
}

/// What a program does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Where it runs.
    pub deployment: Deployment,
    /// What it is like.
    pub kind: PlanKind,
    /// Its key, unlike any other of the seed.
    pub key: String,
    /// Time until its result is of no more use.
    pub deadline: Duration,
    /// Calls that it may make; `None` for the environment's default.
    pub budget_calls: Option<u64>,
    /// Its steps in the main branch.
    pub steps: Vec<Step>,
}

/// Draws plans from a seed.
///
/// ```
/// use galenapick::{Deployment, Planner};
///
/// let first = Planner::new(7).plan(Deployment::Cedarfen);
/// let again = Planner::new(7).plan(Deployment::Cedarfen);
/// assert_eq!(first, again);
/// ```
#[derive(Clone, Debug)]
pub struct Planner {
    rng: fastrand::Rng,
    seed: u64,
    number: u64,
    pause_scale: f64,
}

impl Planner {
    /// Makes a generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            seed,
            number: 0,
            pause_scale: 1.0,
        }
    }

    /// Multiplies every pause.
    pub fn with_pause_scale(mut self, scale: f64) -> Self {
        self.pause_scale = scale;
        self
    }

    /// Draws the next plan.
    pub fn plan(&mut self, deployment: Deployment) -> Plan {
        self.number += 1;
        let kind = match self.rng.u32(..100) {
            0..58 => PlanKind::Short,
            58..82 => PlanKind::Long,
            82..96 => PlanKind::Forked,
            _ => PlanKind::Endless,
        };
        let key = format!("{deployment}-{}-{}", self.seed, self.number);
        let mut writer = Writer {
            rng: &mut self.rng,
            deployment,
            key: &key,
            count: 0,
            pause_scale: self.pause_scale,
        };
        let steps = match kind {
            PlanKind::Short => writer.short(),
            PlanKind::Long => writer.long(),
            PlanKind::Forked => writer.forked(),
            PlanKind::Endless => writer.endless(),
        };
        let budget_calls = match kind {
            PlanKind::Endless => Some(self.rng.u64(3..8)),
            _ => None,
        };
        Plan {
            deployment,
            kind,
            deadline: DEADLINE,
            budget_calls,
            steps,
            key,
        }
    }
}

/// Writes the steps of one plan.
struct Writer<'a> {
    rng: &'a mut fastrand::Rng,
    deployment: Deployment,
    key: &'a str,
    /// Texts and bodies written so far.
    count: u32,
    pause_scale: f64,
}

impl Writer<'_> {
    fn short(&mut self) -> Vec<Step> {
        let mut steps = vec![self.ask(30..150, 16..64)];
        for _ in 0..self.rng.u32(1..4) {
            if self.rng.bool() {
                steps.push(self.lookup());
            }
            steps.push(self.pause(10..120));
            steps.push(self.ask(10..60, 16..64));
        }
        if self.rng.u32(..10) < 6 {
            steps.push(self.action(0));
            steps.push(self.ask(5..20, 8..24));
        }
        steps
    }

    fn long(&mut self) -> Vec<Step> {
        let mut steps = vec![self.ask(300..1200, 32..96)];
        for _ in 0..self.rng.u32(4..9) {
            steps.push(self.pause(20..250));
            if self.rng.u32(..4) == 0 {
                steps.push(self.lookup());
            }
            steps.push(self.ask(40..200, 24..96));
        }
        steps.push(self.action(0));
        steps.push(self.action(1));
        steps
    }

    fn forked(&mut self) -> Vec<Step> {
        let mut steps = vec![self.ask(100..400, 24..64)];
        let branches = (0..self.rng.u32(2..4)).map(|_| self.branch()).collect();
        steps.push(Step::Fork(branches));
        steps.push(self.ask(40..120, 24..64));
        steps.push(self.action(0));
        if self.rng.bool() {
            steps.push(self.action(1));
        }
        steps
    }

    fn endless(&mut self) -> Vec<Step> {
        let mark = self.mark();
        vec![Step::AskWithoutEnd {
            text: make_text(self.rng, &mark, 20),
            max_tokens: 24,
        }]
    }

    fn branch(&mut self) -> Vec<Step> {
        let mut steps = vec![self.ask(60..200, 16..48), self.lookup()];
        if self.rng.u32(..4) == 0 {
            steps.push(self.action(1));
        }
        steps.push(self.ask(10..40, 16..48));
        steps
    }

    fn ask(&mut self, words: std::ops::Range<usize>, tokens: std::ops::Range<u32>) -> Step {
        let mark = self.mark();
        let words = self.rng.usize(words);
        Step::Ask {
            text: make_text(self.rng, &mark, words),
            max_tokens: self.rng.u32(tokens),
            stream: self.rng.u32(..10) < 8,
        }
    }

    fn lookup(&mut self) -> Step {
        Step::Tool {
            operation: self.deployment.lookup(),
            body: json!({"query": self.mark()}),
            repeatable: true,
        }
    }

    fn action(&mut self, which: usize) -> Step {
        Step::Tool {
            operation: self.deployment.actions()[which],
            body: json!({"action": self.mark(), "amount": self.rng.u32(1..9)}),
            repeatable: false,
        }
    }

    fn pause(&mut self, millis: std::ops::Range<u64>) -> Step {
        let pause = Duration::from_millis(self.rng.u64(millis));
        Step::Pause(pause.mul_f64(self.pause_scale))
    }

    /// A text that stands nowhere else.
    fn mark(&mut self) -> String {
        self.count += 1;
        format!("{}-{}", self.key, self.count)
    }
}
