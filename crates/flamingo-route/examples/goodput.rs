//! Goodput against offered load, in virtual time, for each policy.
//!
//! `cargo run --release -p flamingo-route --example goodput [SEED]`
//!
//! Four entries with a router each stand before engines that batch eight requests
//! and queue the rest in order of arrival. A request's prefill takes a millisecond
//! for eight tokens that are not among the engine's sixteen latest prefixes, then
//! 64 tokens of 10 ms follow. Load reports are 500 ms apart. "Sent on" stands for
//! no admission at all: everything goes to the engines at once.

use flamingo_route::action::{Action, AttemptId, Dispatch, Input};
use flamingo_route::limit::Policy;
use flamingo_route::request::Prefix;
use flamingo_route::{Limit, Pool, Request, Router};
use flamingo_wire::announce::{Announcement, Engine, Kind, Load, Resident, Standing};
use flamingo_wire::config::{Late, Profile, Set, Snapshot};
use flamingo_wire::event::Event;
use flamingo_wire::gossip::{Peer, Role};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

const ENTRIES: usize = 4;
const ENGINES: usize = 10;
const MODELS: u64 = 5;
const BATCH: usize = 8;
const PREFIXES: u64 = 40;
const CACHED: usize = 16;
const PROMPT: u32 = 2_000;
const DECODE: Duration = Duration::from_millis(640);
const REPORT: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_mins(1);
const RANKS: [u8; 3] = [0, 5, 9];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Arrival,
    Report,
    Tick,
    FirstToken(usize, usize, AttemptId),
    End(usize, usize, AttemptId),
}

#[derive(Default)]
struct Machine {
    running: usize,
    waiting: VecDeque<(usize, AttemptId)>,
    cached: VecDeque<u64>,
}

struct Pending {
    arrived: Instant,
    rank: u8,
    prefix: u64,
}

struct Simulation {
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, u64, Happening)>>,
    next: u64,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    machines: Vec<Machine>,
    requests: HashMap<String, Pending>,
    flying: HashMap<(usize, AttemptId), String>,
    offered: [u32; 3],
    met: [u32; 3],
    refused: u32,
    hits: u32,
    starts: u32,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(1);
    let capacity = 10.0 * 8.0 / (DECODE.as_secs_f64() + 0.05);
    println!("seed {seed}, capacity about {capacity:.0} requests/s, {LENGTH:?} a run");
    println!(
        "{:<16} {:>5} {:>9} {:>7} {:>7} {:>7} {:>8} {:>6}",
        "policy", "load", "goodput/s", "rank 0", "rank 5", "rank 9", "refused", "cached"
    );
    let ours = Limit {
        engine_slots: 8,
        ..Limit::default()
    };
    let with = |policy| Limit {
        policy,
        ..ours.clone()
    };
    let sent_on = |policy| Limit {
        admission: false,
        engine_slots: 100_000,
        ..with(policy)
    };
    let policies = [
        ("affine", ours.clone()),
        ("two-choices", with(Policy::TwoChoices)),
        ("least-in-flight", with(Policy::LeastInFlight)),
        ("round-robin", with(Policy::RoundRobin)),
        ("affine sent on", sent_on(Policy::Affine)),
        ("rr sent on", sent_on(Policy::RoundRobin)),
    ];
    for (name, limit) in &policies {
        for load in [0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 10.0] {
            let mut simulation = Simulation::new(limit, seed);
            simulation.run(load * capacity);
            simulation.print(name, load);
        }
    }
}

impl Simulation {
    fn new(limit: &Limit, seed: u64) -> Self {
        let zone = || "zone-a".to_owned();
        let routers =
            (0..ENTRIES).map(|entry| Router::new(zone(), limit.clone(), seed + entry as u64));
        let mut simulation = Self {
            now: Instant::now(),
            heap: BinaryHeap::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            routers: routers.collect(),
            machines: (0..ENGINES).map(|_| Machine::default()).collect(),
            requests: HashMap::new(),
            flying: HashMap::new(),
            offered: [0; 3],
            met: [0; 3],
            refused: 0,
            hits: 0,
            starts: 0,
        };
        let snapshot = Snapshot {
            version: 1,
            set: set(),
            drained: Vec::new(),
        };
        for entry in 0..ENTRIES {
            let news = Event::Config(Box::new(snapshot.clone()));
            simulation.step(entry, Input::Update(news));
            let peers = (0..ENTRIES).map(peer).collect();
            simulation.step(entry, Input::Update(Event::Entries(peers)));
        }
        simulation
    }

