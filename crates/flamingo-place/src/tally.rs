//! Counts of copies per model, kept up to date during a planning step.

use crate::demand::Wanted;
use crate::view::{State, View};
use flamingo_wire::config::Set;
use flamingo_wire::id;
use smallvec::SmallVec;

/// Copies of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    /// Resident where copies may be reached, of whatever version.
    pub(crate) covers: u32,
    /// Resident for certain, of whatever version.
    pub(crate) stays: u32,
    /// Those of `stays` that are of the version that the set names.
    pub(crate) current: u32,
    /// Those of `stays` that are of another version.
    pub(crate) older: u32,
    /// Loads under way of the version that the set names.
    pub(crate) coming: u32,
}

impl Count {
    /// Returns the copies that are there or coming.
    pub(crate) fn all(self) -> u32 {
        self.covers.max(self.stays) + self.coming
    }
}

/// Copies per model and per zone.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) models: Vec<Count>,
    /// Zone of each accelerator.
    zone: Vec<usize>,
    /// Copies of each model in each zone.
    spread: Vec<SmallVec<[u16; 4]>>,
}

impl Tally {
    /// Counts the copies in `view` and sets the work of its accelerators.
    pub(crate) fn of(view: &mut View, set: &Set, wanted: &[Wanted]) -> Self {
        let mut zones: Vec<id::Zone> = view.places.iter().map(|place| place.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let number = |zone: &id::Zone| zones.binary_search(zone).unwrap_or(0);
        let zone = view
            .places
            .iter()
            .map(|place| number(&place.zone))
            .collect();
        let spread = smallvec::smallvec![0; zones.len()];
        let mut tally = Self {
            models: vec![Count::default(); set.models.len()],
            spread: vec![spread; set.models.len()],
            zone,
        };
        for place in 0..view.places.len() {
            tally.count(place, view);
        }
        tally.work(view, wanted);
        tally
    }

    fn count(&mut self, number: usize, view: &View) {
        let place = &view.places[number];
        let zone = self.zone[number];
        for copy in &place.copies {
            let Some(model) = copy.model else { continue };
            let count = &mut self.models[model];
            match copy.state {
                State::Resident => {
                    count.covers += u32::from(place.covers());
                    count.stays += u32::from(place.stays());
                    count.current += u32::from(place.stays() && copy.current);
                    count.older += u32::from(place.stays() && !copy.current);
                    self.spread[model][zone] += u16::from(place.covers());
                }
                State::Loading if copy.current && !copy.late && place.covers() => {
                    count.coming += 1;
                    self.spread[model][zone] += 1;
                }
                _ => {}
            }
        }
    }

    fn work(&self, view: &mut View, wanted: &[Wanted]) {
        for place in &mut view.places {
            let copies = place.copies.iter();
            let shares = copies.filter(|copy| copy.state != State::Unloading);
            let shares = shares.filter_map(|copy| copy.model);
            place.work = shares.map(|model| self.share(model, &wanted[model])).sum();
        }
    }

    fn share(&self, model: usize, wanted: &Wanted) -> f64 {
        wanted.work / f64::from(self.models[model].all().max(1))
    }

    /// Returns whether `model` has no copy and none coming.
    pub(crate) fn bare(&self, model: usize) -> bool {
        let count = self.models[model];
        count.covers == 0 && count.coming == 0
    }

    /// Returns the copies of `model` in the zone of `place`.
    pub(crate) fn nearby(&self, model: usize, place: usize) -> u16 {
        self.spread[model][self.zone[place]]
    }

    /// Counts a load that was decided.
    pub(crate) fn load(&mut self, model: usize, place: usize, wanted: &Wanted, view: &mut View) {
        self.models[model].coming += 1;
        self.spread[model][self.zone[place]] += 1;
        view.places[place].work += self.share(model, wanted);
    }

    /// Counts an unload that was decided.
    pub(crate) fn unload(&mut self, model: usize, place: usize, current: bool, view: &View) {
        let seat = &view.places[place];
        let count = &mut self.models[model];
        let stays = u32::from(seat.stays());
        count.covers = count.covers.saturating_sub(u32::from(seat.covers()));
        count.stays = count.stays.saturating_sub(stays);
        let kind = if current {
            &mut count.current
        } else {
            &mut count.older
        };
        *kind = kind.saturating_sub(stays);
        let near = &mut self.spread[model][self.zone[place]];
        *near = near.saturating_sub(u16::from(seat.covers()));
    }
}
