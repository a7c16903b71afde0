use super::{DesiredModel, EngineView, Placement, PlacementAction, PlacementConfig};
use crate::coordination::fence::{FenceDecision, OrderFence};
use crate::ids::Epoch;
use crate::protocol::engine::EngineOrder;
use crate::protocol::weights::WeightGrant;
use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn desired(model: &str, version: u32, warm_copies: u32) -> DesiredModel {
    DesiredModel {
        model: model.to_string(),
        version,
        warm_copies,
    }
}

fn engine(number: usize, models: &[(&str, u32)]) -> EngineView {
    EngineView {
        endpoint: format!("s{number}"),
        failure_domain: format!("d{}", number % 3),
        is_available: true,
        models: models.iter().map(|(m, v)| ((*m).to_string(), *v)).collect(),
    }
}

fn owner(now: Instant, epoch: Epoch) -> Placement {
    let config = PlacementConfig {
        takeover_wait: Duration::ZERO,
        ..PlacementConfig::default()
    };
    let mut placement = Placement::new(config);
    placement.on_epoch(now, Some(epoch));
    placement
}

/// Engines that carry out the orders which the sidecars' fences accept.
struct Fleet {
    engines: Vec<EngineView>,
    fences: BTreeMap<String, OrderFence>,
    executed: Vec<(String, Epoch)>,
    /// Loads in progress. The engine does not serve the model meanwhile.
    loading: Vec<(usize, String, u32)>,
}

impl Fleet {
    fn new(engines: Vec<EngineView>) -> Self {
        Self {
            engines,
            fences: BTreeMap::new(),
            executed: Vec::new(),
            loading: Vec::new(),
        }
    }

    fn deliver(&mut self, action: &PlacementAction) -> FenceDecision {
        let PlacementAction::Order {
            endpoint,
            order,
            fence,
            sequence,
        } = action
        else {
            panic!("not an order: {action:?}");
        };
        let admission = self
            .fences
            .entry(endpoint.clone())
            .or_default()
            .admit(*fence, *sequence);
        if admission == FenceDecision::New {
            self.executed.push((endpoint.clone(), *fence));
            self.act(endpoint, order);
        }
        admission
    }

    fn act(&mut self, endpoint: &str, order: &EngineOrder) {
        let index = self
            .engines
            .iter()
            .position(|e| e.endpoint == endpoint)
            .unwrap();
        let models = &mut self.engines[index].models;
        match order {
            EngineOrder::Load { model, version } => {
                models.retain(|(m, _)| m != model);
                self.loading.push((index, model.clone(), *version));
            }
            EngineOrder::Unload { model } => models.retain(|(m, _)| m != model),
        }
    }

    fn finish_loads(&mut self) {
        for (index, model, version) in std::mem::take(&mut self.loading) {
            self.engines[index].models.push((model, version));
        }
    }

    fn count_serving(&self, model: &str) -> usize {
        self.engines
            .iter()
            .filter(|e| e.version_of(model).is_some())
            .count()
    }

    fn count_at_version(&self, model: &str, version: u32) -> usize {
        self.engines
            .iter()
            .filter(|e| e.version_of(model) == Some(version))
            .count()
    }
}

/// Reconciles until no action is left, with a weight store that grants every request. Returns the
/// orders.
fn orders_due(
    placement: &mut Placement,
    now: Instant,
    desired_models: &[DesiredModel],
    fleet: &Fleet,
) -> Vec<PlacementAction> {
    let mut orders = Vec::new();
    loop {
        let actions = placement.reconcile(now, desired_models, &fleet.engines);
        if actions.is_empty() {
            return orders;
        }
        for action in actions {
            match action {
                PlacementAction::RequestWeights { .. } => {
                    orders.extend(placement.on_weights(now, Some(WeightGrant::Granted)));
                }
                order => orders.push(order),
            }
        }
    }
}

#[gtest]
fn copies_are_distributed_over_failure_domains() {
    let now = Instant::now();
    let mut fleet = Fleet::new((0..6).map(|n| engine(n, &[])).collect());
    let mut placement = owner(now, 1);
    let orders = orders_due(&mut placement, now, &[desired("m", 1, 3)], &fleet);
    expect_that!(orders.len(), eq(3));
    for order in &orders {
        fleet.deliver(order);
    }
    fleet.finish_loads();
    let domains: std::collections::BTreeSet<_> = fleet
        .engines
        .iter()
        .filter(|e| e.version_of("m").is_some())
        .map(|e| e.failure_domain.clone())
        .collect();
    expect_that!(domains.len(), eq(3));
    expect_that!(
        orders_due(&mut placement, now, &[desired("m", 1, 3)], &fleet),
        is_empty()
    );
}

#[gtest]
fn a_new_version_rolls_out_without_falling_below_the_warm_copies() {
    let now = Instant::now();
    let mut fleet = Fleet::new((0..10).map(|n| engine(n, &[("m", 1)])).collect());
    let mut placement = owner(now, 1);
    let desired_models = [desired("m", 2, 8)];
    for _ in 0..20 {
        for order in orders_due(&mut placement, now, &desired_models, &fleet) {
            fleet.deliver(&order);
            expect_that!(fleet.count_serving("m"), ge(8));
        }
        fleet.finish_loads();
    }
    expect_that!(fleet.count_at_version("m", 2), eq(10));
}