    fn run(&mut self, rate: f64) {
        let end = self.now + LENGTH;
        for happening in [Happening::Report, Happening::Tick, Happening::Arrival] {
            self.after(Duration::ZERO, happening);
        }
        while let Some(Reverse((at, _, happening))) = self.heap.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match happening {
                Happening::Arrival => {
                    self.arrive();
                    let uniform = (f64::from(self.random.next_u32()) + 1.0) / 4_294_967_297.0;
                    self.after(Duration::from_secs_f64(-uniform.ln() / rate), happening);
                }
                Happening::Report => {
                    self.report();
                    self.after(REPORT, happening);
                }
                Happening::Tick => {
                    for entry in 0..ENTRIES {
                        self.step(entry, Input::Tick);
                    }
                    self.after(TICK, happening);
                }
                Happening::FirstToken(_, entry, attempt) => self.first_token(entry, attempt),
                Happening::End(machine, entry, attempt) => self.end(machine, entry, attempt),
            }
        }
    }

    fn after(&mut self, time: Duration, happening: Happening) {
        self.next += 1;
        let at = self.now + time;
        self.heap.push(Reverse((at, self.next, happening)));
    }

    fn arrive(&mut self) {
        self.next += 1;
        let id = format!("r{}", self.next);
        let which = (self.random.next_u32() % 3) as usize;
        let model = self.random.next_u64() % MODELS;
        let prefix = model * PREFIXES + self.random.next_u64() % PREFIXES;
        let entry = self.random.next_u32() as usize % ENTRIES;
        self.offered[which] += 1;
        let request = Pending {
            arrived: self.now,
            rank: RANKS[which],
            prefix,
        };
        self.requests.insert(id.clone(), request);
        let chain = [Prefix {
            hash: flamingo_route::ring::hash(prefix),
            tokens: PROMPT,
        }];
        let ask = Request {
            id,
            pool: Pool::Model(format!("model-{model}")),
            profile: Some(format!("rank-{}", RANKS[which])),
            prefixes: chain.into_iter().collect(),
            idempotent: true,
        };
        self.step(entry, Input::Arrive(ask));
    }

    fn report(&mut self) {
        self.next += 1;
        for machine in 0..ENGINES {
            let known = announcement(machine, self.next, &self.machines[machine]);
            for entry in 0..ENTRIES {
                let news = Event::Target(Box::new(known.clone()));
                self.step(entry, Input::Update(news));
            }
        }
    }

    fn step(&mut self, entry: usize, input: Input) {
        for action in self.routers[entry].step(self.now, input) {
            match action {
                Action::Dispatch(dispatch) => self.dispatch(entry, &dispatch),
                Action::Refuse { request, .. } => {
                    self.refused += 1;
                    self.requests.remove(&request);
                }
                Action::Cancel { attempt, .. } => self.cancel(entry, attempt),
                Action::Log(_) => {}
            }
        }
    }

    fn dispatch(&mut self, entry: usize, dispatch: &Dispatch) {
        let machine: usize = dispatch.target[7..].parse().expect("a number");
        let key = (entry, dispatch.attempt);
        self.flying.insert(key, dispatch.request.clone());
        self.machines[machine].waiting.push_back(key);
        self.start(machine);
    }

    fn start(&mut self, number: usize) {
        while self.machines[number].running < BATCH {
            let machine = &mut self.machines[number];
            let Some((entry, attempt)) = machine.waiting.pop_front() else {
                return;
            };
            let request = self.flying.get(&(entry, attempt));
            let Some(request) = request.and_then(|id| self.requests.get(id)) else {
                continue;
            };
            let known = machine.cached.iter().position(|one| *one == request.prefix);
            self.starts += 1;
            self.hits += u32::from(known.is_some());
            if let Some(at) = known {
                machine.cached.remove(at);
            }
            machine.cached.push_back(request.prefix);
            if machine.cached.len() > CACHED {
                machine.cached.pop_front();
            }
            let prefill = if known.is_some() {
                10
            } else {
                u64::from(PROMPT / 8)
            };
            machine.running += 1;
            let first = Duration::from_millis(prefill);
            self.after(first, Happening::FirstToken(number, entry, attempt));
            self.after(first + DECODE, Happening::End(number, entry, attempt));
        }
    }

    fn cancel(&mut self, entry: usize, attempt: AttemptId) {
        // One that waits is skipped when its turn comes; one that runs ends in time.
        self.flying.remove(&(entry, attempt));
    }

    fn first_token(&mut self, entry: usize, attempt: AttemptId) {
        let Some(request) = self.flying.get(&(entry, attempt)) else {
            return;
        };
        if let Some(request) = self.requests.get(request) {
            let which = RANKS.iter().position(|rank| *rank == request.rank);
            let promise = request.arrived + promise(request.rank);
            if self.now <= promise {
                self.met[which.unwrap_or(0)] += 1;
            }
        }
        self.step(entry, Input::Begun(attempt));
    }

    fn end(&mut self, machine: usize, entry: usize, attempt: AttemptId) {
        self.machines[machine].running -= 1;
        if let Some(request) = self.flying.remove(&(entry, attempt)) {
            self.requests.remove(&request);
            self.step(entry, Input::Ended(attempt));
        }
        self.start(machine);
    }

    fn print(&self, name: &str, load: f64) {
        let met: u32 = self.met.iter().sum();
        let goodput = f64::from(met) / LENGTH.as_secs_f64();
        let share = |which: usize| {
            100.0 * f64::from(self.met[which]) / f64::from(self.offered[which].max(1))
        };
        println!(
            "{name:<16} {load:>5.1} {goodput:>9.1} {:>6.1}% {:>6.1}% {:>6.1}% {:>8} {:>5.1}%",
            share(0),
            share(1),
            share(2),
            self.refused,
            100.0 * f64::from(self.hits) / f64::from(self.starts.max(1)),
        );
    }
}

