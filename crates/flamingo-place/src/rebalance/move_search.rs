//! Search for the move that lowers the cost of the assignment most.

use super::assignment::{Assignment, Evicted, Index, to_float};
use super::{Move, NEGLIGIBLE_DEMAND};

/// Cost that a load must save.
const MIN_LOAD_GAIN: f64 = 0.04;
/// Cost that a move must save in addition for each model that it unloads, since the running
/// requests of that model have to finish first.
const MIN_UNLOAD_GAIN: f64 = 0.05;
/// Number of moves in progress beyond which the required gain grows with each further move: an
/// engine that is loading has already unloaded the models that it had.
const UNPENALIZED_MOVES: usize = 8;
/// Models that the search considers: at most this many with a replica and as many without.
const MAX_MODELS: usize = 5;
/// Engines that the search considers for one model: at most this many by utilization, and as many
/// further ones that have the model cached.
const MAX_ENGINES: usize = 8;

/// A search for the move with the highest gain.
#[derive(Debug)]
pub(super) struct MoveSearch<'a> {
    assignment: &'a Assignment<'a>,
    /// Copy of the assignment in which moves are tried.
    scratch: Assignment<'a>,
    /// Utilization of each engine before the move.
    utilization: &'a [f64],
    /// Cost before the move.
    current_cost: f64,
    /// Factor of the required gain, at least 1; grows with the moves in progress.
    price_factor: f64,
    /// Whether a load from the weight store may start now.
    store: bool,
}

impl<'a> MoveSearch<'a> {
    pub(super) fn new(assignment: &'a Assignment<'a>, utilization: &'a [f64], store: bool) -> Self {
        let moving = assignment
            .engines
            .iter()
            .filter(|engine| engine.executing)
            .count();
        Self {
            assignment,
            scratch: assignment.clone(),
            utilization,
            current_cost: assignment.cost(utilization),
            price_factor: to_float(moving.max(UNPENALIZED_MOVES)) / to_float(UNPENALIZED_MOVES),
            store,
        }
    }

    /// Returns the move with the highest positive gain, or `None` if no move has one.
    pub(super) fn best(mut self) -> Option<Move> {
        let mut best: Option<(f64, Move)> = None;
        for model in self.models() {
            let evicted = self.evicted(model);
            for engine in self.engines(model) {
                let Some(unload) = self.assignment.evictions(engine, model, evicted) else {
                    continue;
                };
                let gain = self.gain(engine, model, &unload);
                if gain > 0.0 && best.as_ref().is_none_or(|(highest, _)| gain > *highest) {
                    best = Some((gain, self.assignment.to_move(engine, model, &unload)));
                }
            }
        }
        best.map(|(_, found)| found)
    }

    /// Returns which copies may make room for a model. While its first copy is being loaded, it takes
    /// the place of no last copy.
    fn evicted(&self, model: Index) -> Evicted {
        let assignment = self.assignment;
        if !assignment.crowded {
            Evicted::SPARE
        } else if assignment.by_model[model].is_empty() {
            Evicted::Weighed
        } else if assignment.is_ready(model) {
            Evicted::Idle
        } else {
            Evicted::SPARE
        }
    }

    /// Returns the models in demand whose least utilized replica is utilized most, then the
    /// models without a replica by descending demand.
    fn models(&self) -> Vec<Index> {
        let assignment = self.assignment;
        let in_demand = |model: &Index| {
            assignment.models[*model].demand > NEGLIGIBLE_DEMAND
                && !assignment.by_model[*model].is_empty()
        };
        let mut in_demand: Vec<Index> = (0..assignment.models.len()).filter(in_demand).collect();
        in_demand.sort_by(|a, b| {
            self.lowest_utilization(*b)
                .total_cmp(&self.lowest_utilization(*a))
        });
        let mut unplaced: Vec<Index> = assignment.unplaced().collect();
        unplaced.sort_by(|a, b| assignment.demand(*b).total_cmp(&assignment.demand(*a)));
        in_demand
            .into_iter()
            .take(MAX_MODELS)
            .chain(unplaced.into_iter().take(MAX_MODELS))
            .collect()
    }

    /// Returns the utilization of the least utilized engine that has a model.
    fn lowest_utilization(&self, model: Index) -> f64 {
        let replicas = self.assignment.by_model[model].iter();
        let utilization = replicas.map(|engine| self.utilization[*engine]);
        utilization.fold(f64::INFINITY, f64::min)
    }

    /// Returns the least utilized engines that may load a model, then further ones that have the
    /// model cached.
    fn engines(&self, model: Index) -> Vec<Index> {
        let assignment = self.assignment;
        let mut engines: Vec<Index> = (0..assignment.engines.len())
            .filter(|engine| {
                !assignment.by_engine[*engine].contains(&model)
                    && assignment.may_take_order(*engine)
            })
            .filter(|engine| self.store || assignment.has_cached(*engine, model))
            .collect();
        engines.sort_by(|a, b| self.utilization[*a].total_cmp(&self.utilization[*b]));
        let further = engines.iter().copied().skip(MAX_ENGINES);
        let further = further.filter(|engine| assignment.has_cached(*engine, model));
        let further: Vec<Index> = further.take(MAX_ENGINES).collect();
        engines.truncate(MAX_ENGINES);
        engines.extend(further);
        engines
    }

    /// Returns the cost that a move saves on average over the demand horizon, less the required
    /// gain.
    ///
    /// The engine loses the unloaded models when the move starts and serves the new one only
    /// after the load.
    fn gain(&mut self, engine: Index, model: Index, unload: &[Index]) -> f64 {
        let fraction = self.assignment.duration_fraction(engine, model, unload);
        self.scratch.unload(engine, unload);
        let during = self.scratch.cost(&self.scratch.utilization());
        self.scratch.load(engine, model);
        let after = self.scratch.cost(&self.scratch.utilization());
        self.scratch.restore(self.assignment, engine, model, unload);
        let price = (MIN_LOAD_GAIN + to_float(unload.len()) * MIN_UNLOAD_GAIN) * self.price_factor;
        (self.current_cost - after) * (1.0 - fraction)
            - (during - self.current_cost) * fraction
            - price
    }
}
