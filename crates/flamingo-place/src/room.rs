//! Finds room for one copy.

use crate::plan::{Avoided, Step};
use crate::view::{Copy, Place, State};
use crate::weights::Weights;
use flamingo_wire::id;
use smallvec::SmallVec;
use std::cmp::Reverse;

/// Parts of an accelerator's work that are told apart when places are compared.
const PARTS: f64 = 4.0;

/// Copies of one place, by position.
pub(crate) type Copies = SmallVec<[usize; 4]>;

/// What a search came to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Found {
    /// There is room on this accelerator.
    Place(usize),
    /// These copies have to go from this accelerator first.
    Evict(usize, Copies),
    /// A copy can be loaded elsewhere, so that it can go from here.
    Move {
        /// The model that moves.
        moved: usize,
        /// Where to.
        to: usize,
        /// Where from.
        from: usize,
    },
    /// Room is coming back on this accelerator.
    Wait(usize),
    /// There is no room, for this reason.
    Nothing(String),
}

/// A search for room for one copy of a model.
pub(crate) struct Search<'a, 'b> {
    step: &'a Step<'b>,
    model: usize,
    weights: Weights,
    needed: id::Mebibytes,
    urgent: bool,
    /// Moves that the copy is worth.
    worth: usize,
}

impl<'a, 'b> Search<'a, 'b> {
    /// Looks for a copy without which the model can't be reached as it should.
    pub(crate) fn urgent(step: &'a Step<'b>, model: usize) -> Self {
        Self::new(step, model, true, usize::MAX)
    }

    /// Looks for a further copy that is worth some moves.
    pub(crate) fn spare(step: &'a Step<'b>, model: usize, worth: usize) -> Self {
        Self::new(step, model, false, worth)
    }

    fn new(step: &'a Step<'b>, model: usize, urgent: bool, worth: usize) -> Self {
        let wanted = &step.input.set.models[model];
        Self {
            step,
            model,
            weights: Weights::wanted(wanted),
            needed: wanted.footprint(),
            urgent,
            worth,
        }
    }

    pub(crate) fn find(&self) -> Found {
        let places = (0..self.places().len()).filter(|place| self.takes(*place));
        let open: Vec<usize> = places.collect();
        if let Some(place) = self.direct(&open) {
            return Found::Place(place);
        }
        if let Some(place) = self.coming(&open) {
            return Found::Wait(place);
        }
        if let Some(found) = self.evict(&open, |copy, place| self.surplus(copy, place)) {
            return found;
        }
        if !self.urgent {
            return Found::Nothing(String::new());
        }
        if let Some(found) = self.relocate(&open) {
            return found;
        }
        if self.step.input.desperate[self.model] {
            let sacrifice = |copy: &Copy, _: &Place| self.sacrifice(copy);
            if let Some(found) = self.evict(&open, sacrifice) {
                return found;
            }
        }
        Found::Nothing(self.reason(&open))
    }

    fn places(&self) -> &[Place] {
        &self.step.input.view.places
    }

    fn takes(&self, number: usize) -> bool {
        let place = &self.places()[number];
        if !place.stays() || place.size < self.needed {
            return false;
        }
        let again = |copy: &Copy| copy.state == State::Loading && copy.late && !place.fenced;
        if place.copy(&self.weights).is_some_and(|copy| !again(copy)) {
            return false;
        }
        if self.step.input.avoided.is_empty() {
            return true;
        }
        let avoided = Avoided {
            target: place.target.clone(),
            weights: self.weights.clone(),
        };
        !self.step.input.avoided.contains(&avoided)
    }

    /// Returns the memory that the copy still needs on `place`.
    fn needs(&self, place: &Place) -> id::Mebibytes {
        let known = place.copy(&self.weights).map_or(0, |copy| copy.memory);
        self.needed.saturating_sub(known)
    }

    /// Returns the best place with room: another zone first, then the least work.
    fn direct(&self, open: &[usize]) -> Option<usize> {
        let fits = open.iter().filter(|number| {
            let place = &self.places()[**number];
            place.free >= self.needs(place)
        });
        fits.copied().min_by_key(|number| self.rank(*number))
    }

    fn rank(&self, number: usize) -> (u16, u32, Reverse<id::Mebibytes>, usize) {
        let place = &self.places()[number];
        // Work is a small number that is not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let work = (place.work * PARTS) as u32;
        let near = self.step.tally.nearby(self.model, number);
        (near, work, Reverse(place.free), number)
    }

