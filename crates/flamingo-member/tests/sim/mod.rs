//! Simulation of membership state machines in virtual time, on a network that loses,
//! duplicates and reorders messages.

#![allow(dead_code, reason = "each test uses some of the functions")]

use flamingo_member::Machine;
use flamingo_member::machine::{Action, ExchangeId, TICK_INTERVAL};
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident};
use flamingo_wire::config::Snapshot;
use flamingo_wire::event::Event;
use flamingo_wire::gossip::{Message, Peer, Role};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Overhead of one message in bytes: frame, HTTP/2, TCP and IP.
pub const OVERHEAD_BYTES: usize = 200;
/// Time between two announcements of a target.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a call to a process that does not respond is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Something that arrives at a node.
#[derive(Clone, Debug)]
enum Arrival {
    Request(usize, ExchangeId, Box<Message>),
    Answer(ExchangeId, Box<Message>),
    Tick,
}

#[derive(Clone, Debug)]
struct Delivery {
    to: usize,
    epoch: u64,
    sent: Instant,
    arrival: Arrival,
}

/// One simulated entry.
pub struct Node {
    pub machine: Machine,
    pub up: bool,
    pub frozen: bool,
    pub events: Vec<(Instant, Event)>,
    pub sent: usize,
    pub received: usize,
    pub messages: usize,
    pub zone: String,
    epoch: u64,
    delayed: Vec<Delivery>,
}

/// One simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    pub announcement: Announcement,
    pub up: bool,
    next: Instant,
}

/// The simulated entries, targets and network.
pub struct Sim {
    pub now: Instant,
    pub start: Instant,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    /// Share of messages that are lost, in thousandths.
    pub loss: u64,
    /// Share of messages that are duplicated, in thousandths.
    pub duplication: u64,
    /// Network partition of each node; nodes of different partitions can't reach each other.
    pub partition: Vec<usize>,
    pub seeds: usize,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), Delivery>,
    count: u64,
}

pub fn address(node: usize) -> SocketAddr {
    let [.., high, low] = node.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7401))
}

pub fn name(node: usize) -> String {
    format!("entry-{node}")
}

