//! Seeded mixes of programs for the two deployments.

use crate::ids::{ProgramId, program_id};
use fastrand::Rng;
use std::ops::RangeInclusive;
use std::time::Duration;

/// One thing that a branch of a program does.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Ask the model.
    Model {
        /// Tokens of the new message.
        new_tokens: u32,
        /// Stop after so many tokens.
        max_tokens: u32,
    },
    /// Call the deployment's service.
    Service,
    /// Wait for a tool or a person.
    Pause(Duration),
    /// Run sub-agents at once and wait for all of them.
    Agents(Vec<Vec<Stage>>),
}

/// One program of a mix.
#[derive(Clone, Debug)]
pub(crate) struct ProgramSpec {
    /// Its id.
    pub(crate) id: ProgramId,
    /// When it begins, counted from the start of the run.
    pub(crate) arrives: Duration,
    /// The entry that owns it.
    pub(crate) entry: usize,
    /// Whose it is.
    pub(crate) client_account: &'static str,
    /// Whether its environment is in production.
    pub(crate) production: bool,
    /// Time from its beginning until its result is of no more use.
    pub(crate) patience: Duration,
    /// What branch 0 does.
    pub(crate) stages: Vec<Stage>,
}

/// Sizes of one kind of program.
struct Kind {
    /// Part of the programs.
    share: f64,
    /// Tokens of the first message.
    first_tokens: RangeInclusive<u32>,
    /// Model calls of the main branch.
    turns: RangeInclusive<u32>,
    /// Tokens of the messages after the first.
    turn_tokens: RangeInclusive<u32>,
    /// Most tokens of an answer.
    max_tokens: RangeInclusive<u32>,
    /// Tool pauses, in milliseconds.
    pause_ms: RangeInclusive<u64>,
    /// Part of the tool calls that go to the deployment's service.
    service_share: f64,
    /// Sub-agents started after the first turn.
    agents: RangeInclusive<u32>,
}

/// A deployment: its failure domains, endpoints and mix.
pub(crate) struct Deployment {
    /// Its name.
    pub(crate) name: &'static str,
    /// Its failure domains.
    pub(crate) failure_domains: &'static [&'static str],
    /// The model that its engines serve.
    pub(crate) model: &'static str,
    /// Engines.
    pub(crate) engines: usize,
    /// Memory of each engine, in tokens.
    pub(crate) cache_tokens: u64,
    /// The service that its tools call.
    pub(crate) service: &'static str,
    /// Servers of the service.
    pub(crate) services: usize,
    /// Entries.
    pub(crate) entries: usize,
    /// One-way latency between failure domains.
    pub(crate) latency: Duration,
    /// Client accounts with their parts of the programs.
    client_accounts: &'static [(&'static str, f64)],
    /// Part of the programs that are in a trial environment.
    trial_share: f64,
    /// Factor on the arrivals in the rush, which is the middle fifth of the run; 1 for no rush.
    rush: f64,
    kinds: Vec<Kind>,
}

/// Most tokens of a sub-agent's answer.
const AGENT_MAX_TOKENS: u32 = 120;

/// Patience is this multiple of the time that a program takes alone.
const PATIENCE_FACTOR: f64 = 3.0;

/// Added to the patience.
const PATIENCE_BASE: Duration = Duration::from_secs(5);

