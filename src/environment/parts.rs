//! The sections of an environment document as plain structs.

use crate::protocol::message::Usage;
use std::collections::BTreeMap;
use std::fmt;

/// A model and what is loaded with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Model {
    /// The version that must serve.
    pub(crate) version: u32,
    /// Engines expected to run it.
    pub(crate) servers: u32,
    /// Engines on which the version must be loaded.
    pub(crate) warm_copies: u32,
    /// Versions of its adapters.
    pub(crate) adapters: BTreeMap<String, u32>,
}

/// A service's operations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServiceRules {
    /// Servers expected to run it.
    pub(crate) servers: u32,
    /// All operations.
    pub(crate) operations: Vec<String>,
    /// Operations that run at most once. Invariant: a subset of `operations`.
    pub(crate) non_repeatable: Vec<String>,
    /// Time for an answer.
    pub(crate) timeout_ms: u64,
}

/// Who may use the environment.
#[derive(Clone, PartialEq)]
pub(crate) struct ClientAccount {
    /// BLAKE3 hash of the bearer token.
    pub(crate) token_hash: [u8; 32],
    /// Weight among the client accounts, 1 for an ordinary one.
    pub(crate) share: f64,
    /// Limits of this client account.
    pub(crate) limits: RateLimit,
}

impl fmt::Debug for ClientAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Member")
            .field("share", &self.share)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

/// Bounds on calls at once and calls a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateLimit {
    /// Calls under way at once.
    pub(crate) open_calls: u32,
    /// Calls a second, smoothed.
    pub(crate) calls_per_s: f64,
    /// Calls above the rate that are taken at once.
    pub(crate) burst_calls: u32,
}

/// What a program may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetRules {
    /// For a program that names no budget.
    pub(crate) default: Usage,
    /// For any program. Invariant: the default fits in it.
    pub(crate) max: Usage,
}

/// When a program must be done, counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineRules {
    /// For a program that names no deadline.
    pub(crate) default_ms: u64,
    /// For any program. Invariant: not below the default.
    pub(crate) max_ms: u64,
}

/// What is promised to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Objectives {
    /// A program's whole latency is at most this.
    pub(crate) program_latency_ms: u64,
    /// For this share of the programs.
    pub(crate) program_latency_share: f64,
    /// A model call's first token comes within this.
    pub(crate) first_token_ms: u64,
    /// For this share of the model calls.
    pub(crate) first_token_share: f64,
    /// This share of the programs succeeds.
    pub(crate) success_share: f64,
}

/// Limits of the environment as a whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitRules {
    /// Of all client accounts together.
    pub(crate) rate: RateLimit,
    /// Retries a first attempt, for each client account and endpoint.
    pub(crate) retry_share: f64,
    /// Part of an endpoint that the environment may fill while it is in trial.
    pub(crate) trial_share: f64,
}

/// How caches are kept between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheRules {
    /// Longest tool pause over which a cache is held.
    pub(crate) hold_ms: u64,
    /// Smaller caches are dropped under pressure rather than held.
    pub(crate) min_hold_tokens: u64,
    /// Whether caches may be moved between engines.
    pub(crate) move_caches: bool,
}

/// What must be shown before promotion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PromotionRules {
    /// Programs finished in trial.
    pub(crate) min_programs: u64,
    /// Highest burn rate over the last hour and the last six.
    pub(crate) max_burn_rate: f64,
}
