//! Simulates a day and compares attainment per accelerator and moves per hour of the planner with
//! those of a static placement, a greedy one, and an oracle that knows the demand.
//!
//! `cargo run --release -p flamingo-place --example day -- [parks|kovacik|design] [SEED]`
//!
//! Model: each accelerator generates up to `tokens_per_copy` tokens per second, shared by its
//! resident copies. The demand for a model is distributed over its copies in proportion to their
//! remaining capacity, in several rounds. Demand beyond that misses the latency objective.
//! Attainment per accelerator is the fraction of the day's tokens that were served, divided by
//! the fraction of accelerators used (here all, so it is the fraction served).
//!
//! Static: the placement for the day's mean demand. Greedy: copies for the current demand, moves
//! cost nothing. Oracle: the planner with the highest demand of the next hour, moves cost nothing.
//! The last row is an upper bound for every placement.

// All counts of the simulation are far below the range in which the conversions lose precision.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use flamingo_place::intents::Intents;
use flamingo_place::placer::{Output, Placer};
use flamingo_place::weights::Weights;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load};
use flamingo_wire::config::{Model, Placement, Set, Snapshot};
use flamingo_wire::control::{Demand, Report};
use flamingo_wire::place::{Action, Completion, Order, Outcome};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between two steps of the simulation, in seconds.
const STEP_S: u64 = 10;
/// Length of a day, in seconds.
const DAY_S: u64 = 24 * 3_600;
/// Duration of a load at full speed, in seconds.
const LOAD_S: u64 = 10;
/// Tokens per second that an accelerator generates.
const CAPACITY: f64 = 400.0;

/// How the placement is decided; see the head of this file.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Static,
    Greedy,
    Planner,
    Oracle,
}

/// Size and demand of a deployment.
struct Shape {
    models: usize,
    engines: usize,
    zones: usize,
    /// Memory of an accelerator in mebibytes.
    memory: u64,
    /// Mean demand as a fraction of the capacity of all accelerators.
    load: f64,
    /// Mean number of bursts per day and model, each a tenfold rise.
    bursts: f64,
    /// Whether demand differs between day and night.
    daily: bool,
    /// Loads from the weight store that may run concurrently.
    loads_at_once: u32,
    /// Loads from the weight store that may start per second.
    loads_per_second: u32,
}

fn shape(name: &str) -> Shape {
    let parks = Shape {
        models: 17,
        engines: 10,
        zones: 3,
        memory: 80_000,
        load: 0.45,
        bursts: 1.0,
        daily: false,
        loads_at_once: 6,
        loads_per_second: 1,
    };
    match name {
        "parks" => parks,
        "kovacik" => Shape {
            models: 13,
            load: 0.55,
            bursts: 2.0,
            daily: true,
            loads_at_once: 8,
            ..parks
        },
        _ => Shape {
            models: 370,
            engines: 1_300,
            zones: 15,
            load: 0.5,
            bursts: 1.0,
            daily: true,
            ..parks
        },
    }
}

/// Returns the demand for each model in tokens per second, for each step of the day.
fn demand(shape: &Shape, seed: u64) -> Vec<Vec<f64>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut unit = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let steps = (DAY_S / STEP_S) as usize;
    let weights: Vec<f64> = (0..shape.models)
        .map(|n| 1.0 / (n as f64 + 1.0).powf(0.7))
        .collect();
    let sum: f64 = weights.iter().sum();
    let total = shape.load * shape.engines as f64 * CAPACITY;
    let mut all = vec![vec![0.0; shape.models]; steps];
    for model in 0..shape.models {
        let mean = total * weights[model] / sum;
        let night = unit() < 0.3;
        let count = (shape.bursts * (0.5 + unit())).round() as usize;
        let bursts: Vec<usize> = (0..count)
            .map(|_| (unit() * steps as f64) as usize)
            .collect();
        for (step, row) in all.iter_mut().enumerate() {
            let hour = step as f64 * STEP_S as f64 / 3_600.0;
            let day = if shape.daily {
                let phase = if night { 2.0 } else { 14.0 };
                1.0 + 0.8 * ((hour - phase) * std::f64::consts::TAU / 24.0).cos()
            } else {
                1.0
            };
            // A burst is a sudden tenfold rise that lasts 80 minutes.
            let in_burst = bursts
                .iter()
                .any(|start| step >= *start && step < start + 480);
            let burst = if in_burst { 10.0 } else { 1.0 };
            row[model] = mean * day * burst * (0.9 + 0.2 * unit());
        }
    }
    let mean = all.iter().flatten().sum::<f64>() / steps as f64;
    for value in all.iter_mut().flatten() {
        *value *= total / mean;
    }
    all
}

