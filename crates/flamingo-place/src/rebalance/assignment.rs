//! Assignment of models to engines, with the demand distributed over the engines.

use super::{Engine, Model, Move, NEGLIGIBLE_DEMAND, turns};
use crate::water_filling::fill_into;
use std::collections::BTreeMap;

/// Utilization of an engine above which requests begin to queue.
const QUEUEING_UTILIZATION: f64 = 0.6;
/// Weight of the squared utilization beyond `QUEUEING_UTILIZATION`, relative to the squared
/// utilization.
const QUEUEING_COST: f64 = 6.0;
/// Cost of demand beyond what a fully used engine serves: the derivative of the cost there.
const OVERLOAD_COST: f64 = 2.0 + 2.0 * QUEUEING_COST * (1.0 - QUEUEING_UTILIZATION);
/// Cost of demand for a model without a replica, per fully used engine: higher than the cost of
/// the same work on an engine that is already fully used.
const UNSERVED_COST: f64 = 8.0;
/// Time over which demand is assumed to be constant, in seconds.
const DEMAND_HORIZON_S: f64 = 15.0;
/// Time in which running requests of the unloaded models finish, in seconds.
const DRAIN_S: f64 = 1.0;
/// Demand up to which nobody asks for a model, in fully used engines.
const IDLE_DEMAND: f64 = 0.003;
/// Cost of a load from the weight store, per fully used engine.
const STORE_LOAD_COST: f64 = 1.0;
/// Iterations of the distribution of demand over engines.
const ROUNDS: usize = 4;
/// Mean utilization of all engines above which demand is scaled down.
const MAX_MEAN_UTILIZATION: f64 = 0.8;

/// Index of a model in the list of models, or of an engine in the list of engines.
pub(super) type Index = usize;

/// Which copies may be unloaded to make room for a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evicted {
    /// None.
    Nothing,
    /// Copies of models with more than this many ready replicas.
    Spare { min_ready: usize },
    /// Copies of models with another ready replica, and last copies that nobody asks for.
    Idle,
    /// Copies whose place the model may take after it has waited, see [`turns`].
    InTurn,
    /// As `Idle` or `InTurn`, where the gain of the move is weighed against the displaced demand.
    Weighed,
}

impl Evicted {
    /// Copies of models with another ready replica.
    pub(super) const SPARE: Self = Self::Spare { min_ready: 1 };
}

/// Which engine has which models, by index.
#[derive(Clone, Debug)]
pub(super) struct Assignment<'a> {
    pub(super) models: &'a [Model],
    pub(super) engines: &'a [Engine],
    /// Models that are resident or being loaded, by engine.
    pub(super) by_engine: Vec<Vec<Index>>,
    /// Engines that have the model resident or are loading it, by model.
    pub(super) by_model: Vec<Vec<Index>>,
    /// Number of engines that have the model resident already, by model.
    ready: Vec<usize>,
    /// Models with demand.
    demanded: Vec<Index>,
    /// Factor for all demand, at most 1, that keeps the total within the engines' capacity.
    scale: f64,
    /// Whether not all models fit on the engines at once.
    pub(super) crowded: bool,
}

impl<'a> Assignment<'a> {
    pub(super) fn new(models: &'a [Model], engines: &'a [Engine]) -> Self {
        let names = models.iter().enumerate();
        let names: BTreeMap<&str, Index> = names
            .map(|(index, model)| (model.name.as_str(), index))
            .collect();
        let mut by_model = vec![Vec::new(); models.len()];
        let mut by_engine = Vec::with_capacity(engines.len());
        let mut ready = vec![0; models.len()];
        let demand: f64 = models.iter().map(|model| model.demand).sum();
        let capacity = to_float(engines.len()) * MAX_MEAN_UTILIZATION;
        for (index, engine) in engines.iter().enumerate() {
            let assigned = engine
                .models
                .iter()
                .filter_map(|name| names.get(name.as_str()));
            let assigned: Vec<Index> = assigned.copied().collect();
            for model in &assigned {
                by_model[*model].push(index);
                ready[*model] += usize::from(engine.loading.as_ref() != Some(&models[*model].name));
            }
            by_engine.push(assigned);
        }
        let incomplete = by_model.iter().any(Vec::is_empty);
        Self {
            models,
            engines,
            by_engine,
            by_model,
            ready,
            demanded: (0..models.len())
                .filter(|model| models[*model].demand > 0.0)
                .collect(),
            scale: (capacity / demand.max(capacity)).min(1.0),
            crowded: incomplete && !all_fit(models, engines),
        }
    }

