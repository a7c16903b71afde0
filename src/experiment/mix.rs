//! The two simulated deployments and their seeded mixes of programs.

use crate::ids::{ProgramId, program_id};
use fastrand::Rng;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Stage in the run of a program's branch.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Call the model.
    Model {
        /// Number of tokens in the new message.
        new_tokens: u32,
        /// Maximum number of answer tokens.
        max_tokens: u32,
    },
    /// Call the deployment's service.
    Service,
    /// Wait for a tool or a person.
    Pause(Duration),
    /// Run sub-agents concurrently and wait for all of them.
    Agents(Vec<Vec<Stage>>),
}

/// Specification of a program in a mix.
#[derive(Clone, Debug)]
pub(crate) struct ProgramSpec {
    /// Program id.
    pub(crate) id: ProgramId,
    /// Arrival time since the start of the run.
    pub(crate) arrival: Duration,
    /// Index of the entry that owns the program.
    pub(crate) entry: usize,
    /// Client account that the program belongs to.
    pub(crate) client_account: &'static str,
    /// Whether the program's environment is in production, rather than in trial.
    pub(crate) production: bool,
    /// Time from arrival to deadline, after which the result is useless.
    pub(crate) time_limit: Duration,
    /// Stages of branch 0.
    pub(crate) stages: Vec<Stage>,
}

/// Parameters of one kind of program.
struct ProgramKind {
    /// Share of this kind among all programs.
    share: f64,
    /// Number of tokens in the first message.
    first_tokens: RangeInclusive<u32>,
    /// Number of model calls in the main branch.
    turns: RangeInclusive<u32>,
    /// Number of tokens in each later message.
    turn_tokens: RangeInclusive<u32>,
    /// Maximum number of tokens in an answer.
    max_tokens: RangeInclusive<u32>,
    /// Duration of a pause for a tool, in milliseconds.
    pause_ms: RangeInclusive<u64>,
    /// Share of tool calls that go to the deployment's service; the others are pauses.
    service_share: f64,
    /// Number of sub-agents started after the first turn.
    agents: RangeInclusive<u32>,
}

/// Failure domains, endpoints and program mix of a deployment.
pub(crate) struct Deployment {
    /// Name of the deployment.
    pub(crate) name: &'static str,
    /// Names of the failure domains, to which nodes are assigned in turn.
    pub(crate) failure_domains: &'static [&'static str],
    /// Model that the engines serve.
    pub(crate) model: &'static str,
    /// Number of engines.
    pub(crate) engines: usize,
    /// Cache size of each engine, in tokens.
    pub(crate) cache_tokens: u64,
    /// Service that the programs call as a tool.
    pub(crate) service: &'static str,
    /// Number of servers of the service.
    pub(crate) services: usize,
    /// Number of entries.
    pub(crate) entries: usize,
    /// One-way latency between failure domains.
    pub(crate) latency: Duration,
    /// Client accounts with their shares of the programs.
    client_accounts: &'static [(&'static str, f64)],
    /// Share of the programs in a trial environment.
    trial_share: f64,
    /// Factor on the arrival rate during the peak, the middle fifth of the run; 1 for no peak.
    peak_factor: f64,
    kinds: Vec<ProgramKind>,
}

/// Maximum number of tokens in a sub-agent's answer.
const AGENT_MAX_TOKENS: u32 = 120;

/// Factor of the time limit on the duration of a program on idle endpoints.
const TIME_LIMIT_FACTOR: f64 = 3.0;

/// Constant part of the time limit.
const TIME_LIMIT_BASE: Duration = Duration::from_secs(5);