#[gtest]
fn without_a_spare_copy_no_version_is_replaced() {
    let now = Instant::now();
    let fleet = Fleet::new((0..3).map(|n| engine(n, &[("m", 1)])).collect());
    let mut placement = owner(now, 1);
    expect_that!(
        orders_due(&mut placement, now, &[desired("m", 2, 3)], &fleet),
        is_empty()
    );
}

#[gtest]
fn adapters_follow_their_model_and_undesired_models_are_unloaded() {
    let now = Instant::now();
    let mut fleet = Fleet::new(vec![engine(0, &[("old", 1)])]);
    let mut placement = owner(now, 1);
    let desired_models = [desired("m", 1, 1), desired("m/a", 2, 1)];
    for _ in 0..4 {
        for order in orders_due(&mut placement, now, &desired_models, &fleet) {
            fleet.deliver(&order);
        }
        fleet.finish_loads();
    }
    expect_that!(
        fleet.engines[0].models,
        eq(&vec![("m".to_string(), 1), ("m/a".to_string(), 2)])
    );
}

#[gtest]
fn loads_wait_for_the_weight_store() {
    let now = Instant::now();
    let fleet = Fleet::new((0..4).map(|n| engine(n, &[])).collect());
    let mut placement = owner(now, 1);
    let desired_models = [desired("m", 1, 4)];
    expect_that!(
        placement
            .reconcile(now, &desired_models, &fleet.engines)
            .len(),
        eq(1)
    );
    expect_that!(
        placement.reconcile(now, &desired_models, &fleet.engines),
        is_empty()
    );
    let wait = Duration::from_secs(5);
    expect_that!(
        placement.on_weights(now, Some(WeightGrant::Wait(wait))),
        none()
    );
    expect_that!(
        placement.reconcile(now, &desired_models, &fleet.engines),
        is_empty()
    );
    expect_that!(
        placement
            .reconcile(now + wait, &desired_models, &fleet.engines)
            .len(),
        eq(1)
    );
}

#[gtest]
fn a_new_owner_waits_for_reports_before_its_first_step() {
    let now = Instant::now();
    let fleet = Fleet::new(vec![engine(0, &[])]);
    let mut placement = Placement::new(PlacementConfig::default());
    let desired_models = [desired("m", 1, 1)];
    expect_that!(
        placement.reconcile(now, &desired_models, &fleet.engines),
        is_empty()
    );
    placement.on_epoch(now, Some(4));
    expect_that!(
        placement.reconcile(now, &desired_models, &fleet.engines),
        is_empty()
    );
    let later = now + PlacementConfig::default().takeover_wait;
    expect_that!(
        placement
            .reconcile(later, &desired_models, &fleet.engines)
            .len(),
        eq(1)
    );
}

#[gtest]
fn a_refused_order_is_planned_again() {
    let now = Instant::now();
    let fleet = Fleet::new(vec![engine(0, &[])]);
    let mut placement = owner(now, 1);
    let desired_models = [desired("m", 1, 1)];
    let first = orders_due(&mut placement, now, &desired_models, &fleet);
    placement.on_ordered("s0", true);
    let second = orders_due(&mut placement, now, &desired_models, &fleet);
    expect_that!(first.len(), eq(1));
    expect_that!(second.len(), eq(1));
    expect_that!(first, not(eq(&second)));
}

proptest! {
    /// Guards against an old owner undoing a newer owner's placement. Two owners act at the same
    /// time, and their orders are delayed, repeated and delivered in any order to engines that
    /// check nothing. No engine may carry out an order after one of a newer owner, and the newer
    /// owner must reach its placement in the end.
    #[test]
    fn an_old_owner_changes_nothing_after_a_newer_one(
        picks in proptest::collection::vec((any::<u16>(), any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let mut fleet = Fleet::new((0..5).map(|n| engine(n, &[("m", 1)])).collect());
        let mut old = owner(now, 3);
        let mut new = owner(now, 7);
        let (old_desired, new_desired) = ([desired("m", 2, 3)], [desired("m", 3, 3)]);
        let mut pending: Vec<PlacementAction> = Vec::new();
        for (pick, repeat) in picks {
            pending.extend(orders_due(&mut old, now, &old_desired, &fleet));
            pending.extend(orders_due(&mut new, now, &new_desired, &fleet));
            if pending.is_empty() {
                fleet.finish_loads();
                continue;
            }
            let index = usize::from(pick) % pending.len();
            let order = if repeat { pending[index].clone() } else { pending.remove(index) };
            fleet.deliver(&order);
        }
        let mut highest: BTreeMap<&str, Epoch> = BTreeMap::new();
        for (endpoint, fence) in &fleet.executed {
            let known = highest.entry(endpoint).or_insert(0);
            prop_assert!(fence >= known);
            *known = *fence;
        }
        for round in 0..20 {
            fleet.finish_loads();
            let later = now + Duration::from_secs(700 * (round + 1));
            for order in orders_due(&mut new, later, &new_desired, &fleet) {
                fleet.deliver(&order);
            }
        }
        fleet.finish_loads();
        prop_assert_eq!(fleet.count_at_version("m", 3), 5);
    }
}