/// All simulated engines.
struct Fleet {
    /// Memory of the resident copies, by engine.
    copies: Vec<BTreeMap<Weights, u64>>,
    /// Loads in progress with the second in which they end, by engine.
    loading: Vec<Vec<(u64, Order)>>,
    ended: Vec<Vec<Completion>>,
    sequence: u64,
    /// Orders that the engines have received.
    moves: u64,
}

impl Fleet {
    fn announce(&self, shape: &Shape, number: usize) -> Announcement {
        Announcement {
            target: format!("e{number:04}"),
            incarnation: 1,
            sequence: self.sequence,
            zone: format!("z{}", number % shape.zones),
            address: ([127, 0, 0, 1], 1).into(),
            availability: Availability::Serving,
            load: Load::default(),
            kind: Kind::Engine(Engine {
                memory: shape.memory,
                fenced: true,
                resident: self.copies[number]
                    .keys()
                    .map(Weights::to_resident)
                    .collect(),
                loading: self.loading[number]
                    .iter()
                    .map(|(_, order)| Weights::of_order(order).to_resident())
                    .collect(),
                ended: self.ended[number].clone(),
            }),
        }
    }

    fn receive(&mut self, order: Order, at: u64) {
        let number: usize = order.target[1..].parse().unwrap();
        match &order.action {
            Action::Load(_) => self.loading[number].push((at + LOAD_S, order)),
            Action::Unload(copy) => {
                self.copies[number].remove(&Weights::of(copy));
                self.record_completion(number, order.id);
            }
        }
        self.moves += 1;
    }

    fn record_completion(&mut self, number: usize, order: u64) {
        let ended = &mut self.ended[number];
        ended.push(Completion {
            order,
            outcome: Outcome::Done,
        });
        if ended.len() > 64 {
            ended.remove(0);
        }
    }

    fn finish_loads(&mut self, at: u64) {
        for number in 0..self.copies.len() {
            let (done, rest): (Vec<_>, Vec<_>) = self.loading[number]
                .drain(..)
                .partition(|(ready, _)| *ready <= at);
            self.loading[number] = rest;
            for (_, order) in done {
                self.copies[number].insert(Weights::of_order(&order), order.memory);
                self.record_completion(number, order.id);
            }
        }
    }

    /// Returns the tokens per second that are served for each model.
    fn serve(&self, names: &BTreeMap<String, usize>, demand: &[f64]) -> Vec<f64> {
        let mut remaining = vec![CAPACITY; self.copies.len()];
        let mut engines = vec![Vec::new(); demand.len()];
        for (number, copies) in self.copies.iter().enumerate() {
            for weights in copies.keys() {
                engines[names[&weights.model]].push(number);
            }
        }
        let mut unmet = demand.to_vec();
        for _ in 0..8 {
            for model in 0..demand.len() {
                let available: f64 = engines[model].iter().map(|engine| remaining[*engine]).sum();
                if available <= 0.0 || unmet[model] <= 0.0 {
                    continue;
                }
                let served = (unmet[model] * 0.5).min(available);
                for engine in &engines[model] {
                    remaining[*engine] -= remaining[*engine] * served / available;
                }
                unmet[model] -= served;
            }
        }
        demand
            .iter()
            .zip(unmet)
            .map(|(demand, unmet)| demand - unmet)
            .collect()
    }
}

/// Result of one run.
struct Result {
    /// Percentage of tokens that were served.
    attainment: f64,
    moves_per_hour: f64,
    /// Mean time for which less than 95% of a model's demand was served, in seconds.
    recovery_s: f64,
}

