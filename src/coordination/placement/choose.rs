//! Choice of the next engine for a model.

use super::{DesiredModel, EngineView};
use crate::ids::{EndpointId, ModelId};
use crate::protocol::engine::EngineOrder;

/// Separator between the names of a model and its adapter.
const ADAPTER_SEPARATOR: char = '/';

/// Chooses an engine and the order to send to it, or returns `None` if no engine may change now.
///
/// An engine without any desired model is chosen first. An engine that serves an old version is
/// chosen only while more engines serve the model than required. The number of engines that serve
/// it therefore never falls below the smaller of the warm copies and the current number.
pub(super) fn next_step<'a>(
    desired: &DesiredModel,
    all_desired: &[DesiredModel],
    engines: &[EngineView],
    step_of: impl Fn(&str) -> Option<&'a EngineOrder>,
) -> Option<(EndpointId, EngineOrder)> {
    let is_free = |engine: &&EngineView| engine.is_available && step_of(&engine.endpoint).is_none();
    let placed = engines.iter().filter(|engine| {
        engine.is_available
            && (serves_desired_version(engine, desired)
                || is_loading(step_of(&engine.endpoint), desired))
    });
    let placed: Vec<_> = placed.collect();
    let candidates = engines
        .iter()
        .filter(is_free)
        .filter(|engine| !serves_desired_version(engine, desired));
    if let Some(model) = base_of(&desired.model) {
        let mut hosts = candidates.filter(|engine| engine.version_of(model).is_some());
        return hosts.next().map(|engine| load_order(engine, desired));
    }
    let candidates: Vec<_> = candidates.collect();
    if placed.len() < desired.warm_copies as usize {
        let spares = candidates
            .iter()
            .filter(|engine| !serves_any(engine, all_desired));
        if let Some(engine) = spares.min_by_key(|engine| copies_in_domain(engine, &placed)) {
            return Some(load_or_unload_order(engine, desired));
        }
    }
    let serving = engines
        .iter()
        .filter(is_free)
        .filter(|e| e.version_of(&desired.model).is_some());
    if serving.count() <= desired.warm_copies as usize {
        return None;
    }
    let outdated = candidates
        .iter()
        .filter(|e| e.version_of(&desired.model).is_some());
    let chosen = outdated.min_by_key(|engine| copies_in_domain(engine, &placed));
    chosen.map(|engine| load_order(engine, desired))
}

fn serves_desired_version(engine: &EngineView, desired: &DesiredModel) -> bool {
    engine.version_of(&desired.model) == Some(desired.version)
}

fn is_loading(step: Option<&EngineOrder>, desired: &DesiredModel) -> bool {
    matches!(step, Some(EngineOrder::Load { model, .. }) if *model == desired.model)
}

/// Returns the model of an adapter, or `None` if `id` is a model.
fn base_of(id: &str) -> Option<&str> {
    id.split_once(ADAPTER_SEPARATOR).map(|(model, _)| model)
}

fn serves_any(engine: &EngineView, all_desired: &[DesiredModel]) -> bool {
    all_desired
        .iter()
        .any(|desired| engine.version_of(&desired.model).is_some())
}

/// Counts the placed copies in the engine's failure domain. The domain with the fewest copies is
/// preferred.
fn copies_in_domain(engine: &EngineView, placed: &[&EngineView]) -> usize {
    let is_same_domain = |other: &&&EngineView| other.failure_domain == engine.failure_domain;
    placed.iter().filter(is_same_domain).count()
}

fn load_order(engine: &EngineView, desired: &DesiredModel) -> (EndpointId, EngineOrder) {
    let order = EngineOrder::Load {
        model: desired.model.clone(),
        version: desired.version,
    };
    (engine.endpoint.clone(), order)
}

/// Returns a load order for an engine without models; otherwise an order to unload a model that is
/// not desired.
fn load_or_unload_order(engine: &EngineView, desired: &DesiredModel) -> (EndpointId, EngineOrder) {
    let undesired: Option<&(ModelId, u32)> = engine.models.first();
    match undesired {
        Some((model, _)) => {
            let model = model.clone();
            (engine.endpoint.clone(), EngineOrder::Unload { model })
        }
        None => load_order(engine, desired),
    }
}
