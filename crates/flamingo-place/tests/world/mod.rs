//! A tiny world: engines, a log, leaders and a network that loses, delays, doubles
//! and reorders everything.

pub mod fake;

use fake::Fake;
use flamingo_place::account::{ExchangeResult, STRAY};
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

/// An order on its way.
#[derive(Clone, Debug)]
struct Letter {
    dispatch: Dispatch,
    node: usize,
    sent: Instant,
    copy: bool,
}

/// One control instance.
#[derive(Debug)]
struct Node {
    placer: Placer,
    /// The log as this instance has applied it; a deposed leader's stands still.
    book: Intents,
    fence: id::Fence,
}

pub struct World {
    pub now: Instant,
    pub engines: Vec<Fake>,
    pub book: Intents,
    pub leader: usize,
    pub restarted: bool,
    pub sent: usize,
    pub set: Set,
    nodes: Vec<Node>,
    fence: id::Fence,
    proposals: VecDeque<Output>,
    letters: Vec<Letter>,
    reports: Vec<Announcement>,
    drained: Vec<id::Target>,
    version: id::Version,
    passed: u64,
    known: BTreeSet<id::Model>,
}

pub fn model(name: &str, weights: id::Mebibytes, copies: u32) -> Model {
    Model {
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
        let engines = (0..3).map(|n| Fake::new(&format!("e{n}"), sizes[n], fenced[n]));
        let models = vec![
            model("a", 3, 1),
            model("b", 2, 2),
            model("c", 4, 1),
            model("d", 1, 1),
        ];
        let node = || Node {
            placer: Placer::new(now),
            book: Intents::default(),
            fence: 0,
        };
        let mut world = Self {
            now,
            engines: engines.collect(),
            book: Intents::default(),
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
            letters: Vec::new(),
            reports: Vec::new(),
            drained: Vec::new(),
            version: 0,
            passed: 0,
            known: BTreeSet::new(),
        };
        world.configure();
        world.elect(0, false);
        world.hear();
        world
    }

    /// Gives the leader a fresh report of every engine.
    fn hear(&mut self) {
        for n in 0..3 {
            let announcement = self.engines[n].announce(&format!("z{n}"));
            let Self {
                nodes, leader, now, ..
            } = self;
            nodes[*leader].placer.announce(&announcement, *now);
        }
    }

    /// Lets time pass; engines are not all silent for minutes.
    fn pass(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.passed += seconds;
        if self.passed > 300 {
            self.passed = 0;
            self.hear();
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

    fn elect(&mut self, node: usize, keep: bool) {
        while keep && self.commit() {}
        self.proposals.clear();
        self.fence += 1;
        self.leader = node;
        let Self {
            nodes,
            book,
            fence,
            now,
            ..
        } = self;
        nodes[node].book = book.clone();
        nodes[node].fence = *fence;
        nodes[node].placer.lead(*fence, book, *now);
    }

    fn commit(&mut self) -> bool {
        let Some(output) = self.proposals.pop_front() else {
            return false;
        };
        match output {
            Output::Propose(order) => {
                self.book.intend(order);
            }
            Output::Settle(settlement) => {
                self.book.settle(&settlement);
            }
            _ => {}
        }
        self.nodes[self.leader].book = self.book.clone();
        true
    }

    fn tick(&mut self, node: usize) {
        let leads = node == self.leader;
        let Node { placer, book, .. } = &mut self.nodes[node];
        for output in placer.tick(book, self.now) {
            match output {
                Output::Send(dispatch) => {
                    self.sent += 1;
                    self.letters.push(Letter {
                        dispatch,
                        node,
                        sent: self.now,
                        copy: false,
                    });
                }
                Output::Propose(_) | Output::Settle(_) if leads => self.proposals.push_back(output),
                _ => {}
            }
        }
    }

    /// Delivers an order, perhaps leaving a copy behind that comes again later.
    fn deliver(&mut self, number: usize, again: bool, answered: bool) {
        let letter = self.letters.remove(number);
        let order = &letter.dispatch.order;
        let engine = self
            .engines
            .iter_mut()
            .find(|engine| engine.name == order.target);
        let engine = engine.unwrap();
        // An engine that checks nothing meets a doubled order within the stated time.
        if letter.copy && !engine.fenced && letter.sent + STRAY <= self.now {
            return;
        }
        let taken = engine.take(order);
        if again {
            self.letters.push(Letter {
                copy: true,
                ..letter.clone()
            });
        }
        if !letter.copy {
            let exchange = match (answered, taken) {
                (false, _) => ExchangeResult::Lost,
                (true, true) => ExchangeResult::Answered,
                (true, false) => ExchangeResult::Refused,
            };
            self.nodes[letter.node]
                .placer
                .record_exchange(order.id, exchange);
        }
    }

    fn report(&mut self, number: usize, node: usize, keep: bool) {
        let announcement = if keep {
            self.reports[number].clone()
        } else {
            self.reports.remove(number)
        };
        self.nodes[node].placer.announce(&announcement, self.now);
    }

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
            9..=11 if !self.letters.is_empty() => {
                self.deliver(a % self.letters.len(), b % 4 == 0, b % 3 != 0);
            }
            12 if !self.letters.is_empty() => {
                // Its sender gives up on it; it still wanders.
                let letter = &self.letters[a % self.letters.len()];
                let order = letter.dispatch.order.id;
                self.nodes[letter.node]
                    .placer
                    .record_exchange(order, ExchangeResult::Lost);
            }
            13 if !self.letters.is_empty() => {
                let letter = self.letters.remove(a % self.letters.len());
                let order = letter.dispatch.order.id;
                let exchange = if b % 2 == 0 {
                    ExchangeResult::Lost
                } else {
                    ExchangeResult::Unsent
                };
                self.nodes[letter.node]
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
            // A deposed leader that passed its check before it froze.
            20 => self.tick(1 - self.leader),
            21 if b % 5 == 0 => {
                self.restarted = true;
                self.engines[engine].restart();
            }
            21 => self.pass(a as u64 % 7),
            22 if b % 4 == 0 => {
                self.set.models[a % 4].version += 1;
                self.configure();
            }
            22 => self.pass(a as u64 % 40),
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

    /// Returns the first promise that is broken.
    pub fn broken(&mut self) -> Option<String> {
        for engine in &self.engines {
            if engine.committed() > engine.size {
                return Some(format!("engine over-committed: {engine:?}"));
            }
            let account = self.nodes[self.leader].placer.account();
            let counted = account.committed(&engine.name, self.now);
            if account.newest(&engine.name).is_some() && counted > engine.size {
                return Some(format!(
                    "account over-committed on {}: {counted}",
                    engine.name
                ));
            }
        }
        self.unreachable().or_else(|| self.raced())
    }

    fn unreachable(&mut self) -> Option<String> {
        for model in &self.set.models {
            let has = |engine: &Fake| engine.resident.keys().any(|copy| copy.model == model.name);
            let reachable = self.engines.iter().any(has);
            if reachable {
                self.known.insert(model.name.clone());
            } else if self.known.contains(&model.name) && !self.restarted {
                return Some(format!("model {} lost its last copy", model.name));
            }
        }
        None
    }

    fn raced(&self) -> Option<String> {
        for order in self.book.intents.values() {
            let reverse = self.book.intents.values().find(|other| {
                other.target == order.target
                    && Weights::ordered(other) == Weights::ordered(order)
                    && matches!(other.action, Action::Load(_))
                        != matches!(order.action, Action::Load(_))
            });
            if let Some(reverse) = reverse {
                return Some(format!("order {} is raced by {}", order.id, reverse.id));
            }
        }
        None
    }

    /// Lets 20 minutes pass with a network that works.
    ///
    /// A copy that failed often is not tried again there for up to 320 s, and a model
    /// waits a minute before its last copy gives way: a roll can meet both twice.
    pub fn settle(&mut self) {
        for _ in 0..1_200 {
            self.now += Duration::from_secs(1);
            self.tick(self.leader);
            while self.commit() {}
            while !self.letters.is_empty() {
                self.deliver(0, false, true);
            }
            for engine in &mut self.engines {
                engine.finish(Outcome::Done);
            }
            self.hear();
        }
    }
}
