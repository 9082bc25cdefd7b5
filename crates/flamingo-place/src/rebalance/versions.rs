//! Models that streams need at the software version at which they began.
//!
//! A stream goes on only at a target of its version, while a new one may begin at any. So where targets
//! of several versions serve, each version needs a copy of its own of the models of its streams. The
//! load that this answers is an update that is under way, or stands halfway, while targets crash.

use super::assignment::{Assignment, Evicted, Index};
use super::{Engine, Model, Move};
use flamingo_wire::id;
use std::collections::BTreeMap;

/// A model that streams need at the version at which they began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Need {
    /// Version of the software.
    pub software: id::Software,
    /// The model.
    pub model: id::Model,
    /// Whether callers ask for it in vain, because no engine of the version has it.
    pub stranded: bool,
}

/// Returns the engines with their `held` models: those in `needs` of which the engine has the only
/// resident copy at its version. Where one version serves, all copies can take its streams and none is
/// held.
#[must_use]
pub fn hold_needed(mut engines: Vec<Engine>, needs: &[Need]) -> Vec<Engine> {
    let mut others = engines.iter().map(|engine| &engine.software);
    let first = others.next();
    if others.all(|software| Some(software) == first) {
        return engines;
    }
    let mut copies: BTreeMap<(&str, &str), Vec<Index>> = BTreeMap::new();
    for (index, engine) in engines.iter().enumerate() {
        let resident = engine.models.iter();
        for model in resident.filter(|model| engine.loading.as_ref() != Some(model)) {
            let key = (engine.software.as_str(), model.as_str());
            copies.entry(key).or_default().push(index);
        }
    }
    let mut held = Vec::new();
    for need in needs {
        let key = (need.software.as_str(), need.model.as_str());
        if let Some([engine]) = copies.get(&key).map(Vec::as_slice) {
            held.push((*engine, need.model.clone()));
        }
    }
    for (engine, model) in held {
        engines[engine].held.push(model);
    }
    engines
}

/// Returns a move that loads a model on an engine of the version at which callers ask for it in vain, or
/// `None` if no engine of that version can take it without unloading a last copy.
///
/// Prefers engines that have the weights cached: callers of a stream do not wait for long. `store` tells
/// whether a load from the weight store may start now.
///
/// ```
/// use flamingo_place::rebalance::{Engine, Model, Need, bring_back};
///
/// let model = Model { name: "m".into(), megabytes: 1.0, ..Model::default() };
/// let engine = |target: &str, software: &str, models: &[&str]| Engine {
///     target: target.into(),
///     software: software.into(),
///     models: models.iter().map(|name| (*name).into()).collect(),
///     megabytes: 2.0,
///     ..Engine::default()
/// };
/// let engines = [engine("a", "v1", &[]), engine("b", "v2", &["m"])];
/// let need = Need { software: "v1".into(), model: "m".into(), stranded: true };
/// let found = bring_back(&[model], &engines, &[need], true);
/// assert_eq!(found.unwrap().target, "a");
/// ```
#[must_use]
pub fn bring_back(
    models: &[Model],
    engines: &[Engine],
    needs: &[Need],
    store: bool,
) -> Option<Move> {
    let missing = |need: &&Need| need.stranded && !has_copy(engines, need);
    let mut missing = needs.iter().filter(missing).peekable();
    missing.peek()?;
    let assignment = Assignment::new(models, engines);
    let utilization = assignment.utilization();
    missing.find_map(|need| {
        let model = models.iter().position(|model| model.name == need.model)?;
        let of_version = assignment.free_engines(model, store);
        let of_version = of_version.filter(|engine| engines[*engine].software == need.software);
        let options = of_version.filter_map(|engine| {
            let unload = assignment.evictions(engine, model, Evicted::SPARE)?;
            let cost = assignment.displacement_cost(engine, model, &unload);
            let cached = assignment.has_cached(engine, model);
            Some((!cached, cost + utilization[engine], engine, unload))
        });
        let best = options.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, engine, unload)| assignment.to_move(engine, model, &unload))
    })
}

/// Returns whether an engine of the version has the model or loads it.
fn has_copy(engines: &[Engine], need: &Need) -> bool {
    let mut of_version = engines.iter().filter(|it| it.software == need.software);
    of_version.any(|engine| engine.models.contains(&need.model))
}
