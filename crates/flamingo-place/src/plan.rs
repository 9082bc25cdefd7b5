//! One planning step: decides which orders to give next.
//!
//! A step works in the order of urgency: it unloads copies of models that left the set, gives
//! every model a first copy, rolls versions, and gives models the further copies that the set and
//! their demand require. A copy that is no longer wanted stays until its memory is needed: this
//! costs no move, and the copy can serve if the demand returns.

use crate::copy_counts::CopyCounts;
use crate::demand::Wanted;
use crate::room::{Room, Search};
use crate::view::{Copy, Reachability, State, View};
use crate::weights::Weights;
use flamingo_wire::config::{Model, Set};
use flamingo_wire::id;
use flamingo_wire::place::Action;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Maximum number of unloads that one step orders.
const MAX_UNLOADS: usize = 8;

/// An order that the step proposes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// Identity of the engine.
    pub target: id::Target,
    /// Incarnation of the engine for which the order is meant.
    pub incarnation: id::Incarnation,
    /// Load or unload, with the copy.
    pub action: Action,
    /// Memory that the order commits (load) or frees (unload), in mebibytes.
    pub memory: id::Mebibytes,
    /// Explanation for operators, in one line.
    pub reason: String,
    /// Whether the order follows demand and therefore counts against the budget of moves.
    pub uses_move_budget: bool,
}

/// A model for whose configured version there is no room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unplaced {
    /// Name of the model.
    pub model: id::Model,
    /// Memory that the model needs and memory that is available, for operators.
    pub reason: String,
}

/// Identifies a copy by its engine and weights.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CopyKey {
    /// Identity of the engine.
    pub target: id::Target,
    /// Model and version of the copy.
    pub weights: Weights,
}

/// Input of a planning step.
#[derive(Clone, Debug)]
pub struct Input<'a> {
    /// The set in force.
    pub set: &'a Set,
    /// The accelerators.
    pub view: View,
    /// Copies that each model should have, in the order of the set.
    pub wanted: Vec<Wanted>,
    /// Loads that the limits of the weight store allow now.
    pub loads: usize,
    /// Moves that the budget for following demand allows now.
    pub moves: usize,
    /// Copies for which an order failed and must not be retried yet.
    pub backing_off: &'a BTreeSet<CopyKey>,
    /// Whether each model has been unplaced for long enough to evict less important models, in
    /// the order of the set.
    pub may_evict_less_important: Vec<bool>,
}

/// Result of a planning step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Orders to give.
    pub orders: Vec<PlannedOrder>,
    /// Models for which there is no room.
    pub unplaced: Vec<Unplaced>,
}

/// Plans one step.
#[must_use]
pub fn step(input: Input<'_>) -> Plan {
    let mut step = Step::new(input);
    step.unload_removed();
    step.load_first_copies();
    step.roll_versions();
    step.add_copies();
    step.plan
}

pub(crate) struct Step<'a> {
    pub(crate) input: Input<'a>,
    pub(crate) counts: CopyCounts,
    plan: Plan,
    unloads: usize,
}

impl<'a> Step<'a> {
    pub(crate) fn new(mut input: Input<'a>) -> Self {
        let counts = CopyCounts::of(&mut input.view, input.set, &input.wanted);
        Self {
            input,
            counts,
            plan: Plan::default(),
            unloads: 0,
        }
    }

    /// Unloads copies of models that left the set.
    fn unload_removed(&mut self) {
        for index in 0..self.input.view.accelerators.len() {
            let accelerator = &self.input.view.accelerators[index];
            let removed =
                |copy: &Copy| copy.model.is_none() && copy.state == State::Resident && !copy.locked;
            let copies = accelerator.copies.iter().enumerate();
            let removed = copies.filter(|(_, copy)| removed(copy)).map(|(n, _)| n);
            let removed: Vec<usize> = removed
                .filter(|_| accelerator.is_confirmed() || accelerator.drained)
                .collect();
            for copy in removed {
                self.unload(index, copy, "the model left the set".to_owned(), false);
            }
        }
    }

    /// Gives every model without a copy a first one, by descending importance.
    fn load_first_copies(&mut self) {
        let set = self.input.set;
        let without_copy = (0..set.models.len()).filter(|model| self.counts.has_no_copy(*model));
        let mut without_copy: Vec<usize> = without_copy.collect();
        without_copy.sort_by_key(|model| {
            let Model { importance, .. } = set.models[*model];
            Reverse((importance, set.models[*model].footprint()))
        });
        for model in without_copy {
            let reason = "first copy: no reachable replica holds the model";
            match Search::urgent(self, model).find() {
                Room::Nowhere(shortage) => self.add_unplaced(model, shortage),
                room => self.apply(model, room, reason, false),
            }
        }
    }

    fn add_unplaced(&mut self, model: usize, reason: String) {
        self.plan.unplaced.push(Unplaced {
            model: self.input.set.models[model].name.clone(),
            reason,
        });
    }

