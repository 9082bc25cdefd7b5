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

use flamingo_place::book::Book;
use flamingo_place::placer::{Output, Placer};
use flamingo_place::weights::Weights;
use flamingo_wire::announce::{Announcement, Engine, Kind, Load, Standing};
use flamingo_wire::config::{Model, Placement, Set, Snapshot};
use flamingo_wire::control::{Demand, Report};
use flamingo_wire::place::{Action, End, Order, Outcome};
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
    ended: Vec<Vec<End>>,
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
            standing: Standing::Serving,
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
        ended.push(End {
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

fn run(shape: &Shape, days: &[Vec<f64>], policy: Policy, weight: Option<u32>) -> Result {
    let start = Instant::now();
    let placement = Placement {
        loads_at_once: shape.at_once,
        loads_per_second: shape.per_second,
        tokens_per_copy: CAPACITY as u32,
        moves_per_hour: if policy == Policy::Planner {
            60 * (1 + shape.engines as u32 / 100)
        } else {
            1_000_000
        },
        moves_weight: match (policy, weight) {
            (Policy::Planner, Some(weight)) => weight,
            (Policy::Planner, None) => 1,
            _ => 0,
        },
        ..Placement::default()
    };
    let models: Vec<Model> = (0..shape.models)
        .map(|n| Model {
            name: format!("m{n:03}"),
            version: 1,
            weights: 12_000 + 1_000 * (n as u64 % 9),
            cache: 4_000,
            copies: 1,
            importance: 1,
            adapters: Vec::new(),
        })
        .collect();
    let names = models
        .iter()
        .enumerate()
        .map(|(n, model)| (model.name.clone(), n))
        .collect();
    let set = Set {
        models: models.clone(),
        placement,
        ..Set::default()
    };
    let mut placer = Placer::new(start);
    placer.configure(Snapshot {
        version: 1,
        set,
        drained: Vec::new(),
    });
    let mut book = Book::default();
    placer.lead(1, &book, start);
    let mut fleet = Fleet {
        copies: vec![BTreeMap::new(); shape.engines],
        loading: vec![Vec::new(); shape.engines],
        ended: vec![Vec::new(); shape.engines],
        sequence: 0,
        moves: 0,
    };
    let mean: Vec<f64> = (0..shape.models)
        .map(|model| days.iter().map(|row| row[model]).sum::<f64>() / days.len() as f64)
        .collect();
    // An hour and more to fill the empty fleet for the mean demand is not counted.
    let warm = 600;
    let (mut asked, mut served, mut fallen, mut recovered) =
        (0.0, 0.0, vec![0_u64; shape.models], Vec::new());
    let mut frozen = false;
    for step in 0..warm + days.len() {
        let at = step as u64 * STEP;
        let now = start + Duration::from_secs(at);
        let row: &[f64] = if step < warm {
            &mean
        } else {
            &days[step - warm]
        };
        if step == warm {
            fleet.moves = 0;
            frozen = policy == Policy::Static;
        }
        fleet.sequence += 1;
        fleet.finish(at);
        for number in 0..shape.engines {
            placer.announce(&fleet.announce(shape, number), now);
        }
        let got = fleet.serve(&names, row);
        if step >= warm {
            asked += row.iter().sum::<f64>();
            served += got.iter().sum::<f64>();
            for model in 0..shape.models {
                if got[model] < 0.95 * row[model] {
                    fallen[model] += STEP;
                } else if fallen[model] > 0 {
                    recovered.push(fallen[model] as f64);
                    fallen[model] = 0;
                }
            }
        }
        match policy {
            Policy::Oracle if step >= warm => {
                // The most that the next ten minutes will ask for.
                let ahead = &days[step - warm..(step - warm + 60).min(days.len())];
                for (n, model) in models.iter().enumerate() {
                    let most = ahead.iter().map(|row| row[n]).fold(0.0, f64::max);
                    placer.estimates().set(&model.name, most);
                }
            }
            Policy::Greedy if step >= warm => {
                for (n, model) in models.iter().enumerate() {
                    placer.estimates().set(&model.name, row[n]);
                }
            }
            _ => {
                let counts = models.iter().enumerate().map(|(n, model)| Demand {
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
                placer.report(&report, now);
            }
        }
        if frozen {
            continue;
        }
        // The log commits at once; loads of one step are spread over its seconds.
        for second in 0..STEP {
            let now = now + Duration::from_secs(second);
            for _ in 0..2 {
                for output in placer.tick(&book, now) {
                    match output {
                        Output::Propose(order) => {
                            book.intend(order);
                        }
                        Output::Settle(settlement) => {
                            book.settle(&settlement);
                        }
                        Output::Send(dispatch) => fleet.take(dispatch.order, at + second),
                        Output::Alarm(_) | Output::Clear(_) => {}
                    }
                }
            }
        }
    }
    Result {
        attained: 100.0 * served / asked,
        moves: fleet.moves as f64 / (days.len() as f64 * STEP as f64 / 3_600.0),
        recovery: recovered.iter().sum::<f64>() / recovered.len().max(1) as f64,
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
        let result = run(&shape, &days, policy, None);
        println!(
            "| {policy:?} | {:.2} | {:.2} | {:.0} |",
            result.attained, result.moves, result.recovery
        );
    }
    if args.next().is_some() {
        return;
    }
    println!("\n| moves_weight | attainment % | moves/h | mean s under 95% |\n|---|---|---|---|");
    for weight in [0, 1, 2, 4, 6, 8, 10, 20] {
        let result = run(&shape, &days, Policy::Planner, Some(weight));
        println!(
            "| {weight} | {:.2} | {:.2} | {:.0} |",
            result.attained, result.moves, result.recovery
        );
    }
}
