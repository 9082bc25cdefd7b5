//! Decides which engine loads another replica of a model next, and which models it unloads for it.
//!
//! This planner follows demand that shifts between models within seconds. It distributes the
//! demand for each model over the engines that have the model, so that their utilization is as
//! even as possible (water-filling), and proposes the move that lowers the remaining cost most.
//! Where all models fit on the engines at once, it never unloads the last ready replica of one.
//! Where they don't, models that callers ask for take turns. The functions have no side effects.

mod assignment;
mod move_search;
mod prefetch;
mod turns;
mod versions;

pub use prefetch::prefetch;
pub use turns::least_stay_s;
pub use versions::{Need, bring_back, hold_needed};

use assignment::{Assignment, Evicted, Index};
use flamingo_wire::id;
use move_search::MoveSearch;
use turns::give_turn;

/// Demand up to which a model needs no second replica, in fully used engines.
const NEGLIGIBLE_DEMAND: f64 = 0.03;
/// Fraction of the highest demand to which [`hedge_demand`] raises the second highest.
const HEDGE_FRACTION: f64 = 0.6;
/// Most by which [`hedge_demand`] raises a demand, in fully used engines: one more replica bridges the
/// time until further ones are loaded, whatever the size of the fleet.
const MAX_HEDGE: f64 = 1.0;

/// A model and its demand, as input of the planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Name of the model, unique within its service.
    pub name: id::Model,
    /// Size of the weights in accelerator memory, in megabytes.
    pub megabytes: f64,
    /// Duration of a load from the weight store, in seconds.
    pub store_load_s: f64,
    /// Duration of a load from the engine's local cache, in seconds.
    pub local_load_s: f64,
    /// Forecast demand, as the number of engines that it would keep fully used.
    pub demand: f64,
    /// Whether the model has adapters.
    pub has_adapters: bool,
    /// Whether the model has been without a replica for so long that it is placed before all
    /// other moves.
    pub overdue: bool,
    /// Time since callers began to ask for the model in vain, because no engine has it, in seconds;
    /// 0 if nobody asks for it.
    pub waiting_s: f64,
}

/// An engine and its models, as input of the planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Identity of the engine.
    pub target: id::Target,
    /// Version of the engine's software.
    pub software: id::Software,
    /// Models that are resident on the engine or being loaded.
    pub models: Vec<id::Model>,
    /// The entry of `models` that is still being loaded; `None` if all are resident.
    pub loading: Option<id::Model>,
    /// Models that have been resident for the least time of a copy, see [`least_stay_s`].
    pub settled: Vec<id::Model>,
    /// Models whose weights the engine caches in host memory or on disk.
    pub cached: Vec<id::Model>,
    /// Models that no other engine of the same version has and that streams of this version need, see
    /// [`hold_needed`]. They make room only for models without a copy.
    pub held: Vec<id::Model>,
    /// Whether the engine is executing an order, so that it can't take another one.
    pub executing: bool,
    /// Accelerator memory for weights, in megabytes.
    pub megabytes: f64,
}

/// One load on an engine, with the unloads that have to come before it.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Engine that executes the move.
    pub target: id::Target,
    /// Model to load.
    pub load: id::Model,
    /// Models to unload first; empty if there is enough free memory.
    pub unload: Vec<id::Model>,
    /// Whether the weights come from the weight store instead of the engine's cache.
    pub from_store: bool,
}

/// Raises the second highest demand to `HEDGE_FRACTION` of the highest, by at most `MAX_HEDGE`.
///
/// The two models may swap ranks before a replica could be loaded. A second highest demand of
/// `NEGLIGIBLE_DEMAND` or less stays unchanged.
pub fn hedge_demand(models: &mut [Model]) {
    let mut ranks: Vec<Index> = (0..models.len()).collect();
    ranks.sort_by(|a, b| models[*b].demand.total_cmp(&models[*a].demand));
    if let [first, second, ..] = ranks[..]
        && models[second].demand > NEGLIGIBLE_DEMAND
    {
        let wanted = models[first].demand * HEDGE_FRACTION;
        let hedge = (wanted - models[second].demand).clamp(0.0, MAX_HEDGE);
        models[second].demand += hedge;
    }
}