    /// Replaces copies of older versions by copies of the version that the set names.
    fn roll_versions(&mut self) {
        for model in 0..self.input.set.models.len() {
            let count = self.counts.models[model];
            if count.older == 0 {
                continue;
            }
            let wanted = self.input.wanted[model].copies;
            if count.current + count.loading < wanted {
                let configured = &self.input.set.models[model];
                let reason = format!("roll to version {}", configured.version);
                match Search::urgent(self, model).find() {
                    Room::Nowhere(shortage) => {
                        self.add_unplaced(model, shortage);
                        self.unload_older(model, "no room for both versions");
                    }
                    room => self.apply(model, room, &reason, false),
                }
            }
            if count.current > 0 && count.current + count.older > wanted {
                self.unload_older(model, "a copy of the new version is resident");
            }
        }
    }

    /// Unloads one copy of an older version, if it is safe to do so.
    ///
    /// The last copy of a model is unloaded before its successor is loaded only if no accelerator
    /// has room for both and the successor needs that memory.
    fn unload_older(&mut self, model: usize, reason: &str) {
        let needed = self.input.set.models[model].footprint();
        let count = self.counts.models[model];
        let last = count.confirmed <= 1;
        let must_wait =
            count.current > 0 || count.loading > 0 || !self.input.may_evict_less_important[model];
        if last && (must_wait || self.may_fit(model)) {
            return;
        }
        let accelerators = self.input.view.accelerators.iter().enumerate();
        let older = accelerators.flat_map(|(index, accelerator)| {
            let copies = accelerator.copies.iter().enumerate();
            let older = copies.filter(|(_, copy)| copy.model == Some(model) && !copy.current);
            let idle = older.filter(|(_, copy)| copy.state == State::Resident && !copy.locked);
            let fits =
                move |memory| !last || accelerator.free + accelerator.freeing + memory >= needed;
            let idle =
                idle.filter(move |(_, copy)| accelerator.is_confirmed() && fits(copy.memory));
            idle.map(move |(copy, _)| (index, copy))
        });
        let Some((accelerator, copy)) = older.take(1).next() else {
            return;
        };
        let reason = if last {
            format!(
                "{reason}: the last copy is unloaded first, since no accelerator has room for both"
            )
        } else {
            reason.to_owned()
        };
        self.unload(accelerator, copy, reason, false);
    }

    /// Returns whether some accelerator could hold `model` besides the copies that must stay.
    ///
    /// An accelerator in an uncertain state counts, because its next report may show room.
    fn may_fit(&self, model: usize) -> bool {
        let needed = self.input.set.models[model].footprint();
        let accelerators = self.input.view.accelerators.iter();
        let mut accelerators = accelerators.filter(|accelerator| {
            accelerator.reachability != Reachability::Gone && !accelerator.drained
        });
        accelerators.any(|accelerator| {
            let must_stay = |copy: &&Copy| {
                let counts = copy.model.map(|model| self.counts.models[model]);
                copy.state != State::Uncertain && counts.is_some_and(|count| count.confirmed <= 1)
            };
            let fixed = accelerator.copies.iter().filter(must_stay);
            let fixed: id::Mebibytes = fixed.map(|copy| copy.memory).sum();
            !accelerator.is_confirmed() || accelerator.size >= fixed + needed
        })
    }