/// Sums from which the result of a run is computed.
#[derive(Default)]
struct Score {
    /// Tokens per second that were requested, summed over all steps.
    requested: f64,
    /// Tokens per second that were served, summed over all steps.
    served: f64,
    /// Time in seconds since each model fell below 95% served; 0 if it has not.
    below_s: Vec<u64>,
    /// Durations in seconds of all such periods that have ended.
    recovered: Vec<f64>,
}

impl Score {
    fn add(&mut self, demand: &[f64], served: &[f64]) {
        self.below_s.resize(demand.len(), 0);
        self.requested += demand.iter().sum::<f64>();
        self.served += served.iter().sum::<f64>();
        for model in 0..demand.len() {
            if served[model] < 0.95 * demand[model] {
                self.below_s[model] += STEP_S;
            } else if self.below_s[model] > 0 {
                self.recovered.push(self.below_s[model] as f64);
                self.below_s[model] = 0;
            }
        }
    }
}

/// Returns the attainment in percent if every accelerator could serve every model.
fn bound(shape: &Shape, days: &[Vec<f64>]) -> f64 {
    let capacity = shape.engines as f64 * CAPACITY;
    let requested: f64 = days.iter().flatten().sum();
    let rows = days.iter().map(|row| row.iter().sum::<f64>().min(capacity));
    100.0 * rows.sum::<f64>() / requested
}

/// The simulation of one policy.
struct Run<'a> {
    shape: &'a Shape,
    days: &'a [Vec<f64>],
    policy: Policy,
    start: Instant,
    models: Vec<Model>,
    placer: Placer,
    intents: Intents,
    fleet: Fleet,
}

/// Steps before the day in which copies for the mean demand are loaded; not scored.
const WARM_UP_STEPS: usize = 600;

impl<'a> Run<'a> {
    fn new(shape: &'a Shape, days: &'a [Vec<f64>], policy: Policy, weight: Option<u32>) -> Self {
        let start = Instant::now();
        let models = (0..shape.models).map(|n| Model {
            anonymous: false,
            name: format!("m{n:03}"),
            version: 1,
            weights: 12_000 + 1_000 * (n as u64 % 9),
            cache: 4_000,
            copies: 1,
            importance: 1,
            adapters: Vec::new(),
        });
        let models: Vec<Model> = models.collect();
        let is_planner = policy == Policy::Planner;
        let budget = 60 * (1 + shape.engines as u32 / 100);
        let placement = Placement {
            loads_at_once: shape.loads_at_once,
            loads_per_second: shape.loads_per_second,
            tokens_per_copy: CAPACITY as u32,
            moves_per_hour: if is_planner { budget } else { 1_000_000 },
            moves_weight: if is_planner { weight.unwrap_or(1) } else { 0 },
            ..Placement::default()
        };
        let mut placer = Placer::new(start);
        placer.configure(Snapshot {
            version: 1,
            set: Set {
                models: models.clone(),
                placement,
                ..Set::default()
            },
            drained: Vec::new(),
        });
        let intents = Intents::default();
        placer.lead(1, &intents, start);
        let fleet = Fleet {
            copies: vec![BTreeMap::new(); shape.engines],
            loading: vec![Vec::new(); shape.engines],
            ended: vec![Vec::new(); shape.engines],
            sequence: 0,
            moves: 0,
        };
        Self {
            shape,
            days,
            policy,
            start,
            models,
            placer,
            intents,
            fleet,
        }
    }

    fn run(mut self) -> Result {
        let names = self.models.iter().enumerate();
        let names = names.map(|(n, model)| (model.name.clone(), n)).collect();
        let means = (0..self.shape.models).map(|model| {
            let sum: f64 = self.days.iter().map(|row| row[model]).sum();
            sum / self.days.len() as f64
        });
        let mean: Vec<f64> = means.collect();
        let mut score = Score::default();
        for step in 0..WARM_UP_STEPS + self.days.len() {
            let at = step as u64 * STEP_S;
            let day_step = step.checked_sub(WARM_UP_STEPS);
            let row = day_step.map_or(&mean, |step| &self.days[step]);
            if step == WARM_UP_STEPS {
                self.fleet.moves = 0;
            }
            self.fleet.sequence += 1;
            self.fleet.finish_loads(at);
            let served = self.fleet.serve(&names, row);
            if day_step.is_some() {
                score.add(row, &served);
            }
            if self.policy != Policy::Static || day_step.is_none() {
                self.report(day_step, row, &served, at);
                self.run_placer(at);
            }
        }
        let hours = self.days.len() as f64 * STEP_S as f64 / 3_600.0;
        let count = score.recovered.len().max(1) as f64;
        Result {
            attainment: 100.0 * score.served / score.requested,
            moves_per_hour: self.fleet.moves as f64 / hours,
            recovery_s: score
                .recovered
                .iter()
                .fold(0.0, |sum, seconds| sum + seconds)
                / count,
        }
    }

