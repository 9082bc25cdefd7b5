//! Simulation of engines, a log, two control instances, and a network that loses, delays,
//! duplicates and reorders messages.

pub mod engine;

use engine::SimulatedEngine;
use flamingo_place::account::{DUPLICATE_ORDER_LIFETIME, ExchangeResult};
use flamingo_place::intents::Intents;
use flamingo_place::placer::{Dispatch, Output, Placer};
use flamingo_place::weights::Weights;
use flamingo_wire::announce::Announcement;
use flamingo_wire::config::{Model, Placement, Set, Snapshot};
use flamingo_wire::control::{Demand, Report};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Outcome};
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// An order that has been sent and not yet delivered.
#[derive(Clone, Debug)]
struct SentOrder {
    dispatch: Dispatch,
    /// Index of the control instance that sent the order.
    node: usize,
    sent_at: Instant,
    duplicate: bool,
}

/// One control instance.
#[derive(Debug)]
struct Node {
    placer: Placer,
    /// The log as this instance has applied it; no longer updated once it is deposed.
    intents: Intents,
    fence: id::Fence,
}

pub struct World {
    pub now: Instant,
    pub engines: Vec<SimulatedEngine>,
    pub intents: Intents,
    pub leader: usize,
    /// Whether any engine has restarted and lost its copies.
    pub restarted: bool,
    /// Number of orders sent by all leaders.
    pub sent: usize,
    pub set: Set,
    nodes: Vec<Node>,
    fence: id::Fence,
    proposals: VecDeque<Output>,
    in_flight: Vec<SentOrder>,
    reports: Vec<Announcement>,
    drained: Vec<id::Target>,
    version: id::Version,
    /// Seconds passed since the last report of all engines.
    since_reports_s: u64,
    /// Models that have been resident at some time.
    placed: BTreeSet<id::Model>,
}

pub fn model(name: &str, weights: id::Mebibytes, copies: u32) -> Model {
    Model {
        anonymous: false,
        name: name.to_owned(),
        version: 1,
        weights,
        cache: 0,
        copies,
        importance: 1,
        adapters: Vec::new(),
    }
}

impl World {
    pub fn new(fenced: [bool; 3]) -> Self {
        let now = Instant::now();
        let sizes = [10, 9, 8];
        let engines = (0..3).map(|n| SimulatedEngine::new(&format!("e{n}"), sizes[n], fenced[n]));
        let models = vec![
            model("a", 3, 1),
            model("b", 2, 2),
            model("c", 4, 1),
            model("d", 1, 1),
        ];
        let node = || Node {
            placer: Placer::new(now),
            intents: Intents::default(),
            fence: 0,
        };
        let mut world = Self {
            now,
            engines: engines.collect(),
            intents: Intents::default(),
            leader: 0,
            restarted: false,
            sent: 0,
            set: Set {
                models,
                placement: Placement {
                    loads_per_second: 4,
                    ..Placement::default()
                },
                ..Set::default()
            },
            nodes: vec![node(), node()],
            fence: 0,
            proposals: VecDeque::new(),
            in_flight: Vec::new(),
            reports: Vec::new(),
            drained: Vec::new(),
            version: 0,
            since_reports_s: 0,
            placed: BTreeSet::new(),
        };
        world.configure();
        world.elect(0, false);
        world.report_all();
        world
    }

    /// Delivers a new report of every engine to the leader.
    fn report_all(&mut self) {
        for n in 0..3 {
            let announcement = self.engines[n].announce(&format!("z{n}"));
            let Self {
                nodes, leader, now, ..
            } = self;
            nodes[*leader].placer.announce(&announcement, *now);
        }
    }