/// Returns the `tn-north` deployment, a time bank.
pub(crate) fn tn_north() -> Deployment {
    Deployment {
        name: "tn-north",
        failure_domains: &["tn-north-a", "tn-north-b", "tn-north-c", "tn-north-d"],
        model: "matcher-llm",
        engines: 10,
        cache_tokens: 400_000,
        service: "bank-core",
        services: 10,
        entries: 4,
        latency: Duration::from_micros(1_500),
        client_accounts: &[
            ("tunis", 0.45),
            ("sfax", 0.3),
            ("bizerte", 0.2),
            ("gabes", 0.05),
        ],
        trial_share: 0.1,
        peak_factor: 1.0,
        kinds: vec![
            ProgramKind {
                share: 0.6,
                first_tokens: 300..=600,
                turns: 2..=4,
                turn_tokens: 60..=250,
                max_tokens: 80..=200,
                pause_ms: 200..=1_500,
                service_share: 0.5,
                agents: 0..=0,
            },
            ProgramKind {
                share: 0.28,
                first_tokens: 1_500..=4_000,
                turns: 6..=12,
                turn_tokens: 150..=600,
                max_tokens: 120..=300,
                pause_ms: 300..=4_000,
                service_share: 0.3,
                agents: 0..=0,
            },
            ProgramKind {
                share: 0.12,
                first_tokens: 600..=1_500,
                turns: 3..=4,
                turn_tokens: 300..=900,
                max_tokens: 150..=300,
                pause_ms: 200..=1_000,
                service_share: 0.3,
                agents: 2..=4,
            },
        ],
    }
}

/// Returns the `pnw` deployment, a gift shop.
pub(crate) fn pnw() -> Deployment {
    Deployment {
        name: "pnw",
        failure_domains: &["pnw-a", "pnw-b", "pnw-c"],
        model: "helper-models",
        engines: 10,
        cache_tokens: 400_000,
        service: "shop-app",
        services: 15,
        entries: 3,
        latency: Duration::from_millis(1),
        client_accounts: &[("gifts", 0.65), ("keepers", 0.35)],
        trial_share: 0.05,
        peak_factor: 1.6,
        kinds: vec![
            ProgramKind {
                share: 0.62,
                first_tokens: 400..=800,
                turns: 2..=5,
                turn_tokens: 40..=200,
                max_tokens: 60..=160,
                pause_ms: 200..=2_000,
                service_share: 0.6,
                agents: 0..=0,
            },
            ProgramKind {
                share: 0.3,
                first_tokens: 4_000..=9_000,
                turns: 6..=14,
                turn_tokens: 100..=500,
                max_tokens: 150..=350,
                pause_ms: 500..=8_000,
                service_share: 0.2,
                agents: 0..=0,
            },
            ProgramKind {
                share: 0.08,
                first_tokens: 800..=1_500,
                turns: 3..=4,
                turn_tokens: 300..=800,
                max_tokens: 150..=300,
                pause_ms: 200..=1_000,
                service_share: 0.3,
                agents: 2..=3,
            },
        ],
    }
}

impl Deployment {
    /// Samples the programs that arrive within `arrival_period` at a mean rate of `rate_per_s`.
    pub(crate) fn sample_programs(
        &self,
        seed: u64,
        rate_per_s: f64,
        arrival_period: Duration,
    ) -> Vec<ProgramSpec> {
        let mut rng = Rng::with_seed(seed);
        let mut at_s = 0.0;
        let mut programs = Vec::new();
        loop {
            let rate = rate_per_s * self.rate_factor(at_s / arrival_period.as_secs_f64());
            at_s += -(1.0 - rng.f64()).ln() / rate;
            if at_s >= arrival_period.as_secs_f64() {
                return programs;
            }
            programs.push(self.sample_program(Duration::from_secs_f64(at_s), &mut rng));
        }
    }

    /// Returns the mean work of a program if no prompt token is computed twice. The mean is taken
    /// over a sample with a fixed seed.
    pub(crate) fn mean_work(&self) -> TokenWork {
        const SAMPLE: u32 = 4_000;
        let mut rng = Rng::with_seed(0);
        let mut sum = TokenWork::default();
        for _ in 0..SAMPLE {
            let program = self.sample_program(Duration::ZERO, &mut rng);
            sum.add(&program.stages);
        }
        TokenWork {
            prompt_tokens: sum.prompt_tokens / f64::from(SAMPLE),
            answer_tokens: sum.answer_tokens / f64::from(SAMPLE),
        }
    }

    /// Returns the factor on the arrival rate at a position in the run from 0 to 1. Its mean is 1.
    fn rate_factor(&self, position: f64) -> f64 {
        let mean = 0.8 + 0.2 * self.peak_factor;
        let is_peak = (0.4..0.6).contains(&position);
        if is_peak {
            self.peak_factor / mean
        } else {
            1.0 / mean
        }
    }

