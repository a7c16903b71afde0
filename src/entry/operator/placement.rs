//! Placement of models on engines. Only the owner of partition 0 sends orders.

use crate::coordination::membership::NodeState;
use crate::coordination::placement::{
    DesiredModel, EngineView, Placement, PlacementAction, PlacementConfig,
};
use crate::entry::{Entry, lock};
use crate::protocol::configuration::Stage;
use crate::protocol::link::{Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::weights::WeightStore;
use smol::Timer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between placement rounds.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

impl<L: Log> Entry<L> {
    /// Starts the periodic task that orders engines to load and unload models.
    pub(crate) fn watch_placement(&self, weights: impl WeightStore) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            let mut placement = Placement::new(PlacementConfig::default());
            loop {
                Timer::after(RECONCILE_INTERVAL).await;
                entry.run_placement(&mut placement, &weights).await;
            }
        });
    }

    async fn run_placement(&self, placement: &mut Placement, weights: &impl WeightStore) {
        let epoch = self.0.partitions.first().and_then(|handle| handle.epoch());
        placement.on_epoch(Instant::now(), epoch);
        let desired = self.desired_models();
        let engines = self.engine_views();
        for action in placement.reconcile(Instant::now(), &desired, &engines) {
            match action {
                PlacementAction::RequestWeights { model, version } => {
                    let grant = weights.request(&model, version).await;
                    let order = placement.on_weights(Instant::now(), grant);
                    if let Some(order) = order {
                        self.send_order(placement, order).await;
                    }
                }
                order => self.send_order(placement, order).await,
            }
        }
    }

    async fn send_order(&self, placement: &mut Placement, action: PlacementAction) {
        let PlacementAction::Order {
            endpoint,
            order,
            fence,
            sequence,
        } = action
        else {
            return;
        };
        log::info!(target: "placement", "placement: {endpoint} is ordered to {order:?}");
        let request = Request::Order {
            order,
            fence,
            sequence,
        };
        let reply = self.0.links.ask(&endpoint, request).await;
        let refused = !matches!(reply, Ok(Reply::Done));
        if refused {
            log::warn!(target: "placement", "placement: {endpoint} did not take it: {reply:?}");
        }
        placement.on_ordered(&endpoint, refused);
    }

    /// Returns the models that the active environments require, one version of each.
    ///
    /// If versions differ, production precedes trial, and then the newer version is chosen.
    fn desired_models(&self) -> Vec<DesiredModel> {
        let current = self.0.operator_services.configurator.current();
        let mut desired: BTreeMap<String, (Stage, DesiredModel)> = BTreeMap::new();
        for view in current.environments().values() {
            for (model, version, warm_copies) in view.environment.models_to_load() {
                let new = DesiredModel {
                    model: model.clone(),
                    version,
                    warm_copies,
                };
                let current = desired.get(&model);
                let replaces = current.is_none_or(|(stage, current)| {
                    (view.stage, version) > (*stage, current.version)
                });
                if replaces {
                    desired.insert(model, (view.stage, new));
                }
            }
        }
        desired.into_values().map(|(_, desired)| desired).collect()
    }

    /// Returns the engines that have reported their load at least once.
    fn engine_views(&self) -> Vec<EngineView> {
        let now = Instant::now();
        let membership = lock(&self.0.membership);
        let nodes = membership.nodes().filter_map(|(name, node)| {
            let load = node.load.as_ref()?;
            let available = membership.state(now, name) == Some(NodeState::Live) && !load.leaving;
            (load.engine.cache_total_tokens > 0).then(|| EngineView {
                endpoint: name.clone(),
                failure_domain: node.failure_domain.clone(),
                is_available: available,
                models: load.engine.models.clone(),
            })
        });
        nodes.collect()
    }
}
