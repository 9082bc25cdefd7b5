//! Search for an accelerator with room for one more copy of a model.

use crate::plan::{CopyKey, Step};
use crate::view::{Accelerator, Copy, State};
use crate::weights::Weights;
use flamingo_wire::id;
use smallvec::SmallVec;
use std::cmp::Reverse;

/// Steps into which utilization is rounded down when accelerators are compared.
const UTILIZATION_STEPS: f64 = 4.0;

/// Copies of one accelerator, by index.
pub(crate) type Copies = SmallVec<[usize; 4]>;

/// Result of a search. Accelerators and models are given by index.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Room {
    /// This accelerator has enough free memory.
    Free(usize),
    /// This accelerator has room after these copies have been unloaded.
    Evict(usize, Copies),
    /// A last copy can be loaded on another accelerator first, so that it can be unloaded later.
    Move {
        /// Model of the copy.
        moved: usize,
        /// Accelerator that loads the copy.
        to: usize,
        /// Accelerator that the copy leaves.
        from: usize,
    },
    /// Orders in progress will free enough memory on this accelerator.
    Freeing(usize),
    /// No accelerator has room; the text is the reason for operators.
    Nowhere(String),
}

/// A search for room for one copy of a model.
pub(crate) struct Search<'a, 'b> {
    step: &'a Step<'b>,
    /// Index of the model in the set.
    model: usize,
    weights: Weights,
    /// Memory of the copy, in mebibytes.
    needed: id::Mebibytes,
    /// Whether other models may be reduced to one copy, moved or evicted for this copy.
    urgent: bool,
    /// Number of moves that the copy justifies. The load is one of them, so the evictions must be
    /// fewer.
    worth_in_moves: usize,
}

impl<'a, 'b> Search<'a, 'b> {
    /// Searches for a first copy, or a copy of a new version.
    pub(crate) fn urgent(step: &'a Step<'b>, model: usize) -> Self {
        Self::new(step, model, true, usize::MAX)
    }

    /// Searches for an additional copy that justifies `worth_in_moves` moves.
    pub(crate) fn additional(step: &'a Step<'b>, model: usize, worth_in_moves: usize) -> Self {
        Self::new(step, model, false, worth_in_moves)
    }

    fn new(step: &'a Step<'b>, model: usize, urgent: bool, worth_in_moves: usize) -> Self {
        let configured = &step.input.set.models[model];
        Self {
            step,
            model,
            weights: Weights::configured(configured),
            needed: configured.footprint(),
            urgent,
            worth_in_moves,
        }
    }

    /// Returns the least disruptive room: free memory, memory that is being freed, memory of
    /// copies that their models can spare, and for an urgent copy also that of a last copy that
    /// can move, or of less important models.
    pub(crate) fn find(&self) -> Room {
        let eligible = (0..self.accelerators().len()).filter(|index| self.is_eligible(*index));
        let eligible: Vec<usize> = eligible.collect();
        if let Some(accelerator) = self.best_with_free_memory(&eligible) {
            return Room::Free(accelerator);
        }
        if let Some(accelerator) = self.freeing(&eligible) {
            return Room::Freeing(accelerator);
        }
        if let Some(room) = self.evict(&eligible, |copy, accelerator| {
            self.is_surplus(copy, accelerator)
        }) {
            return room;
        }
        if !self.urgent {
            return Room::Nowhere(String::new());
        }
        if let Some(room) = self.move_last_copy(&eligible) {
            return room;
        }
        if self.step.input.may_evict_less_important[self.model] {
            let less_important = |copy: &Copy, _: &Accelerator| self.is_less_important(copy);
            if let Some(room) = self.evict(&eligible, less_important) {
                return room;
            }
        }
        Room::Nowhere(self.shortage(&eligible))
    }

    fn accelerators(&self) -> &[Accelerator] {
        &self.step.input.view.accelerators
    }