    fn sample_program(&self, arrival: Duration, rng: &mut Rng) -> ProgramSpec {
        let kind = choose_weighted(&self.kinds, |kind| kind.share, rng);
        let stages = kind.stages(rng);
        let unloaded = unloaded_time(&stages);
        ProgramSpec {
            id: program_id(1_700_000_000_000 + arrival.as_millis() as u64, rng.u128(..)),
            arrival,
            entry: rng.usize(..self.entries),
            client_account: choose_weighted(
                self.client_accounts,
                |client_account| client_account.1,
                rng,
            )
            .0,
            production: rng.f64() >= self.trial_share,
            time_limit: unloaded.mul_f64(TIME_LIMIT_FACTOR) + TIME_LIMIT_BASE,
            stages,
        }
    }
}

/// Number of tokens that engines must compute.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenWork {
    /// Prompt tokens.
    pub(crate) prompt_tokens: f64,
    /// Answer tokens.
    pub(crate) answer_tokens: f64,
}

impl TokenWork {
    fn add(&mut self, stages: &[Stage]) {
        for stage in stages {
            match stage {
                Stage::Model {
                    new_tokens,
                    max_tokens,
                } => {
                    self.prompt_tokens += f64::from(*new_tokens);
                    self.answer_tokens += mean_answer_tokens(*max_tokens);
                }
                Stage::Agents(agents) => agents.iter().for_each(|agent| self.add(agent)),
                Stage::Service | Stage::Pause(_) => (),
            }
        }
    }
}

impl ProgramKind {
    fn stages(&self, rng: &mut Rng) -> Vec<Stage> {
        let mut stages = Vec::new();
        let turns = rng.u32(self.turns.clone());
        for turn in 0..turns {
            let tokens = if turn == 0 {
                self.first_tokens.clone()
            } else {
                self.turn_tokens.clone()
            };
            stages.push(model_stage(tokens, self.max_tokens.clone(), rng));
            let agents = rng.u32(self.agents.clone());
            if turn == 0 && agents > 0 {
                let sample_agent = |_| self.sub_agent_stages(rng);
                stages.push(Stage::Agents((0..agents).map(sample_agent).collect()));
            } else if turn + 1 < turns {
                stages.push(self.tool_stage(rng));
            }
        }
        stages
    }

    fn tool_stage(&self, rng: &mut Rng) -> Stage {
        if rng.f64() < self.service_share {
            Stage::Service
        } else {
            Stage::Pause(Duration::from_millis(rng.u64(self.pause_ms.clone())))
        }
    }

    fn sub_agent_stages(&self, rng: &mut Rng) -> Vec<Stage> {
        let mut stages = vec![model_stage(300..=700, 60..=AGENT_MAX_TOKENS, rng)];
        for _ in 0..rng.u32(1..=2) {
            stages.push(self.tool_stage(rng));
            stages.push(model_stage(100..=400, 60..=AGENT_MAX_TOKENS, rng));
        }
        stages
    }
}

fn model_stage(new: RangeInclusive<u32>, max: RangeInclusive<u32>, rng: &mut Rng) -> Stage {
    Stage::Model {
        new_tokens: rng.u32(new),
        max_tokens: rng.u32(max),
    }
}

/// Returns the mean number of answer tokens. The stand-in engine generates between half and all of
/// the maximum.
pub(crate) fn mean_answer_tokens(max_tokens: u32) -> f64 {
    f64::from(max_tokens) * 0.75
}

/// Estimates the duration of stages on idle endpoints.
fn unloaded_time(stages: &[Stage]) -> Duration {
    const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
    const TOKEN_INTERVAL_S: f64 = 0.020;
    let time = |stage: &Stage| match stage {
        Stage::Model {
            new_tokens,
            max_tokens,
        } => {
            let prefill_s = f64::from(*new_tokens) / PREFILL_TOKENS_PER_S;
            Duration::from_secs_f64(prefill_s + mean_answer_tokens(*max_tokens) * TOKEN_INTERVAL_S)
        }
        Stage::Service => Duration::from_millis(100),
        Stage::Pause(pause) => *pause,
        Stage::Agents(agents) => {
            let times = agents.iter().map(|agent| unloaded_time(agent));
            times.max().unwrap_or_default()
        }
    };
    stages.iter().map(time).sum()
}

/// Selects a random item with a probability proportional to its share.
fn choose_weighted<'a, T>(items: &'a [T], share: impl Fn(&T) -> f64, rng: &mut Rng) -> &'a T {
    let mut remaining = rng.f64() * items.iter().map(&share).sum::<f64>();
    for item in items {
        remaining -= share(item);
        if remaining < 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}
