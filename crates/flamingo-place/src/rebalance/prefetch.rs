//! Copies that are made ahead of demand.

use super::board::{Board, count};
use super::{Engine, Model, Move};

/// Strain of an engine above which no copy is made ahead of demand.
const CALM: f64 = 0.6;
/// How much more likely a model with adapters is to be asked for next.
const ADAPTED: f64 = 3.0;
/// Copies of a model that stay where copies are made ahead of demand.
const STAY: usize = 3;

/// Returns a copy to make ahead of demand, so that an engine has it at hand later: of the
/// model that the fewest engines keep, on one of the engines for which `may` holds that is not
/// busy.
#[must_use]
pub fn prefetch(
    models: &[Model],
    engines: &[Engine],
    may: impl Fn(&Engine) -> bool,
) -> Option<Move> {
    let board = Board::new(models, engines);
    let busy = board.busy();
    let mut best: Option<(f64, Move)> = None;
    for (model, wanted) in models.iter().enumerate() {
        let kept = (0..engines.len()).filter(|engine| board.keeps(*engine, model));
        let kept = count(kept.count() + 1);
        let likely = if wanted.has_adapters { ADAPTED } else { 1.0 };
        for engine in 0..engines.len() {
            let wrong = board.keeps(engine, model)
                || !may(&engines[engine])
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