    /// Advances the time. All engines report at least every 300 s, so that none counts as gone.
    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.since_reports_s += seconds;
        if self.since_reports_s > 300 {
            self.since_reports_s = 0;
            self.report_all();
        }
    }

    fn configure(&mut self) {
        self.version += 1;
        for node in &mut self.nodes {
            node.placer.configure(Snapshot {
                version: self.version,
                set: self.set.clone(),
                drained: self.drained.clone(),
            });
        }
    }

    /// Makes an instance the leader, after committing the pending proposals or dropping them.
    fn elect(&mut self, node: usize, commit_pending: bool) {
        while commit_pending && self.commit() {}
        self.proposals.clear();
        self.fence += 1;
        self.leader = node;
        let Self {
            nodes,
            intents,
            fence,
            now,
            ..
        } = self;
        nodes[node].intents = intents.clone();
        nodes[node].fence = *fence;
        nodes[node].placer.lead(*fence, intents, *now);
    }

    fn commit(&mut self) -> bool {
        let Some(output) = self.proposals.pop_front() else {
            return false;
        };
        match output {
            Output::Propose(order) => {
                self.intents.intend(order);
            }
            Output::Settle(settlement) => {
                self.intents.settle(&settlement);
            }
            _ => {}
        }
        self.nodes[self.leader].intents = self.intents.clone();
        true
    }

    fn tick(&mut self, node: usize) {
        let leads = node == self.leader;
        let Node {
            placer, intents, ..
        } = &mut self.nodes[node];
        for output in placer.tick(intents, self.now) {
            match output {
                Output::Send(dispatch) => {
                    self.sent += 1;
                    self.in_flight.push(SentOrder {
                        dispatch,
                        node,
                        sent_at: self.now,
                        duplicate: false,
                    });
                }
                Output::Propose(_) | Output::Settle(_) if leads => self.proposals.push_back(output),
                _ => {}
            }
        }
    }

    /// Delivers an order. With `duplicate`, a copy of it stays in flight; without `answered`, the
    /// sender does not learn the result.
    fn deliver(&mut self, index: usize, duplicate: bool, answered: bool) {
        let sent = self.in_flight.remove(index);
        let order = &sent.dispatch.order;
        let engine = self
            .engines
            .iter_mut()
            .find(|engine| engine.name == order.target);
        let engine = engine.unwrap();
        // The network delivers duplicates to an unfenced engine only within their lifetime.
        if sent.duplicate && !engine.fenced && sent.sent_at + DUPLICATE_ORDER_LIFETIME <= self.now {
            return;
        }
        let accepted = engine.receive(order);
        if duplicate {
            self.in_flight.push(SentOrder {
                duplicate: true,
                ..sent.clone()
            });
        }
        if !sent.duplicate {
            let exchange = match (answered, accepted) {
                (false, _) => ExchangeResult::Lost,
                (true, true) => ExchangeResult::Answered,
                (true, false) => ExchangeResult::Refused,
            };
            self.nodes[sent.node]
                .placer
                .record_exchange(order.id, exchange);
        }
    }

    /// Delivers a report to an instance. With `keep`, the report can be delivered again.
    fn report(&mut self, index: usize, node: usize, keep: bool) {
        let announcement = if keep {
            self.reports[index].clone()
        } else {
            self.reports.remove(index)
        };
        self.nodes[node].placer.announce(&announcement, self.now);
    }

    /// Performs the action that the three bytes select.
    pub fn act(&mut self, op: u8, a: u8, b: u8) {
        let (a, b) = (usize::from(a), usize::from(b));
        let engine = a % 3;
        match op % 24 {
            0..=3 => {
                self.now += Duration::from_millis(300);
                self.tick(self.leader);
            }
            4..=6 => while self.commit() {},
            7 => {
                self.commit();
            }
            8 => {
                let model = &self.set.models[a % 4];
                let demand = vec![Demand {
                    model: model.name.clone(),
                    requests: 20,
                    met: 10,
                    refused: 0,
                    tokens: 1_000 * b as u64,
                }];
                let report = Report {
                    demand,
                    ..Report::default()
                };
                self.nodes[self.leader].placer.report(&report, self.now);
            }
            9..=11 if !self.in_flight.is_empty() => {
                self.deliver(a % self.in_flight.len(), b % 4 == 0, b % 3 != 0);
            }
            12 if !self.in_flight.is_empty() => {
                // The sender times out while the order is still in flight.
                let sent = &self.in_flight[a % self.in_flight.len()];
                let order = sent.dispatch.order.id;
                self.nodes[sent.node]
                    .placer
                    .record_exchange(order, ExchangeResult::Lost);
            }
            13 if !self.in_flight.is_empty() => {
                let sent = self.in_flight.remove(a % self.in_flight.len());
                let order = sent.dispatch.order.id;
                let exchange = if b % 2 == 0 {
                    ExchangeResult::Lost
                } else {
                    ExchangeResult::Unsent
                };
                self.nodes[sent.node]
                    .placer
                    .record_exchange(order, exchange);
            }
            14 | 15 => self.engines[engine].finish(Outcome::Done),
            16 if b % 3 == 0 => self.engines[engine].finish(Outcome::Failed),
            16..=18 => {
                let announcement = self.engines[engine].announce(&format!("z{engine}"));
                self.reports.push(announcement);
                if b % 2 == 0 {
                    self.report(self.reports.len() - 1, self.leader, true);
                }
            }
            19 if !self.reports.is_empty() => {
                self.report(a % self.reports.len(), b % 2, b % 3 == 0);
            }
            20 if b % 4 == 0 => self.elect(a % 2, b % 8 == 0),
            // A deposed leader that froze after it had checked that it leads.
            20 => self.tick(1 - self.leader),
            21 if b % 5 == 0 => {
                self.restarted = true;
                self.engines[engine].restart();
            }
            21 => self.advance(a as u64 % 7),
            22 if b % 4 == 0 => {
                self.set.models[a % 4].version += 1;
                self.configure();
            }
            22 => self.advance(a as u64 % 40),
            23 if b % 4 == 0 => {
                let name = self.engines[engine].name.clone();
                if !self.drained.contains(&name) && self.drained.is_empty() {
                    self.drained.push(name);
                } else {
                    self.drained.clear();
                }
                self.configure();
            }
            _ => self.now += Duration::from_millis(500),
        }
    }

    /// Returns the first violation of an invariant, or `None`.
    pub fn violation(&mut self) -> Option<String> {
        for engine in &self.engines {
            if engine.committed() > engine.size {
                return Some(format!("engine over-committed: {engine:?}"));
            }
            let account = self.nodes[self.leader].placer.account();
            let counted = account.committed(&engine.name, self.now);
            if account.newest_report(&engine.name).is_some() && counted > engine.size {
                return Some(format!(
                    "account over-committed on {}: {counted}",
                    engine.name
                ));
            }
        }
        self.lost_model().or_else(|| self.conflicting_orders())
    }

    /// Returns a model whose last copy was lost although no engine restarted.
    fn lost_model(&mut self) -> Option<String> {
        for model in &self.set.models {
            let has = |engine: &SimulatedEngine| {
                engine.resident.keys().any(|copy| copy.model == model.name)
            };
            let reachable = self.engines.iter().any(has);
            if reachable {
                self.placed.insert(model.name.clone());
            } else if self.placed.contains(&model.name) && !self.restarted {
                return Some(format!("model {} lost its last copy", model.name));
            }
        }
        None
    }

    /// Returns a load and an unload of the same copy that are outstanding together.
    fn conflicting_orders(&self) -> Option<String> {
        for order in self.intents.outstanding.values() {
            let opposite = self.intents.outstanding.values().find(|other| {
                other.target == order.target
                    && Weights::of_order(other) == Weights::of_order(order)
                    && matches!(other.action, Action::Load(_))
                        != matches!(order.action, Action::Load(_))
            });
            if let Some(opposite) = opposite {
                return Some(format!(
                    "orders {} and {} for the same copy are outstanding together",
                    order.id, opposite.id
                ));
            }
        }
        None
    }

    /// Runs 20 minutes without network faults.
    ///
    /// The backoff of a copy is at most 320 s, and the last copy of a model is unloaded only after
    /// a minute without room: a roll of a version can meet both twice.
    pub fn run_without_faults(&mut self) {
        for _ in 0..1_200 {
            self.now += Duration::from_secs(1);
            self.tick(self.leader);
            while self.commit() {}
            while !self.in_flight.is_empty() {
                self.deliver(0, false, true);
            }
            for engine in &mut self.engines {
                engine.finish(Outcome::Done);
            }
            self.report_all();
        }
    }
}
