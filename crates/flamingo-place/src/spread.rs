//! Which engine takes another copy of a model next, and what makes way for it.
//!
//! Answers demand that moves between models within seconds: it relieves the model whose
//! copies are the busiest, on the engine that can hold one more with the least to do, and
//! never takes away a last copy. All of it is pure.

use flamingo_wire::id;
use std::collections::BTreeMap;

/// Busy share of a model's engines from which another copy is worth a load.
const BUSY: f64 = 0.55;
/// Least difference in busy share between where a model is and where a copy would go.
const GAIN: f64 = 0.15;
/// Demand below which a model needs no second copy, in engines.
const SLIGHT: f64 = 0.05;
/// Busy share that a load from the store costs against one from the engine's own copies.
const STORE: f64 = 0.2;

/// A model as placement sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Size of its weights.
    pub megabytes: f64,
    /// Work that arrives for it, in engines kept busy.
    pub demand: f64,
}

/// An engine as placement sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The target.
    pub target: id::Target,
    /// Models that it holds, or is about to hold.
    pub models: Vec<id::Model>,
    /// Models of which it keeps copies in memory or on disk.
    pub copies: Vec<id::Model>,
    /// Whether an order is being carried out.
    pub moving: bool,
    /// Megabytes for weights.
    pub megabytes: f64,
}

/// One change of what an engine holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The engine.
    pub target: id::Target,
    /// The model that it loads.
    pub load: id::Model,
    /// The models that make way.
    pub unload: Vec<id::Model>,
    /// Whether the weights come from the store.
    pub store: bool,
}

/// The engines, and how busy each one is.
struct View<'a> {
    models: BTreeMap<&'a str, &'a Model>,
    engines: &'a [Engine],
    copies: BTreeMap<&'a str, usize>,
    busy: Vec<f64>,
}

impl<'a> View<'a> {
    fn new(models: &'a [Model], engines: &'a [Engine]) -> Self {
        let by_name: BTreeMap<_, _> = models
            .iter()
            .map(|model| (model.name.as_str(), model))
            .collect();
        let mut copies: BTreeMap<&str, usize> = BTreeMap::new();
        for name in engines.iter().flat_map(|engine| &engine.models) {
            *copies.entry(name).or_default() += 1;
        }
        let mut view = Self {
            models: by_name,
            engines,
            copies,
            busy: Vec::new(),
        };
        let busy = engines.iter().map(|engine| {
            let shares = engine.models.iter().map(|name| view.share(name));
            shares.sum()
        });
        view.busy = busy.collect();
        view
    }

    fn count(&self, model: &str) -> usize {
        self.copies.get(model).copied().unwrap_or(0)
    }

    fn demand(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |model| model.demand)
    }

    /// Returns the part of a model's demand that one of its copies carries.
    fn share(&self, model: &str) -> f64 {
        self.demand(model) / count(self.count(model).max(1))
    }

    /// Returns how busy the engines of a model are on average.
    fn pressure(&self, model: &str) -> f64 {
        let held = self.engines.iter().zip(&self.busy);
        let held = held.filter(|(engine, _)| engine.models.iter().any(|name| name == model));
        let sum: f64 = held.map(|(_, busy)| *busy).sum();
        sum / count(self.count(model).max(1))
    }

    /// Returns what has to make way for `model` on an engine; nothing where it can't.
    fn room(&self, engine: &Engine, model: &Model) -> Option<Vec<id::Model>> {
        let size = |name: &id::Model| self.models.get(name.as_str()).map_or(0.0, |m| m.megabytes);
        let used: f64 = engine.models.iter().map(size).sum();
        let mut missing = used + model.megabytes - engine.megabytes;
        let mut spare: Vec<&id::Model> = engine
            .models
            .iter()
            .filter(|name| self.count(name) > 1 && **name != model.name)
            .collect();
        spare.sort_by(|a, b| self.loss(a).total_cmp(&self.loss(b)));
        let mut unload = Vec::new();
        for name in spare {
            if missing <= 0.0 {
                break;
            }
            missing -= size(name);
            unload.push(name.clone());
        }
        (missing <= 0.0).then_some(unload)
    }

    /// Returns what each other copy of a model has to carry more once one is taken away.
    fn loss(&self, model: &str) -> f64 {
        let copies = self.count(model);
        if copies < 2 {
            return f64::INFINITY;
        }
        self.demand(model) / count(copies - 1)
    }
}

/// Returns the next move, where one is worth it; `store` says whether the weight store may
/// be asked now.
///
/// ```
/// use flamingo_place::spread::{Engine, Model, next};
///
/// let model = |name: &str, demand| Model { name: name.into(), megabytes: 1.0, demand };
/// let engine = |target: &str, models: &[&str]| Engine {
///     target: target.into(),
///     models: models.iter().map(|name| (*name).into()).collect(),
///     megabytes: 2.0,
///     ..Engine::default()
/// };
/// let engines = [engine("a", &["hot"]), engine("b", &["cold"])];
/// let found = next(&[model("hot", 0.9), model("cold", 0.0)], &engines, true);
/// assert_eq!(found.unwrap().target, "b");
/// ```
#[must_use]
pub fn next(models: &[Model], engines: &[Engine], store: bool) -> Option<Move> {
    let view = View::new(models, engines);
    let missing = models.iter().filter(|model| view.count(&model.name) == 0);
    let mut missing: Vec<_> = missing.collect();
    missing.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    for model in missing {
        if let Some(found) = place(&view, model, f64::INFINITY, store) {
            return Some(found);
        }
    }
    let mut pressed: Vec<_> = models
        .iter()
        .filter(|model| model.demand > SLIGHT && view.count(&model.name) > 0)
        .map(|model| (view.pressure(&model.name), model))
        .filter(|(pressure, _)| *pressure > BUSY)
        .collect();
    // The one that asks most of each of its copies first.
    pressed.sort_by(|(_, a), (_, b)| view.share(&b.name).total_cmp(&view.share(&a.name)));
    pressed
        .into_iter()
        .find_map(|(pressure, model)| place(&view, model, pressure - GAIN, store))
}

/// Returns the best engine for one more copy that would be less busy than `most` with it.
fn place(view: &View<'_>, model: &Model, most: f64, store: bool) -> Option<Move> {
    let after = model.demand / count(view.count(&model.name) + 1);
    let mut best: Option<(f64, Move)> = None;
    for (engine, busy) in view.engines.iter().zip(&view.busy) {
        if engine.moving || engine.models.contains(&model.name) {
            continue;
        }
        let far = !engine.copies.contains(&model.name);
        if far && !store {
            continue;
        }
        let Some(unload) = view.room(engine, model) else {
            continue;
        };
        let freed: f64 = unload.iter().map(|name| view.share(name)).sum();
        let moved: f64 = unload
            .iter()
            .map(|name| view.loss(name) - view.share(name))
            .sum();
        let busy = busy - freed + after;
        if busy + moved >= most {
            continue;
        }
        let cost = busy + moved + if far { STORE } else { 0.0 };
        if best.as_ref().is_none_or(|(known, _)| cost < *known) {
            let found = Move {
                target: engine.target.clone(),
                load: model.name.clone(),
                unload,
                store: far,
            };
            best = Some((cost, found));
        }
    }
    best.map(|(_, found)| found)
}

#[allow(clippy::cast_precision_loss, reason = "counts of engines are small")]
fn count(number: usize) -> f64 {
    number as f64
}
