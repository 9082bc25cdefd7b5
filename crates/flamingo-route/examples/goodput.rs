//! Simulates goodput against offered load in virtual time, for each selection policy.
//!
//! `cargo run --release -p flamingo-route --example goodput [SEED]`
//!
//! Four entries, each with its own router, send requests to engines that batch eight
//! requests and queue the rest in order of arrival. Prefill takes 10 ms if the prompt
//! is among the engine's sixteen latest, and else a millisecond for eight tokens; then
//! 64 tokens of 10 ms follow. Load reports are 500 ms apart. In the rows "sent on"
//! there is no admission: every request goes to an engine at once.

use flamingo_route::action::{Action, AttemptId, Dispatch, Input};
use flamingo_route::limit::Policy;
use flamingo_route::request::Prefix;
use flamingo_route::{Limit, Pool, Request, Router};
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident};
use flamingo_wire::config::{LatePolicy, Profile, Set, Snapshot};
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
const BATCH_SIZE: usize = 8;
const PREFIXES_PER_MODEL: u64 = 40;
const CACHED_PREFIXES: usize = 16;
const PROMPT_TOKENS: u32 = 2_000;
const DECODE_TIME: Duration = Duration::from_millis(640);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_mins(1);
const RANKS: [u8; 3] = [0, 5, 9];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Occurrence {
    Arrival,
    Report,
    Tick,
    FirstToken(usize, usize, AttemptId),
    End(usize, usize, AttemptId),
}