    /// Returns the demand for a model, scaled down if the total exceeds the engines' capacity.
    pub(super) fn demand(&self, model: Index) -> f64 {
        self.models[model].demand * self.scale
    }

    /// Returns whether an engine has a model resident already.
    pub(super) fn is_ready(&self, model: Index) -> bool {
        self.ready[model] > 0
    }

    /// Returns the models that no engine has or loads.
    pub(super) fn unplaced(&self) -> impl Iterator<Item = Index> {
        (0..self.models.len()).filter(|model| self.by_model[*model].is_empty())
    }

    /// Returns the total cost: of the engines at this utilization, and of the demand for models
    /// that no engine has.
    pub(super) fn cost(&self, utilization: &[f64]) -> f64 {
        let unserved: f64 = self.unplaced().map(|model| self.demand(model)).sum();
        cost(utilization) + unserved * UNSERVED_COST
    }

    /// Returns the utilization of each engine after the demand for each model has been
    /// distributed by water-filling.
    pub(super) fn utilization(&self) -> Vec<f64> {
        let mut utilization = vec![0.0; self.engines.len()];
        let served = self.demanded.iter().copied();
        let served: Vec<Index> = served
            .filter(|model| !self.by_model[*model].is_empty())
            .collect();
        let mut shares: Vec<Vec<f64>> = served
            .iter()
            .map(|model| vec![0.0; self.by_model[*model].len()])
            .collect();
        let (mut others, mut sorted) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            for (model, shares) in served.iter().zip(&mut shares) {
                let replicas = &self.by_model[*model];
                for (engine, share) in replicas.iter().zip(shares.iter()) {
                    utilization[*engine] -= share;
                }
                others.clear();
                others.extend(replicas.iter().map(|engine| utilization[*engine]));
                fill_into(&others, self.demand(*model), &mut sorted, shares);
                for (engine, share) in replicas.iter().zip(shares.iter()) {
                    utilization[*engine] += share;
                }
            }
        }
        utilization
    }

    /// Returns the engines that execute no order and may load a model that they don't have. `store`
    /// tells whether they may load it from the weight store.
    pub(super) fn free_engines(&self, model: Index, store: bool) -> impl Iterator<Item = Index> {
        (0..self.engines.len()).filter(move |engine| {
            !self.engines[*engine].executing
                && !self.by_engine[*engine].contains(&model)
                && (store || self.has_cached(*engine, model))
        })
    }

    /// Returns the models to unload from an engine so that `model` fits, lowest displaced demand
    /// first.
    ///
    /// Returns `None` if unloading all that `evicted` allows would not free enough memory.
    pub(super) fn evictions(
        &self,
        engine: Index,
        model: Index,
        evicted: Evicted,
    ) -> Option<Vec<Index>> {
        let mut shortfall = self.shortfall(engine, model);
        let residents = self.by_engine[engine].iter().copied();
        let mut evictable: Vec<Index> = residents
            .filter(|resident| self.is_evictable(engine, *resident, model, evicted))
            .collect();
        evictable.sort_by(|a, b| self.eviction_cost(*a).total_cmp(&self.eviction_cost(*b)));
        let mut unload = Vec::new();
        for evicted in evictable {
            if shortfall <= 0.0 {
                break;
            }
            shortfall -= self.models[evicted].megabytes;
            unload.push(evicted);
        }
        (shortfall <= 0.0).then_some(unload)
    }

    /// Returns the memory that an engine lacks for a further model, in megabytes; a negative number
    /// is free memory.
    fn shortfall(&self, engine: Index, model: Index) -> f64 {
        let size = |model: &Index| self.models[*model].megabytes;
        let used: f64 = self.by_engine[engine].iter().map(size).sum();
        used + size(&model) - self.engines[engine].megabytes
    }

    /// Returns whether a copy of `resident` may be unloaded from an engine for `model`.
    fn is_evictable(&self, engine: Index, resident: Index, model: Index, evicted: Evicted) -> bool {
        let spare = self.ready[resident] > 1;
        let name = &self.models[resident].name;
        let has_copy = !self.by_model[model].is_empty();
        if has_copy && self.engines[engine].held.contains(name) {
            return false;
        }
        let settled = self.engines[engine].settled.contains(name);
        let idle = || spare || (settled && self.demand(resident) <= IDLE_DEMAND);
        let in_turn = || (spare || settled) && turns::may_replace(self, model, resident);
        match evicted {
            Evicted::Nothing => false,
            Evicted::Spare { min_ready } => self.ready[resident] > min_ready,
            Evicted::Idle => idle(),
            Evicted::InTurn => in_turn(),
            Evicted::Weighed => idle() || in_turn(),
        }
    }

    /// Returns whether `model` fits on an engine without the last copy of `resident` and all copies
    /// of models with another ready replica.
    pub(super) fn makes_room(&self, engine: Index, resident: Index, model: Index) -> bool {
        let spare = self.by_engine[engine].iter().copied();
        let spare = spare.filter(|spare| self.ready[*spare] > 1);
        let freed: f64 = spare.map(|spare| self.models[spare].megabytes).sum();
        self.ready[resident] == 1
            && self.shortfall(engine, model) <= freed + self.models[resident].megabytes
    }

    /// Returns the cost by which copies are chosen for unloading: the displaced demand, and more for
    /// a last copy, since its next caller would have to wait for a load.
    fn eviction_cost(&self, resident: Index) -> f64 {
        let last = if self.ready[resident] > 1 {
            0.0
        } else {
            NEGLIGIBLE_DEMAND
        };
        self.displaced_demand(resident) + last
    }

    /// Returns the cost of a move by which engines are chosen: the displaced demand, and a fixed cost
    /// for a load from the weight store.
    pub(super) fn displacement_cost(&self, engine: Index, model: Index, unload: &[Index]) -> f64 {
        let store = if self.has_cached(engine, model) {
            0.0
        } else {
            STORE_LOAD_COST
        };
        self.total_displaced_demand(unload) + store
    }

    /// Returns the demand that is displaced if one replica of each of these models is unloaded.
    pub(super) fn total_displaced_demand(&self, unload: &[Index]) -> f64 {
        unload
            .iter()
            .map(|evicted| self.displaced_demand(*evicted))
            .sum()
    }

    /// Returns the demand that each remaining replica of a model serves once one is unloaded.
    pub(super) fn displaced_demand(&self, model: Index) -> f64 {
        let remaining = self.by_model[model].len().saturating_sub(1);
        self.demand(model) / to_float(remaining.max(1))
    }

    /// Removes models from an engine.
    pub(super) fn unload(&mut self, engine: Index, unload: &[Index]) {
        for unloaded in unload {
            self.by_engine[engine].retain(|model| model != unloaded);
            self.by_model[*unloaded].retain(|replica| *replica != engine);
        }
    }

    /// Adds a model to an engine.
    pub(super) fn load(&mut self, engine: Index, model: Index) {
        self.by_engine[engine].push(model);
        self.by_model[model].push(engine);
    }

    /// Takes back what a move of `model` to an engine has changed since the assignment was as
    /// `original`.
    pub(super) fn restore(
        &mut self,
        original: &Self,
        engine: Index,
        model: Index,
        unload: &[Index],
    ) {
        self.by_engine[engine].clone_from(&original.by_engine[engine]);
        for changed in unload.iter().chain([&model]) {
            self.by_model[*changed].clone_from(&original.by_model[*changed]);
        }
    }

    /// Returns the fraction of `DEMAND_HORIZON_S` that a move takes, at most 1.
    pub(super) fn duration_fraction(&self, engine: Index, model: Index, unload: &[Index]) -> f64 {
        let loaded = &self.models[model];
        let load = if self.has_cached(engine, model) {
            loaded.local_load_s
        } else {
            loaded.store_load_s
        };
        let drain = if unload.is_empty() { 0.0 } else { DRAIN_S };
        ((load + drain) / DEMAND_HORIZON_S).min(1.0)
    }

    /// Returns whether an engine may take an order.
    ///
    /// It must not be executing one, and each of its models that has adapters and demand needs
    /// another engine that is executing none, so that adapters can still be loaded there.
    pub(super) fn may_take_order(&self, engine: Index) -> bool {
        let needed_for_adapters = self.by_engine[engine].iter().any(|model| {
            let in_demand =
                self.models[*model].has_adapters && self.models[*model].demand > NEGLIGIBLE_DEMAND;
            let mut replicas = self.by_model[*model].iter();
            in_demand && !replicas.any(|other| *other != engine && !self.engines[*other].executing)
        });
        !self.engines[engine].executing && !needed_for_adapters
    }

    /// Returns whether an engine caches the weights of a model in host memory or on disk.
    pub(super) fn has_cached(&self, engine: Index, model: Index) -> bool {
        self.engines[engine]
            .cached
            .contains(&self.models[model].name)
    }

    /// Converts indexes to the names that a [`Move`] carries.
    pub(super) fn to_move(&self, engine: Index, model: Index, unload: &[Index]) -> Move {
        let name = |model: &Index| self.models[*model].name.clone();
        Move {
            target: self.engines[engine].target.clone(),
            load: name(&model),
            unload: unload.iter().map(name).collect(),
            from_store: !self.has_cached(engine, model),
        }
    }
}

