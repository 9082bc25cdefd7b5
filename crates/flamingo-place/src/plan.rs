//! One planning step: which orders to give next.
//!
//! Steps of one plan, most urgent first: copies of models that left the set go;
//! every model gets a first copy; versions are rolled; models get the copies that
//! the set and their demand ask for. A copy that is no longer wanted stays until its
//! room is needed, which costs no move and serves if the demand comes back.

use crate::demand::Wanted;
use crate::room::{Found, Search};
use crate::tally::Tally;
use crate::view::{Copy, Reach, State, View};
use crate::weights::Weights;
use flamingo_wire::config::{Model, Set};
use flamingo_wire::id;
use flamingo_wire::place::Action;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Unloads that one step may order.
const UNLOADS: usize = 8;

/// An order that should be given.
#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    /// The engine.
    pub target: id::Target,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// What to do.
    pub action: Action,
    /// Memory that it commits or will free, in mebibytes.
    pub memory: id::Mebibytes,
    /// Why, in one line.
    pub reason: String,
    /// Whether it is for the sake of demand, and so bound by the budget of moves.
    pub spends: bool,
}

/// A model without any copy of the wanted version, for which there is no room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Missing {
    /// The model.
    pub model: id::Model,
    /// What it would need and what there is.
    pub reason: String,
}

/// A copy that failed to load lately.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Avoided {
    /// The engine.
    pub target: id::Target,
    /// The copy.
    pub weights: Weights,
}

/// What a step works on.
#[derive(Clone, Debug)]
pub struct Input<'a> {
    /// The set in force.
    pub set: &'a Set,
    /// The accelerators.
    pub view: View,
    /// Copies that each model should have, in the order of the set.
    pub wanted: Vec<Wanted>,
    /// Loads that the store allows now.
    pub loads: usize,
    /// Moves for the sake of demand that the budget allows now.
    pub moves: usize,
    /// Copies that failed lately and are not tried again yet.
    pub avoided: &'a BTreeSet<Avoided>,
    /// Models that have been without a copy for long, in the order of the set.
    pub desperate: Vec<bool>,
}

/// What a step decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Orders to give.
    pub wishes: Vec<Wish>,
    /// Models for which there is no room.
    pub missing: Vec<Missing>,
}

/// Plans one step.
#[must_use]
pub fn step(input: Input<'_>) -> Plan {
    let mut step = Step::new(input);
    step.remove();
    step.cover();
    step.roll();
    step.multiply();
    step.plan
}

pub(crate) struct Step<'a> {
    pub(crate) input: Input<'a>,
    pub(crate) tally: Tally,
    plan: Plan,
    unloads: usize,
}

impl<'a> Step<'a> {
    pub(crate) fn new(mut input: Input<'a>) -> Self {
        let tally = Tally::of(&mut input.view, input.set, &input.wanted);
        Self {
            input,
            tally,
            plan: Plan::default(),
            unloads: 0,
        }
    }

    /// Unloads copies of models that left the set.
    fn remove(&mut self) {
        for place in 0..self.input.view.places.len() {
            let seat = &self.input.view.places[place];
            let gone =
                |copy: &Copy| copy.model.is_none() && copy.state == State::Resident && !copy.busy;
            let copies = seat.copies.iter().enumerate();
            let gone = copies.filter(|(_, copy)| gone(copy)).map(|(n, _)| n);
            let gone: Vec<usize> = gone.filter(|_| seat.stays() || seat.drained).collect();
            for copy in gone {
                self.unload(place, copy, "the model left the set".to_owned(), false);
            }
        }
    }

    /// Gives every model a first copy, the most important first.
    fn cover(&mut self) {
        let set = self.input.set;
        let bare = (0..set.models.len()).filter(|model| self.tally.bare(*model));
        let mut bare: Vec<usize> = bare.collect();
        bare.sort_by_key(|model| {
            let Model { importance, .. } = set.models[*model];
            Reverse((importance, set.models[*model].footprint()))
        });
        for model in bare {
            let why = "first copy: no reachable replica holds the model";
            match Search::urgent(self, model).find() {
                Found::Nothing(reason) => self.miss(model, reason),
                found => self.act(model, found, why, false),
            }
        }
    }

    fn miss(&mut self, model: usize, reason: String) {
        self.plan.missing.push(Missing {
            model: self.input.set.models[model].name.clone(),
            reason,
        });
    }