#[derive(Default)]
struct SimulatedEngine {
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
    heap: BinaryHeap<Reverse<(Instant, u64, Occurrence)>>,
    last_id: u64,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    engines: Vec<SimulatedEngine>,
    requests: HashMap<String, Pending>,
    in_flight: HashMap<(usize, AttemptId), String>,
    offered: [u32; 3],
    met: [u32; 3],
    refused: u32,
    cache_hits: u32,
    started: u32,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(1);
    let capacity = 10.0 * 8.0 / (DECODE_TIME.as_secs_f64() + 0.05);
    println!("seed {seed}, capacity about {capacity:.0} requests/s, {RUN_TIME:?} a run");
    println!(
        "{:<16} {:>5} {:>9} {:>7} {:>7} {:>7} {:>8} {:>6}",
        "policy", "load", "goodput/s", "rank 0", "rank 5", "rank 9", "refused", "cached"
    );
    let default = Limit {
        engine_slots: 8,
        ..Limit::default()
    };
    let with = |policy| Limit {
        policy,
        ..default.clone()
    };
    let unlimited = |policy| Limit {
        admission: false,
        engine_slots: 100_000,
        ..with(policy)
    };
    let policies = [
        ("affine", default.clone()),
        ("two-choices", with(Policy::TwoChoices)),
        ("least-in-flight", with(Policy::LeastInFlight)),
        ("round-robin", with(Policy::RoundRobin)),
        ("affine sent on", unlimited(Policy::Affine)),
        ("rr sent on", unlimited(Policy::RoundRobin)),
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
            last_id: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            routers: routers.collect(),
            engines: (0..ENGINES).map(|_| SimulatedEngine::default()).collect(),
            requests: HashMap::new(),
            in_flight: HashMap::new(),
            offered: [0; 3],
            met: [0; 3],
            refused: 0,
            cache_hits: 0,
            started: 0,
        };
        let snapshot = Snapshot {
            version: 1,
            set: set(),
            drained: Vec::new(),
        };
        for entry in 0..ENTRIES {
            let update = Event::Config(Box::new(snapshot.clone()));
            simulation.step(entry, Input::Update(update));
            let peers = (0..ENTRIES).map(peer).collect();
            simulation.step(entry, Input::Update(Event::Entries(peers)));
        }
        simulation
    }

    fn run(&mut self, rate: f64) {
        let end = self.now + RUN_TIME;
        for occurrence in [Occurrence::Report, Occurrence::Tick, Occurrence::Arrival] {
            self.schedule(Duration::ZERO, occurrence);
        }
        while let Some(Reverse((at, _, occurrence))) = self.heap.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match occurrence {
                Occurrence::Arrival => {
                    self.arrive();
                    let uniform = (f64::from(self.random.next_u32()) + 1.0) / 4_294_967_297.0;
                    self.schedule(Duration::from_secs_f64(-uniform.ln() / rate), occurrence);
                }
                Occurrence::Report => {
                    self.report();
                    self.schedule(REPORT_INTERVAL, occurrence);
                }
                Occurrence::Tick => {
                    for entry in 0..ENTRIES {
                        self.step(entry, Input::Tick);
                    }
                    self.schedule(TICK_INTERVAL, occurrence);
                }
                Occurrence::FirstToken(_, entry, attempt) => self.first_token(entry, attempt),
                Occurrence::End(engine, entry, attempt) => self.end(engine, entry, attempt),
            }
        }
    }

    fn schedule(&mut self, time: Duration, occurrence: Occurrence) {
        self.last_id += 1;
        let at = self.now + time;
        self.heap.push(Reverse((at, self.last_id, occurrence)));
    }

    fn arrive(&mut self) {
        self.last_id += 1;
        let id = format!("r{}", self.last_id);
        let class = (self.random.next_u32() % 3) as usize;
        let model = self.random.next_u64() % MODELS;
        let prefix = model * PREFIXES_PER_MODEL + self.random.next_u64() % PREFIXES_PER_MODEL;
        let entry = self.random.next_u32() as usize % ENTRIES;
        self.offered[class] += 1;
        let request = Pending {
            arrived: self.now,
            rank: RANKS[class],
            prefix,
        };
        self.requests.insert(id.clone(), request);
        let chain = [Prefix {
            hash: flamingo_route::ring::hash(prefix),
            tokens: PROMPT_TOKENS,
        }];
        let arrival = Request {
            id,
            pool: Pool::Model(format!("model-{model}")),
            profile: Some(format!("rank-{}", RANKS[class])),
            prefixes: chain.into_iter().collect(),
            fingerprint: 0,
            rank: None,
            idempotent: true,
        };
        self.step(entry, Input::Arrive(arrival));
    }

    fn report(&mut self) {
        self.last_id += 1;
        for engine in 0..ENGINES {
            let announced = announcement(engine, self.last_id, &self.engines[engine]);
            for entry in 0..ENTRIES {
                let update = Event::Target(Box::new(announced.clone()));
                self.step(entry, Input::Update(update));
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
                Action::Probe { .. } | Action::Quarantine(_) | Action::Log(_) => {}
            }
        }
    }

    fn dispatch(&mut self, entry: usize, dispatch: &Dispatch) {
        let engine: usize = dispatch.target[7..].parse().expect("a number");
        let key = (entry, dispatch.attempt);
        self.in_flight.insert(key, dispatch.request.clone());
        self.engines[engine].waiting.push_back(key);
        self.start(engine);
    }

    fn start(&mut self, number: usize) {
        while self.engines[number].running < BATCH_SIZE {
            let engine = &mut self.engines[number];
            let Some((entry, attempt)) = engine.waiting.pop_front() else {
                return;
            };
            let request = self.in_flight.get(&(entry, attempt));
            let Some(request) = request.and_then(|id| self.requests.get(id)) else {
                continue;
            };
            let cached_at = engine
                .cached
                .iter()
                .position(|prefix| *prefix == request.prefix);
            self.started += 1;
            self.cache_hits += u32::from(cached_at.is_some());
            if let Some(at) = cached_at {
                engine.cached.remove(at);
            }
            engine.cached.push_back(request.prefix);
            if engine.cached.len() > CACHED_PREFIXES {
                engine.cached.pop_front();
            }
            let prefill = if cached_at.is_some() {
                10
            } else {
                u64::from(PROMPT_TOKENS / 8)
            };
            engine.running += 1;
            let first = Duration::from_millis(prefill);
            self.schedule(first, Occurrence::FirstToken(number, entry, attempt));
            self.schedule(first + DECODE_TIME, Occurrence::End(number, entry, attempt));
        }
    }

    fn cancel(&mut self, entry: usize, attempt: AttemptId) {
        // `start` skips a cancelled request that still waits; one that runs ends as scheduled.
        self.in_flight.remove(&(entry, attempt));
    }

    fn first_token(&mut self, entry: usize, attempt: AttemptId) {
        let Some(request) = self.in_flight.get(&(entry, attempt)) else {
            return;
        };
        if let Some(request) = self.requests.get(request) {
            let class = RANKS.iter().position(|rank| *rank == request.rank);
            let objective = request.arrived + objective(request.rank);
            if self.now <= objective {
                self.met[class.unwrap_or(0)] += 1;
            }
        }
        self.step(entry, Input::Begun(attempt));
    }

    fn end(&mut self, engine: usize, entry: usize, attempt: AttemptId) {
        self.engines[engine].running -= 1;
        if let Some(request) = self.in_flight.remove(&(entry, attempt)) {
            self.requests.remove(&request);
            self.step(entry, Input::Ended(attempt));
        }
        self.start(engine);
    }

    fn print(&self, name: &str, load: f64) {
        let met: u32 = self.met.iter().sum();
        let goodput = f64::from(met) / RUN_TIME.as_secs_f64();
        let met_percent = |class: usize| {
            100.0 * f64::from(self.met[class]) / f64::from(self.offered[class].max(1))
        };
        println!(
            "{name:<16} {load:>5.1} {goodput:>9.1} {:>6.1}% {:>6.1}% {:>6.1}% {:>8} {:>5.1}%",
            met_percent(0),
            met_percent(1),
            met_percent(2),
            self.refused,
            100.0 * f64::from(self.cache_hits) / f64::from(self.started.max(1)),
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

fn objective(rank: u8) -> Duration {
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
        first_token: objective(rank),
        between_tokens: Duration::from_millis(54),
        max_wait: Duration::from_secs(30),
        late_policy: if rank == 0 {
            LatePolicy::Refuse
        } else {
            LatePolicy::Serve
        },
    });
    Set {
        profiles: profiles.to_vec(),
        ..Set::default()
    }
}

fn announcement(number: usize, sequence: u64, engine: &SimulatedEngine) -> Announcement {
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
        availability: Availability::Serving,
        load: Load {
            running: count(engine.running),
            waiting: count(engine.waiting.len()),
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
