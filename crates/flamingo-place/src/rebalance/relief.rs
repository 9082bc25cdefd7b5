//! Which move takes away the most strain.

use super::board::{Board, Place, count};
use super::{Move, SLIGHT};

/// Strain that a load must take away.
const LOAD: f64 = 0.04;
/// Strain that a move must take away more for each model that has to make way: its runs end
/// first.
const WAY: f64 = 0.05;
/// Moves under way beyond which each further one must take away more: an engine that loads has
/// given up what it held.
const FEW: usize = 8;
/// Models that are looked at for one move.
const MODELS: usize = 5;
/// Engines that are looked at for one model.
const ENGINES: usize = 8;

/// A search for the move that is worth most.
#[derive(Debug)]
pub(super) struct Relief<'a> {
    board: &'a Board<'a>,
    /// How busy each engine is.
    busy: &'a [f64],
    /// Strain as it is.
    before: f64,
    /// How much more a move has to take away for those that are under way.
    crowd: f64,
    /// Whether the weight store may be asked.
    store: bool,
}

impl<'a> Relief<'a> {
    pub(super) fn new(board: &'a Board<'a>, busy: &'a [f64], store: bool) -> Self {
        let moving = board
            .engines
            .iter()
            .filter(|engine| engine.executing)
            .count();
        Self {
            board,
            busy,
            before: board.strain(busy),
            crowd: count(moving.max(FEW)) / count(FEW),
            store,
        }
    }

    /// Returns the move that takes away the most strain over the time for which demand stays as
    /// it is.
    pub(super) fn best(&self) -> Option<Move> {
        let mut best: Option<(f64, Move)> = None;
        for model in self.models() {
            for engine in self.engines(model) {
                let Some(unload) = self.board.room(engine, model, 1) else {
                    continue;
                };
                let gain = self.gain(engine, model, &unload);
                if gain > 0.0 && best.as_ref().is_none_or(|(known, _)| gain > *known) {
                    best = Some((gain, self.board.found(engine, model, &unload)));
                }
            }
        }
        best.map(|(_, found)| found)
    }

    /// Returns the models whose holders are busiest, and those that are missed most.
    fn models(&self) -> impl Iterator<Item = Place> {
        let board = self.board;
        let wanted = |model: &Place| {
            board.models[*model].demand > SLIGHT && !board.holders[*model].is_empty()
        };
        let mut wanted: Vec<Place> = (0..board.models.len()).filter(wanted).collect();
        wanted.sort_by(|a, b| self.pressed(*b).total_cmp(&self.pressed(*a)));
        let mut lost: Vec<Place> = board.missing().collect();
        lost.sort_by(|a, b| board.demand(*b).total_cmp(&board.demand(*a)));
        wanted
            .into_iter()
            .take(MODELS)
            .chain(lost.into_iter().take(MODELS))
    }

    /// Returns how busy the least busy holder of a model is.
    fn pressed(&self, model: Place) -> f64 {
        let holders = self.board.holders[model].iter();
        let busy = holders.map(|holder| self.busy[*holder]);
        busy.fold(f64::INFINITY, f64::min)
    }

    /// Returns the least busy engines that may load a model, and those that keep a copy.
    fn engines(&self, model: Place) -> Vec<Place> {
        let board = self.board;
        let mut engines: Vec<Place> = (0..board.engines.len())
            .filter(|engine| !board.held[*engine].contains(&model) && board.free(*engine))
            .filter(|engine| self.store || board.keeps(*engine, model))
            .collect();
        engines.sort_by(|a, b| self.busy[*a].total_cmp(&self.busy[*b]));
        let further = engines.iter().copied().skip(ENGINES);
        let further = further.filter(|engine| board.keeps(*engine, model));
        let further: Vec<Place> = further.take(ENGINES).collect();
        engines.truncate(ENGINES);
        engines.extend(further);
        engines
    }

    /// Returns the strain that a move takes away: the engine gives up what makes way at once,
    /// and holds the model only after the load.
    fn gain(&self, engine: Place, model: Place, unload: &[Place]) -> f64 {
        let part = self.board.part(engine, model, unload);
        let without = self.board.without(engine, unload);
        let during = without.strain(&without.busy());
        let with = without.with(engine, model);
        let after = with.strain(&with.busy());
        let price = (LOAD + count(unload.len()) * WAY) * self.crowd;
        (self.before - after) * (1.0 - part) - (during - self.before) * part - price
    }
}