    /// Returns whether the accelerator is confirmed, large enough, without a copy of these
    /// weights and not backing off after a failure.
    fn is_eligible(&self, index: usize) -> bool {
        let accelerator = &self.accelerators()[index];
        if !accelerator.is_confirmed() || accelerator.size < self.needed {
            return false;
        }
        // An unfenced engine gets each order once, so an overdue load is ordered anew.
        let reordered =
            |copy: &Copy| copy.state == State::Loading && copy.order_overdue && !accelerator.fenced;
        if accelerator
            .copy(&self.weights)
            .is_some_and(|copy| !reordered(copy))
        {
            return false;
        }
        if self.step.input.backing_off.is_empty() {
            return true;
        }
        let key = CopyKey {
            target: accelerator.target.clone(),
            weights: self.weights.clone(),
        };
        !self.step.input.backing_off.contains(&key)
    }

    /// Returns the memory that the copy needs beyond what is already counted for its weights, in
    /// mebibytes.
    fn additional_memory(&self, accelerator: &Accelerator) -> id::Mebibytes {
        let counted = accelerator
            .copy(&self.weights)
            .map_or(0, |copy| copy.memory);
        self.needed.saturating_sub(counted)
    }

    /// Returns the best accelerator with enough free memory: the fewest copies of the model in
    /// its zone first, then the lowest utilization.
    fn best_with_free_memory(&self, eligible: &[usize]) -> Option<usize> {
        let fits = eligible.iter().filter(|index| {
            let accelerator = &self.accelerators()[**index];
            accelerator.free >= self.additional_memory(accelerator)
        });
        fits.copied().min_by_key(|index| self.rank(*index))
    }

    /// Returns the sort key of an accelerator; the lowest is preferred.
    fn rank(&self, index: usize) -> (u16, u32, Reverse<id::Mebibytes>, usize) {
        let accelerator = &self.accelerators()[index];
        // Utilization is a small number that is not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let utilization = (accelerator.utilization * UTILIZATION_STEPS) as u32;
        let in_zone = self.step.counts.in_zone_of(self.model, index);
        (in_zone, utilization, Reverse(accelerator.free), index)
    }

    /// Returns an accelerator on which orders in progress will free enough memory.
    fn freeing(&self, eligible: &[usize]) -> Option<usize> {
        let unloading = eligible.iter().copied().find(|index| {
            let accelerator = &self.accelerators()[*index];
            accelerator.freeing > 0
                && accelerator.free + accelerator.freeing >= self.additional_memory(accelerator)
        });
        unloading.or_else(|| self.urgent.then(|| self.vacated_soon(eligible)).flatten())
    }

    /// Returns an accelerator that will have room once copies are unloaded whose replacements are
    /// loading elsewhere.
    fn vacated_soon(&self, eligible: &[usize]) -> Option<usize> {
        eligible.iter().copied().find(|index| {
            let accelerator = &self.accelerators()[*index];
            let replaced = accelerator.copies.iter().filter(|copy| {
                let loading = |model: usize| self.step.counts.models[model].loading > 0;
                copy.state == State::Resident && copy.model.is_some_and(loading)
            });
            let vacated: id::Mebibytes = replaced.map(|copy| copy.memory).sum();
            vacated > 0
                && accelerator.free + accelerator.freeing + vacated
                    >= self.additional_memory(accelerator)
        })
    }

    /// Returns the accelerator on which the fewest evictable copies have to be unloaded, or
    /// `None` if these are too many moves.
    fn evict(
        &self,
        eligible: &[usize],
        evictable: impl Fn(&Copy, &Accelerator) -> bool,
    ) -> Option<Room> {
        let mut best: Option<(usize, u64, usize, Copies)> = None;
        for index in eligible {
            let accelerator = &self.accelerators()[*index];
            let Some(copies) = self.victims(accelerator, &evictable) else {
                continue;
            };
            let in_zone = u64::from(self.step.counts.in_zone_of(self.model, *index));
            let better = best
                .as_ref()
                .is_none_or(|(count, zone, ..)| (copies.len(), in_zone) < (*count, *zone));
            if better {
                best = Some((copies.len(), in_zone, *index, copies));
            }
        }
        let (count, _, accelerator, copies) = best?;
        (count < self.worth_in_moves).then_some(Room::Evict(accelerator, copies))
    }

