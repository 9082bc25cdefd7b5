//! Answers to operators: what sits where, and why.

use crate::fit;
use crate::placer::{Placer, order};
use crate::view::{Copy as Held, Place, State, View};
use crate::weights::Weights;
use flamingo_wire::admin::{Candidate, Copy, Explanation, Move, Target};
use flamingo_wire::announce::Kind;
use flamingo_wire::config::{Model, Set};
use flamingo_wire::id;
use std::cmp::Reverse;
use std::time::{Instant, SystemTime};

/// Targets that an explanation lists.
const CANDIDATES: usize = 20;

impl Placer {
    /// Returns why `set` must not be accepted, as far as the accelerators are known.
    ///
    /// Nothing is refused while the leader has not listened long enough.
    #[must_use]
    pub fn objection(&self, set: &Set, now: Instant) -> Option<fit::Error> {
        let view = self.view(now);
        let sizes = view.places.iter().filter(|place| place.covers());
        let sizes: Vec<id::Mebibytes> = sizes.map(|place| place.size).collect();
        if sizes.is_empty() || !self.settled(now) {
            return None;
        }
        fit::check(set, &sizes).err()
    }

    /// Returns the engines with their accounts.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<Target> {
        let view = self.view(now);
        let targets = view.places.iter().filter_map(|place| {
            let report = self.account().newest(&place.target)?;
            let Kind::Engine(engine) = &report.kind else {
                return None;
            };
            Some(Target {
                target: place.target.clone(),
                zone: place.zone.clone(),
                kind: "engine".to_owned(),
                availability: report.availability,
                drained: place.drained,
                memory: engine.memory,
                committed: self.account().committed(&place.target, now),
                resident: engine.resident.clone(),
            })
        });
        targets.collect()
    }

    /// Returns all copies.
    #[must_use]
    pub fn placement(&self, now: Instant) -> Vec<Copy> {
        let view = self.view(now);
        let copies = view
            .places
            .iter()
            .flat_map(|place| place.copies.iter().map(|copy| shown(place, copy)));
        let mut copies: Vec<Copy> = copies.collect();
        copies.sort_by(|a, b| (&a.model, &a.target).cmp(&(&b.model, &b.target)));
        copies
    }

    /// Returns why `model` sits where it does, if the set in force names it.
    #[must_use]
    pub fn explain(&self, model: &str, now: Instant) -> Option<Explanation> {
        let set = &self.snapshot().set;
        let number = set.models.iter().position(|known| known.name == model)?;
        let view = self.view(now);
        let wanted = self.wanted(set, &view).swap_remove(number);
        let copies = self.placement(now).into_iter();
        let mut places: Vec<&Place> = view.places.iter().collect();
        places.sort_by_key(|place| (Reverse(place.stays()), Reverse(place.free)));
        let model = &set.models[number];
        let candidates = places.into_iter().take(CANDIDATES);
        Some(Explanation {
            model: model.name.clone(),
            wanted: wanted.copies,
            reason: wanted.reason,
            copies: copies.filter(|copy| copy.model == model.name).collect(),
            candidates: candidates.map(|place| candidate(place, model)).collect(),
        })
    }

    /// Returns the orders that one planning step would give under `set`.
    #[must_use]
    pub fn dry_run(&self, set: &Set, now: Instant) -> Vec<Move> {
        let plan = self.draft(set, now);
        let moves = plan.wishes.into_iter().map(|wish| Move {
            order: order(wish),
            outcome: None,
            at: SystemTime::UNIX_EPOCH,
        });
        moves.collect()
    }

    fn view(&self, now: Instant) -> View {
        View::of(self.account(), self.snapshot(), now)
    }
}

fn shown(place: &Place, copy: &Held) -> Copy {
    Copy {
        model: copy.weights.model.clone(),
        version: copy.weights.version,
        target: place.target.clone(),
        zone: place.zone.clone(),
        state: copy.state.to_string(),
    }
}

fn candidate(place: &Place, model: &Model) -> Candidate {
    let needed = model.footprint();
    let held = place.copy(&Weights::wanted(model));
    let reason = match held.map(|copy| copy.state) {
        Some(State::Resident) => "holds it".to_owned(),
        Some(state) => format!("an order for it is not known to have ended ({state})"),
        None if place.drained => "drained".to_owned(),
        None if !place.stays() => format!("can't be counted on ({})", place.reach),
        None if place.size < needed => format!("too small: {} of {needed} MiB", place.size),
        None if place.free >= needed => "fits".to_owned(),
        None => format!("full: {} of {needed} MiB free", place.free),
    };
    Candidate {
        target: place.target.clone(),
        free: place.free,
        reason,
    }
}
