//! The state machine of placement: reports, the log and the clock in, orders out.
//!
//! An order goes through three steps: [`Output::Propose`] asks the log to commit
//! the intent; once the book holds it, [`Output::Send`] sends it; once a report of
//! the engine shows its end, [`Output::Settle`] asks the log to record that.

use crate::account::{Account, ExchangeResult};
use crate::demand::{Estimates, Wanted};
use crate::intents::Intents;
use crate::pace::Pace;
use crate::plan::{self, Avoided, Input, Missing, Plan, Wish};
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

/// Time for which a new leader only listens, so that it plans with current reports.
///
/// Entries tell each target's state at least every 5 s.
pub const LISTEN: Duration = Duration::from_secs(6);
/// Time between two planning steps.
const EVERY: Duration = Duration::from_secs(1);
/// Time without a copy after which a model may take the room of less important ones.
pub const DESPERATE: Duration = Duration::from_mins(1);
/// First time for which a failed order isn't repeated; doubles with each failure.
const BACKOFF: Duration = Duration::from_secs(5);
/// Doublings after which the time no longer grows.
const DOUBLINGS: u32 = 6;

/// An order to send now.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The order, under the fencing number of this leadership.
    pub order: Order,
    /// Where the engine takes it.
    pub address: SocketAddr,
}

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Commit the intent of this order.
    Propose(Order),
    /// Send this order, which is committed.
    Send(Dispatch),
    /// Commit that an order has ended.
    Settle(Settlement),
    /// Tell operators that a model has no copy of its version and no room for one.
    Alarm(Missing),
    /// Tell operators that this is over.
    Clear(id::Model),
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    until: Instant,
    count: u32,
}

/// Placement as one control instance knows it.
#[derive(Clone, Debug)]
pub struct Placer {
    account: Account,
    estimates: Estimates,
    snapshot: Snapshot,
    pace: Pace,
    /// While it leads: when it may plan next.
    next: Option<Instant>,
    /// While it leads: when it has heard of every target.
    heard: Option<Instant>,
    failures: BTreeMap<Avoided, Failure>,
    missing: BTreeMap<id::Model, Instant>,
}

impl Placer {
    /// Starts as a follower that knows nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            account: Account::default(),
            estimates: Estimates::new(now),
            snapshot: Snapshot::default(),
            pace: Pace::default(),
            next: None,
            heard: None,
            failures: BTreeMap::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Takes over leadership; `book` holds an applied entry of the leader's own term.
    pub fn lead(&mut self, fence: id::Fence, book: &Intents, now: Instant) {
        self.account.lead(fence, book, now);
        self.next = Some(now + LISTEN);
        self.heard = self.next;
        self.missing.clear();
    }

    /// Gives up leadership: nothing is planned or sent until the next.
    pub fn follow(&mut self) {
        self.next = None;
        self.heard = None;
    }

