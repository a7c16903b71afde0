//! The next engine for a model.

use super::{DesiredModel, EngineView};
use crate::ids::{EndpointId, ModelId};
use crate::protocol::engine::EngineOrder;

/// Between a model's name and its adapter's.
const ADAPTER_SEPARATOR: char = '/';

/// Chooses an engine and its order, or nothing if none may be taken now.
///
/// An engine without any wanted model goes first. One that serves an old version is replaced only
/// while more engines serve the model than must, so the number that serves does not fall below
/// the smaller of the warm copies and the number now.
pub(super) fn next_step<'a>(
    want: &DesiredModel,
    wanted: &[DesiredModel],
    engines: &[EngineView],
    step_of: impl Fn(&str) -> Option<&'a EngineOrder>,
) -> Option<(EndpointId, EngineOrder)> {
    let free = |engine: &&EngineView| engine.is_available && step_of(&engine.endpoint).is_none();
    let placed = engines.iter().filter(|engine| {
        engine.is_available
            && (serves_wanted_version(engine, want) || is_loading(step_of(&engine.endpoint), want))
    });
    let placed: Vec<_> = placed.collect();
    let candidates = engines
        .iter()
        .filter(free)
        .filter(|engine| !serves_wanted_version(engine, want));
    if let Some(model) = base_of(&want.model) {
        let mut hosts = candidates.filter(|engine| engine.version_of(model).is_some());
        return hosts.next().map(|engine| load_order(engine, want));
    }
    let candidates: Vec<_> = candidates.collect();
    if placed.len() < want.warm_copies as usize {
        let spare = candidates
            .iter()
            .filter(|engine| !serves_any(engine, wanted));
        if let Some(engine) = spare.min_by_key(|engine| copies_in_domain(engine, &placed)) {
            return Some(load_or_unload_order(engine, want));
        }
    }
    let serving = engines
        .iter()
        .filter(free)
        .filter(|e| e.version_of(&want.model).is_some());
    if serving.count() <= want.warm_copies as usize {
        return None;
    }
    let outdated = candidates
        .iter()
        .filter(|e| e.version_of(&want.model).is_some());
    let chosen = outdated.min_by_key(|engine| copies_in_domain(engine, &placed));
    chosen.map(|engine| load_order(engine, want))
}

fn serves_wanted_version(engine: &EngineView, want: &DesiredModel) -> bool {
    engine.version_of(&want.model) == Some(want.version)
}

fn is_loading(step: Option<&EngineOrder>, want: &DesiredModel) -> bool {
    matches!(step, Some(EngineOrder::Load { model, .. }) if *model == want.model)
}

/// Returns the model of an adapter.
fn base_of(id: &str) -> Option<&str> {
    id.split_once(ADAPTER_SEPARATOR).map(|(model, _)| model)
}

fn serves_any(engine: &EngineView, wanted: &[DesiredModel]) -> bool {
    wanted
        .iter()
        .any(|want| engine.version_of(&want.model).is_some())
}

/// Counts the placed copies in the engine's failure domain: the emptiest domain goes first.
fn copies_in_domain(engine: &EngineView, placed: &[&EngineView]) -> usize {
    let same = |other: &&&EngineView| other.failure_domain == engine.failure_domain;
    placed.iter().filter(same).count()
}

fn load_order(engine: &EngineView, want: &DesiredModel) -> (EndpointId, EngineOrder) {
    let order = EngineOrder::Load {
        model: want.model.clone(),
        version: want.version,
    };
    (engine.endpoint.clone(), order)
}

/// Loads onto an empty engine; unloads first what nobody wants.
fn load_or_unload_order(engine: &EngineView, want: &DesiredModel) -> (EndpointId, EngineOrder) {
    let unwanted: Option<&(ModelId, u32)> = engine.models.first();
    match unwanted {
        Some((model, _)) => {
            let model = model.clone();
            (engine.endpoint.clone(), EngineOrder::Unload { model })
        }
        None => load_order(engine, want),
    }
}
