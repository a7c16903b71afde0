//! Random program plans, reproducible from a seed.

use super::text::make_text;
use serde_json::{Value, json};
use std::time::Duration;

/// Deadline of every generated program, counted from its intended start.
const PROGRAM_DEADLINE: Duration = Duration::from_secs(120);

/// The example deployments that programs run on.
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
    /// A time bank with the model `matcher-llm` and the service `bank-core`.
    SaaMubadala,
    /// A gift shop with the model `helper-models` and the service `shop-app`.
    Cedarfen,
}

impl Deployment {
    /// Returns the model that the deployment's programs call.
    pub fn model(self) -> &'static str {
        match self {
            Self::SaaMubadala => "matcher-llm",
            Self::Cedarfen => "helper-models",
        }
    }

    /// Returns the service that the deployment's programs call.
    pub fn service(self) -> &'static str {
        match self {
            Self::SaaMubadala => "bank-core",
            Self::Cedarfen => "shop-app",
        }
    }

    /// Returns the names of the deployment's failure domains.
    pub fn failure_domains(self) -> &'static [&'static str] {
        match self {
            Self::SaaMubadala => &["tn-north-a", "tn-north-b", "tn-north-c", "tn-north-d"],
            Self::Cedarfen => &["pnw-a", "pnw-b", "pnw-c"],
        }
    }

    /// Returns the deployment's example environment document, in INI format.
    pub fn document(self) -> &'static str {
        match self {
            Self::SaaMubadala => include_str!("../../examples/environments/tn-north.ini"),
            Self::Cedarfen => include_str!("../../examples/environments/pnw.ini"),
        }
    }

    /// Returns the bearer tokens of the client accounts in the example document.
    pub fn tokens(self) -> &'static [&'static str] {
        match self {
            Self::SaaMubadala => &["saa-mubadala-example-token"],
            Self::Cedarfen => &["gift-team-example-token", "keeper-team-example-token"],
        }
    }

    /// Returns the read-only operation, which is safe to repeat.
    pub fn lookup(self) -> &'static str {
        match self {
            Self::SaaMubadala => "offers",
            Self::Cedarfen => "catalog",
        }
    }

    /// Returns the operations that must not be repeated, in the order in which a program uses them.
    pub fn actions(self) -> [&'static str; 2] {
        match self {
            Self::SaaMubadala => ["book", "transfer"],
            Self::Cedarfen => ["charge", "certificate"],
        }
    }
}

/// The shape of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PlanKind {
    /// A few short turns, sometimes followed by an action.
    Short,
    /// Many turns with a large history and pauses, followed by two actions.
    Long,
    /// Concurrent branches (sub-agents), followed by an action.
    Forked,
    /// Calls the model until the program's budget is spent.
    Endless,
}

/// One step of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Call the model.
    Ask {
        /// The new user message.
        text: String,
        /// Maximum length of the answer, in tokens.
        max_tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// Call an operation of the service.
    Tool {
        /// The name of the operation.
        operation: &'static str,
        /// The JSON argument. For a non-repeatable operation, its `action` value is unique.
        body: Value,
        /// Whether the operation may run more than once.
        repeatable: bool,
    },
    /// Wait, to simulate user input or an external tool.
    Pause(Duration),
    /// Run branches concurrently and wait for all of them.
    Fork(Vec<Vec<Step>>),
    /// Call the model repeatedly until a call is refused because the budget is spent.
    AskUntilRefused {
        /// The user message of each turn.
        text: String,
        /// Maximum length of each answer, in tokens.
        max_tokens: u32,
    },
}

/// A program's settings and its steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The deployment that runs the program.
    pub deployment: Deployment,
    /// The shape of the program.
    pub kind: PlanKind,
    /// The program's idempotency key, unique within a seed.
    pub key: String,
    /// The program's deadline, counted from its intended start.
    pub deadline: Duration,
    /// Maximum number of calls; `None` uses the environment's default.
    pub budget_calls: Option<u64>,
    /// The steps of the main branch, in order.
    pub steps: Vec<Step>,
}

/// Generates plans. Equal seeds generate equal sequences of plans.
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
    /// Creates a generator with a pause scale of 1.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            seed,
            number: 0,
            pause_scale: 1.0,
        }
    }

    /// Sets the factor by which every pause is multiplied.
    pub fn with_pause_scale(mut self, scale: f64) -> Self {
        self.pause_scale = scale;
        self
    }

    /// Generates the next plan.
    pub fn plan(&mut self, deployment: Deployment) -> Plan {
        self.number += 1;
        let kind = match self.rng.u32(..100) {
            0..58 => PlanKind::Short,
            58..82 => PlanKind::Long,
            82..96 => PlanKind::Forked,
            _ => PlanKind::Endless,
        };
        let key = format!("{deployment}-{}-{}", self.seed, self.number);
        let mut generator = StepGenerator {
            rng: &mut self.rng,
            deployment,
            key: &key,
            generated: 0,
            pause_scale: self.pause_scale,
        };
        let steps = match kind {
            PlanKind::Short => generator.short(),
            PlanKind::Long => generator.long(),
            PlanKind::Forked => generator.forked(),
            PlanKind::Endless => generator.endless(),
        };
        let budget_calls = match kind {
            PlanKind::Endless => Some(self.rng.u64(3..8)),
            _ => None,
        };
        Plan {
            deployment,
            kind,
            deadline: PROGRAM_DEADLINE,
            budget_calls,
            steps,
            key,
        }
    }
}

/// Generates the steps of one plan.
struct StepGenerator<'a> {
    rng: &'a mut fastrand::Rng,
    deployment: Deployment,
    key: &'a str,
    /// Number of unique ids generated so far.
    generated: u32,
    pause_scale: f64,
}

impl StepGenerator<'_> {
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
        let unique_id = self.unique_id();
        vec![Step::AskUntilRefused {
            text: make_text(self.rng, &unique_id, 20),
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
        let unique_id = self.unique_id();
        let words = self.rng.usize(words);
        Step::Ask {
            text: make_text(self.rng, &unique_id, words),
            max_tokens: self.rng.u32(tokens),
            stream: self.rng.u32(..10) < 8,
        }
    }

    fn lookup(&mut self) -> Step {
        Step::Tool {
            operation: self.deployment.lookup(),
            body: json!({"query": self.unique_id()}),
            repeatable: true,
        }
    }

    fn action(&mut self, index: usize) -> Step {
        Step::Tool {
            operation: self.deployment.actions()[index],
            body: json!({"action": self.unique_id(), "amount": self.rng.u32(1..9)}),
            repeatable: false,
        }
    }

    fn pause(&mut self, millis: std::ops::Range<u64>) -> Step {
        let pause = Duration::from_millis(self.rng.u64(millis));
        Step::Pause(pause.mul_f64(self.pause_scale))
    }

    /// Returns an id that is unique among all plans of the seed.
    fn unique_id(&mut self) -> String {
        self.generated += 1;
        format!("{}-{}", self.key, self.generated)
    }
}
