//! The state machine of placement: takes reports, the replicated log and the time, and returns
//! what to do.
//!
//! An order passes three steps. [`Output::Propose`] requests that the log commits the intent.
//! After the intent has been committed, [`Output::Send`] sends the order. After a report of the
//! engine has shown how the order ended, [`Output::Settle`] requests that the log records this.

use crate::account::{Account, ExchangeResult};
use crate::demand::{Estimates, Wanted};
use crate::intents::Intents;
use crate::plan::{self, CopyKey, Input, Plan, PlannedOrder, Unplaced};
use crate::rate_limit::RateLimit;
use crate::view::{State, View};
use crate::weights::Weights;
use flamingo_wire::announce::Announcement;
use flamingo_wire::config::{Set, Snapshot};
use flamingo_wire::control::Report;
use flamingo_wire::id;
use flamingo_wire::place::{Order, Outcome, Settlement};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a new leader only collects reports, so that it plans with current ones.
///
/// Entries report each target's state at least every 5 s.
pub const TAKEOVER_GRACE: Duration = Duration::from_secs(6);
/// Time between two planning steps.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a copy after which a model may evict less important models.
pub const EVICT_LESS_IMPORTANT_AFTER: Duration = Duration::from_mins(1);
/// Time after a first failure before the order is retried; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Doublings of the backoff after which it no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// A committed order to send now.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The order, with the fencing number of this leadership.
    pub order: Order,
    /// Address at which the engine takes orders.
    pub address: SocketAddr,
}

/// Action that the caller has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Commit the intent of this order.
    Propose(Order),
    /// Send this committed order.
    Send(Dispatch),
    /// Commit that an order has ended.
    Settle(Settlement),
    /// Notify operators that there is no room for a model's configured version.
    Alarm(Unplaced),
    /// Notify operators that the alarm for this model is over.
    Clear(id::Model),
}

/// Failures of orders for one copy since its last success.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// When the order may be retried.
    until: Instant,
    count: u32,
}

/// Placement state of one control instance.
#[derive(Clone, Debug)]
pub struct Placer {
    account: Account,
    estimates: Estimates,
    snapshot: Snapshot,
    rate_limit: RateLimit,
    /// When the next planning step is due; `None` on a follower.
    next_plan: Option<Instant>,
    /// When all targets have had time to report to this leader; `None` on a follower.
    reports_collected_at: Option<Instant>,
    failures: BTreeMap<CopyKey, Failure>,
    /// Models that have no room, with the time since when.
    unplaced: BTreeMap<id::Model, Instant>,
}