impl Sim {
    /// Creates one zone for each element of `zones`, with that many entries. The seeds of each
    /// entry are the first `seeds` entries of each zone.
    pub fn new(seed: u64, zones: &[usize]) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            start: now,
            nodes: Vec::new(),
            targets: Vec::new(),
            loss: 0,
            duplication: 0,
            partition: Vec::new(),
            seeds: 2,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            count: 0,
        };
        for (zone, entries) in zones.iter().enumerate() {
            for _ in 0..*entries {
                sim.add(format!("zone-{zone}"));
            }
        }
        sim
    }

    fn add(&mut self, zone: String) {
        let n = self.nodes.len();
        let machine = self.machine(n, &zone);
        self.nodes.push(Node {
            machine,
            up: true,
            frozen: false,
            events: Vec::new(),
            sent: 0,
            received: 0,
            messages: 0,
            zone,
            epoch: 0,
            delayed: Vec::new(),
        });
        self.partition.push(0);
        let phase = self.below(100);
        self.schedule(Duration::from_millis(phase), n, 0, Arrival::Tick);
    }

    fn machine(&mut self, n: usize, zone: &str) -> Machine {
        let elapsed = self.now.duration_since(self.start).as_millis();
        let me = Peer {
            node: name(n),
            role: Role::Entry,
            zone: zone.to_owned(),
            address: address(n),
            incarnation: 1_000_000 + u64::try_from(elapsed).unwrap(),
            version: 0,
        };
        let mut seed_nodes: Vec<_> = (0..self.nodes.len().max(1)).collect();
        let zones: Vec<_> = self.nodes.iter().map(|node| node.zone.clone()).collect();
        seed_nodes.retain(|n| {
            let before = zones.iter().take(*n);
            let same = before.filter(|zone| zones.get(*n) == Some(zone));
            same.count() < self.seeds
        });
        let seeds = seed_nodes.into_iter().map(address).collect();
        Machine::new(me, seeds, self.rng.next_u64(), self.now)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    /// Adds a target to a zone and returns its index.
    pub fn target(&mut self, zone: usize) -> usize {
        let n = self.targets.len();
        let [.., high, low] = n.to_be_bytes();
        let resident = Resident {
            model: format!("model-{n}"),
            version: 1,
            adapters: vec![format!("adapter-{n}-1"), format!("adapter-{n}-2")],
        };
        let announcement = Announcement {
            target: format!("engine-{n}"),
            incarnation: 1,
            sequence: 0,
            zone: format!("zone-{zone}"),
            address: SocketAddr::from(([10, 1, high, low], 8000)),
            availability: Availability::Serving,
            load: Load::default(),
            kind: Kind::Engine(Engine {
                memory: 80_000,
                fenced: true,
                resident: vec![resident],
                loading: Vec::new(),
                ended: Vec::new(),
            }),
        };
        let phase = self.below(500);
        self.targets.push(Target {
            announcement,
            up: true,
            next: self.now + Duration::from_millis(phase),
        });
        n
    }

    fn schedule(&mut self, delay: Duration, to: usize, epoch: u64, arrival: Arrival) {
        self.count += 1;
        let delivery = Delivery {
            to,
            epoch,
            sent: self.now,
            arrival,
        };
        self.queue.insert((self.now + delay, self.count), delivery);
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.queue.first_key_value().map(|(key, _)| *key);
            let announce = self.targets.iter().filter(|target| target.up);
            let announce = announce.map(|target| target.next).min();
            let at = next.map_or(end, |(at, _)| at);
            if let Some(first) = announce.filter(|first| *first <= at && *first <= end) {
                self.now = self.now.max(first);
                self.announce_due();
                continue;
            }
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if let Some((_, delivery)) = self.queue.pop_first() {
                self.deliver(delivery);
            }
        }
    }

    /// Runs until `done` holds and returns the time that took; `None` if `limit` passed first.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    fn announce_due(&mut self) {
        for n in 0..self.targets.len() {
            if self.targets[n].up && self.targets[n].next <= self.now {
                self.targets[n].next = self.now + ANNOUNCE_INTERVAL;
                let running = u32::try_from(self.below(32)).unwrap();
                self.targets[n].announcement.load.running = running;
                self.announce(n);
            }
        }
    }

    /// Makes a target announce itself to a running entry of its zone; different targets prefer
    /// different entries.
    pub fn announce(&mut self, n: usize) {
        self.targets[n].announcement.sequence += 1;
        let announcement = self.targets[n].announcement.clone();
        let accepts = |node: &Node| node.up && !node.frozen && node.zone == announcement.zone;
        let all: Vec<_> = (0..self.nodes.len()).collect();
        let mut candidates: Vec<_> = all
            .into_iter()
            .filter(|n| accepts(&self.nodes[*n]))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let len = candidates.len();
        candidates.rotate_left(n % len);
        let now = self.now;
        let actions = self.nodes[candidates[0]]
            .machine
            .announce(now, announcement);
        self.act(candidates[0], actions);
    }

    fn deliver(&mut self, delivery: Delivery) {
        let to = delivery.to;
        let node = &mut self.nodes[to];
        if !node.up || node.epoch != delivery.epoch {
            return;
        }
        if node.frozen {
            node.delayed.push(delivery);
            return;
        }
        let now = self.now;
        match delivery.arrival {
            Arrival::Tick => {
                let actions = node.machine.tick(now);
                let epoch = node.epoch;
                self.schedule(TICK_INTERVAL, to, epoch, Arrival::Tick);
                self.act(to, actions);
            }
            Arrival::Request(from, exchange, message) => {
                node.received += size(&message);
                let (answer, actions) = node.machine.request(now, &message);
                let answer = Arrival::Answer(exchange, Box::new(answer));
                self.transmit(to, from, &answer);
                self.act(to, actions);
            }
            Arrival::Answer(exchange, message) => {
                node.received += size(&message);
                let actions = node.machine.answer(now, exchange, &message);
                self.act(to, actions);
            }
        }
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Emit(event) => self.nodes[from].events.push((self.now, event)),
                Action::Send(envelope) => {
                    let all = 0..self.nodes.len();
                    let to = all
                        .into_iter()
                        .find(|n| address(*n) == envelope.address)
                        .unwrap();
                    let message = Box::new(envelope.message);
                    let arrival = Arrival::Request(from, envelope.exchange, message);
                    self.transmit(from, to, &arrival);
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, arrival: &Arrival) {
        if let Arrival::Request(_, _, message) | Arrival::Answer(_, message) = arrival {
            self.nodes[from].sent += size(message);
            self.nodes[from].messages += 1;
        }
        if self.partition[from] != self.partition[to] {
            return;
        }
        let copies = 1 + u64::from(self.below(1_000) < self.duplication);
        for _ in 0..copies {
            if self.below(1_000) < self.loss {
                continue;
            }
            let delay = Duration::from_micros(500 + self.below(3_000));
            let rare = self.below(20) == 0;
            let delay = if rare && self.loss > 0 {
                delay * 40
            } else {
                delay
            };
            let epoch = self.nodes[to].epoch;
            self.schedule(delay, to, epoch, arrival.clone());
        }
    }

    /// Delivers an announcement to an entry, as a target does.
    pub fn deliver_announcement(&mut self, n: usize, announcement: Announcement) {
        let now = self.now;
        let actions = self.nodes[n].machine.announce(now, announcement);
        self.act(n, actions);
    }

    /// Stops an entry after it has notified the others that it leaves.
    pub fn leave(&mut self, n: usize) {
        let now = self.now;
        let actions = self.nodes[n].machine.leave(now);
        self.act(n, actions);
        self.run(Duration::from_millis(100));
        self.kill(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].up = false;
    }

    pub fn restart(&mut self, n: usize) {
        let zone = self.nodes[n].zone.clone();
        let machine = self.machine(n, &zone);
        let node = &mut self.nodes[n];
        node.machine = machine;
        node.up = true;
        node.frozen = false;
        node.epoch += 1;
        node.events.clear();
        node.delayed.clear();
        let epoch = node.epoch;
        self.schedule(Duration::from_millis(1), n, epoch, Arrival::Tick);
    }

    pub fn freeze(&mut self, n: usize) {
        self.nodes[n].frozen = true;
    }

    /// Wakes a frozen node and delivers the messages that arrived meanwhile, except those whose
    /// call has timed out.
    pub fn wake(&mut self, n: usize) {
        self.nodes[n].frozen = false;
        let now = self.now;
        for delivery in std::mem::take(&mut self.nodes[n].delayed) {
            let tick = matches!(delivery.arrival, Arrival::Tick);
            if tick || now < delivery.sent + CALL_TIMEOUT {
                self.deliver(delivery);
            }
        }
    }

    pub fn config(&mut self, n: usize, version: u64) {
        let snapshot = Snapshot {
            version,
            ..Snapshot::default()
        };
        self.deliver_config(n, &snapshot);
    }

    pub fn deliver_config(&mut self, n: usize, snapshot: &Snapshot) {
        let now = self.now;
        let actions = self.nodes[n].machine.config(now, snapshot);
        self.act(n, actions);
    }

    /// Iterates over the nodes that are up and not frozen.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.up && !node.frozen)
    }

    /// Returns whether the live members known to each live node are exactly the live nodes of
    /// its zone.
    pub fn agreed(&self) -> bool {
        self.live().all(|node| {
            let known: Vec<_> = node
                .machine
                .entries()
                .into_iter()
                .map(|peer| peer.node)
                .collect();
            let all = self.nodes.iter().enumerate();
            let same =
                all.filter(|(_, other)| other.up && !other.frozen && other.zone == node.zone);
            let mut expected: Vec<_> = same.map(|(n, _)| name(n)).collect();
            expected.sort();
            known == expected
        })
    }

    /// Returns whether each live node of a target's zone knows the target with the given `availability`.
    pub fn known(&self, target: usize, availability: Availability) -> bool {
        let target = &self.targets[target].announcement;
        let zone = self.live().filter(|node| node.zone == target.zone);
        let known = |node: &Node| {
            let record = node.machine.table().get(&target.target);
            record.is_some_and(|record| record.announcement.availability == availability)
        };
        zone.into_iter().all(known)
    }
}

pub fn size(message: &Message) -> usize {
    rmp_serde::to_vec_named(message).unwrap().len() + OVERHEAD_BYTES
}
