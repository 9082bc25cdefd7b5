//! Counts of copies by model and zone, kept up to date during a planning step.

use crate::demand::Wanted;
use crate::view::{State, View};
use flamingo_wire::config::Set;
use flamingo_wire::id;
use smallvec::SmallVec;

/// Number of copies of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelCopies {
    /// Resident on reachable accelerators, of any version.
    pub(crate) reachable: u32,
    /// Resident on confirmed accelerators, of any version.
    pub(crate) confirmed: u32,
    /// The part of `confirmed` that has the version that the set names.
    pub(crate) current: u32,
    /// The part of `confirmed` that has another version.
    pub(crate) older: u32,
    /// Loads in progress of the version that the set names, without overdue ones.
    pub(crate) loading: u32,
}

impl ModelCopies {
    /// Returns the number of copies that are resident or loading.
    pub(crate) fn total(self) -> u32 {
        self.reachable.max(self.confirmed) + self.loading
    }
}

/// Counts of all models.
#[derive(Clone, Debug)]
pub(crate) struct CopyCounts {
    /// Counts by model, in the order of the set.
    pub(crate) models: Vec<ModelCopies>,
    /// Index of the zone of each accelerator.
    zones: Vec<usize>,
    /// Resident and loading copies by model and zone.
    by_zone: Vec<SmallVec<[u16; 4]>>,
}

impl CopyCounts {
    /// Counts the copies in `view`, and sets the utilization of its accelerators.
    pub(crate) fn of(view: &mut View, set: &Set, wanted: &[Wanted]) -> Self {
        let mut names: Vec<id::Zone> = view
            .accelerators
            .iter()
            .map(|accelerator| accelerator.zone.clone())
            .collect();
        names.sort();
        names.dedup();
        let index = |zone: &id::Zone| names.binary_search(zone).unwrap_or(0);
        let zones = view
            .accelerators
            .iter()
            .map(|accelerator| index(&accelerator.zone))
            .collect();
        let by_zone = smallvec::smallvec![0; names.len()];
        let mut counts = Self {
            models: vec![ModelCopies::default(); set.models.len()],
            by_zone: vec![by_zone; set.models.len()],
            zones,
        };
        for index in 0..view.accelerators.len() {
            counts.count(index, view);
        }
        counts.set_utilization(view, wanted);
        counts
    }

    fn count(&mut self, index: usize, view: &View) {
        let accelerator = &view.accelerators[index];
        let zone = self.zones[index];
        for copy in &accelerator.copies {
            let Some(model) = copy.model else { continue };
            let counts = &mut self.models[model];
            match copy.state {
                State::Resident => {
                    counts.reachable += u32::from(accelerator.is_reachable());
                    counts.confirmed += u32::from(accelerator.is_confirmed());
                    counts.current += u32::from(accelerator.is_confirmed() && copy.current);
                    counts.older += u32::from(accelerator.is_confirmed() && !copy.current);
                    self.by_zone[model][zone] += u16::from(accelerator.is_reachable());
                }
                State::Loading
                    if copy.current && !copy.order_overdue && accelerator.is_reachable() =>
                {
                    counts.loading += 1;
                    self.by_zone[model][zone] += 1;
                }
                _ => {}
            }
        }
    }

    fn set_utilization(&self, view: &mut View, wanted: &[Wanted]) {
        for accelerator in &mut view.accelerators {
            let copies = accelerator.copies.iter();
            let models = copies.filter(|copy| copy.state != State::Unloading);
            let models = models.filter_map(|copy| copy.model);
            accelerator.utilization = models.map(|model| self.share(model, &wanted[model])).sum();
        }
    }

    /// Returns the demand that each copy of `model` serves, as a fraction of its capacity.
    fn share(&self, model: usize, wanted: &Wanted) -> f64 {
        wanted.demand_in_copies / f64::from(self.models[model].total().max(1))
    }

    /// Returns whether `model` has no reachable copy and none is loading.
    pub(crate) fn has_no_copy(&self, model: usize) -> bool {
        let counts = self.models[model];
        counts.reachable == 0 && counts.loading == 0
    }

    /// Returns the number of copies of `model` in the zone of the accelerator with this index.
    pub(crate) fn in_zone_of(&self, model: usize, accelerator: usize) -> u16 {
        self.by_zone[model][self.zones[accelerator]]
    }

    /// Counts a load that this step has planned.
    pub(crate) fn load(
        &mut self,
        model: usize,
        accelerator: usize,
        wanted: &Wanted,
        view: &mut View,
    ) {
        self.models[model].loading += 1;
        self.by_zone[model][self.zones[accelerator]] += 1;
        view.accelerators[accelerator].utilization += self.share(model, wanted);
    }

    /// Counts an unload that this step has planned.
    pub(crate) fn unload(&mut self, model: usize, index: usize, current: bool, view: &View) {
        let accelerator = &view.accelerators[index];
        let counts = &mut self.models[model];
        let confirmed = u32::from(accelerator.is_confirmed());
        counts.reachable = counts
            .reachable
            .saturating_sub(u32::from(accelerator.is_reachable()));
        counts.confirmed = counts.confirmed.saturating_sub(confirmed);
        let by_version = if current {
            &mut counts.current
        } else {
            &mut counts.older
        };
        *by_version = by_version.saturating_sub(confirmed);
        let in_zone = &mut self.by_zone[model][self.zones[index]];
        *in_zone = in_zone.saturating_sub(u16::from(accelerator.is_reachable()));
    }
}