    /// Gives the placer reports of all engines and of the demand of the last step.
    fn report(&mut self, day_step: Option<usize>, row: &[f64], served: &[f64], at: u64) {
        let now = self.start + Duration::from_secs(at);
        for number in 0..self.shape.engines {
            let announcement = self.fleet.announce(self.shape, number);
            self.placer.announce(&announcement, now);
        }
        let known_demand: Vec<f64> = match (self.policy, day_step) {
            // The highest demand of the next hour.
            (Policy::Oracle, Some(step)) => {
                let next_hour = &self.days[step..(step + 360).min(self.days.len())];
                let highest = |n: usize| next_hour.iter().map(|row| row[n]).fold(0.0, f64::max);
                (0..row.len()).map(highest).collect()
            }
            (Policy::Greedy, Some(_)) => row.to_vec(),
            _ => Vec::new(),
        };
        if self.policy != Policy::Greedy || known_demand.is_empty() {
            let counts = self.models.iter().enumerate().map(|(n, model)| Demand {
                model: model.name.clone(),
                requests: (row[n] * STEP_S as f64 / 100.0) as u32,
                met: (served[n] * STEP_S as f64 / 100.0) as u32,
                refused: 0,
                tokens: (row[n] * STEP_S as f64) as u64,
            });
            let report = Report {
                demand: counts.collect(),
                ..Report::default()
            };
            self.placer.report(&report, now);
        }
        for (model, rate) in self.models.iter().zip(&known_demand) {
            self.placer.estimates().set(&model.name, *rate);
        }
    }

    /// Runs the placer for one step; the log commits at once.
    fn run_placer(&mut self, at: u64) {
        for second in 0..STEP_S {
            let now = self.start + Duration::from_secs(at + second);
            for _ in 0..2 {
                for output in self.placer.tick(&self.intents, now) {
                    match output {
                        Output::Propose(order) => {
                            self.intents.intend(order);
                        }
                        Output::Settle(settlement) => {
                            self.intents.settle(&settlement);
                        }
                        Output::Send(dispatch) => self.fleet.receive(dispatch.order, at + second),
                        Output::Alarm(_) | Output::Clear(_) => {}
                    }
                }
            }
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_else(|| "parks".to_owned());
    let seed = args
        .next()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(20_261_203);
    let hours: usize = args
        .next()
        .and_then(|hours| hours.parse().ok())
        .unwrap_or(24);
    let shape = shape(&name);
    let mut days = demand(&shape, seed);
    days.truncate(hours * 3_600 / STEP_S as usize);
    println!(
        "{name}: {} models, {} accelerators, seed {seed}, {hours} h",
        shape.models, shape.engines
    );
    println!("| policy | attainment % | moves/h | mean s under 95% |");
    println!("|---|---|---|---|");
    for policy in [
        Policy::Static,
        Policy::Greedy,
        Policy::Planner,
        Policy::Oracle,
    ] {
        let result = Run::new(&shape, &days, policy, None).run();
        println!(
            "| {policy:?} | {:.2} | {:.2} | {:.0} |",
            result.attainment, result.moves_per_hour, result.recovery_s
        );
    }
    println!("| any model anywhere | {:.2} | | |", bound(&shape, &days));
    if args.next().is_some() {
        return;
    }
    println!("\n| moves_weight | attainment % | moves/h | mean s under 95% |\n|---|---|---|---|");
    for weight in [0, 1, 2, 4, 6, 8, 10, 20] {
        let result = Run::new(&shape, &days, Policy::Planner, Some(weight)).run();
        println!(
            "| {weight} | {:.2} | {:.2} | {:.0} |",
            result.attainment, result.moves_per_hour, result.recovery_s
        );
    }
}
