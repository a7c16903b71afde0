//! Which engine loads what: decided by the owner of partition 0, one step after the other.
//!
//! It compares what the configuration wants with what the engines report, so an order that was
//! lost, came late or was undone is corrected by the next look.

mod choose;
#[cfg(test)]
mod tests;

use crate::ids::{EndpointId, Epoch, FailureDomain, ModelId};
use crate::protocol::engine::EngineOrder;
use crate::protocol::weights::WeightGrant;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bounds of the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementConfig {
    /// Wait of a new owner, so that the loads of the one before show in the engines' reports.
    pub takeover_wait: Duration,
    /// Time for an engine to report a model after the order.
    pub load_timeout: Duration,
    /// Pause after the weight store did not answer.
    pub weights_retry_pause: Duration,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            takeover_wait: Duration::from_secs(10),
            load_timeout: Duration::from_secs(600),
            weights_retry_pause: Duration::from_secs(1),
        }
    }
}

/// A model or adapter that the configuration wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// Its name; an adapter's begins with its model's and a slash.
    pub model: ModelId,
    /// Its version.
    pub version: u32,
    /// Engines that must serve it.
    pub warm_copies: u32,
}

/// An engine as its sidecar reports it, late by some seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub endpoint: EndpointId,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Whether it is live and stays.
    pub is_available: bool,
    /// What it serves.
    pub models: Vec<(ModelId, u32)>,
}

impl EngineView {
    /// Returns the version of a model that the engine serves.
    fn version_of(&self, model: &str) -> Option<u32> {
        let found = self.models.iter().find(|(name, _)| name == model);
        found.map(|(_, version)| *version)
    }
}

/// Something to do. Its end is told by the method that is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Ask the weight store; ends with [`Placement::on_weights`].
    RequestWeights {
        /// The model.
        model: ModelId,
        /// The version.
        version: u32,
    },
    /// Send an order to a sidecar; ends with [`Placement::on_ordered`].
    Order {
        /// The engine.
        endpoint: EndpointId,
        /// The order.
        order: EngineOrder,
        /// The fencing number.
        fence: Epoch,
        /// The order's position.
        sequence: u64,
    },
}

/// An engine's step under way.
///
/// Invariant: from its order on, the engine does not count as serving the model, until it reports
/// the version that was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Step {
    order: EngineOrder,
    ordered_at: Option<Instant>,
}

/// The decisions of one owner.
#[derive(Debug)]
pub struct Placement {
    config: PlacementConfig,
    /// The own epoch and the time at which steps may begin.
    term: Option<(Epoch, Instant)>,
    sequence: u64,
    steps: BTreeMap<EndpointId, Step>,
    /// The engine for which the weight store is being asked.
    weights_requested_for: Option<EndpointId>,
    weights_retry_at: Option<Instant>,
}

