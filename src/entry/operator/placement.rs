//! Drives placement while this entry owns partition 0.

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

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

impl<L: Log> Entry<L> {
    /// Looks again and again at what engines should serve.
    pub(crate) fn watch_placement(&self, weights: impl WeightStore) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            let mut placement = Placement::new(PlacementConfig::default());
            loop {
                Timer::after(LOOK_INTERVAL).await;
                entry.place(&mut placement, &weights).await;
            }
        });
    }

    async fn place(&self, placement: &mut Placement, weights: &impl WeightStore) {
        let epoch = self.0.partitions.first().and_then(|handle| handle.epoch());
        placement.on_epoch(Instant::now(), epoch);
        let wanted = self.wanted();
        let engines = self.engine_views();
        for action in placement.reconcile(Instant::now(), &wanted, &engines) {
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

    /// What the environments in service want; production goes before trial, then the newer version.
    fn wanted(&self) -> Vec<DesiredModel> {
        let current = self.0.operating.configurator.current();
        let mut wanted: BTreeMap<String, (Stage, DesiredModel)> = BTreeMap::new();
        for view in current.environments().values() {
            for (model, version, warm_copies) in view.environment.deployments() {
                let new = DesiredModel {
                    model: model.clone(),
                    version,
                    warm_copies,
                };
                let known = wanted.get(&model);
                let wins = known
                    .is_none_or(|(stage, known)| (view.stage, version) > (*stage, known.version));
                if wins {
                    wanted.insert(model, (view.stage, new));
                }
            }
        }
        wanted.into_values().map(|(_, wanted)| wanted).collect()
    }

    /// Engines that have reported at least once.
    fn engine_views(&self) -> Vec<EngineView> {
        let now = Instant::now();
        let members = lock(&self.0.members);
        let nodes = members.nodes().filter_map(|(name, node)| {
            let load = node.load.as_ref()?;
            let stays = members.state(now, name) == Some(NodeState::Live) && !load.leaving;
            (load.engine.cache_total_tokens > 0).then(|| EngineView {
                endpoint: name.clone(),
                failure_domain: node.failure_domain.clone(),
                is_available: stays,
                models: load.engine.models.clone(),
            })
        });
        nodes.collect()
    }
}