impl Placer {
    /// Starts as a follower without reports and configuration.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            account: Account::default(),
            estimates: Estimates::new(now),
            snapshot: Snapshot::default(),
            rate_limit: RateLimit::default(),
            next_plan: None,
            reports_collected_at: None,
            failures: BTreeMap::new(),
            unplaced: BTreeMap::new(),
        }
    }

    /// Starts a leadership. `intents` must include a log entry of the leader's own term.
    pub fn lead(&mut self, fence: id::Fence, intents: &Intents, now: Instant) {
        self.account.lead(fence, intents, now);
        self.next_plan = Some(now + TAKEOVER_GRACE);
        self.reports_collected_at = self.next_plan;
        self.unplaced.clear();
    }

    /// Ends the leadership: nothing is planned or sent until the next call of [`Self::lead`].
    pub fn follow(&mut self) {
        self.next_plan = None;
        self.reports_collected_at = None;
    }

    /// Returns whether this instance has led for [`TAKEOVER_GRACE`], so that the reports of all
    /// reachable targets have arrived.
    #[must_use]
    pub fn has_collected_reports(&self, now: Instant) -> bool {
        self.reports_collected_at.is_some_and(|at| at <= now)
    }

    /// Returns whether this instance leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.next_plan.is_some()
    }

    /// Replaces the configuration in force.
    pub fn configure(&mut self, snapshot: Snapshot) {
        self.account.configure(&snapshot.set);
        self.snapshot = snapshot;
    }

    /// Takes an entry's report of targets and demand.
    pub fn report(&mut self, report: &Report, now: Instant) {
        for target in &report.targets {
            self.announce(target, now);
        }
        self.estimates.add(&report.demand);
    }

    /// Takes a target's own report of its state.
    pub fn announce(&mut self, announcement: &Announcement, now: Instant) {
        self.account.report(announcement, now);
    }

    /// Records the result of an exchange in which an order was sent.
    pub fn record_exchange(&mut self, order: id::Order, exchange: ExchangeResult) {
        self.account.record_exchange(order, exchange);
    }

    /// Removes a proposal that can no longer be committed.
    pub fn reject(&mut self, order: id::Order) {
        self.account.reject(order);
    }

    /// Returns what is to be done at `now`, given the intents that the log has applied so far.
    /// Returns nothing on a follower.
    pub fn tick(&mut self, intents: &Intents, now: Instant) -> Vec<Output> {
        self.estimates.tick(now);
        let Some(next_plan) = self.next_plan else {
            return Vec::new();
        };
        self.account.sync(intents, now);
        let mut outputs = self.settle(intents, now);
        outputs.extend(self.send(now));
        if next_plan <= now {
            self.next_plan = Some(now + PLAN_INTERVAL);
            outputs.extend(self.plan(now));
        }
        outputs
    }

    /// Returns the memory account.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the demand estimates, which a simulation may overwrite.
    pub fn estimates(&mut self) -> &mut Estimates {
        &mut self.estimates
    }

    fn settle(&mut self, intents: &Intents, now: Instant) -> Vec<Output> {
        let settlements = self.account.due_settlements(now);
        for settlement in &settlements {
            if let Some(order) = intents.outstanding.get(&settlement.end.order) {
                self.record_outcome(order, settlement.end.outcome, now);
            }
        }
        settlements.into_iter().map(Output::Settle).collect()
    }

    /// Extends the backoff of a copy after a failure, or clears it after a success.
    fn record_outcome(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        let key = CopyKey {
            target: order.target.clone(),
            weights: Weights::of_order(order),
        };
        if outcome == Outcome::Done {
            self.failures.remove(&key);
            return;
        }
        let failure = self.failures.entry(key).or_insert(Failure {
            until: now,
            count: 0,
        });
        failure.until = now + INITIAL_BACKOFF * 2_u32.pow(failure.count.min(MAX_DOUBLINGS));
        failure.count += 1;
    }

    fn send(&mut self, now: Instant) -> Vec<Output> {
        let due = self.account.due_orders(now);
        let sends = due.into_iter().filter_map(|order| {
            let address = self.account.newest_report(&order.target)?.address;
            Some(Output::Send(Dispatch { order, address }))
        });
        sends.collect()
    }

    fn plan(&mut self, now: Instant) -> Vec<Output> {
        let set = self.snapshot.set.clone();
        let plan = self.draft(&set, now);
        let mut outputs = self.alarms(&plan, now);
        for planned in plan.orders {
            self.rate_limit.record(&planned, now);
            let order = self.account.propose(order(planned), now);
            outputs.push(Output::Propose(order));
        }
        outputs
    }

    /// Plans a step as if `set` were in force, without giving its orders.
    #[must_use]
    pub fn draft(&self, set: &Set, now: Instant) -> Plan {
        let snapshot = Snapshot {
            set: set.clone(),
            drained: self.snapshot.drained.clone(),
            version: self.snapshot.version,
        };
        let mut view = View::of(&self.account, &snapshot, now);
        let wanted = self.wanted(set, &view);
        let failures = self.failures.iter();
        let backing_off: BTreeSet<CopyKey> = failures
            .filter(|(_, failure)| failure.until > now)
            .map(|(key, _)| key.clone())
            .collect();
        for accelerator in &mut view.accelerators {
            for copy in &mut accelerator.copies {
                let same_copy =
                    |key: &CopyKey| key.target == accelerator.target && key.weights == copy.weights;
                copy.locked |= !backing_off.is_empty() && backing_off.iter().any(same_copy);
            }
        }
        let loading = view
            .accelerators
            .iter()
            .flat_map(|accelerator| &accelerator.copies);
        let loading = loading
            .filter(|copy| copy.state == State::Loading && !copy.order_overdue)
            .count();
        let may_evict_less_important = set.models.iter().map(|model| {
            let since = self.unplaced.get(&model.name);
            since.is_some_and(|since| *since + EVICT_LESS_IMPORTANT_AFTER <= now)
        });
        plan::step(Input {
            set,
            loads: self
                .rate_limit
                .available_loads(&set.placement, loading, now),
            moves: self.rate_limit.available_moves(&set.placement, now),
            backing_off: &backing_off,
            may_evict_less_important: may_evict_less_important.collect(),
            wanted,
            view,
        })
    }

    /// Returns the copies that each model should have, in the order of `set`.
    pub(crate) fn wanted(&self, set: &Set, view: &View) -> Vec<Wanted> {
        let mut ready = vec![0; set.models.len()];
        for accelerator in view
            .accelerators
            .iter()
            .filter(|accelerator| accelerator.is_reachable())
        {
            for copy in &accelerator.copies {
                if let (State::Resident, Some(model)) = (copy.state, copy.model) {
                    ready[model] += 1;
                }
            }
        }
        let models = set.models.iter().zip(ready);
        models
            .map(|(model, ready)| self.estimates.wanted(model, &set.placement, ready))
            .collect()
    }

    /// Returns an alarm for each model that has become unplaced, and clears those that are over.
    fn alarms(&mut self, plan: &Plan, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        let unplaced: BTreeSet<&id::Model> =
            plan.unplaced.iter().map(|alarm| &alarm.model).collect();
        let over = self
            .unplaced
            .keys()
            .filter(|model| !unplaced.contains(model));
        for model in over.cloned().collect::<Vec<_>>() {
            self.unplaced.remove(&model);
            outputs.push(Output::Clear(model));
        }
        for alarm in &plan.unplaced {
            if !self.unplaced.contains_key(&alarm.model) {
                self.unplaced.insert(alarm.model.clone(), now);
                outputs.push(Output::Alarm(alarm.clone()));
            }
        }
        outputs
    }
}

/// Converts a planned order; the account fills in its identity and fencing number.
pub(crate) fn order(planned: PlannedOrder) -> Order {
    Order {
        id: 0,
        fence: 0,
        target: planned.target,
        incarnation: planned.incarnation,
        action: planned.action,
        memory: planned.memory,
        reason: planned.reason,
    }
}