/// Returns the next move, or `None` if no move is worth its cost.
///
/// Overdue models without a replica are placed first, then the move with the highest gain is
/// chosen, then the remaining models without a replica are placed. Where not all models fit, only
/// those that callers ask for displace others, in turn. `store` tells whether a load
/// from the weight store may start now; otherwise only cached models are loaded.
///
/// ```
/// use flamingo_place::rebalance::{Engine, Model, next_move};
///
/// let model = |name: &str, demand| Model {
///     name: name.into(),
///     megabytes: 1.0,
///     demand,
///     ..Model::default()
/// };
/// let engine = |target: &str, models: &[&str]| Engine {
///     target: target.into(),
///     models: models.iter().map(|name| (*name).into()).collect(),
///     megabytes: 2.0,
///     ..Engine::default()
/// };
/// let engines = [engine("a", &["hot"]), engine("b", &["cold"])];
/// let next = next_move(&[model("hot", 0.9), model("cold", 0.0)], &engines, true);
/// assert_eq!(next.unwrap().target, "b");
/// ```
#[must_use]
pub fn next_move(models: &[Model], engines: &[Engine], store: bool) -> Option<Move> {
    let assignment = Assignment::new(models, engines);
    let utilization = assignment.utilization();
    let unplaced: Vec<Index> = assignment.unplaced().collect();
    let (overdue, others): (Vec<_>, Vec<_>) =
        unplaced.iter().partition(|model| models[**model].overdue);
    let turn = |unplaced: &[Index]| {
        let waits = |model: &Index| models[*model].waiting_s > 0.0;
        let waiting = unplaced.iter().copied().filter(waits).collect();
        give_turn(&assignment, &utilization, waiting, store)
    };
    let search = || MoveSearch::new(&assignment, &utilization, store).best();
    let place = |unplaced: &[Index], evicted| {
        place_first(&assignment, &utilization, unplaced.to_vec(), evicted, store)
    };
    if assignment.crowded {
        return turn(&overdue)
            .or_else(search)
            .or_else(|| turn(&others))
            .or_else(|| place(&unplaced, Evicted::Nothing));
    }
    place(&overdue, Evicted::SPARE)
        .or_else(|| turn(&overdue))
        .or_else(search)
        .or_else(|| place(&others, Evicted::SPARE))
        .or_else(|| turn(&others))
}

/// Returns a move that loads one of the models in `unplaced`, which no engine has.
///
/// Tries the models by descending demand. A model that is not overdue displaces no replica that
/// serves more than `NEGLIGIBLE_DEMAND`, because the engine that had the model may return.
fn place_first(
    assignment: &Assignment<'_>,
    utilization: &[f64],
    mut unplaced: Vec<Index>,
    evicted: Evicted,
    store: bool,
) -> Option<Move> {
    unplaced.sort_by(|a, b| {
        assignment.models[*b]
            .demand
            .total_cmp(&assignment.models[*a].demand)
    });
    unplaced.into_iter().find_map(|model| {
        let options = assignment.free_engines(model, store).filter_map(|engine| {
            let unload = assignment.evictions(engine, model, evicted)?;
            let displaced = assignment.total_displaced_demand(&unload);
            if !assignment.models[model].overdue && displaced > NEGLIGIBLE_DEMAND {
                return None;
            }
            let cost = assignment.displacement_cost(engine, model, &unload);
            Some((utilization[engine] + cost, engine, unload))
        });
        let best = options.min_by(|(a, _, _), (b, _, _)| a.total_cmp(b));
        best.map(|(_, engine, unload)| assignment.to_move(engine, model, &unload))
    })
}
