//! Models and engines with the demand spread over them.

use super::{Engine, Model, Move, SLIGHT};
use crate::water_filling::fill;
use std::collections::BTreeMap;

/// Busy share of an engine from which requests begin to wait.
const EASY: f64 = 0.6;
/// Weight of what lies beyond it, against the square of the busy share.
const STEEP: f64 = 6.0;
/// Strain of work for a model that no engine holds, an engine: more than that of work on
/// an engine that is fully busy.
const MISSED: f64 = 8.0;
/// Time for which demand is taken to stay as it is, in seconds.
const HORIZON: f64 = 15.0;
/// Time of ending the runs of models that make way, in seconds.
const DRAIN: f64 = 1.0;
/// Rounds of spreading demand.
const ROUNDS: usize = 4;
/// Busy share of all engines beyond which demand is not planned for.
const FULL: f64 = 0.8;

/// Place of a model or an engine in its list.
pub(super) type Place = usize;

/// Models and engines by place.
#[derive(Clone, Debug)]
pub(super) struct Board<'a> {
    pub(super) models: &'a [Model],
    pub(super) engines: &'a [Engine],
    /// The models of each engine.
    pub(super) held: Vec<Vec<Place>>,
    /// The engines of each model.
    pub(super) holders: Vec<Vec<Place>>,
    /// Engines that hold each model now.
    present: Vec<usize>,
    /// Part of the demand that the engines can carry at all.
    scale: f64,
}

impl<'a> Board<'a> {
    pub(super) fn new(models: &'a [Model], engines: &'a [Engine]) -> Self {
        let names = models.iter().enumerate();
        let names: BTreeMap<&str, Place> = names
            .map(|(place, model)| (model.name.as_str(), place))
            .collect();
        let mut holders = vec![Vec::new(); models.len()];
        let mut held = Vec::with_capacity(engines.len());
        let mut present = vec![0; models.len()];
        let demand: f64 = models.iter().map(|model| model.demand).sum();
        let most = count(engines.len()) * FULL;
        for (engine, seen) in engines.iter().enumerate() {
            let places = seen
                .models
                .iter()
                .filter_map(|name| names.get(name.as_str()));
            let places: Vec<Place> = places.copied().collect();
            for model in &places {
                holders[*model].push(engine);
                present[*model] += usize::from(seen.loading.as_ref() != Some(&models[*model].name));
            }
            held.push(places);
        }
        Self {
            models,
            engines,
            held,
            holders,
            present,
            scale: (most / demand.max(most)).min(1.0),
        }
    }

    /// Returns the demand for a model, as far as the engines can carry all of it.
    pub(super) fn demand(&self, model: Place) -> f64 {
        self.models[model].demand * self.scale
    }

    /// Returns the models that no engine holds.
    pub(super) fn missing(&self) -> impl Iterator<Item = Place> {
        (0..self.models.len()).filter(|model| self.holders[*model].is_empty())
    }

    /// Returns the strain of all engines that are so busy, and that of work that none of them
    /// can do.
    pub(super) fn strain(&self, busy: &[f64]) -> f64 {
        let missed: f64 = self.missing().map(|model| self.demand(model)).sum();
        strain(busy) + missed * MISSED
    }

    /// Returns how busy each engine is once the demand of each model is spread evenly.
    pub(super) fn busy(&self) -> Vec<f64> {
        let mut busy = vec![0.0; self.engines.len()];
        let mut shares: Vec<Vec<f64>> = self
            .holders
            .iter()
            .map(|holders| vec![0.0; holders.len()])
            .collect();
        for _ in 0..ROUNDS {
            for (model, holders) in self.holders.iter().enumerate() {
                let demand = self.demand(model);
                if demand <= 0.0 || holders.is_empty() {
                    continue;
                }
                for (holder, share) in holders.iter().zip(&shares[model]) {
                    busy[*holder] -= share;
                }
                let others: Vec<f64> = holders.iter().map(|holder| busy[*holder]).collect();
                shares[model] = fill(&others, demand);
                for (holder, share) in holders.iter().zip(&shares[model]) {
                    busy[*holder] += share;
                }
            }
        }
        busy
    }