/// Returns whether all models that fit an engine do so at once, by packing the largest first where the
/// least room is left (best fit decreasing). A packing that this misses counts as none. A model larger
/// than each engine can never be served and takes no place from others.
fn all_fit(models: &[Model], engines: &[Engine]) -> bool {
    let largest = engines.iter().map(|engine| engine.megabytes);
    let largest = largest.fold(0.0, f64::max);
    let sizes = models.iter().map(|model| model.megabytes);
    let mut sizes: Vec<f64> = sizes.filter(|size| *size <= largest).collect();
    sizes.sort_by(|a, b| b.total_cmp(a));
    let mut free: Vec<f64> = engines.iter().map(|engine| engine.megabytes).collect();
    sizes.into_iter().all(|size| {
        let room = free.iter_mut().filter(|free| **free >= size);
        room.min_by(|a, b| a.total_cmp(b))
            .map(|free| *free -= size)
            .is_some()
    })
}

/// Returns the cost of engines at this utilization: its square, and more where requests queue. Beyond
/// full utilization the cost goes on at the rate that it has there, below `UNSERVED_COST`, so that an
/// overloaded replica is better than none.
fn cost(utilization: &[f64]) -> f64 {
    let costs = utilization.iter().map(|utilization| {
        let used = utilization.min(1.0);
        let queueing = (used - QUEUEING_UTILIZATION).max(0.0);
        let overload = (utilization - 1.0).max(0.0);
        used * used + QUEUEING_COST * queueing * queueing + OVERLOAD_COST * overload
    });
    costs.sum()
}

#[allow(clippy::cast_precision_loss, reason = "counts of engines are small")]
pub(super) fn to_float(count: usize) -> f64 {
    count as f64
}