    /// Returns the copies to unload, largest first and at most one of each model, or `None` if
    /// unloading all evictable copies would not free enough memory.
    fn victims(
        &self,
        accelerator: &Accelerator,
        evictable: &impl Fn(&Copy, &Accelerator) -> bool,
    ) -> Option<Copies> {
        let mut available = accelerator.free + accelerator.freeing;
        let needed = self.additional_memory(accelerator);
        let mut candidates: Copies = (0..accelerator.copies.len())
            .filter(|copy| evictable(&accelerator.copies[*copy], accelerator))
            .collect();
        candidates.sort_by_key(|copy| Reverse(accelerator.copies[*copy].memory));
        let mut victims = Copies::new();
        for copy in candidates {
            if available >= needed {
                break;
            }
            let model = accelerator.copies[copy].model;
            if victims
                .iter()
                .any(|victim| accelerator.copies[*victim].model == model)
            {
                continue;
            }
            available += accelerator.copies[copy].memory;
            victims.push(copy);
        }
        (available >= needed && !victims.is_empty()).then_some(victims)
    }

    /// Returns whether a copy can be unloaded while its model keeps enough confirmed copies: all
    /// that are wanted, or one if the search is urgent.
    fn is_surplus(&self, copy: &Copy, accelerator: &Accelerator) -> bool {
        let Some(model) = copy.model.filter(|model| *model != self.model) else {
            return false;
        };
        let idle = copy.state == State::Resident && !copy.locked;
        let remaining = self.step.counts.models[model]
            .confirmed
            .saturating_sub(u32::from(accelerator.is_confirmed()));
        let min_copies = if self.urgent {
            1
        } else {
            self.step.input.wanted[model].copies.max(1)
        };
        idle && remaining >= min_copies
    }

    /// Returns whether a copy is idle and its model is less important than the searched one.
    fn is_less_important(&self, copy: &Copy) -> bool {
        let models = &self.step.input.set.models;
        let lower = |model: usize| models[model].importance < models[self.model].importance;
        copy.state == State::Resident && !copy.locked && copy.model.is_some_and(lower)
    }

    /// Finds a copy that can be loaded elsewhere and whose memory is enough for this copy.
    fn move_last_copy(&self, eligible: &[usize]) -> Option<Room> {
        for from in eligible {
            let accelerator = &self.accelerators()[*from];
            let shortfall = self
                .additional_memory(accelerator)
                .saturating_sub(accelerator.free + accelerator.freeing);
            for copy in accelerator
                .copies
                .iter()
                .filter(|copy| copy.memory >= shortfall)
            {
                let movable = copy.current && copy.state == State::Resident && !copy.locked;
                let Some(moved) = copy.model.filter(|_| movable) else {
                    continue;
                };
                let search = Search::urgent(self.step, moved);
                let destinations: Vec<usize> = (0..self.accelerators().len())
                    .filter(|to| to != from && search.is_eligible(*to))
                    .collect();
                if let Some(to) = search.best_with_free_memory(&destinations) {
                    let from = *from;
                    return Some(Room::Move { moved, to, from });
                }
            }
        }
        None
    }

    /// Returns the memory that is needed and available, for operators.
    fn shortage(&self, eligible: &[usize]) -> String {
        let accelerators = eligible.iter().map(|index| &self.accelerators()[*index]);
        let most = accelerators
            .map(|accelerator| accelerator.free + accelerator.freeing)
            .max()
            .unwrap_or(0);
        format!(
            "needs {} MiB on one accelerator; of {} eligible, the most free has {most} MiB",
            self.needed,
            eligible.len()
        )
    }
}
