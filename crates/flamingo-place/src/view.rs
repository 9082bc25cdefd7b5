//! Snapshot of the accelerators on which one planning step works.

use crate::account::Account;
use crate::engine_account::EngineAccount;
use crate::weights::Weights;
use flamingo_wire::announce::Availability;
use flamingo_wire::config::Snapshot;
use flamingo_wire::id;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time without a report after which a target's copies count as unreachable.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without a report after which a target is not expected to return.
pub const GONE_TIMEOUT: Duration = Duration::from_mins(10);

/// State of a copy on an accelerator.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// In memory and ready.
    Resident,
    /// A load was ordered or is in progress.
    Loading,
    /// An unload was ordered.
    Unloading,
    /// Counted only because a duplicated order may load the copy again.
    #[strum(serialize = "stray")]
    Uncertain,
}

/// Whether the copies of an accelerator can be reached, from the worst to the best case.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reachability {
    /// No report for [`GONE_TIMEOUT`]; not expected to return.
    Gone,
    /// No report for [`REPORT_TIMEOUT`].
    #[strum(serialize = "lost")]
    Unreachable,
    /// Reports arrive, but the target is leaving or drained.
    #[strum(serialize = "aside")]
    Withdrawn,
    /// The target serves, but its newest report may be older than a settled order.
    #[strum(serialize = "likely")]
    Unconfirmed,
    /// The target serves, and its newest report is as new as every settled order.
    #[strum(serialize = "certain")]
    Confirmed,
}

/// One copy on an accelerator.
#[derive(Clone, Debug)]
pub struct Copy {
    /// Index of the model in the set; `None` if the set does not contain the model.
    pub model: Option<usize>,
    /// Whether the copy has the version that the set names.
    pub current: bool,
    /// Model and version of the copy.
    pub weights: Weights,
    /// Size in mebibytes.
    pub memory: id::Mebibytes,
    /// State of the copy.
    pub state: State,
    /// Whether no new order may be given for the copy, because an order may be in progress or a
    /// failed one is not to be retried yet.
    pub locked: bool,
    /// Whether an open order for the copy has exceeded its timeout.
    pub order_overdue: bool,
}

/// One accelerator.
#[derive(Clone, Debug)]
pub struct Accelerator {
    /// Identity of the engine that runs on the accelerator.
    pub target: id::Target,
    /// Incarnation of the engine; 0 before its first report.
    pub incarnation: id::Incarnation,
    /// Availability zone; empty before the first report.
    pub zone: id::Zone,
    /// Size of the memory in mebibytes; 0 before the first report.
    pub size: id::Mebibytes,
    /// Memory that a new order may use, in mebibytes.
    pub free: id::Mebibytes,
    /// Memory that unloads in progress will free, in mebibytes.
    pub freeing: id::Mebibytes,
    /// Whether the engine checks fencing numbers and refuses duplicate or outdated orders.
    pub fenced: bool,
    /// Whether the copies can be reached.
    pub reachability: Reachability,
    /// Whether operators drain the target.
    pub drained: bool,
    /// All copies that may occupy memory.
    pub copies: SmallVec<[Copy; 6]>,
    /// Demand for the copies as a fraction of the accelerator's capacity; can exceed 1.
    pub utilization: f64,
}

impl Accelerator {
    /// Returns whether the copies count as reachable: the target serves and reports.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.reachability >= Reachability::Unconfirmed
    }

    /// Returns whether the copies are reachable and confirmed by a current report, so that
    /// copies elsewhere may be unloaded in reliance on them.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.reachability == Reachability::Confirmed
    }

    /// Returns the copy of `weights` in any state, or `None` if there is none.
    #[must_use]
    pub fn copy(&self, weights: &Weights) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.weights == *weights)
    }
}

/// All accelerators.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The accelerators, sorted by target.
    pub accelerators: Vec<Accelerator>,
}

impl View {
    /// Builds the view from the account and the configuration. `utilization` stays 0.
    #[must_use]
    pub fn of(account: &Account, snapshot: &Snapshot, now: Instant) -> Self {
        let models = snapshot.set.models.iter().enumerate();
        let models = models.map(|(index, model)| (model.name.as_str(), (index, model.version)));
        let builder = Builder {
            account,
            drained: &snapshot.drained,
            models: models.collect(),
            now,
        };
        let engines = account.engines.iter();
        Self {
            accelerators: engines
                .map(|(target, engine)| builder.accelerator(target, engine))
                .collect(),
        }
    }
}

struct Builder<'a> {
    account: &'a Account,
    drained: &'a [id::Target],
    /// Index in the set and configured version, by model.
    models: HashMap<&'a str, (usize, u32)>,
    now: Instant,
}

impl Builder<'_> {
    fn accelerator(&self, target: &id::Target, engine: &EngineAccount) -> Accelerator {
        let alive = engine.reported_at + REPORT_TIMEOUT > self.now;
        let report = engine.report.as_ref();
        let serving = report.is_none_or(|report| report.availability == Availability::Serving);
        let drained = self.drained.contains(target);
        let reachability = match (alive, serving && !drained, engine.report_is_current()) {
            _ if engine.reported_at + GONE_TIMEOUT <= self.now => Reachability::Gone,
            (false, ..) => Reachability::Unreachable,
            (true, false, _) => Reachability::Withdrawn,
            (true, true, false) => Reachability::Unconfirmed,
            (true, true, true) => Reachability::Confirmed,
        };
        let copies = self.copies(engine);
        let unloading = copies.iter().filter(|copy| copy.state == State::Unloading);
        Accelerator {
            target: target.clone(),
            incarnation: report.map_or(0, |report| report.incarnation),
            zone: report.map_or_else(String::new, |report| report.zone.clone()),
            size: engine.engine().map_or(0, |engine| engine.memory),
            free: engine.free(&self.account.footprints, self.now),
            freeing: unloading.map(|copy| copy.memory).sum(),
            fenced: engine.engine().is_some_and(|engine| engine.fenced),
            reachability,
            drained,
            copies,
            utilization: 0.0,
        }
    }

    fn copies(&self, engine: &EngineAccount) -> SmallVec<[Copy; 6]> {
        let footprints = engine.copies(&self.account.footprints, self.now);
        let copies = footprints.into_iter().map(|footprint| {
            let configured = self.models.get(footprint.weights.model.as_str());
            Copy {
                model: configured.map(|(index, _)| *index),
                current: configured
                    .is_some_and(|(_, version)| *version == footprint.weights.version),
                state: state(engine, &footprint.weights),
                locked: engine.has_pending_order(&footprint.weights, self.now),
                order_overdue: engine.has_overdue_order(&footprint.weights, self.now),
                weights: footprint.weights,
                memory: footprint.memory,
            }
        });
        copies.collect()
    }
}

fn state(engine: &EngineAccount, weights: &Weights) -> State {
    let mut open = engine.open_orders.values();
    let ordered = |unloads| {
        move |open: &crate::engine_account::OpenOrder| {
            open.unloads() == unloads && Weights::of_order(&open.order) == *weights
        }
    };
    if open.clone().any(ordered(true)) {
        return State::Unloading;
    }
    if engine.is_resident(weights) {
        return State::Resident;
    }
    if open.any(ordered(false)) || engine.is_loading(weights) {
        return State::Loading;
    }
    State::Uncertain
}
