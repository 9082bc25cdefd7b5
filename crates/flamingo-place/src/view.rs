//! What one planning step sees of the accelerators.

use crate::account::Account;
use crate::seat::Seat;
use crate::weights::Weights;
use flamingo_wire::announce::Availability;
use flamingo_wire::config::Snapshot;
use flamingo_wire::id;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Silence after which a target's copies no longer count as reachable.
pub const LOST: Duration = Duration::from_secs(15);

/// Silence after which a target is no longer waited for.
pub const GONE: Duration = Duration::from_mins(10);

/// What a copy is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// In memory and ready.
    Resident,
    /// Ordered or being loaded.
    Loading,
    /// Ordered to go.
    Unloading,
    /// Counted, since a doubled order may bring it back.
    Stray,
}

/// Whether the copies of an accelerator can be reached.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reach {
    /// It has been silent for so long that it is not waited for.
    Gone,
    /// It has been silent for too long.
    Lost,
    /// It reports, and is leaving or drained.
    Aside,
    /// It serves, and its newest report may be older than a settled order.
    Likely,
    /// It serves, and its newest report is as new as every settled order.
    Certain,
}

/// One copy on an accelerator.
#[derive(Clone, Debug)]
pub struct Copy {
    /// Position of the model in the set, if it is there.
    pub model: Option<usize>,
    /// Whether it is of the version that the set names.
    pub current: bool,
    /// What it is a copy of.
    pub weights: Weights,
    /// Its memory, in mebibytes.
    pub memory: id::Mebibytes,
    /// What it is doing.
    pub state: State,
    /// Whether an order for it may be under way.
    pub busy: bool,
    /// Whether that order has taken too long to be waited for.
    pub late: bool,
}

/// One accelerator.
#[derive(Clone, Debug)]
pub struct Place {
    /// The engine.
    pub target: id::Target,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its memory, in mebibytes.
    pub size: id::Mebibytes,
    /// Memory that an order may take, in mebibytes.
    pub free: id::Mebibytes,
    /// Memory that unloads under way will return, in mebibytes.
    pub coming: id::Mebibytes,
    /// Whether the engine recognises orders that it must not carry out.
    pub fenced: bool,
    /// Whether its copies can be reached.
    pub reach: Reach,
    /// Whether operators drain it.
    pub drained: bool,
    /// Its copies.
    pub copies: SmallVec<[Copy; 6]>,
    /// Share of its work that its copies' demand asks for; 1 is all of it.
    pub work: f64,
}

impl Place {
    /// Returns whether its copies count as reachable.
    #[must_use]
    pub fn covers(&self) -> bool {
        self.reach >= Reach::Likely
    }

    /// Returns whether its copies are certain, so that others may go for them.
    #[must_use]
    pub fn stays(&self) -> bool {
        self.reach == Reach::Certain
    }

    /// Returns the copy of `weights`, in whatever state.
    #[must_use]
    pub fn copy(&self, weights: &Weights) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.weights == *weights)
    }
}

/// All accelerators.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The accelerators, in the order of their names.
    pub places: Vec<Place>,
}

impl View {
    /// Looks at the accelerators through the account.
    #[must_use]
    pub fn of(account: &Account, snapshot: &Snapshot, now: Instant) -> Self {
        let models = snapshot.set.models.iter().enumerate();
        let numbers = models.map(|(n, model)| (model.name.as_str(), (n, model.version)));
        let look = Look {
            account,
            drained: &snapshot.drained,
            numbers: numbers.collect(),
            now,
        };
        let seats = account.seats.iter();
        Self {
            places: seats
                .map(|(target, seat)| look.place(target, seat))
                .collect(),
        }
    }
}

struct Look<'a> {
    account: &'a Account,
    drained: &'a [id::Target],
    numbers: HashMap<&'a str, (usize, u32)>,
    now: Instant,
}

impl Look<'_> {
    fn place(&self, target: &id::Target, seat: &Seat) -> Place {
        let alive = seat.heard + LOST > self.now;
        let report = seat.report.as_ref();
        let serving = report.is_none_or(|report| report.availability == Availability::Serving);
        let drained = self.drained.contains(target);
        let reach = match (alive, serving && !drained, seat.current()) {
            _ if seat.heard + GONE <= self.now => Reach::Gone,
            (false, ..) => Reach::Lost,
            (true, false, _) => Reach::Aside,
            (true, true, false) => Reach::Likely,
            (true, true, true) => Reach::Certain,
        };
        let copies = self.copies(seat);
        let coming = copies.iter().filter(|copy| copy.state == State::Unloading);
        Place {
            target: target.clone(),
            incarnation: report.map_or(0, |report| report.incarnation),
            zone: report.map_or_else(String::new, |report| report.zone.clone()),
            size: seat.engine().map_or(0, |engine| engine.memory),
            free: seat.free(&self.account.footprints, self.now),
            coming: coming.map(|copy| copy.memory).sum(),
            fenced: seat.engine().is_some_and(|engine| engine.fenced),
            reach,
            drained,
            copies,
            work: 0.0,
        }
    }

    fn copies(&self, seat: &Seat) -> SmallVec<[Copy; 6]> {
        let held = seat.copies(&self.account.footprints, self.now);
        let copies = held.into_iter().map(|held| {
            let known = self.numbers.get(held.weights.model.as_str());
            Copy {
                model: known.map(|(number, _)| *number),
                current: known.is_some_and(|(_, version)| *version == held.weights.version),
                state: state(seat, &held.weights),
                busy: seat.busy(&held.weights, self.now),
                late: seat.late(&held.weights, self.now),
                weights: held.weights,
                memory: held.memory,
            }
        });
        copies.collect()
    }
}

fn state(seat: &Seat, weights: &Weights) -> State {
    let mut open = seat.open.values();
    let ordered = |unloads| {
        move |open: &crate::seat::Open| {
            open.unloads() == unloads && Weights::ordered(&open.order) == *weights
        }
    };
    if open.clone().any(ordered(true)) {
        return State::Unloading;
    }
    if seat.resident(weights) {
        return State::Resident;
    }
    if open.any(ordered(false)) || seat.loading(weights) {
        return State::Loading;
    }
    State::Stray
}
