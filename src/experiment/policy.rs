//! The policies that are compared, and the parts of the product's policy.

use crate::coordination::admission::{AdmissionConfig, CapConfig, RankWeights};
use crate::coordination::choice::ChoiceConfig;
use std::time::Duration;

/// Parts of the product's policy that an ablation switches off.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Part {
    /// Order of the queue by attained service.
    Attained,
    /// Order of the queue by deadline slack.
    Slack,
    /// Fair shares of client accounts.
    Shares,
    /// The adaptive cap on calls in the engine.
    Cap,
    /// The cost of uncached tokens in the choice.
    CacheCost,
    /// The expected wait in the choice.
    Wait,
    /// Correction of loads by own dispatches and by age.
    Correction,
    /// The random choice of two among equals.
    TwoChoices,
    /// The cost of the slow-down of others in the choice.
    Busy,
    /// The cost of an engine's resident cache in the choice.
    Resident,
    /// Cache events.
    Events,
    /// Release of the caches of programs that are over.
    Release,
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Policy {
    /// Engines in turn, no queue before them.
    RoundRobin,
    /// The engine with the fewest calls, no queue before them.
    LeastLoaded,
    /// One engine a program, by its hash, no queue before them.
    PrefixSticky,
    /// The product's.
    Product,
    /// The product's without one part.
    Without(Part),
}

impl Policy {
    /// Returns its name in tables.
    pub(crate) fn name(self) -> String {
        match self {
            Self::RoundRobin => "fifo+round-robin".into(),
            Self::LeastLoaded => "fifo+least-loaded".into(),
            Self::PrefixSticky => "prefix-sticky".into(),
            Self::Product => "galenapick".into(),
            Self::Without(part) => format!("without-{part}"),
        }
    }

    /// Tells whether it is the product's, whole or in part.
    pub(crate) fn is_product(self) -> bool {
        matches!(self, Self::Product | Self::Without(_))
    }

    /// Tells whether it has a part of the product's policy.
    pub(crate) fn has(self, part: Part) -> bool {
        match self {
            Self::Product => true,
            Self::Without(other) => other != part,
            _ => false,
        }
    }

    /// Settings of the sidecars' queues before engines.
    pub(crate) fn admission(self) -> AdmissionConfig {
        let mut cfg = AdmissionConfig::default();
        let RankWeights {
            attained_ms,
            slack,
            share_ms,
            ..
        } = &mut cfg.weights;
        *attained_ms *= f64::from(self.has(Part::Attained));
        *slack *= f64::from(self.has(Part::Slack));
        *share_ms *= f64::from(self.has(Part::Shares));
        if !self.has(Part::Cap) {
            cfg.cap = fixed_cap(1_000);
        }
        cfg
    }

    /// Settings of the sidecars' queues before services that run `calls` at a time.
    pub(crate) fn service_admission(self, calls: u32) -> AdmissionConfig {
        AdmissionConfig {
            cap: fixed_cap(calls),
            ..self.admission()
        }
    }

    /// Settings of the entries' choice.
    pub(crate) fn choice(self) -> ChoiceConfig {
        let mut cfg = ChoiceConfig::default();
        cfg.wait_weight *= f64::from(self.has(Part::Wait));
        cfg.busy_weight *= f64::from(self.has(Part::Busy));
        cfg.full_cache_ms *= f64::from(self.has(Part::Resident));
        if !self.has(Part::TwoChoices) {
            cfg.tie_margin_ms = 0.0;
            cfg.tie_margin_share = 0.0;
        }
        if !self.has(Part::Correction) {
            cfg.load_half_life = Duration::from_secs(1_000_000);
        }
        cfg
    }
}

/// A cap that does not adapt.
fn fixed_cap(calls: u32) -> CapConfig {
    CapConfig {
        start_calls: calls,
        min_calls: calls,
        max_calls: calls,
        ..CapConfig::default()
    }
}