/// The time bank in tn-north.
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
        rush: 1.0,
        kinds: vec![
            Kind {
                share: 0.6,
                first_tokens: 300..=600,
                turns: 2..=4,
                turn_tokens: 60..=250,
                max_tokens: 80..=200,
                pause_ms: 200..=1_500,
                service_share: 0.5,
                agents: 0..=0,
            },
            Kind {
                share: 0.28,
                first_tokens: 1_500..=4_000,
                turns: 6..=12,
                turn_tokens: 150..=600,
                max_tokens: 120..=300,
                pause_ms: 300..=4_000,
                service_share: 0.3,
                agents: 0..=0,
            },
            Kind {
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

/// The gift shop in pnw.
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
        rush: 1.6,
        kinds: vec![
            Kind {
                share: 0.62,
                first_tokens: 400..=800,
                turns: 2..=5,
                turn_tokens: 40..=200,
                max_tokens: 60..=160,
                pause_ms: 200..=2_000,
                service_share: 0.6,
                agents: 0..=0,
            },
            Kind {
                share: 0.3,
                first_tokens: 4_000..=9_000,
                turns: 6..=14,
                turn_tokens: 100..=500,
                max_tokens: 150..=350,
                pause_ms: 500..=8_000,
                service_share: 0.2,
                agents: 0..=0,
            },
            Kind {
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
    /// Draws the programs that arrive within `lasts` at `rate_per_s` on average.
    pub(crate) fn draw(&self, seed: u64, rate_per_s: f64, lasts: Duration) -> Vec<ProgramSpec> {
        let mut rng = Rng::with_seed(seed);
        let mut at_s = 0.0;
        let mut programs = Vec::new();
        loop {
            let rate = rate_per_s * self.rate_factor(at_s / lasts.as_secs_f64());
            at_s += -(1.0 - rng.f64()).ln() / rate;
            if at_s >= lasts.as_secs_f64() {
                return programs;
            }
            programs.push(self.draw_one(Duration::from_secs_f64(at_s), &mut rng));
        }
    }

    /// Mean work of a program if no prompt token is computed twice, over a fixed sample.
    pub(crate) fn mean_work(&self) -> Work {
        const SAMPLE: u32 = 4_000;
        let mut rng = Rng::with_seed(0);
        let mut sum = Work::default();
        for _ in 0..SAMPLE {
            let program = self.draw_one(Duration::ZERO, &mut rng);
            sum.add(&program.stages);
        }
        Work {
            prompt_tokens: sum.prompt_tokens / f64::from(SAMPLE),
            answer_tokens: sum.answer_tokens / f64::from(SAMPLE),
        }
    }

    /// Factor on the arrival rate at a part of the run; its mean is 1.
    fn rate_factor(&self, part: f64) -> f64 {
        let mean = 0.8 + 0.2 * self.rush;
        let is_rush = (0.4..0.6).contains(&part);
        if is_rush {
            self.rush / mean
        } else {
            1.0 / mean
        }
    }

    fn draw_one(&self, arrives: Duration, rng: &mut Rng) -> ProgramSpec {
        let kind = pick(&self.kinds, |kind| kind.share, rng);
        let stages = kind.stages(rng);
        let alone = time_alone(&stages);
        ProgramSpec {
            id: program_id(1_700_000_000_000 + arrives.as_millis() as u64, rng.u128(..)),
            arrives,
            entry: rng.usize(..self.entries),
            client_account: pick(self.client_accounts, |client_account| client_account.1, rng).0,
            production: rng.f64() >= self.trial_share,
            patience: alone.mul_f64(PATIENCE_FACTOR) + PATIENCE_BASE,
            stages,
        }
    }
}

/// Tokens that engines must compute.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    /// Tokens of prompts.
    pub(crate) prompt_tokens: f64,
    /// Tokens of answers.
    pub(crate) answer_tokens: f64,
}

impl Work {
    fn add(&mut self, stages: &[Stage]) {
        for stage in stages {
            match stage {
                Stage::Model {
                    new_tokens,
                    max_tokens,
                } => {
                    self.prompt_tokens += f64::from(*new_tokens);
                    self.answer_tokens += answer_mean(*max_tokens);
                }
                Stage::Agents(agents) => agents.iter().for_each(|agent| self.add(agent)),
                Stage::Service | Stage::Pause(_) => (),
            }
        }
    }
}

impl Kind {
    fn stages(&self, rng: &mut Rng) -> Vec<Stage> {
        let mut stages = Vec::new();
        let turns = rng.u32(self.turns.clone());
        for turn in 0..turns {
            let tokens = if turn == 0 {
                self.first_tokens.clone()
            } else {
                self.turn_tokens.clone()
            };
            stages.push(model(tokens, self.max_tokens.clone(), rng));
            let agents = rng.u32(self.agents.clone());
            if turn == 0 && agents > 0 {
                let draw = |_| self.agent(rng);
                stages.push(Stage::Agents((0..agents).map(draw).collect()));
            } else if turn + 1 < turns {
                stages.push(self.tool(rng));
            }
        }
        stages
    }

    fn tool(&self, rng: &mut Rng) -> Stage {
        if rng.f64() < self.service_share {
            Stage::Service
        } else {
            Stage::Pause(Duration::from_millis(rng.u64(self.pause_ms.clone())))
        }
    }

    fn agent(&self, rng: &mut Rng) -> Vec<Stage> {
        let mut stages = vec![model(300..=700, 60..=AGENT_MAX_TOKENS, rng)];
        for _ in 0..rng.u32(1..=2) {
            stages.push(self.tool(rng));
            stages.push(model(100..=400, 60..=AGENT_MAX_TOKENS, rng));
        }
        stages
    }
}

fn model(new: RangeInclusive<u32>, max: RangeInclusive<u32>, rng: &mut Rng) -> Stage {
    Stage::Model {
        new_tokens: rng.u32(new),
        max_tokens: rng.u32(max),
    }
}

/// Mean tokens of an answer: the stand-in engine gives between half and all of what is allowed.
pub(crate) fn answer_mean(max_tokens: u32) -> f64 {
    f64::from(max_tokens) * 0.75
}

/// Time that stages take on idle endpoints, roughly.
fn time_alone(stages: &[Stage]) -> Duration {
    const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
    const GAP_S: f64 = 0.020;
    let time = |stage: &Stage| match stage {
        Stage::Model {
            new_tokens,
            max_tokens,
        } => {
            let prefill_s = f64::from(*new_tokens) / PREFILL_TOKENS_PER_S;
            Duration::from_secs_f64(prefill_s + answer_mean(*max_tokens) * GAP_S)
        }
        Stage::Service => Duration::from_millis(100),
        Stage::Pause(pause) => *pause,
        Stage::Agents(agents) => {
            let times = agents.iter().map(|agent| time_alone(agent));
            times.max().unwrap_or_default()
        }
    };
    stages.iter().map(time).sum()
}

/// Draws one of several things by their parts.
fn pick<'a, T>(things: &'a [T], share: impl Fn(&T) -> f64, rng: &mut Rng) -> &'a T {
    let mut left = rng.f64() * things.iter().map(&share).sum::<f64>();
    for thing in things {
        left -= share(thing);
        if left < 0.0 {
            return thing;
        }
    }
    &things[things.len() - 1]
}