    /// Brings models to the version that the set names.
    fn roll(&mut self) {
        for model in 0..self.input.set.models.len() {
            let count = self.tally.models[model];
            if count.older == 0 {
                continue;
            }
            let wanted = self.input.wanted[model].copies;
            if count.current + count.coming < wanted {
                let name = &self.input.set.models[model];
                let why = format!("roll to version {}", name.version);
                match Search::urgent(self, model).find() {
                    Found::Nothing(reason) => {
                        self.miss(model, reason);
                        self.retire(model, "no room for both versions");
                    }
                    found => self.act(model, found, &why, false),
                }
            }
            if count.current > 0 && count.current + count.older > wanted {
                self.retire(model, "a copy of the new version is resident");
            }
        }
    }

    /// Unloads one copy of an older version.
    ///
    /// The last copy of a model goes before its successor is loaded only where no
    /// accelerator has room for both and its room is what the successor needs.
    fn retire(&mut self, model: usize, why: &str) {
        let needed = self.input.set.models[model].footprint();
        let count = self.tally.models[model];
        let last = count.stays <= 1;
        let waits = count.current > 0 || count.coming > 0 || !self.input.desperate[model];
        if last && (waits || self.may_fit(model)) {
            return;
        }
        let places = self.input.view.places.iter().enumerate();
        let older = places.flat_map(|(place, seat)| {
            let copies = seat.copies.iter().enumerate();
            let old = copies.filter(|(_, copy)| copy.model == Some(model) && !copy.current);
            let idle = old.filter(|(_, copy)| copy.state == State::Resident && !copy.busy);
            let fits = move |memory| !last || seat.free + seat.coming + memory >= needed;
            let idle = idle.filter(move |(_, copy)| seat.stays() && fits(copy.memory));
            idle.map(move |(copy, _)| (place, copy))
        });
        let Some((place, copy)) = older.take(1).next() else {
            return;
        };
        let why = if last {
            format!("{why}: the last copy goes first, since no accelerator has room beside it")
        } else {
            why.to_owned()
        };
        self.unload(place, copy, why, false);
    }

    /// Returns whether `model` may fit beside the copies that have to stay, now or
    /// once what is in doubt is known.
    fn may_fit(&self, model: usize) -> bool {
        let needed = self.input.set.models[model].footprint();
        let places = self.input.view.places.iter();
        let mut places = places.filter(|place| place.reach != Reach::Gone && !place.drained);
        places.any(|place| {
            let stays = |copy: &&Copy| {
                let model = copy.model.map(|model| self.tally.models[model]);
                copy.state != State::Stray && model.is_some_and(|count| count.stays <= 1)
            };
            let fixed = place.copies.iter().filter(stays);
            let fixed: id::Mebibytes = fixed.map(|copy| copy.memory).sum();
            !place.stays() || place.size >= fixed + needed
        })
    }