impl Placement {
    /// Makes one that owns nothing yet.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            term: None,
            sequence: 0,
            steps: BTreeMap::new(),
            weights_requested_for: None,
            weights_retry_at: None,
        }
    }

    /// Takes the epoch in which this node owns partition 0, or that it does not.
    pub fn on_epoch(&mut self, now: Instant, epoch: Option<Epoch>) {
        if self.term.map(|(epoch, _)| epoch) == epoch {
            return;
        }
        self.term = epoch.map(|epoch| (epoch, now + self.config.takeover_wait));
        self.sequence = 0;
        self.steps.clear();
        self.weights_requested_for = None;
    }

    /// Compares what is wanted with what is, and returns what to do now.
    pub fn reconcile(
        &mut self,
        now: Instant,
        wanted: &[DesiredModel],
        engines: &[EngineView],
    ) -> Vec<PlacementAction> {
        let Some((_, begin)) = self.term else {
            return Vec::new();
        };
        if now < begin {
            return Vec::new();
        }
        self.remove_finished_steps(now, engines);
        self.add_steps(wanted, engines);
        let mut actions: Vec<_> = self.next_weights_request(now).into_iter().collect();
        actions.extend(self.due_unloads(now));
        actions
    }

    /// Takes the weight store's answer; returns the order if the load may start.
    pub fn on_weights(
        &mut self,
        now: Instant,
        grant: Option<WeightGrant>,
    ) -> Option<PlacementAction> {
        let endpoint = self.weights_requested_for.take()?;
        match grant {
            Some(WeightGrant::Granted) => self.order(now, endpoint),
            Some(WeightGrant::Wait(wait)) => {
                self.weights_retry_at = Some(now + wait);
                None
            }
            None => {
                self.weights_retry_at = Some(now + self.config.weights_retry_pause);
                None
            }
        }
    }

    /// Takes the end of an order; one that the sidecar refused is planned anew.
    pub fn on_ordered(&mut self, endpoint: &str, refused: bool) {
        if refused {
            self.steps.remove(endpoint);
        }
    }

    /// Ends steps whose result is reported, whose engine leaves, or that took too long.
    fn remove_finished_steps(&mut self, now: Instant, engines: &[EngineView]) {
        let limit = self.config.load_timeout;
        self.steps.retain(|endpoint, step| {
            let engine = engines.iter().find(|engine| engine.endpoint == *endpoint);
            let Some(engine) = engine.filter(|engine| engine.is_available) else {
                return false;
            };
            let late = step
                .ordered_at
                .is_some_and(|at| now.duration_since(at) > limit);
            !late && !is_done(&step.order, engine)
        });
        let asking = self.weights_requested_for.take();
        self.weights_requested_for = asking.filter(|endpoint| self.steps.contains_key(endpoint));
    }

    fn add_steps(&mut self, wanted: &[DesiredModel], engines: &[EngineView]) {
        for want in wanted {
            while let Some((endpoint, order)) =
                choose::next_step(want, wanted, engines, |endpoint| {
                    self.steps.get(endpoint).map(|step| &step.order)
                })
            {
                let step = Step {
                    order,
                    ordered_at: None,
                };
                self.steps.insert(endpoint, step);
            }
        }
    }

    /// Asks the weight store for the first load that waits; one question at a time.
    fn next_weights_request(&mut self, now: Instant) -> Option<PlacementAction> {
        let paused = self.weights_retry_at.is_some_and(|at| at > now);
        if self.weights_requested_for.is_some() || paused {
            return None;
        }
        let waiting = self
            .steps
            .iter()
            .filter(|(_, step)| step.ordered_at.is_none());
        let mut loads = waiting.filter_map(|(endpoint, step)| match &step.order {
            EngineOrder::Load { model, version } => Some((endpoint, model, *version)),
            EngineOrder::Unload { .. } => None,
        });
        let (endpoint, model, version) = loads.next()?;
        let action = PlacementAction::RequestWeights {
            model: model.clone(),
            version,
        };
        self.weights_requested_for = Some(endpoint.clone());
        Some(action)
    }

    /// Unloading needs no weights.
    fn due_unloads(&mut self, now: Instant) -> Vec<PlacementAction> {
        let is_due = |step: &Step| {
            step.ordered_at.is_none() && matches!(step.order, EngineOrder::Unload { .. })
        };
        let due = self.steps.iter().filter(|(_, step)| is_due(step));
        let due: Vec<_> = due.map(|(endpoint, _)| endpoint.clone()).collect();
        due.into_iter()
            .filter_map(|endpoint| self.order(now, endpoint))
            .collect()
    }

    fn order(&mut self, now: Instant, endpoint: EndpointId) -> Option<PlacementAction> {
        let (epoch, _) = self.term?;
        let step = self.steps.get_mut(&endpoint)?;
        step.ordered_at = Some(now);
        self.sequence += 1;
        Some(PlacementAction::Order {
            order: step.order.clone(),
            endpoint,
            fence: epoch,
            sequence: self.sequence,
        })
    }
}

fn is_done(order: &EngineOrder, engine: &EngineView) -> bool {
    match order {
        EngineOrder::Load { model, version } => engine.version_of(model) == Some(*version),
        EngineOrder::Unload { model } => engine.version_of(model).is_none(),
    }
}
