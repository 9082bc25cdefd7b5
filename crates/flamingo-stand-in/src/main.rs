//! Runs one fake target as a process of its own.

use flamingo_stand_in::{engine, service};
use flamingo_wire::announce::Resident;
use lexopt::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const USAGE: &str = "usage: flamingo-stand-in engine|service --name NAME --zone ZONE \
--listen IP:PORT --entry IP:PORT... [--service NAME] [--memory MIB] [--model NAME]... \
[--pace MS]";

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
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        memory: 80_000,
        pace: 5,
        ..Options::default()
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
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
            Long("help") => return Err(USAGE.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

fn resident(model: String) -> Resident {
    Resident {
        model,
        version: 1,
        adapters: Vec::new(),
    }
}

#[actix_web::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = options()?;
    let listen = options.listen.ok_or(USAGE)?;
    let (server, address) = match options.kind.as_str() {
        "engine" => engine::start(engine::Settings {
            name: options.name,
            zone: options.zone,
            listen,
            entries: options.entries,
            memory: options.memory,
            resident: options.models.into_iter().map(resident).collect(),
            pace: Duration::from_millis(options.pace),
        })?,
        "service" => service::start(service::Settings {
            name: options.name,
            service: options.service,
            zone: options.zone,
            listen,
            entries: options.entries,
        })?,
        _ => return Err(USAGE.into()),
    };
    println!("listening on {address}");
    Ok(server.await?)
}