fn peer(number: usize) -> Peer {
    Peer {
        node: format!("entry-{number}"),
        role: Role::Entry,
        zone: "zone-a".into(),
        address: ([127, 0, 0, 1], 7_401).into(),
        incarnation: 1,
        version: 1,
    }
}

fn promise(rank: u8) -> Duration {
    match rank {
        0 => Duration::from_millis(1_700),
        5 => Duration::from_secs(5),
        _ => Duration::from_secs(20),
    }
}

fn set() -> Set {
    let profiles = RANKS.map(|rank| Profile {
        name: format!("rank-{rank}"),
        rank,
        first_token: promise(rank),
        between_tokens: Duration::from_millis(54),
        patience: Duration::from_secs(30),
        late: if rank == 0 { Late::Refuse } else { Late::Serve },
    });
    Set {
        profiles: profiles.to_vec(),
        ..Set::default()
    }
}

fn announcement(number: usize, sequence: u64, machine: &Machine) -> Announcement {
    let resident = (0..MODELS).map(|model| Resident {
        model: format!("model-{model}"),
        version: 1,
        adapters: Vec::new(),
    });
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    Announcement {
        target: format!("engine-{number}"),
        incarnation: 1,
        sequence,
        zone: "zone-a".into(),
        address: ([127, 0, 0, 1], 8_000).into(),
        standing: Standing::Serving,
        load: Load {
            running: count(machine.running),
            waiting: count(machine.waiting.len()),
            ..Load::default()
        },
        kind: Kind::Engine(Engine {
            memory: 80_000,
            fenced: true,
            resident: resident.collect(),
            loading: Vec::new(),
            ended: Vec::new(),
        }),
    }
}
