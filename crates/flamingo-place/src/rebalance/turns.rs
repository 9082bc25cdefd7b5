//! Turns of models that callers ask for while not all models fit on the engines at once.
//!
//! A model that waits may take the place of another copy. Its claim to a place is the work that its
//! callers have asked for in vain. It has to reach the work that the copy would do in the least
//! time that a last copy stays, so that models that are asked for more keep their places longer.
//! After [`LONGEST_WAIT_S`] any copy may go. A last copy that has just come stays in any case, which
//! bounds the number of swaps.

use super::Move;
use super::assignment::{Assignment, Evicted, Index};

/// Time after which a model that waits may take the place of any copy, in seconds.
const LONGEST_WAIT_S: f64 = 60.0;
/// Models for which a search for copies that could be elsewhere is made in one round; it looks at all
/// pairs of engines.
const MAX_COPIED_FOR: usize = 2;
/// Loads that a copy stays for at least, as a multiple of the time that its own load takes.
const LEAST_STAY_LOADS: f64 = 2.0;

/// Returns the least time that a copy of a model stays on an engine while not all models fit, in
/// seconds. `store_load_s` is the duration of a load of the model from the weight store, in seconds.
///
/// ```
/// use flamingo_place::rebalance::least_stay_s;
///
/// assert!(least_stay_s(5.0) > 5.0);
/// ```
#[must_use]
pub fn least_stay_s(store_load_s: f64) -> f64 {
    store_load_s * LEAST_STAY_LOADS
}

/// Returns whether the wait of a model outweighs a copy of `resident`.
pub(super) fn may_replace(assignment: &Assignment<'_>, waiting: Index, resident: Index) -> bool {
    let stay_s = least_stay_s(assignment.models[resident].store_load_s);
    let waited_s = assignment.models[waiting].waiting_s;
    waited_s >= LONGEST_WAIT_S
        || claim(assignment, waiting) > assignment.displaced_demand(resident) * stay_s
}

/// Returns the work that callers have asked for in vain, in seconds of an engine.
fn claim(assignment: &Assignment<'_>, model: Index) -> f64 {
    assignment.demand(model) * assignment.models[model].waiting_s
}

/// Returns a move that gives one of the models in `waiting` a place, or `None` if there is no place
/// for any of them now.
///
/// Models that have waited for `LONGEST_WAIT_S` come first, the longest wait before the others, then
/// those with the greatest claim. Where all models fit, no last copy is unloaded before another
/// engine has the model as well.
pub(super) fn give_turn(
    assignment: &Assignment<'_>,
    utilization: &[f64],
    mut waiting: Vec<Index>,
    store: bool,
) -> Option<Move> {
    let order = |model: Index| {
        let waited_s = assignment.models[model].waiting_s;
        let overdue_s = if waited_s >= LONGEST_WAIT_S {
            waited_s
        } else {
            0.0
        };
        (overdue_s, claim(assignment, model))
    };
    waiting.sort_by(|a, b| {
        let (a, b) = (order(*a), order(*b));
        b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1))
    });
    let mut waiting = waiting.into_iter();
    if assignment.crowded {
        return waiting.find_map(|model| replace(assignment, utilization, model, store));
    }
    let mut waiting = waiting.take(MAX_COPIED_FOR);
    waiting.find_map(|model| copy_elsewhere(assignment, utilization, model, store))
}

/// Returns a move that loads a model in place of others, which may be last copies.
fn replace(
    assignment: &Assignment<'_>,
    utilization: &[f64],
    model: Index,
    store: bool,
) -> Option<Move> {
    let options = assignment.free_engines(model, store).filter_map(|engine| {
        let unload = assignment.evictions(engine, model, Evicted::InTurn)?;
        let cost = assignment.displacement_cost(engine, model, &unload) + utilization[engine];
        Some((cost, engine, unload))
    });
    let best = options.min_by(|(a, _, _), (b, _, _)| a.total_cmp(b));
    best.map(|(_, engine, unload)| assignment.to_move(engine, model, &unload))
}

/// Returns a move that loads a second copy of another model, so that its first copy can make room
/// for `model`.
fn copy_elsewhere(
    assignment: &Assignment<'_>,
    utilization: &[f64],
    model: Index,
    store: bool,
) -> Option<Move> {
    let mut best: Option<(f64, Move)> = None;
    for engine in assignment.free_engines(model, store) {
        let residents = assignment.by_engine[engine].iter().copied();
        let copied = residents.filter(|resident| assignment.makes_room(engine, *resident, model));
        for resident in copied {
            for other in assignment.free_engines(resident, store) {
                let Some(unload) = assignment.evictions(other, resident, Evicted::SPARE) else {
                    continue;
                };
                let cost =
                    assignment.displacement_cost(other, resident, &unload) + utilization[other];
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, assignment.to_move(other, resident, &unload)));
                }
            }
        }
    }
    best.map(|(_, found)| found)
}
