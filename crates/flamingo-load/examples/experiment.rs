//! One experiment: starts a deployment of real processes on loopback, drives a
//! workload through it while faults strike, and prints the report.
//!
//! `cargo build --bins && cargo run -p flamingo-load --example experiment -- --workload FILE
//! [--seed N] [--seconds N] [--scale X] [--fault NAME[:N]]... [--empty] [--settings "[route];policy = round-robin"]
//! [--variant NAME] [--entries N] [--controls N] [--pace MS] [--out FILE]`

mod harness;

use flamingo_load::plan;
use flamingo_load::report::{Report, Run};
use flamingo_load::workload::Workload;
use harness::fault::Fault;
use harness::{Deployment, Shape};
use lexopt::prelude::*;
use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

#[actix_rt::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut path = PathBuf::new();
    let mut out: Option<PathBuf> = None;
    let mut faults: Vec<(Fault, usize)> = Vec::new();
    let mut names = Vec::new();
    let mut run = Run {
        seed: 1,
        seconds: 15,
        scale: 1.0,
        ..Run::default()
    };
    let mut shape = Shape {
        controls: 3,
        entries: 4,
        pace: 20,
        empty: false,
        settings: String::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("workload") => path = parser.value()?.into(),
            Long("out") => out = Some(parser.value()?.into()),
            Long("seed") => run.seed = parser.value()?.parse()?,
            Long("seconds") => run.seconds = parser.value()?.parse()?,
            Long("scale") => run.scale = parser.value()?.parse()?,
            Long("variant") => names.push(parser.value()?.string()?),
            Long("entries") => shape.entries = parser.value()?.parse()?,
            Long("controls") => shape.controls = parser.value()?.parse()?,
            Long("pace") => shape.pace = parser.value()?.parse()?,
            Long("settings") => shape.settings = parser.value()?.string()?.replace(';', "\n"),
            Long("empty") => shape.empty = true,
            Long("fault") => {
                let text = parser.value()?.string()?;
                let (name, at) = text.split_once(':').unwrap_or((&text, "0"));
                faults.push((name.parse()?, at.parse()?));
                names.push(name.to_owned());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let workload = Workload::open(&path)?;
    let name = path.file_stem().unwrap_or_default();
    run.workload = name.to_string_lossy().into_owned();
    run.variant = if names.is_empty() {
        "calm".to_owned()
    } else {
        names.join("+")
    };
    let length = Duration::from_secs(run.seconds);
    let plan = plan::make(&workload, run.seed, length, run.scale);
    let deployment = Deployment::start(&workload, &shape).await;
    let (sent, truth, engines) = deployment.run(plan, length, &faults).await;
    let report = Report::new(run, &workload, &sent, truth, engines);
    print!("{report}");
    if let Some(out) = out {
        report.save(&out)?;
    }
    if report.truth.broken() > 0 {
        std::process::exit(2);
    }
    Ok(())
}
