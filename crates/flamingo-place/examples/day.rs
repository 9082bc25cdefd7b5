//! A simulated day: attainment per accelerator and moves per hour of the planner
//! against a static placement, a greedy one and an oracle that knows the demand.
//!
//! `cargo run --release -p flamingo-place --example day -- [parks|kovacik|design] [SEED]`
//!
//! The model: each accelerator generates up to `tokens_per_copy` tokens a second,
//! shared by the copies that it holds. Demand of a model is spread over its copies
//! by what they have left, in several rounds. Demand beyond that misses its promise.
//! Attainment per accelerator is the share of the day's tokens that were served,
//! divided by the share of accelerators used (all here, so the share itself).
//!
//! Static: the placement for the day's mean demand. Greedy: copies for the demand of
//! this moment, moves cost nothing. Oracle: the planner with the most that the next
//! hour will ask for, moves cost nothing. The last row is what no placement passes.

// Figures of a simulation: counts are far below what the conversions lose.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use flamingo_place::book::Book;
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

const STEP: u64 = 10;
const DAY: u64 = 24 * 3_600;
/// Time of one load at full speed, in seconds.
const LOAD: u64 = 10;
const CAPACITY: f64 = 400.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Static,
    Greedy,
    Planner,
    Oracle,
}

struct Shape {
    models: usize,
    engines: usize,
    zones: usize,
    memory: u64,
    /// Share of all accelerators' work that the mean demand asks for.
    load: f64,
    /// Bursts of a tenfold rise a day and model.
    bursts: f64,
    /// Whether demand follows day and night.
    daily: bool,
    at_once: u32,
    per_second: u32,
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
        at_once: 6,
        per_second: 1,
    };
    match name {
        "parks" => parks,
        "kovacik" => Shape {
            models: 13,
            load: 0.55,
            bursts: 2.0,
            daily: true,
            at_once: 8,
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

/// Demand of each model over the day, in tokens a second, for each step.
fn demand(shape: &Shape, seed: u64) -> Vec<Vec<f64>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut unit = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let steps = (DAY / STEP) as usize;
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
            let hour = step as f64 * STEP as f64 / 3_600.0;
            let day = if shape.daily {
                let phase = if night { 2.0 } else { 14.0 };
                1.0 + 0.8 * ((hour - phase) * std::f64::consts::TAU / 24.0).cos()
            } else {
                1.0
            };
            // A burst is a tenfold rise at once that stays for 80 minutes.
            let near = bursts
                .iter()
                .any(|start| step >= *start && step < start + 480);
            let burst = if near { 10.0 } else { 1.0 };
            row[model] = mean * day * burst * (0.9 + 0.2 * unit());
        }
    }
    let mean = all.iter().flatten().sum::<f64>() / steps as f64;
    for value in all.iter_mut().flatten() {
        *value *= total / mean;
    }
    all
}

struct Fleet {
    copies: Vec<BTreeMap<Weights, u64>>,
    loading: Vec<Vec<(u64, Order)>>,
    ended: Vec<Vec<Completion>>,
    sequence: u64,
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
                resident: self.copies[number].keys().map(Weights::copy).collect(),
                loading: self.loading[number]
                    .iter()
                    .map(|(_, order)| Weights::ordered(order).copy())
                    .collect(),
                ended: self.ended[number].clone(),
            }),
        }
    }

    fn take(&mut self, order: Order, at: u64) {
        let number: usize = order.target[1..].parse().unwrap();
        match &order.action {
            Action::Load(_) => self.loading[number].push((at + LOAD, order)),
            Action::Unload(copy) => {
                self.copies[number].remove(&Weights::of(copy));
                self.end(number, order.id);
            }
        }
        self.moves += 1;
    }

    fn end(&mut self, number: usize, order: u64) {
        let ended = &mut self.ended[number];
        ended.push(Completion {
            order,
            outcome: Outcome::Done,
        });
        if ended.len() > 64 {
            ended.remove(0);
        }
    }

    fn finish(&mut self, at: u64) {
        for number in 0..self.copies.len() {
            let (done, rest): (Vec<_>, Vec<_>) = self.loading[number]
                .drain(..)
                .partition(|(ready, _)| *ready <= at);
            self.loading[number] = rest;
            for (_, order) in done {
                self.copies[number].insert(Weights::ordered(&order), order.memory);
                self.end(number, order.id);
            }
        }
    }

    /// Returns the tokens a second that each model is served.
    fn serve(&self, names: &BTreeMap<String, usize>, demand: &[f64]) -> Vec<f64> {
        let mut left = vec![CAPACITY; self.copies.len()];
        let mut places = vec![Vec::new(); demand.len()];
        for (number, copies) in self.copies.iter().enumerate() {
            for weights in copies.keys() {
                places[names[&weights.model]].push(number);
            }
        }
        let mut unmet = demand.to_vec();
        for _ in 0..8 {
            for model in 0..demand.len() {
                let room: f64 = places[model].iter().map(|place| left[*place]).sum();
                if room <= 0.0 || unmet[model] <= 0.0 {
                    continue;
                }
                let take = (unmet[model] * 0.5).min(room);
                for place in &places[model] {
                    left[*place] -= left[*place] * take / room;
                }
                unmet[model] -= take;
            }
        }
        demand
            .iter()
            .zip(unmet)
            .map(|(all, unmet)| all - unmet)
            .collect()
    }
}

struct Result {
    attained: f64,
    moves: f64,
    /// Mean time in seconds from a model's fall under 95% served to its return.
    recovery: f64,
}