    /// Loads further copies that the set and the demand require, those that the set requires
    /// first, then by descending gain.
    fn add_copies(&mut self) {
        let set = self.input.set;
        let mut lacking: Vec<usize> = (0..set.models.len())
            .filter(|model| self.lacking_copies(*model) > 0 && !self.counts.has_no_copy(*model))
            .collect();
        lacking.sort_by(|a, b| {
            let key = |model: usize| (self.required_by_set(model), self.gain(model));
            key(*b)
                .partial_cmp(&key(*a))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        for model in lacking {
            if self.input.loads == 0 {
                return;
            }
            let required = self.required_by_set(model);
            if !required && self.input.moves == 0 {
                continue;
            }
            let reason = format!(
                "copy {} of {}: {}",
                self.counts.models[model].total() + 1,
                self.input.wanted[model].copies,
                self.input.wanted[model].reason
            );
            let worth = if required {
                usize::MAX
            } else {
                self.worth_in_moves(model)
            };
            if worth == 0 {
                continue;
            }
            let room = Search::additional(self, model, worth).find();
            self.apply(model, room, &reason, !required);
        }
    }

    /// Returns how many copies `model` lacks.
    fn lacking_copies(&self, model: usize) -> u32 {
        let existing = self.counts.models[model].total();
        self.input.wanted[model].copies.saturating_sub(existing)
    }

    /// Returns whether the set itself, and not only demand, requires another copy of `model`.
    fn required_by_set(&self, model: usize) -> bool {
        self.counts.models[model].total() < self.input.set.models[model].copies
    }

    /// Returns the utilization, 0 to 1, that one more copy of `model` would have.
    fn gain(&self, model: usize) -> f64 {
        let existing = f64::from(self.counts.models[model].total());
        (self.input.wanted[model].demand_in_copies * 1.2 - existing).clamp(0.0, 1.0)
    }

    /// Returns how many moves one more copy justifies under the weights of the set.
    fn worth_in_moves(&self, model: usize) -> usize {
        let placement = self.input.set.placement;
        if placement.moves_weight == 0 {
            return usize::MAX;
        }
        let gain = self.gain(model).max(0.1) * f64::from(placement.attainment_weight);
        let worth = gain / f64::from(placement.moves_weight);
        // The value is not negative and is limited to the bound.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let worth = worth.min(1e6) as usize;
        worth
    }

    /// Plans the orders that use `room` for a copy of `model`.
    fn apply(&mut self, model: usize, room: Room, reason: &str, uses_move_budget: bool) {
        match room {
            Room::Free(accelerator) => {
                self.load(model, accelerator, reason.to_owned(), uses_move_budget);
            }
            Room::Evict(accelerator, copies) => {
                let name = self.input.set.models[model].name.clone();
                for copy in copies {
                    let reason = self.eviction_reason(
                        accelerator,
                        copy,
                        &format!("makes room for {name}; {reason}"),
                    );
                    self.unload(accelerator, copy, reason, uses_move_budget);
                }
                self.reserve(model, accelerator);
            }
            Room::Move { moved, to, from } => {
                let name = &self.input.set.models[model].name;
                let from = &self.input.view.accelerators[from].target;
                let reason = format!("leaves {from} to make room for {name}; {reason}");
                self.load(moved, to, reason, false);
            }
            Room::Freeing(accelerator) => self.reserve(model, accelerator),
            Room::Nowhere(_) => {}
        }
    }

    /// Adds to `reason` that the unload takes the last copy of a model, if it does.
    fn eviction_reason(&self, accelerator: usize, copy: usize, reason: &str) -> String {
        let models = &self.input.set.models;
        let evicted = self.input.view.accelerators[accelerator].copies[copy].model;
        let last = evicted.filter(|model| self.counts.models[*model].confirmed <= 1);
        last.map_or_else(
            || reason.to_owned(),
            |model| {
                format!(
                    "last copy of importance {}, {reason}",
                    models[model].importance
                )
            },
        )
    }

    /// Reserves memory of an accelerator for `model`, so that later searches of this step don't
    /// use it: free memory first, then memory that unloads will free.
    fn reserve(&mut self, model: usize, accelerator: usize) {
        let needed = self.input.set.models[model].footprint();
        let accelerator = &mut self.input.view.accelerators[accelerator];
        let of_free = needed.min(accelerator.free);
        accelerator.free -= of_free;
        accelerator.freeing = accelerator.freeing.saturating_sub(needed - of_free);
    }

    /// Plans a load, or only reserves its memory if the step may start no more loads.
    fn load(&mut self, model: usize, index: usize, reason: String, uses_move_budget: bool) {
        if self.input.loads == 0 {
            return self.reserve(model, index);
        }
        let configured = &self.input.set.models[model];
        let weights = Weights::configured(configured);
        let memory = configured.footprint();
        let accelerator = &mut self.input.view.accelerators[index];
        let counted = accelerator.copy(&weights).map_or(0, |copy| copy.memory);
        accelerator.free = accelerator
            .free
            .saturating_sub(memory.saturating_sub(counted));
        self.plan.orders.push(PlannedOrder {
            target: accelerator.target.clone(),
            incarnation: accelerator.incarnation,
            action: Action::Load(weights.to_resident()),
            memory,
            reason,
            uses_move_budget,
        });
        accelerator.copies.retain(|copy| copy.weights != weights);
        accelerator.copies.push(Copy {
            model: Some(model),
            current: true,
            weights,
            memory,
            state: State::Loading,
            locked: true,
            order_overdue: false,
        });
        self.input.loads -= 1;
        self.input.moves = self
            .input
            .moves
            .saturating_sub(usize::from(uses_move_budget));
        self.counts.load(
            model,
            index,
            &self.input.wanted[model],
            &mut self.input.view,
        );
    }

    /// Plans an unload, unless the step has planned `MAX_UNLOADS` already.
    fn unload(&mut self, index: usize, copy: usize, reason: String, uses_move_budget: bool) {
        if self.unloads >= MAX_UNLOADS {
            return;
        }
        self.unloads += 1;
        let accelerator = &mut self.input.view.accelerators[index];
        let copy = &mut accelerator.copies[copy];
        copy.state = State::Unloading;
        copy.locked = true;
        accelerator.freeing += copy.memory;
        self.plan.orders.push(PlannedOrder {
            target: accelerator.target.clone(),
            incarnation: accelerator.incarnation,
            action: Action::Unload(copy.weights.to_resident()),
            memory: copy.memory,
            reason,
            uses_move_budget,
        });
        self.input.moves = self
            .input
            .moves
            .saturating_sub(usize::from(uses_move_budget));
        let (model, current) = (copy.model, copy.current);
        if let Some(model) = model {
            self.counts.unload(model, index, current, &self.input.view);
        }
    }
}
