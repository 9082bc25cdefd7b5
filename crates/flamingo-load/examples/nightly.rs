//! A bounded run of many experiments: each seed picks a deployment, a load and
//! one to three faults, drives real processes, and checks what was promised.
//! It stops at the first broken promise and prints its seed.
//!
//! `cargo build --bins && cargo run -p flamingo-load --example nightly --
//! [--from SEED] [--seeds N] [--seconds N] [--minutes N] [--seed SEED]`

mod harness;

use flamingo_load::drive::{End, Sent};
use flamingo_load::plan;
use flamingo_load::workload::Workload;
use harness::fault::Fault;
use harness::{Deployment, Shape};
use lexopt::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};
use strum::VariantArray;

/// Most faults in one experiment.
const FAULTS: u32 = 3;

struct Options {
    from: u64,
    seeds: u64,
    seconds: u64,
    minutes: u64,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        from: 1,
        seeds: 5,
        seconds: 8,
        minutes: 60,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("from") => options.from = parser.value()?.parse()?,
            Long("seeds") => options.seeds = parser.value()?.parse()?,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            Long("minutes") => options.minutes = parser.value()?.parse()?,
            Long("seed") => {
                options.from = parser.value()?.parse()?;
                options.seeds = 1;
            }
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

#[actix_rt::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = options()?;
    let deadline = Instant::now() + Duration::from_secs(options.minutes * 60);
    let (mut seeds, mut requests) = (0u64, 0u64);
    for seed in options.from..options.from + options.seeds {
        if Instant::now() >= deadline {
            println!("the time is over");
            break;
        }
        requests += experiment(seed, options.seconds).await?;
        seeds += 1;
    }
    println!("no broken promise in {seeds} seeds and {requests} requests");
    Ok(())
}

/// Runs one seed; returns the number of requests tried.
async fn experiment(seed: u64, seconds: u64) -> Result<u64, Box<dyn Error>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let name = ["parks", "kovacik"][pick(&mut rng, 2)];
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/workloads");
    let workload = Workload::open(&folder.join(format!("{name}.ini")))?;
    let count = 1 + rng.next_u32() % FAULTS;
    let faults: Vec<_> = (0..count)
        .map(|_| {
            let fault = Fault::VARIANTS[pick(&mut rng, Fault::VARIANTS.len())];
            (fault, pick(&mut rng, 16))
        })
        .collect();
    let named: Vec<_> = faults
        .iter()
        .map(|(fault, at)| format!("{fault}:{at}"))
        .collect();
    let scale = [0.5, 1.0, 2.0][pick(&mut rng, 3)];
    println!("seed {seed}: {name}, scale {scale}, {}", named.join(" "));
    let length = Duration::from_secs(seconds);
    let plan = plan::make(&workload, seed, length, scale);
    let shape = Shape {
        controls: 3,
        entries: 3,
        pace: 10,
        empty: false,
        settings: String::new(),
    };
    let deployment = Deployment::start(&workload, &shape).await;
    let (sent, truth, engines) = deployment.run(plan, length, &faults).await;
    println!("  {}", summary(&sent));
    let over = engines.over_commits;
    if truth.broken() > 0 || over > 0 {
        println!("BROKEN at seed {seed}: {truth:?}, over-commits {over}");
        std::process::exit(2);
    }
    Ok(u64::from(truth.checked))
}

fn summary(sent: &[Sent]) -> String {
    let count = |wanted: fn(End) -> bool| {
        let first = sent.iter().filter_map(|one| one.answers.first());
        first.filter(|answer| wanted(answer.end)).count()
    };
    let whole = count(|end| end == End::Whole);
    let refused = count(|end| matches!(end, End::Refused(_)));
    let broken = count(|end| end == End::Broken);
    let all = sent.len();
    format!("{all} requests: {whole} whole, {refused} refused, {broken} broken off")
}

fn pick(rng: &mut ChaCha8Rng, count: usize) -> usize {
    usize::try_from(rng.next_u32()).unwrap_or(0) % count
}
