//! The compared policies and the components of the galenapick policy.

use crate::coordination::admission::{AdmissionConfig, CapConfig, RankWeights};
use crate::coordination::choice::ChoiceConfig;
use std::time::Duration;

/// Component of the galenapick policy that an ablation disables. The displayed name appears in
/// tables.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Component {
    /// Queue order by attained service.
    Attained,
    /// Queue order by slack until the deadline.
    Slack,
    /// Queue order by the fair shares of client accounts.
    Shares,
    /// Adaptive limit on concurrent calls in an engine.
    Cap,
    /// Cost of uncached tokens in endpoint selection.
    CacheCost,
    /// Expected queueing time in endpoint selection.
    Wait,
    /// Correction of reported loads for calls sent since and for the age of the report.
    Correction,
    /// Choice of the better of two random endpoints among those of nearly equal cost.
    TwoChoices,
    /// Cost of slowing down other calls in endpoint selection.
    Busy,
    /// Cost of an engine's resident cache in endpoint selection.
    Resident,
    /// Cache events reported by engines.
    Events,
    /// Release of the caches of ended programs.
    Release,
}

/// Scheduling policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Policy {
    /// Endpoints in turn, without queues in front of the engines.
    RoundRobin,
    /// Endpoint with the fewest calls, without queues in front of the engines.
    LeastLoaded,
    /// One engine for each program, selected by rendezvous hashing, without queues in front of the
    /// engines.
    PrefixSticky,
    /// The full galenapick policy.
    Galenapick,
    /// The galenapick policy without one component.
    Without(Component),
}

impl Policy {
    /// Returns the name that is shown in tables, charts and CSV.
    pub(crate) fn name(self) -> String {
        match self {
            Self::RoundRobin => "fifo+round-robin".into(),
            Self::LeastLoaded => "fifo+least-loaded".into(),
            Self::PrefixSticky => "prefix-sticky".into(),
            Self::Galenapick => "galenapick".into(),
            Self::Without(component) => format!("without-{component}"),
        }
    }

    /// Returns whether this is the galenapick policy, with or without all components.
    pub(crate) fn is_galenapick(self) -> bool {
        matches!(self, Self::Galenapick | Self::Without(_))
    }

    /// Returns whether the policy uses a component. The baseline policies use none.
    pub(crate) fn uses(self, component: Component) -> bool {
        match self {
            Self::Galenapick => true,
            Self::Without(other) => other != component,
            _ => false,
        }
    }

    /// Returns the admission settings of sidecars in front of engines.
    pub(crate) fn admission(self) -> AdmissionConfig {
        let mut cfg = AdmissionConfig::default();
        let RankWeights {
            attained_ms,
            slack,
            share_ms,
            ..
        } = &mut cfg.weights;
        *attained_ms *= f64::from(self.uses(Component::Attained));
        *slack *= f64::from(self.uses(Component::Slack));
        *share_ms *= f64::from(self.uses(Component::Shares));
        if !self.uses(Component::Cap) {
            cfg.cap = fixed_cap(1_000);
        }
        cfg
    }

    /// Returns the admission settings of sidecars in front of services that process `calls`
    /// concurrently.
    pub(crate) fn service_admission(self, calls: u32) -> AdmissionConfig {
        AdmissionConfig {
            cap: fixed_cap(calls),
            ..self.admission()
        }
    }

    /// Returns the settings of endpoint selection in entries.
    pub(crate) fn choice(self) -> ChoiceConfig {
        let mut cfg = ChoiceConfig::default();
        cfg.wait_weight *= f64::from(self.uses(Component::Wait));
        cfg.busy_weight *= f64::from(self.uses(Component::Busy));
        cfg.full_cache_ms *= f64::from(self.uses(Component::Resident));
        if !self.uses(Component::TwoChoices) {
            cfg.tie_margin_ms = 0.0;
            cfg.tie_margin_share = 0.0;
        }
        if !self.uses(Component::Correction) {
            cfg.load_half_life = Duration::from_secs(1_000_000);
        }
        cfg
    }
}

/// Returns a fixed limit on concurrent calls.
fn fixed_cap(calls: u32) -> CapConfig {
    CapConfig {
        start_calls: calls,
        min_calls: calls,
        max_calls: calls,
        ..CapConfig::default()
    }
}