#[derive(Default)]
struct Score {
    asked: f64,
    served: f64,
    fallen: Vec<u64>,
    recovered: Vec<f64>,
}

impl Score {
    fn add(&mut self, row: &[f64], got: &[f64]) {
        self.fallen.resize(row.len(), 0);
        self.asked += row.iter().sum::<f64>();
        self.served += got.iter().sum::<f64>();
        for model in 0..row.len() {
            if got[model] < 0.95 * row[model] {
                self.fallen[model] += STEP;
            } else if self.fallen[model] > 0 {
                self.recovered.push(self.fallen[model] as f64);
                self.fallen[model] = 0;
            }
        }
    }
}

/// Returns the attainment if every accelerator could serve every model.
fn bound(shape: &Shape, days: &[Vec<f64>]) -> f64 {
    let capacity = shape.engines as f64 * CAPACITY;
    let asked: f64 = days.iter().flatten().sum();
    let rows = days.iter().map(|row| row.iter().sum::<f64>().min(capacity));
    100.0 * rows.sum::<f64>() / asked
}

struct Run<'a> {
    shape: &'a Shape,
    days: &'a [Vec<f64>],
    policy: Policy,
    start: Instant,
    models: Vec<Model>,
    placer: Placer,
    book: Book,
    fleet: Fleet,
}

/// Steps in which the empty fleet is filled for the mean demand; they don't count.
const WARM: usize = 600;

impl<'a> Run<'a> {
    fn new(shape: &'a Shape, days: &'a [Vec<f64>], policy: Policy, weight: Option<u32>) -> Self {
        let start = Instant::now();
        let models = (0..shape.models).map(|n| Model {
            name: format!("m{n:03}"),
            version: 1,
            weights: 12_000 + 1_000 * (n as u64 % 9),
            cache: 4_000,
            copies: 1,
            importance: 1,
            adapters: Vec::new(),
        });
        let models: Vec<Model> = models.collect();
        let planner = policy == Policy::Planner;
        let budget = 60 * (1 + shape.engines as u32 / 100);
        let placement = Placement {
            loads_at_once: shape.at_once,
            loads_per_second: shape.per_second,
            tokens_per_copy: CAPACITY as u32,
            moves_per_hour: if planner { budget } else { 1_000_000 },
            moves_weight: if planner { weight.unwrap_or(1) } else { 0 },
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
        let book = Book::default();
        placer.lead(1, &book, start);
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
            book,
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
        for step in 0..WARM + self.days.len() {
            let at = step as u64 * STEP;
            let counted = step.checked_sub(WARM);
            let row = counted.map_or(&mean, |step| &self.days[step]);
            if step == WARM {
                self.fleet.moves = 0;
            }
            self.fleet.sequence += 1;
            self.fleet.finish(at);
            let got = self.fleet.serve(&names, row);
            if counted.is_some() {
                score.add(row, &got);
            }
            if self.policy != Policy::Static || counted.is_none() {
                self.inform(counted, row, &got, at);
                self.order(at);
            }
        }
        let hours = self.days.len() as f64 * STEP as f64 / 3_600.0;
        let count = score.recovered.len().max(1) as f64;
        Result {
            attained: 100.0 * score.served / score.asked,
            moves: self.fleet.moves as f64 / hours,
            recovery: score.recovered.iter().fold(0.0, |sum, one| sum + one) / count,
        }
    }

    fn inform(&mut self, counted: Option<usize>, row: &[f64], got: &[f64], at: u64) {
        let now = self.start + Duration::from_secs(at);
        for number in 0..self.shape.engines {
            let announcement = self.fleet.announce(self.shape, number);
            self.placer.announce(&announcement, now);
        }
        let known: Vec<f64> = match (self.policy, counted) {
            // The most that the next hour will ask for.
            (Policy::Oracle, Some(step)) => {
                let ahead = &self.days[step..(step + 360).min(self.days.len())];
                let most = |n: usize| ahead.iter().map(|row| row[n]).fold(0.0, f64::max);
                (0..row.len()).map(most).collect()
            }
            (Policy::Greedy, Some(_)) => row.to_vec(),
            _ => Vec::new(),
        };
        if self.policy != Policy::Greedy || known.is_empty() {
            let counts = self.models.iter().enumerate().map(|(n, model)| Demand {
                model: model.name.clone(),
                requests: (row[n] * STEP as f64 / 100.0) as u32,
                met: (got[n] * STEP as f64 / 100.0) as u32,
                refused: 0,
                tokens: (row[n] * STEP as f64) as u64,
            });
            let report = Report {
                demand: counts.collect(),
                ..Report::default()
            };
            self.placer.report(&report, now);
        }
        for (model, rate) in self.models.iter().zip(&known) {
            self.placer.estimates().set(&model.name, *rate);
        }
    }

    /// Lets the placer act; the log commits at once.
    fn order(&mut self, at: u64) {
        for second in 0..STEP {
            let now = self.start + Duration::from_secs(at + second);
            for _ in 0..2 {
                for output in self.placer.tick(&self.book, now) {
                    match output {
                        Output::Propose(order) => {
                            self.book.intend(order);
                        }
                        Output::Settle(settlement) => {
                            self.book.settle(&settlement);
                        }
                        Output::Send(dispatch) => self.fleet.take(dispatch.order, at + second),
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
    days.truncate(hours * 3_600 / STEP as usize);
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
            result.attained, result.moves, result.recovery
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
            result.attained, result.moves, result.recovery
        );
    }
}
