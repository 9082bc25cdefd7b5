//! Measures traffic, processor time and convergence of membership in virtual time.
//!
//! `cargo run --release -p flamingo-member --example measure -- [SEED]`

#[path = "../tests/sim/mod.rs"]
mod sim;

use flamingo_wire::announce::Availability;
use flamingo_wire::config::{Adapter, Model, Snapshot};
use flamingo_wire::event::Event;
use sim::{Node, Sim};
use std::time::{Duration, Instant};

const WARM_UP: Duration = Duration::from_secs(40);
const MEASURE_TIME: Duration = Duration::from_mins(1);

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(20_261_203);
    println!("seed {seed}");
    measure_steady_state(seed);
    leaving(seed);
    measure_configuration_change(seed);
    restart(seed);
}

fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index into a short list"
    )]
    let index = ((sorted.len().max(1) - 1) as f64 * fraction) as usize;
    sorted.get(index).copied().unwrap_or_default()
}

fn row(mut times: Vec<Duration>) -> String {
    times.sort();
    let [p50, p99, worst] = [0.5, 0.99, 1.0].map(|fraction| quantile(&times, fraction).as_millis());
    format!(
        "p50 {p50} ms, p99 {p99} ms, worst {worst} ms of {}",
        times.len()
    )
}

/// Measures bytes, processor time and age of loads in a zone without faults.
fn measure_steady_state(seed: u64) {
    println!(
        "zone without faults: entries targets | B/s sent by one: mean worst | B/s received | CPU us/s | age of loads | suspected"
    );
    for (entries, targets) in [
        (2, 13),
        (8, 13),
        (16, 13),
        (27, 13),
        (8, 43),
        (8, 87),
        (27, 43),
        (27, 87),
        (27, 174),
    ] {
        let mut sim = Sim::new(seed, &[entries]);
        for _ in 0..targets {
            sim.target(0);
        }
        sim.run(WARM_UP);
        let before: Vec<_> = sim
            .nodes
            .iter()
            .map(|node| (node.sent, node.received))
            .collect();
        for node in &mut sim.nodes {
            node.events.clear();
        }
        let clock = Instant::now();
        let mut ages = Vec::new();
        for _ in 0..60 {
            sim.run(MEASURE_TIME / 60);
            for node in &sim.nodes {
                let records = node.machine.table().present();
                ages.extend(records.map(|record| sim.now - record.announced_at));
            }
        }
        let nodes = u128::try_from(entries).unwrap();
        let cpu_us = clock.elapsed().as_micros() / 60 / nodes;
        let pairs = || sim.nodes.iter().zip(&before);
        let sent: Vec<_> = pairs()
            .map(|(node, (sent, _))| (node.sent - sent) / 60)
            .collect();
        let received: usize = pairs()
            .map(|(node, (_, seen))| (node.received - seen) / 60)
            .sum();
        let suspected: usize = sim.nodes.iter().map(suspicions).sum();
        println!(
            "{entries:4} {targets:4} | {:5} {:5} | {:5} | {cpu_us:5} | {} | {suspected}",
            sent.iter().sum::<usize>() / entries,
            sent.iter().max().unwrap(),
            received / entries,
            row(ages),
        );
    }
}

fn suspicions(node: &Node) -> usize {
    let events = node.events.iter();
    events
        .filter(|(_, event)| matches!(event, Event::Suspect(_)))
        .count()
}

/// Measures the time until a whole zone knows that a target leaves.
fn leaving(seed: u64) {
    for loss in [0, 200] {
        let mut times = Vec::new();
        for round in 0..200 {
            let mut sim = Sim::new(seed + round, &[27]);
            let target = sim.target(0);
            sim.run(Duration::from_secs(8));
            sim.loss = loss;
            sim.targets[target].announcement.availability = Availability::Leaving;
            sim.announce(target);
            sim.targets[target].up = false;
            let done = |sim: &Sim| sim.known(target, Availability::Leaving);
            times.push(sim.until(Duration::from_mins(1), done).unwrap());
        }
        println!(
            "leaving known to 27 entries, loss {loss} per mille: {}",
            row(times)
        );
    }
}

/// Measures the time until a configuration that one entry received is in force at all
/// entries.
fn measure_configuration_change(seed: u64) {
    for (zones, entries, rounds) in [(1, 8, 50), (3, 3, 50), (15, 27, 10)] {
        for loss in [0, 200] {
            let mut sim = Sim::new(seed, &vec![entries; zones]);
            sim.run(Duration::from_mins(1));
            sim.loss = loss;
            let mut times = Vec::new();
            for version in 1..=rounds {
                let start = sim.now;
                let first =
                    usize::try_from(sim.below(u64::try_from(zones * entries).unwrap())).unwrap();
                sim.config(first, version);
                let all = |sim: &Sim| sim.live().all(|node| node.machine.version() == version);
                sim.until(Duration::from_mins(2), all)
                    .expect("it converges");
                for node in &mut sim.nodes {
                    let events = node.events.iter();
                    let config = events.filter(|(_, event)| matches!(event, Event::Config(_)));
                    times.extend(config.map(|(at, _)| *at - start));
                    node.events.clear();
                }
                sim.run(Duration::from_secs(2));
            }
            println!(
                "configuration held by one of {} entries in {zones} zones, by gossip alone, loss {loss} per mille: {}",
                zones * entries,
                row(times)
            );
        }
    }
}

/// Measures the time and bytes for a zone of 27 entries that restart at once and get the
/// configuration from another zone.
fn restart(seed: u64) {
    let model = |n: u32| Model {
        anonymous: false,
        name: format!("model-{n}"),
        version: 1,
        weights: 8_000,
        cache: 2_000,
        copies: 1,
        importance: 1,
        adapters: vec![Adapter {
            name: format!("adapter-{n}"),
            memory: 100,
        }],
    };
    let mut snapshot = Snapshot {
        version: 500,
        ..Snapshot::default()
    };
    snapshot.set.models = (0..370).map(model).collect();
    let bytes = rmp_serde::to_vec_named(&snapshot).unwrap().len();
    let mut sim = Sim::new(seed, &[27, 27]);
    for _ in 0..87 {
        sim.target(0);
    }
    sim.run(WARM_UP);
    sim.deliver_config(27, &snapshot);
    sim.run(Duration::from_mins(1));
    for n in 0..27 {
        sim.kill(n);
    }
    sim.run(Duration::from_secs(30));
    let before: Vec<_> = sim.nodes.iter().map(|node| node.sent).collect();
    for n in 0..27 {
        sim.restart(n);
    }
    let version = |sim: &Sim| sim.live().all(|node| node.machine.version() == 500);
    let config = sim.until(Duration::from_mins(2), version);
    let members = sim.until(Duration::from_mins(2), Sim::agreed);
    let sent = sim
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, before)| node.sent - before);
    let sent: Vec<_> = sent.collect();
    println!(
        "27 entries restart at once, snapshot of {bytes} B held by another zone: configuration after {config:?}, members agree after {members:?} more, {} B sent in all, {} B by the busiest",
        sent.iter().sum::<usize>(),
        sent.iter().max().unwrap()
    );
}
