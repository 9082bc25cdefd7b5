//! Answers to operators' queries: which copies are on which accelerator, and why.

use crate::fit;
use crate::placer::{Placer, order};
use crate::view::{Accelerator, Copy as ViewCopy, State, View};
use crate::weights::Weights;
use flamingo_wire::admin::{Candidate, Copy, Explanation, Move, Target};
use flamingo_wire::announce::Kind;
use flamingo_wire::config::{Model, Set};
use flamingo_wire::id;
use std::cmp::Reverse;
use std::time::{Instant, SystemTime};

/// Maximum number of accelerators that an explanation lists.
const MAX_CANDIDATES: usize = 20;

impl Placer {
    /// Returns why the copies of `set` don't fit on the reachable accelerators, or `None` if they
    /// fit.
    ///
    /// Also returns `None` while no accelerator is reachable, and until the leader has collected
    /// reports for [`TAKEOVER_GRACE`](crate::placer::TAKEOVER_GRACE).
    #[must_use]
    pub fn objection(&self, set: &Set, now: Instant) -> Option<fit::Error> {
        let view = self.view(now);
        let sizes = view
            .accelerators
            .iter()
            .filter(|accelerator| accelerator.is_reachable());
        let sizes: Vec<id::Mebibytes> = sizes.map(|accelerator| accelerator.size).collect();
        if sizes.is_empty() || !self.has_collected_reports(now) {
            return None;
        }
        fit::check(set, &sizes).err()
    }

    /// Returns all engines that have reported, with their memory and resident copies.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<Target> {
        let view = self.view(now);
        let targets = view.accelerators.iter().filter_map(|accelerator| {
            let report = self.account().newest_report(&accelerator.target)?;
            let Kind::Engine(engine) = &report.kind else {
                return None;
            };
            Some(Target {
                target: accelerator.target.clone(),
                zone: accelerator.zone.clone(),
                kind: "engine".to_owned(),
                availability: report.availability,
                drained: accelerator.drained,
                memory: engine.memory,
                committed: self.account().committed(&accelerator.target, now),
                resident: engine.resident.clone(),
            })
        });
        targets.collect()
    }

    /// Returns all copies, sorted by model and target.
    #[must_use]
    pub fn placement(&self, now: Instant) -> Vec<Copy> {
        let view = self.view(now);
        let copies = view.accelerators.iter().flat_map(|accelerator| {
            accelerator
                .copies
                .iter()
                .map(|copy| admin_copy(accelerator, copy))
        });
        let mut copies: Vec<Copy> = copies.collect();
        copies.sort_by(|a, b| (&a.model, &a.target).cmp(&(&b.model, &b.target)));
        copies
    }

    /// Returns why `model` has its copies where they are, or `None` if the set in force does not
    /// contain the model.
    #[must_use]
    pub fn explain(&self, model: &str, now: Instant) -> Option<Explanation> {
        let set = &self.snapshot().set;
        let index = set.models.iter().position(|other| other.name == model)?;
        let view = self.view(now);
        let wanted = self.wanted(set, &view).swap_remove(index);
        let copies = self.placement(now).into_iter();
        let mut accelerators: Vec<&Accelerator> = view.accelerators.iter().collect();
        accelerators.sort_by_key(|accelerator| {
            (
                Reverse(accelerator.is_confirmed()),
                Reverse(accelerator.free),
            )
        });
        let model = &set.models[index];
        let candidates = accelerators.into_iter().take(MAX_CANDIDATES);
        Some(Explanation {
            model: model.name.clone(),
            wanted: wanted.copies,
            reason: wanted.reason,
            copies: copies.filter(|copy| copy.model == model.name).collect(),
            candidates: candidates
                .map(|accelerator| candidate(accelerator, model))
                .collect(),
        })
    }

    /// Returns the orders that one planning step would give if `set` were in force.
    #[must_use]
    pub fn dry_run(&self, set: &Set, now: Instant) -> Vec<Move> {
        let plan = self.draft(set, now);
        let moves = plan.orders.into_iter().map(|planned| Move {
            order: order(planned),
            outcome: None,
            at: SystemTime::UNIX_EPOCH,
        });
        moves.collect()
    }

    fn view(&self, now: Instant) -> View {
        View::of(self.account(), self.snapshot(), now)
    }
}

fn admin_copy(accelerator: &Accelerator, copy: &ViewCopy) -> Copy {
    Copy {
        model: copy.weights.model.clone(),
        version: copy.weights.version,
        target: accelerator.target.clone(),
        zone: accelerator.zone.clone(),
        state: copy.state.to_string(),
    }
}

fn candidate(accelerator: &Accelerator, model: &Model) -> Candidate {
    let needed = model.footprint();
    let copy = accelerator.copy(&Weights::configured(model));
    let reason = match copy.map(|copy| copy.state) {
        Some(State::Resident) => "has the model resident".to_owned(),
        Some(state) => format!("an order for the model may still be in progress ({state})"),
        None if accelerator.drained => "drained".to_owned(),
        None if !accelerator.is_confirmed() => {
            format!("not confirmed as serving ({})", accelerator.reachability)
        }
        None if accelerator.size < needed => {
            format!("too small: {} of {needed} MiB", accelerator.size)
        }
        None if accelerator.free >= needed => "fits".to_owned(),
        None => format!("full: {} of {needed} MiB free", accelerator.free),
    };
    Candidate {
        target: accelerator.target.clone(),
        free: accelerator.free,
        reason,
    }
}
