//! Which engine takes another copy of a model next, and what makes way for it.
//!
//! Answers demand that moves between models within seconds. The demand of each model is
//! spread over its copies so that engines are evenly busy (water-filling); a move is worth it
//! where it lowers the strain that remains. No last copy is ever taken away. All of it is
//! pure.

mod board;
mod prefetch;
mod relief;

pub use prefetch::prefetch;

use board::{Board, Place};
use flamingo_wire::id;
use relief::Relief;

/// Demand below which a model needs no second copy, in engines.
const SLIGHT: f64 = 0.03;
/// Part of the demand of the most wanted model that the second one is prepared for.
const HEDGE: f64 = 0.6;

/// A model as placement sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Size of its weights.
    pub megabytes: f64,
    /// Time of a load from the weight store, in seconds.
    pub store_load_s: f64,
    /// Time of a load from the engine's own copies, in seconds.
    pub local_load_s: f64,
    /// Work that is about to arrive for it, in engines kept busy.
    pub demand: f64,
    /// Whether it has adapters.
    pub has_adapters: bool,
    /// Whether no engine has held it for so long that it goes before what is wanted.
    pub overdue: bool,
}

/// An engine as placement sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The target.
    pub target: id::Target,
    /// Models that it holds, or is about to hold.
    pub models: Vec<id::Model>,
    /// The one of them that it does not hold yet.
    pub loading: Option<id::Model>,
    /// Models of which it keeps copies in memory or on disk.
    pub cached: Vec<id::Model>,
    /// Whether an order is being carried out.
    pub executing: bool,
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
    pub from_store: bool,
}

/// Raises the demand of the model that is asked for second most to a part of the first: the
/// ranks may change before a copy could be made.
pub fn hedge_demand(models: &mut [Model]) {
    let mut ranks: Vec<Place> = (0..models.len()).collect();
    ranks.sort_by(|a, b| models[*b].demand.total_cmp(&models[*a].demand));
    if let [first, second, ..] = ranks[..]
        && models[second].demand > SLIGHT
    {
        let least = models[first].demand * HEDGE;
        models[second].demand = models[second].demand.max(least);
    }
}

/// Returns the next move, where one is worth it; `store` says whether the weight store may
/// be asked now.
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
/// let found = next_move(&[model("hot", 0.9), model("cold", 0.0)], &engines, true);
/// assert_eq!(found.unwrap().target, "b");
/// ```
#[must_use]
pub fn next_move(models: &[Model], engines: &[Engine], store: bool) -> Option<Move> {
    let board = Board::new(models, engines);
    let busy = board.busy();
    let (overdue, others) = board
        .missing()
        .partition(|model| board.models[*model].overdue);
    missing(&board, &busy, overdue, store)
        .or_else(|| Relief::new(&board, &busy, store).best())
        .or_else(|| missing(&board, &busy, others, store))
}

/// Places a model of `missing`, the most wanted first. It takes no copy away from those that
/// are wanted, until it is overdue: its engine may come back.
fn missing(board: &Board<'_>, busy: &[f64], mut missing: Vec<Place>, store: bool) -> Option<Move> {
    missing.sort_by(|a, b| board.models[*b].demand.total_cmp(&board.models[*a].demand));
    missing.into_iter().find_map(|model| {
        let free = |engine: &Place| {
            !board.engines[*engine].executing && (store || board.keeps(*engine, model))
        };
        let engines = (0..board.engines.len()).filter(free);
        let rooms = engines.filter_map(|engine| {
            let unload = board.room(engine, model, 1)?;
            let missed: f64 = unload.iter().map(|place| board.missed(*place)).sum();
            if !board.models[model].overdue && missed > SLIGHT {
                return None;
            }
            let far = if board.keeps(engine, model) { 0.0 } else { 1.0 };
            Some((busy[engine] + missed + far, engine, unload))
        });
        let best = rooms.min_by(|(a, _, _), (b, _, _)| a.total_cmp(b));
        best.map(|(_, engine, unload)| board.found(engine, model, &unload))
    })
}