    fn coming(&self, open: &[usize]) -> Option<usize> {
        let soon = open.iter().copied().find(|number| {
            let place = &self.places()[*number];
            place.coming > 0 && place.free + place.coming >= self.needs(place)
        });
        soon.or_else(|| self.urgent.then(|| self.relocating(open)).flatten())
    }

    /// Finds a place that a copy will leave once it is loaded elsewhere.
    fn relocating(&self, open: &[usize]) -> Option<usize> {
        open.iter().copied().find(|number| {
            let place = &self.places()[*number];
            let leaving = place.copies.iter().filter(|copy| {
                let coming = |model: usize| self.step.tally.models[model].coming > 0;
                copy.state == State::Resident && copy.model.is_some_and(coming)
            });
            let soon: id::Mebibytes = leaving.map(|copy| copy.memory).sum();
            soon > 0 && place.free + place.coming + soon >= self.needs(place)
        })
    }

    /// Finds the place where the fewest copies have to go.
    fn evict(&self, open: &[usize], may: impl Fn(&Copy, &Place) -> bool) -> Option<Found> {
        let mut best: Option<(usize, u64, usize, Copies)> = None;
        for number in open {
            let place = &self.places()[*number];
            let Some(copies) = self.victims(place, &may) else {
                continue;
            };
            let near = u64::from(self.step.tally.nearby(self.model, *number));
            let better = best
                .as_ref()
                .is_none_or(|(count, zone, ..)| (copies.len(), near) < (*count, *zone));
            if better {
                best = Some((copies.len(), near, *number, copies));
            }
        }
        let (count, _, place, copies) = best?;
        (count < self.worth).then_some(Found::Evict(place, copies))
    }

    fn victims(&self, place: &Place, may: &impl Fn(&Copy, &Place) -> bool) -> Option<Copies> {
        let mut room = place.free + place.coming;
        let needs = self.needs(place);
        let mut able: Copies = (0..place.copies.len())
            .filter(|copy| may(&place.copies[*copy], place))
            .collect();
        able.sort_by_key(|copy| Reverse(place.copies[*copy].memory));
        let mut gone = Copies::new();
        for copy in able {
            if room >= needs {
                break;
            }
            let copy_of = place.copies[copy].model;
            if gone.iter().any(|gone| place.copies[*gone].model == copy_of) {
                continue;
            }
            room += place.copies[copy].memory;
            gone.push(copy);
        }
        (room >= needs && !gone.is_empty()).then_some(gone)
    }

    /// Returns whether a copy can go while its model keeps what it needs.
    fn surplus(&self, copy: &Copy, place: &Place) -> bool {
        let Some(model) = copy.model.filter(|model| *model != self.model) else {
            return false;
        };
        let idle = copy.state == State::Resident && !copy.busy;
        let left = self.step.tally.models[model]
            .stays
            .saturating_sub(u32::from(place.stays()));
        let keep = if self.urgent {
            1
        } else {
            self.step.input.wanted[model].copies.max(1)
        };
        idle && left >= keep
    }

    /// Returns whether a model of lower importance gives way.
    fn sacrifice(&self, copy: &Copy) -> bool {
        let models = &self.step.input.set.models;
        let lower = |model: usize| models[model].importance < models[self.model].importance;
        copy.state == State::Resident && !copy.busy && copy.model.is_some_and(lower)
    }

    /// Finds a last copy that fits elsewhere and whose room is enough.
    fn relocate(&self, open: &[usize]) -> Option<Found> {
        for from in open {
            let place = &self.places()[*from];
            let missing = self.needs(place).saturating_sub(place.free + place.coming);
            for copy in place.copies.iter().filter(|copy| copy.memory >= missing) {
                let movable = copy.current && copy.state == State::Resident && !copy.busy;
                let Some(moved) = copy.model.filter(|_| movable) else {
                    continue;
                };
                let other = Search::urgent(self.step, moved);
                let others: Vec<usize> = (0..self.places().len())
                    .filter(|to| to != from && other.takes(*to))
                    .collect();
                if let Some(to) = other.direct(&others) {
                    let from = *from;
                    return Some(Found::Move { moved, to, from });
                }
            }
        }
        None
    }

    fn reason(&self, open: &[usize]) -> String {
        let places = open.iter().map(|number| &self.places()[*number]);
        let most = places
            .map(|place| place.free + place.coming)
            .max()
            .unwrap_or(0);
        format!(
            "needs {} MiB on one accelerator; of {} that may take it the most free has {most} MiB",
            self.needed,
            open.len()
        )
    }
}