    /// Returns what has to make way for `model` on an engine, the least missed first; nothing
    /// where it can't, or where fewer than `stay` engines would still hold something.
    pub(super) fn room(&self, engine: Place, model: Place, stay: usize) -> Option<Vec<Place>> {
        let size = |place: &Place| self.models[*place].megabytes;
        let used: f64 = self.held[engine].iter().map(size).sum();
        let mut missing = used + size(&model) - self.engines[engine].megabytes;
        let spare = self.held[engine].iter().copied();
        let mut spare: Vec<Place> = spare.filter(|place| self.present[*place] > stay).collect();
        spare.sort_by(|a, b| self.missed(*a).total_cmp(&self.missed(*b)));
        let mut unload = Vec::new();
        for place in spare {
            if missing <= 0.0 {
                break;
            }
            missing -= size(&place);
            unload.push(place);
        }
        (missing <= 0.0).then_some(unload)
    }

    /// Returns what each other copy of a model has to carry once one is taken away.
    pub(super) fn missed(&self, model: Place) -> f64 {
        let left = self.holders[model].len().saturating_sub(1);
        self.demand(model) / count(left.max(1))
    }

    /// Returns the board once models have made way.
    pub(super) fn without(&self, engine: Place, unload: &[Place]) -> Self {
        let mut board = self.clone();
        for place in unload {
            board.held[engine].retain(|held| held != place);
            board.holders[*place].retain(|holder| *holder != engine);
            board.present[*place] -= 1;
        }
        board
    }

    /// Returns the board once a model is there.
    pub(super) fn with(mut self, engine: Place, model: Place) -> Self {
        self.held[engine].push(model);
        self.holders[model].push(engine);
        self
    }

    /// Returns for which part of the time that demand stays as it is a move is under way.
    pub(super) fn part(&self, engine: Place, model: Place, unload: &[Place]) -> f64 {
        let wanted = &self.models[model];
        let load = if self.keeps(engine, model) {
            wanted.local_load_s
        } else {
            wanted.store_load_s
        };
        let drain = if unload.is_empty() { 0.0 } else { DRAIN };
        ((load + drain) / HORIZON).min(1.0)
    }

    /// Returns whether an engine may take an order: none is under way there, and each model
    /// with adapters in demand has another engine that may take orders for adapters.
    pub(super) fn free(&self, engine: Place) -> bool {
        let needed = self.held[engine].iter().any(|model| {
            let wanted = self.models[*model].has_adapters && self.models[*model].demand > SLIGHT;
            let mut holders = self.holders[*model].iter();
            wanted && !holders.any(|other| *other != engine && !self.engines[*other].executing)
        });
        !self.engines[engine].executing && !needed
    }

    pub(super) fn keeps(&self, engine: Place, model: Place) -> bool {
        self.engines[engine]
            .cached
            .contains(&self.models[model].name)
    }

    pub(super) fn found(&self, engine: Place, model: Place, unload: &[Place]) -> Move {
        let name = |place: &Place| self.models[*place].name.clone();
        Move {
            target: self.engines[engine].target.clone(),
            load: name(&model),
            unload: unload.iter().map(name).collect(),
            from_store: !self.keeps(engine, model),
        }
    }
}

/// Returns the strain of engines that are so busy.
fn strain(busy: &[f64]) -> f64 {
    let each = busy.iter().map(|busy| {
        let beyond = (busy - EASY).max(0.0);
        busy * busy + STEEP * beyond * beyond
    });
    each.sum()
}

#[allow(clippy::cast_precision_loss, reason = "counts of engines are small")]
pub(super) fn count(number: usize) -> f64 {
    number as f64
}
