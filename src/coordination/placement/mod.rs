//! Placement of models on engines, decided step by step by the owner of partition 0.
//!
//! It compares the configuration with the engines' reports. An order that was lost, delayed or
//! undone is therefore corrected by the next comparison.

mod choose;
#[cfg(test)]
mod tests;

use crate::ids::{EndpointId, Epoch, FailureDomain, ModelId};
use crate::protocol::engine::EngineOrder;
use crate::protocol::weights::WeightGrant;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Settings of [`Placement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementConfig {
    /// Delay of a new owner's first step, so that the engines' reports include the loads that the
    /// previous owner ordered.
    pub takeover_wait: Duration,
    /// Time within which an engine must report a model after the order.
    pub load_timeout: Duration,
    /// Delay before another request after the weight store did not answer.
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

/// A model or adapter that the configuration requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// Name; that of an adapter begins with its model's name and a slash.
    pub model: ModelId,
    /// Required version.
    pub version: u32,
    /// Number of engines that must serve it.
    pub warm_copies: u32,
}

/// Report of an engine by its sidecar, which may be some seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine's endpoint.
    pub endpoint: EndpointId,
    /// Failure domain of the engine.
    pub failure_domain: FailureDomain,
    /// Whether the engine is live and not leaving.
    pub is_available: bool,
    /// Models and adapters that it serves, with their versions.
    pub models: Vec<(ModelId, u32)>,
}

impl EngineView {
    /// Returns the served version of a model, or `None` if the engine does not serve it.
    fn version_of(&self, model: &str) -> Option<u32> {
        let entry = self.models.iter().find(|(name, _)| name == model);
        entry.map(|(_, version)| *version)
    }
}

/// An action to carry out. Its result must be passed to the method named for each variant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Ask the weight store whether a load may start; the result goes to [`Placement::on_weights`].
    RequestWeights {
        /// Name of the model.
        model: ModelId,
        /// Version of the model.
        version: u32,
    },
    /// Send an order to a sidecar; the result goes to [`Placement::on_ordered`].
    Order {
        /// Endpoint of the engine.
        endpoint: EndpointId,
        /// Order to send.
        order: EngineOrder,
        /// Epoch of the owner, used as the fencing number.
        fence: Epoch,
        /// Sequence number of the order within the epoch.
        sequence: u64,
    },
}

/// A step in progress at an engine.
///
/// Invariant: once the order is sent, the engine does not count as serving the model until it
/// reports the ordered version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Step {
    order: EngineOrder,
    ordered_at: Option<Instant>,
}

/// Placement decisions of the owner of partition 0.
#[derive(Debug)]
pub struct Placement {
    config: PlacementConfig,
    /// This node's epoch and the time from which on it may take steps.
    term: Option<(Epoch, Instant)>,
    sequence: u64,
    steps: BTreeMap<EndpointId, Step>,
    /// Engine for which a request to the weight store is in flight.
    weights_requested_for: Option<EndpointId>,
    weights_retry_at: Option<Instant>,
}

impl Placement {
    /// Creates a placement that takes no steps until [`Placement::on_epoch`] is called.
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

    /// Sets the epoch in which this node owns partition 0; `None` if it does not own it.
    pub fn on_epoch(&mut self, now: Instant, epoch: Option<Epoch>) {
        if self.term.map(|(epoch, _)| epoch) == epoch {
            return;
        }
        self.term = epoch.map(|epoch| (epoch, now + self.config.takeover_wait));
        self.sequence = 0;
        self.steps.clear();
        self.weights_requested_for = None;
    }

    /// Compares the desired models with the engines' reports, and returns the actions to carry out
    /// now.
    pub fn reconcile(
        &mut self,
        now: Instant,
        desired_models: &[DesiredModel],
        engines: &[EngineView],
    ) -> Vec<PlacementAction> {
        let Some((_, start_at)) = self.term else {
            return Vec::new();
        };
        if now < start_at {
            return Vec::new();
        }
        self.remove_finished_steps(now, engines);
        self.add_steps(desired_models, engines);
        let mut actions: Vec<_> = self.next_weights_request(now).into_iter().collect();
        actions.extend(self.due_unloads(now));
        actions
    }

    /// Handles the weight store's answer; `None` means that it did not answer. Returns the order if
    /// the load may start.
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

    /// Handles the result of an order. The step of a refused order is dropped, so that it is
    /// planned again.
    pub fn on_ordered(&mut self, endpoint: &str, refused: bool) {
        if refused {
            self.steps.remove(endpoint);
        }
    }

    /// Removes steps whose result is reported, whose engine is no longer available, or that timed
    /// out.
    fn remove_finished_steps(&mut self, now: Instant, engines: &[EngineView]) {
        let limit = self.config.load_timeout;
        self.steps.retain(|endpoint, step| {
            let engine = engines.iter().find(|engine| engine.endpoint == *endpoint);
            let Some(engine) = engine.filter(|engine| engine.is_available) else {
                return false;
            };
            let is_late = step
                .ordered_at
                .is_some_and(|at| now.duration_since(at) > limit);
            !is_late && !is_done(&step.order, engine)
        });
        let endpoint = self.weights_requested_for.take();
        self.weights_requested_for = endpoint.filter(|endpoint| self.steps.contains_key(endpoint));
    }

    fn add_steps(&mut self, desired_models: &[DesiredModel], engines: &[EngineView]) {
        for desired in desired_models {
            while let Some((endpoint, order)) =
                choose::next_step(desired, desired_models, engines, |endpoint| {
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

    /// Returns a request to the weight store for the first pending load, unless one is in flight.
    fn next_weights_request(&mut self, now: Instant) -> Option<PlacementAction> {
        let is_paused = self.weights_retry_at.is_some_and(|at| at > now);
        if self.weights_requested_for.is_some() || is_paused {
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

    /// Returns the pending unload orders, which need no weights.
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
