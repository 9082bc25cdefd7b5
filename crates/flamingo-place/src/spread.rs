//! Which engine takes another copy of a model next, and what makes way for it.
//!
//! Answers demand that moves between models within seconds. The demand of each model is
//! spread over its copies so that engines are evenly busy (water-filling); a move is worth it
//! where it lowers the strain that remains. No last copy is ever taken away. All of it is
//! pure.

use flamingo_wire::id;
use std::collections::BTreeMap;

/// Busy share of an engine from which requests begin to wait.
const EASY: f64 = 0.6;
/// Weight of what lies beyond it, against the square of the busy share.
const STEEP: f64 = 6.0;
/// Demand below which a model needs no second copy, in engines.
const SLIGHT: f64 = 0.03;
/// Strain of work for a model that no engine holds, an engine: more than that of work on
/// an engine that is fully busy.
const MISSED: f64 = 8.0;
/// Strain that a load must take away.
const LOAD: f64 = 0.04;
/// Time for which demand is taken to stay as it is, in seconds.
const HORIZON: f64 = 15.0;
/// Time of ending the runs of models that make way, in seconds.
const DRAIN: f64 = 1.0;
/// Strain of an engine above which no copy is made ahead of demand.
const CALM: f64 = 0.6;
/// Models that are looked at for one move.
const MODELS: usize = 5;
/// Engines that are looked at for one model.
const ENGINES: usize = 8;
/// Rounds of spreading demand.
const ROUNDS: usize = 4;
/// How much more likely a model with adapters is to be asked for next.
const ADAPTED: f64 = 3.0;
/// Part of the demand of the most wanted model that the second one is prepared for.
const HEDGE: f64 = 0.6;
/// Busy share of all engines beyond which demand is not planned for.
const FULL: f64 = 0.8;
/// Strain that a move must take away more for each model that has to make way: its runs end
/// first.
const WAY: f64 = 0.05;
/// Moves under way beyond which each further one must take away more: an engine that loads has
/// given up what it held.
const FEW: usize = 8;
/// Copies of a model that stay where copies are made ahead of demand.
const STAY: usize = 3;

/// A model as placement sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Size of its weights.
    pub megabytes: f64,
    /// Time of a load from the weight store, in seconds.
    pub store_s: f64,
    /// Time of a load from the engine's own copies, in seconds.
    pub own_s: f64,
    /// Work that is about to arrive for it, in engines kept busy.
    pub demand: f64,
    /// Whether it has adapters.
    pub adapted: bool,
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
    pub coming: Option<id::Model>,
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

/// Place of a model or an engine in its list.
type Place = usize;

/// Models and engines by place.
#[derive(Clone, Debug)]
struct Board<'a> {
    models: &'a [Model],
    engines: &'a [Engine],
    /// The models of each engine.
    held: Vec<Vec<Place>>,
    /// The engines of each model.
    holders: Vec<Vec<Place>>,
    /// Engines that hold each model now.
    present: Vec<usize>,
    /// Part of the demand that the engines can carry at all.
    scale: f64,
}

