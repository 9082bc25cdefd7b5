//! Runs one fake target, or the weight store, as a process of its own.

use flamingo_stand_in::engine::{Behaviour, batch};
use flamingo_stand_in::store::{self, Limits, Source};
use flamingo_stand_in::{engine, service};
use flamingo_wire::announce::Resident;
use lexopt::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "usage: flamingo-stand-in engine|service|store --listen IP:PORT
engine and service: --name NAME --zone ZONE --entry IP:PORT... [--service NAME]
engine: [--model NAME]... [--footprint MIB] [--memory MIB] [--pace MS] [--prefill-us US]
        [--unfenced] [--lag-ms MS] [--load-ms MS] [--adapter-ms MS] [--store IP:PORT]
        [--sequences N] [--cache-tokens N] [--prefix-blocks N] [--no-resume]
engine and service: [--ran-log FILE]
store, and an engine without --store: [--spacing-ms MS] [--full-speed N] [--adapters N]";

#[derive(Debug, Default)]
struct Options {
    kind: String,
    name: String,
    zone: String,
    service: String,
    listen: Option<SocketAddr>,
    entries: Vec<SocketAddr>,
    memory: u64,
    models: Vec<String>,
    pace: u64,
    store: Option<SocketAddr>,
    limits: Limits,
    behaviour: Behaviour,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        memory: 80_000,
        pace: 5,
        ..Options::default()
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        let behaviour = &mut options.behaviour;
        let batch: &mut batch::Limits = &mut behaviour.batch;
        match arg {
            Value(kind) if options.kind.is_empty() => options.kind = kind.string()?,
            Long("name") => options.name = parser.value()?.string()?,
            Long("zone") => options.zone = parser.value()?.string()?,
            Long("service") => options.service = parser.value()?.string()?,
            Long("listen") => options.listen = Some(parser.value()?.parse()?),
            Long("entry") => options.entries.push(parser.value()?.parse()?),
            Long("memory") => options.memory = parser.value()?.parse()?,
            Long("model") => options.models.push(parser.value()?.string()?),
            Long("pace") => options.pace = parser.value()?.parse()?,
            Long("footprint") => behaviour.footprint = parser.value()?.parse()?,
            Long("unfenced") => behaviour.fenced = false,
            Long("lag-ms") => behaviour.lag = millis(&mut parser)?,
            Long("load-ms") => behaviour.load = millis(&mut parser)?,
            Long("adapter-ms") => behaviour.adapter = millis(&mut parser)?,
            Long("prefill-us") => {
                behaviour.prefill = Duration::from_micros(parser.value()?.parse()?);
            }
            Long("sequences") => batch.sequences = parser.value()?.parse()?,
            Long("cache-tokens") => batch.tokens = parser.value()?.parse()?,
            Long("prefix-blocks") => behaviour.prefix = parser.value()?.parse()?,
            Long("store") => options.store = Some(parser.value()?.parse()?),
            Long("spacing-ms") => options.limits.spacing = millis(&mut parser)?,
            Long("no-resume") => behaviour.resumes = false,
            Long("ran-log") => behaviour.record = Some(parser.value()?.into()),
            Long("full-speed") => options.limits.models = parser.value()?.parse()?,
            Long("adapters") => options.limits.adapters = parser.value()?.parse()?,
            Long("help") => return Err(USAGE.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    options.behaviour.store = match options.store {
        Some(address) => Source::Remote(address),
        None => Source::Local(store::Store::new(options.limits)),
    };
    Ok(options)
}

fn millis(parser: &mut lexopt::Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}

fn resident(model: String) -> Resident {
    Resident {
        model,
        version: 1,
        adapters: Vec::new(),
    }
}

/// Has the target leave on the first termination signal.
async fn leave(address: SocketAddr) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let url = format!("http://{address}/stand-in/leave");
    if awc::Client::default().post(url).send().await.is_err() {
        std::process::exit(1);
    }
    Ok(())
}

#[actix_web::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = options()?;
    let listen = options.listen.ok_or(USAGE)?;
    let (server, address) = match options.kind.as_str() {
        "engine" => {
            let settings = engine::Settings {
                name: options.name,
                zone: options.zone,
                listen,
                entries: options.entries,
                memory: options.memory,
                resident: options.models.into_iter().map(resident).collect(),
                pace: Duration::from_millis(options.pace),
            };
            engine::start_with(settings, options.behaviour)?
        }
        "service" => {
            let settings = service::Settings {
                name: options.name,
                service: options.service,
                zone: options.zone,
                listen,
                entries: options.entries,
            };
            service::start_with(settings, options.behaviour.record.as_deref())?
        }
        "store" => {
            let (server, address) = store::start(listen, options.limits)?;
            println!("listening on {address}");
            return Ok(server.await?);
        }
        _ => return Err(USAGE.into()),
    };
    println!("listening on {address}");
    actix_rt::spawn(leave(address));
    Ok(server.await?)
}
