//! Measures time and memory of a planning step for several numbers of models and accelerators.
//!
//! `cargo run --release -p flamingo-place --example step`

use flamingo_place::intents::Intents;
use flamingo_place::placer::{Placer, TAKEOVER_GRACE};
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load, Resident};
use flamingo_wire::config::{Model, Set, Snapshot};
use std::time::{Duration, Instant};

/// Planning steps per measurement.
const STEPS: u32 = 20;
const ZONES: usize = 15;

fn set(models: usize, copies: u32) -> Set {
    let models = (0..models).map(|n| Model {
        anonymous: false,
        name: format!("model-{n}"),
        version: 1,
        weights: 8_000 + 1_000 * (n as u64 % 9),
        cache: 2_000,
        copies,
        importance: 1,
        adapters: Vec::new(),
    });
    Set {
        models: models.collect(),
        ..Set::default()
    }
}

/// Returns a report of an engine with three resident models, so that most models have several
/// copies.
fn announce(number: usize, models: usize, sequence: u64) -> Announcement {
    let resident = (0..3).map(|n| Resident {
        model: format!("model-{}", (number * 3 + n) % models),
        version: 1,
        adapters: Vec::new(),
    });
    Announcement {
        target: format!("engine-{number}"),
        incarnation: 1,
        sequence,
        zone: format!("zone-{}", number % ZONES),
        address: ([127, 0, 0, 1], 1).into(),
        availability: Availability::Serving,
        load: Load::default(),
        kind: Kind::Engine(Engine {
            memory: 80_000,
            fenced: true,
            resident: resident.collect(),
            loading: Vec::new(),
            ended: Vec::new(),
        }),
    }
}

/// Returns the peak resident memory of this process in KiB, 0 if unknown.
fn peak_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

fn measure(models: usize, engines: usize, copies: u32) {
    let mut now = Instant::now();
    let mut placer = Placer::new(now);
    placer.configure(Snapshot {
        version: 1,
        set: set(models, copies),
        drained: Vec::new(),
    });
    let intents = Intents::default();
    placer.lead(1, &intents, now);
    let mut longest = Duration::ZERO;
    let mut sum = Duration::ZERO;
    now += TAKEOVER_GRACE;
    for step in 0..STEPS {
        for engine in 0..engines {
            placer.announce(&announce(engine, models, u64::from(step) + 1), now);
        }
        now += Duration::from_secs(1);
        let start = Instant::now();
        let outputs = placer.tick(&intents, now);
        let took = start.elapsed();
        std::hint::black_box(outputs);
        longest = longest.max(took);
        sum += took;
    }
    println!(
        "| {models} | {engines} | {copies} | {:.2} | {:.2} | {:.1} |",
        sum.as_secs_f64() * 1e3 / f64::from(STEPS),
        longest.as_secs_f64() * 1e3,
        f64::from(u32::try_from(peak_kib()).unwrap_or(u32::MAX)) / 1024.0
    );
}

fn main() {
    println!("| models | accelerators | copies asked | mean ms | worst ms | process peak MiB |");
    println!("|---|---|---|---|---|---|");
    for (models, engines) in [(17, 10), (46, 162), (92, 325), (185, 650), (370, 1_300)] {
        measure(models, engines, 2);
    }
    // Every model wants more copies than there is room for, which makes the search longest.
    measure(370, 1_300, 40);
}