    /// Gives models the copies that the set and their demand ask for.
    fn multiply(&mut self) {
        let set = self.input.set;
        let mut short: Vec<usize> = (0..set.models.len())
            .filter(|model| self.short(*model) > 0 && !self.tally.bare(*model))
            .collect();
        short.sort_by(|a, b| {
            let key = |model: usize| (self.asked(model), self.gain(model));
            key(*b)
                .partial_cmp(&key(*a))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        for model in short {
            if self.input.loads == 0 {
                return;
            }
            let asked = self.asked(model);
            if !asked && self.input.moves == 0 {
                continue;
            }
            let why = format!(
                "copy {} of {}: {}",
                self.tally.models[model].all() + 1,
                self.input.wanted[model].copies,
                self.input.wanted[model].reason
            );
            let worth = if asked { usize::MAX } else { self.worth(model) };
            if worth == 0 {
                continue;
            }
            let found = Search::spare(self, model, worth).find();
            self.act(model, found, &why, !asked);
        }
    }

    /// Returns how many copies `model` lacks.
    fn short(&self, model: usize) -> u32 {
        let has = self.tally.models[model].all();
        self.input.wanted[model].copies.saturating_sub(has)
    }

    /// Returns whether operators asked for the copy that `model` lacks.
    fn asked(&self, model: usize) -> bool {
        self.tally.models[model].all() < self.input.set.models[model].copies
    }

    /// Returns the accelerators' worth of demand that one copy more would serve.
    fn gain(&self, model: usize) -> f64 {
        let has = f64::from(self.tally.models[model].all());
        (self.input.wanted[model].work * 1.2 - has).clamp(0.0, 1.0)
    }

    /// Returns how many moves one copy more is worth under the weights of the set.
    fn worth(&self, model: usize) -> usize {
        let weights = self.input.set.placement;
        if weights.moves_weight == 0 {
            return usize::MAX;
        }
        let gain = self.gain(model).max(0.1) * f64::from(weights.attainment_weight);
        let worth = gain / f64::from(weights.moves_weight);
        // The value is not negative and is cut at the bound.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let worth = worth.min(1e6) as usize;
        worth
    }

    fn act(&mut self, model: usize, found: Found, why: &str, spends: bool) {
        match found {
            Found::Place(place) => self.load(model, place, why.to_owned(), spends),
            Found::Evict(place, copies) => {
                let name = self.input.set.models[model].name.clone();
                for copy in copies {
                    let why = self.cost(place, copy, &format!("makes room for {name}; {why}"));
                    self.unload(place, copy, why, spends);
                }
                self.reserve(model, place);
            }
            Found::Move { moved, to, from } => {
                let name = &self.input.set.models[model].name;
                let from = &self.input.view.places[from].target;
                let why = format!("leaves {from} to make room for {name}; {why}");
                self.load(moved, to, why, false);
            }
            Found::Wait(place) => self.reserve(model, place),
            Found::Nothing(_) => {}
        }
    }

    /// Says where a model loses its last copy.
    fn cost(&self, place: usize, copy: usize, why: &str) -> String {
        let models = &self.input.set.models;
        let victim = self.input.view.places[place].copies[copy].model;
        let last = victim.filter(|model| self.tally.models[*model].stays <= 1);
        last.map_or_else(
            || why.to_owned(),
            |model| {
                format!(
                    "last copy of importance {}, {why}",
                    models[model].importance
                )
            },
        )
    }

    /// Keeps room that is coming back on `place` for `model`.
    fn reserve(&mut self, model: usize, place: usize) {
        let needed = self.input.set.models[model].footprint();
        let seat = &mut self.input.view.places[place];
        let of_free = needed.min(seat.free);
        seat.free -= of_free;
        seat.coming = seat.coming.saturating_sub(needed - of_free);
    }

    fn load(&mut self, model: usize, place: usize, reason: String, spends: bool) {
        if self.input.loads == 0 {
            return self.reserve(model, place);
        }
        let wanted = &self.input.set.models[model];
        let weights = Weights::wanted(wanted);
        let memory = wanted.footprint();
        let seat = &mut self.input.view.places[place];
        let known = seat.copy(&weights).map_or(0, |copy| copy.memory);
        seat.free = seat.free.saturating_sub(memory.saturating_sub(known));
        self.plan.wishes.push(Wish {
            target: seat.target.clone(),
            incarnation: seat.incarnation,
            action: Action::Load(weights.copy()),
            memory,
            reason,
            spends,
        });
        seat.copies.retain(|copy| copy.weights != weights);
        seat.copies.push(Copy {
            model: Some(model),
            current: true,
            weights,
            memory,
            state: State::Loading,
            busy: true,
            late: false,
        });
        self.input.loads -= 1;
        self.input.moves = self.input.moves.saturating_sub(usize::from(spends));
        self.tally.load(
            model,
            place,
            &self.input.wanted[model],
            &mut self.input.view,
        );
    }

    fn unload(&mut self, place: usize, copy: usize, reason: String, spends: bool) {
        if self.unloads >= UNLOADS {
            return;
        }
        self.unloads += 1;
        let seat = &mut self.input.view.places[place];
        let copy = &mut seat.copies[copy];
        copy.state = State::Unloading;
        copy.busy = true;
        seat.coming += copy.memory;
        self.plan.wishes.push(Wish {
            target: seat.target.clone(),
            incarnation: seat.incarnation,
            action: Action::Unload(copy.weights.copy()),
            memory: copy.memory,
            reason,
            spends,
        });
        self.input.moves = self.input.moves.saturating_sub(usize::from(spends));
        let (model, current) = (copy.model, copy.current);
        if let Some(model) = model {
            self.tally.unload(model, place, current, &self.input.view);
        }
    }
}