    /// Returns whether it has led for long enough to know the targets.
    #[must_use]
    pub fn settled(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| heard <= now)
    }

    /// Returns whether it leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.next.is_some()
    }

    /// Takes the configuration in force.
    pub fn configure(&mut self, snapshot: Snapshot) {
        self.account.configure(&snapshot.set);
        self.snapshot = snapshot;
    }

    /// Takes what an entry knows of targets and demand.
    pub fn report(&mut self, report: &Report, now: Instant) {
        for target in &report.targets {
            self.announce(target, now);
        }
        self.estimates.add(&report.demand);
    }

    /// Takes what a target says of itself.
    pub fn announce(&mut self, announcement: &Announcement, now: Instant) {
        self.account.report(announcement, now);
    }

    /// Notes what became of an exchange in which an order was sent.
    pub fn record_exchange(&mut self, order: id::Order, exchange: ExchangeResult) {
        self.account.record_exchange(order, exchange);
    }

    /// Forgets a proposal that certainly never commits.
    pub fn reject(&mut self, order: id::Order) {
        self.account.reject(order);
    }

    /// Acts on what was learnt, with `book` as the log has built it so far.
    pub fn tick(&mut self, book: &Intents, now: Instant) -> Vec<Output> {
        self.estimates.tick(now);
        let Some(next) = self.next else {
            return Vec::new();
        };
        self.account.sync(book, now);
        let mut outputs = self.settle(book, now);
        outputs.extend(self.send(now));
        if next <= now {
            self.next = Some(now + EVERY);
            outputs.extend(self.plan(now));
        }
        outputs
    }

    /// Returns the account.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the estimates of demand, to be set by one who knows it.
    pub fn estimates(&mut self) -> &mut Estimates {
        &mut self.estimates
    }

    fn settle(&mut self, book: &Intents, now: Instant) -> Vec<Output> {
        let ends = self.account.ends(now);
        for settlement in &ends {
            if let Some(order) = book.intents.get(&settlement.end.order) {
                self.learn(order, settlement.end.outcome, now);
            }
        }
        ends.into_iter().map(Output::Settle).collect()
    }

    /// Remembers a failure, or forgets those before a success.
    fn learn(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        let avoided = Avoided {
            target: order.target.clone(),
            weights: Weights::ordered(order),
        };
        if outcome == Outcome::Done {
            self.failures.remove(&avoided);
            return;
        }
        let failure = self.failures.entry(avoided).or_insert(Failure {
            until: now,
            count: 0,
        });
        failure.until = now + BACKOFF * 2_u32.pow(failure.count.min(DOUBLINGS));
        failure.count += 1;
    }

    fn send(&mut self, now: Instant) -> Vec<Output> {
        let due = self.account.due(now);
        let sends = due.into_iter().filter_map(|order| {
            let address = self.account.newest(&order.target)?.address;
            Some(Output::Send(Dispatch { order, address }))
        });
        sends.collect()
    }

    fn plan(&mut self, now: Instant) -> Vec<Output> {
        let set = self.snapshot.set.clone();
        let plan = self.draft(&set, now);
        let mut outputs = self.alarms(&plan, now);
        for wish in plan.wishes {
            self.pace.note(&wish, now);
            let order = self.account.propose(order(wish), now);
            outputs.push(Output::Propose(order));
        }
        outputs
    }

    /// Plans a step for `set` without acting on it.
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
        let avoided: BTreeSet<Avoided> = failures
            .filter(|(_, failure)| failure.until > now)
            .map(|(avoided, _)| avoided.clone())
            .collect();
        for place in &mut view.places {
            for copy in &mut place.copies {
                let key = |avoided: &Avoided| {
                    avoided.target == place.target && avoided.weights == copy.weights
                };
                copy.busy |= !avoided.is_empty() && avoided.iter().any(key);
            }
        }
        let loading = view.places.iter().flat_map(|place| &place.copies);
        let loading = loading
            .filter(|copy| copy.state == State::Loading && !copy.late)
            .count();
        let desperate = set.models.iter().map(|model| {
            let since = self.missing.get(&model.name);
            since.is_some_and(|since| *since + DESPERATE <= now)
        });
        plan::step(Input {
            set,
            loads: self.pace.loads(&set.placement, loading, now),
            moves: self.pace.moves(&set.placement, now),
            avoided: &avoided,
            desperate: desperate.collect(),
            wanted,
            view,
        })
    }

    /// Returns the copies that each model of `set` should have.
    pub(crate) fn wanted(&self, set: &Set, view: &View) -> Vec<Wanted> {
        let mut ready = vec![0; set.models.len()];
        for place in view.places.iter().filter(|place| place.covers()) {
            for copy in &place.copies {
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

    fn alarms(&mut self, plan: &Plan, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        let still: BTreeSet<&id::Model> = plan.missing.iter().map(|one| &one.model).collect();
        let gone = self.missing.keys().filter(|model| !still.contains(model));
        for model in gone.cloned().collect::<Vec<_>>() {
            self.missing.remove(&model);
            outputs.push(Output::Clear(model));
        }
        for missing in &plan.missing {
            if !self.missing.contains_key(&missing.model) {
                self.missing.insert(missing.model.clone(), now);
                outputs.push(Output::Alarm(missing.clone()));
            }
        }
        outputs
    }
}

/// Returns the order for `wish`; the account gives its identity and fencing number.
pub(crate) fn order(wish: Wish) -> Order {
    Order {
        id: 0,
        fence: 0,
        target: wish.target,
        incarnation: wish.incarnation,
        action: wish.action,
        memory: wish.memory,
        reason: wish.reason,
    }
}
