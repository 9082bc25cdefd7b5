//! Command line of the load and experiment tool.

use flamingo_load::drive::{self, Settings};
use flamingo_load::engines::Engines;
use flamingo_load::plan;
use flamingo_load::report::{Report, Run};
use flamingo_load::truth::{Record, Truth};
use flamingo_load::workload::Workload;
use flamingo_load::{compare, plot};
use lexopt::prelude::*;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const USAGE: &str = "usage:
flamingo-load run --workload FILE --at IP:PORT... [--seed N] [--seconds N] [--scale X]
    [--variant TEXT] [--engine IP:PORT]... [--ran-log FILE]... [--out FILE] [--timeout-s N]
flamingo-load show REPORT
flamingo-load compare REPORT REPORT
flamingo-load plot attainment|frontier FILE.svg REPORT...

run     sends the workload to running entries, open loop, and prints its report;
        with the records of the fakes it checks the answers against what ran
Exit: 0 done, 1 failed, 2 a promise was broken.";

#[derive(Debug, Default)]
struct Options {
    words: Vec<String>,
    workload: PathBuf,
    entries: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    records: Vec<PathBuf>,
    out: Option<PathBuf>,
    timeout: u64,
    run: Run,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        timeout: 60,
        run: Run {
            seed: 1,
            seconds: 20,
            scale: 1.0,
            variant: "calm".to_owned(),
            ..Run::default()
        },
        ..Options::default()
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(word) => options.words.push(word.string()?),
            Long("workload") => options.workload = parser.value()?.into(),
            Long("at") => options.entries.push(parser.value()?.parse()?),
            Long("engine") => options.engines.push(parser.value()?.parse()?),
            Long("ran-log") => options.records.push(parser.value()?.into()),
            Long("out") => options.out = Some(parser.value()?.into()),
            Long("seed") => options.run.seed = parser.value()?.parse()?,
            Long("seconds") => options.run.seconds = parser.value()?.parse()?,
            Long("scale") => options.run.scale = parser.value()?.parse()?,
            Long("variant") => options.run.variant = parser.value()?.string()?,
            Long("timeout-s") => options.timeout = parser.value()?.parse()?,
            Long("help") => return Err(USAGE.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

async fn run(options: Options) -> Result<Truth, Box<dyn Error>> {
    let workload = Workload::open(&options.workload)?;
    if options.entries.is_empty() {
        return Err("no entry; give --at IP:PORT".into());
    }
    let mut run = options.run;
    let name = options.workload.file_stem().unwrap_or_default();
    run.workload = name.to_string_lossy().into_owned();
    let length = Duration::from_secs(run.seconds);
    let plan = plan::make(&workload, run.seed, length, run.scale);
    let settings = Settings {
        entries: options.entries,
        timeout: Duration::from_secs(options.timeout),
    };
    let sent = drive::run(plan, &settings).await;
    let truth = if options.records.is_empty() {
        Truth::default()
    } else {
        Record::open(&options.records)?.check(&sent)
    };
    let engines = Engines::ask(&options.engines).await;
    let report = Report::new(run, &workload, &sent, truth, engines);
    print!("{report}");
    if let Some(out) = &options.out {
        report.save(out)?;
    }
    Ok(report.truth)
}

#[actix_rt::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = options()?;
    let words: Vec<_> = options.words.iter().map(String::as_str).collect();
    match words[..] {
        ["run"] => {
            if run(options).await?.broken() > 0 {
                std::process::exit(2);
            }
        }
        ["show", path] => print!("{}", Report::open(path.as_ref())?),
        ["compare", a, b] => {
            let (a, b) = (Report::open(a.as_ref())?, Report::open(b.as_ref())?);
            print!("{}", compare::table(&a, &b));
        }
        ["plot", kind, out, ref paths @ ..] => {
            let open = |path: &&str| Report::open((*path).as_ref());
            let reports = paths.iter().map(open).collect::<Result<Vec<_>, _>>()?;
            match kind {
                "attainment" => plot::attainment(out.as_ref(), &reports)?,
                "frontier" => plot::frontier(out.as_ref(), &reports)?,
                _ => return Err(USAGE.into()),
            }
        }
        _ => return Err(USAGE.into()),
    }
    Ok(())
}
