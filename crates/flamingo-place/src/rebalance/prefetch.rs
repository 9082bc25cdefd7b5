//! Loads replicas before they are requested.

use super::assignment::{Assignment, Evicted, to_float};
use super::{Engine, Model, Move};

/// Utilization above which an engine prefetches nothing.
const MAX_UTILIZATION: f64 = 0.6;
/// Weight of a model with adapters, relative to one without: it is more likely to be requested
/// next.
const ADAPTER_MODEL_WEIGHT: f64 = 3.0;
/// Ready replicas that a model must keep where a prefetch unloads one of its replicas.
const MIN_READY_REPLICAS: usize = 3;

/// Returns a load that brings weights into an engine's cache before they are requested, or
/// `None` if no load is worth the replicas that it would displace.
///
/// Prefers the model that the fewest engines have cached. Considers only engines for which
/// `eligible` holds and whose utilization is at most `MAX_UTILIZATION`.
#[must_use]
pub fn prefetch(
    models: &[Model],
    engines: &[Engine],
    eligible: impl Fn(&Engine) -> bool,
) -> Option<Move> {
    let assignment = Assignment::new(models, engines);
    let utilization = assignment.utilization();
    let evicted = Evicted::Spare {
        min_ready: MIN_READY_REPLICAS,
    };
    let mut best: Option<(f64, Move)> = None;
    for (index, model) in models.iter().enumerate() {
        let cached = (0..engines.len()).filter(|engine| assignment.has_cached(*engine, index));
        let cached = to_float(cached.count() + 1);
        let weight = if model.has_adapters {
            ADAPTER_MODEL_WEIGHT
        } else {
            1.0
        };
        for engine in 0..engines.len() {
            let excluded = assignment.has_cached(engine, index)
                || !eligible(&engines[engine])
                || assignment.by_engine[engine].contains(&index)
                || utilization[engine] > MAX_UTILIZATION
                || !assignment.may_take_order(engine);
            if excluded {
                continue;
            }
            let Some(unload) = assignment.evictions(engine, index, evicted) else {
                continue;
            };
            let displaced = assignment.total_displaced_demand(&unload);
            let value = weight / cached - displaced - utilization[engine];
            if value > 0.0 && best.as_ref().is_none_or(|(highest, _)| value > *highest) {
                best = Some((value, assignment.to_move(engine, index, &unload)));
            }
        }
    }
    best.map(|(_, found)| found)
}