impl<'a> Board<'a> {
    fn new(models: &'a [Model], engines: &'a [Engine]) -> Self {
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
                present[*model] += usize::from(seen.coming.as_ref() != Some(&models[*model].name));
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
    fn demand(&self, model: Place) -> f64 {
        self.models[model].demand * self.scale
    }

    /// Returns the models that no engine holds.
    fn missing(&self) -> impl Iterator<Item = Place> {
        (0..self.models.len()).filter(|model| self.holders[*model].is_empty())
    }

    /// Returns the strain of all engines, and that of work that none of them can do.
    fn strain(&self) -> f64 {
        let missed: f64 = self.missing().map(|model| self.demand(model)).sum();
        strain(&self.busy()) + missed * MISSED
    }

    /// Returns how busy each engine is once the demand of each model is spread evenly.
    fn busy(&self) -> Vec<f64> {
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
    fn room(&self, engine: Place, model: Place, stay: usize) -> Option<Vec<Place>> {
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
    fn missed(&self, model: Place) -> f64 {
        let left = self.holders[model].len().saturating_sub(1);
        self.demand(model) / count(left.max(1))
    }

    /// Returns the board once models have made way.
    fn without(&self, engine: Place, unload: &[Place]) -> Self {
        let mut board = self.clone();
        for place in unload {
            board.held[engine].retain(|held| held != place);
            board.holders[*place].retain(|holder| *holder != engine);
            board.present[*place] -= 1;
        }
        board
    }

    /// Returns the board once a model is there.
    fn with(mut self, engine: Place, model: Place) -> Self {
        self.held[engine].push(model);
        self.holders[model].push(engine);
        self
    }

    /// Returns for which part of the time that demand stays as it is a move is under way.
    fn part(&self, engine: Place, model: Place, unload: &[Place]) -> f64 {
        let wanted = &self.models[model];
        let load = if self.keeps(engine, model) {
            wanted.own_s
        } else {
            wanted.store_s
        };
        let drain = if unload.is_empty() { 0.0 } else { DRAIN };
        ((load + drain) / HORIZON).min(1.0)
    }

    /// Returns whether an engine may take an order: none is under way there, and each model
    /// with adapters in demand has another engine that may take orders for adapters.
    fn free(&self, engine: Place) -> bool {
        let needed = self.held[engine].iter().any(|model| {
            let wanted = self.models[*model].adapted && self.models[*model].demand > SLIGHT;
            let mut holders = self.holders[*model].iter();
            wanted && !holders.any(|other| *other != engine && !self.engines[*other].moving)
        });
        !self.engines[engine].moving && !needed
    }

    fn keeps(&self, engine: Place, model: Place) -> bool {
        self.engines[engine]
            .copies
            .contains(&self.models[model].name)
    }

    fn found(&self, engine: Place, model: Place, unload: &[Place]) -> Move {
        let name = |place: &Place| self.models[*place].name.clone();
        Move {
            target: self.engines[engine].target.clone(),
            load: name(&model),
            unload: unload.iter().map(name).collect(),
            store: !self.keeps(engine, model),
        }
    }
}

/// Spreads `demand` over places that are busy already, so that the busiest is least busy.
fn fill(others: &[f64], demand: f64) -> Vec<f64> {
    let mut sorted = others.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut level = 0.0;
    let mut sum = 0.0;
    for (place, busy) in sorted.iter().enumerate() {
        sum += busy;
        level = (sum + demand) / count(place + 1);
        let next = sorted.get(place + 1);
        if next.is_none_or(|next| level <= *next) {
            break;
        }
    }
    let share = |busy: &f64| (level - busy).max(0.0);
    others.iter().map(share).collect()
}

/// Returns the strain of engines that are so busy.
fn strain(busy: &[f64]) -> f64 {
    let each = busy.iter().map(|busy| {
        let beyond = (busy - EASY).max(0.0);
        busy * busy + STEEP * beyond * beyond
    });
    each.sum()
}

/// Raises the demand of the model that is asked for second most to a part of the first: the
/// ranks may change before a copy could be made.
pub fn hedge(models: &mut [Model]) {
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
/// use flamingo_place::spread::{Engine, Model, next};
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
/// let found = next(&[model("hot", 0.9), model("cold", 0.0)], &engines, true);
/// assert_eq!(found.unwrap().target, "b");
/// ```
#[must_use]
pub fn next(models: &[Model], engines: &[Engine], store: bool) -> Option<Move> {
    let board = Board::new(models, engines);
    let busy = board.busy();
    let (overdue, others) = board
        .missing()
        .partition(|model| board.models[*model].overdue);
    missing(&board, &busy, overdue, store)
        .or_else(|| relief(&board, &busy, store))
        .or_else(|| missing(&board, &busy, others, store))
}

/// Places a model of `missing`, the most wanted first. It takes no copy away from those that
/// are wanted, until it is overdue: its engine may come back.
fn missing(board: &Board<'_>, busy: &[f64], mut missing: Vec<Place>, store: bool) -> Option<Move> {
    missing.sort_by(|a, b| board.models[*b].demand.total_cmp(&board.models[*a].demand));
    missing.into_iter().find_map(|model| {
        let free = |engine: &Place| {
            !board.engines[*engine].moving && (store || board.keeps(*engine, model))
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

/// Returns the move that takes away the most strain over the time for which demand stays as it
/// is: the engine gives up what makes way at once, and holds the model only after the load.
fn relief(board: &Board<'_>, busy: &[f64], store: bool) -> Option<Move> {
    let before = board.strain();
    let moving = board.engines.iter().filter(|engine| engine.moving).count();
    let crowd = count(moving.max(FEW)) / count(FEW);
    let pressed = |model: &Place| {
        let holders = &board.holders[*model];
        let least = holders.iter().map(|holder| busy[*holder]);
        least.fold(f64::INFINITY, f64::min)
    };
    let mut wanted: Vec<Place> = (0..board.models.len())
        .filter(|model| board.models[*model].demand > SLIGHT && !board.holders[*model].is_empty())
        .collect();
    wanted.sort_by(|a, b| pressed(b).total_cmp(&pressed(a)));
    let mut lost: Vec<Place> = board.missing().collect();
    lost.sort_by(|a, b| board.demand(*b).total_cmp(&board.demand(*a)));
    let models = wanted.into_iter().take(MODELS);
    let mut best: Option<(f64, Move)> = None;
    for model in models.chain(lost.into_iter().take(MODELS)) {
        let mut engines: Vec<Place> = (0..board.engines.len())
            .filter(|engine| !board.held[*engine].contains(&model) && board.free(*engine))
            .filter(|engine| store || board.keeps(*engine, model))
            .collect();
        engines.sort_by(|a, b| busy[*a].total_cmp(&busy[*b]));
        let keeping = engines.iter().copied();
        let keeping = keeping.filter(|engine| board.keeps(*engine, model));
        let keeping: Vec<Place> = keeping.take(ENGINES).collect();
        for engine in engines.into_iter().take(ENGINES).chain(keeping) {
            let Some(unload) = board.room(engine, model, 1) else {
                continue;
            };
            let part = board.part(engine, model, &unload);
            let without = board.without(engine, &unload);
            let during = without.strain();
            let after = without.with(engine, model).strain();
            let price = (LOAD + count(unload.len()) * WAY) * crowd;
            let gain = (before - after) * (1.0 - part) - (during - before) * part - price;
            if gain > 0.0 && best.as_ref().is_none_or(|(known, _)| gain > *known) {
                best = Some((gain, board.found(engine, model, &unload)));
            }
        }
    }
    best.map(|(_, found)| found)
}

/// Returns a copy to make ahead of demand, so that an engine has it at hand later: of the
/// model that the fewest engines keep, on an engine of `may` that is not busy.
#[must_use]
pub fn ahead(models: &[Model], engines: &[Engine], may: &[Engine]) -> Option<Move> {
    let board = Board::new(models, engines);
    let busy = board.busy();
    let mut best: Option<(f64, Move)> = None;
    for (model, wanted) in models.iter().enumerate() {
        let kept = (0..engines.len()).filter(|engine| board.keeps(*engine, model));
        let kept = count(kept.count() + 1);
        let likely = if wanted.adapted { ADAPTED } else { 1.0 };
        for engine in 0..engines.len() {
            let target = &engines[engine].target;
            let wrong = board.keeps(engine, model)
                || !may.iter().any(|engine| &engine.target == target)
                || board.held[engine].contains(&model)
                || busy[engine] > CALM
                || !board.free(engine);
            if wrong {
                continue;
            }
            let Some(unload) = board.room(engine, model, STAY) else {
                continue;
            };
            let missed: f64 = unload.iter().map(|place| board.missed(*place)).sum();
            let worth = likely / kept - missed - busy[engine];
            if worth > 0.0 && best.as_ref().is_none_or(|(known, _)| worth > *known) {
                best = Some((worth, board.found(engine, model, &unload)));
            }
        }
    }
    best.map(|(_, found)| found)
}

#[allow(clippy::cast_precision_loss, reason = "counts of engines are small")]
fn count(number: usize) -> f64 {
    number as f64
}
