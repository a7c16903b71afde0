//! One struct for each section of an environment document.

use crate::protocol::message::Usage;
use std::collections::BTreeMap;
use std::fmt;

/// Section `model NAME`: a model and its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Model {
    /// Version to serve.
    pub(crate) version: u32,
    /// Number of engines that are expected to serve the model.
    pub(crate) servers: u32,
    /// Number of engines on which the version must be loaded.
    pub(crate) warm_copies: u32,
    /// Adapter versions by name.
    pub(crate) adapters: BTreeMap<String, u32>,
}

/// Section `service NAME`: a service and its operations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServiceRules {
    /// Number of servers that are expected to run the service.
    pub(crate) servers: u32,
    /// All operations.
    pub(crate) operations: Vec<String>,
    /// Operations that run at most once. Invariant: a subset of `operations`.
    pub(crate) non_repeatable: Vec<String>,
    /// Timeout of a call.
    pub(crate) timeout_ms: u64,
}

/// Section `member NAME`: a client account of the environment.
#[derive(Clone, PartialEq)]
pub(crate) struct ClientAccount {
    /// BLAKE3 hash of the bearer token.
    pub(crate) token_hash: [u8; 32],
    /// Weight of the account when capacity is shared; the default is 1.
    pub(crate) share: f64,
    /// Rate limits of the account.
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

/// Limits on concurrent calls and on the rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateLimit {
    /// Largest number of calls in flight.
    pub(crate) open_calls: u32,
    /// Sustained rate of calls.
    pub(crate) calls_per_s: f64,
    /// Largest burst of calls above the sustained rate.
    pub(crate) burst_calls: u32,
}

/// Section `budget`: default and largest budget of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetRules {
    /// Budget of a program that requests none.
    pub(crate) default: Usage,
    /// Largest budget that a program may request. Invariant: at least the default.
    pub(crate) max: Usage,
}

/// Section `deadline`: default and latest deadline of a program, from its creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineRules {
    /// Deadline of a program that requests none.
    pub(crate) default_ms: u64,
    /// Latest deadline that a program may request. Invariant: at least the default.
    pub(crate) max_ms: u64,
}

/// Section `objectives`: service-level objectives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Objectives {
    /// Objective for the latency of a whole program.
    pub(crate) program_latency_ms: u64,
    /// Share of programs that must meet `program_latency_ms`.
    pub(crate) program_latency_share: f64,
    /// Objective for the time to the first token of a model call.
    pub(crate) first_token_ms: u64,
    /// Share of model calls that must meet `first_token_ms`.
    pub(crate) first_token_share: f64,
    /// Share of programs that must succeed.
    pub(crate) success_share: f64,
}

/// Section `limits`: limits of the whole environment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitRules {
    /// Rate limits of all client accounts together, and the default for each account.
    pub(crate) rate: RateLimit,
    /// Allowed retries per first attempt, for each client account and endpoint.
    pub(crate) retry_share: f64,
    /// Share of the capacity of an endpoint that the environment may use during its trial.
    pub(crate) trial_share: f64,
}

/// Section `cache`: rules for caches between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheRules {
    /// Longest tool pause during which a cache is held.
    pub(crate) hold_ms: u64,
    /// Caches with fewer tokens are dropped rather than held under memory pressure.
    pub(crate) min_hold_tokens: u64,
    /// Whether caches may be transferred between engines.
    pub(crate) move_caches: bool,
}

/// Section `promotion`: conditions for promotion to production.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PromotionRules {
    /// Smallest number of programs that must have ended within the last three days.
    pub(crate) min_programs: u64,
    /// Highest allowed burn rate over each of the last hour, six hours and three days.
    pub(crate) max_burn_rate: f64,
}
