//! Starts a whole local system in one process.

use flamingo_daemon::{log, stop};
use flamingo_settings::keys::Keys;
use flamingo_settings::node::{Node, Peer};
use flamingo_settings::{control, entry, set};
use flamingo_stand_in::{engine, service};
use flamingo_wire::announce::Resident;
use flamingo_wire::config::{Change, Set};
use lexopt::prelude::*;
use slog::Level;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const USAGE: &str = "usage: flamingolink [--data FOLDER] [--set FILE]";
const CONTROL: &str = "127.0.0.1:7400";
const CONTROL_INNER: &str = "127.0.0.1:7401";
const ENTRY: &str = "127.0.0.1:7410";
const ENTRY_INNER: &str = "127.0.0.1:7411";
const ANY: &str = "127.0.0.1:0";
const ZONE: &str = "local-a";
const MEMORY: u64 = 80_000;
const SET: &str = include_str!("../../../samples/local-set.ini");

fn main() -> Result<(), Box<dyn Error>> {
    let mut data = PathBuf::from("data");
    let mut set = set::parse(Path::new("samples/local-set.ini"), SET)?;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("data") => data = parser.value()?.into(),
            Long("set") => set = set::open(Path::new(&parser.value()?))?,
            Long("help") => {
                println!("{USAGE}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    actix_rt::System::new().block_on(run(data, set))
}

async fn run(data: PathBuf, set: Set) -> Result<(), Box<dyn Error>> {
    let control = control::Settings {
        node: node("control-1", CONTROL, CONTROL_INNER)?,
        data,
    };
    let entry = entry::Settings {
        node: node("entry-1", ENTRY, ENTRY_INNER)?,
        seeds: Vec::new(),
        serve: flamingo_settings::serve::Serve::default(),
    };
    let http: SocketAddr = ENTRY.parse()?;
    let resident: Vec<_> = set
        .models
        .iter()
        .map(|model| resident(&model.name))
        .collect();
    let level = Level::Warning;
    let control = flamingo_control::daemon::run(control, log::root("control-1", level), stopped());
    let control = actix_rt::spawn(async { control.await.map_err(|error| error.to_string()) });
    let entry = flamingo_entry::daemon::run(entry, log::root("entry-1", level), stopped());
    let entry = actix_rt::spawn(async { entry.await.map_err(|error| error.to_string()) });
    for name in ["engine-1", "engine-2"] {
        let (server, address) = engine::start(engine::Settings {
            name: name.to_owned(),
            zone: ZONE.to_owned(),
            listen: ANY.parse()?,
            entries: vec![http],
            memory: MEMORY,
            resident: resident.clone(),
            pace: Duration::from_millis(20),
        })?;
        actix_rt::spawn(server);
        println!("{name}: http://{address}");
    }
    for service in &set.services {
        let (server, address) = service::start(service::Settings {
            name: format!("{}-1", service.name),
            service: service.name.clone(),
            zone: ZONE.to_owned(),
            listen: ANY.parse()?,
            entries: vec![http],
        })?;
        actix_rt::spawn(server);
        println!("{}-1: http://{address}", service.name);
    }
    apply(set).await?;
    greet();
    control.await??;
    entry.await??;
    Ok(())
}

/// Applies the set where the data folder holds none yet.
async fn apply(set: Set) -> Result<(), Box<dyn Error>> {
    let client = flamingo_ctl::client::Client::new(vec![CONTROL.parse()?]);
    for _ in 0..100 {
        if let Ok(snapshot) = client.config().await {
            if snapshot.version == 0 {
                let author = "flamingolink".to_owned();
                let id = "embedded-default".to_owned();
                client
                    .apply(&Change {
                        id,
                        base: 0,
                        author,
                        set,
                    })
                    .await?;
            }
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    Err("the control instance did not become ready".into())
}

fn greet() {
    println!("control: http://{CONTROL}");
    println!("entry:   http://{ENTRY}");
    println!();
    println!("Ask a model:");
    println!(
        "  curl -N http://{ENTRY}/v1/chat/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"care-notes\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"Summarise today\"}}]}}'"
    );
    println!("See the set in force:");
    println!("  cargo run --release --bin flamingoctl -- --at {ENTRY} config show");
}

async fn stopped() {
    let _ = stop::asked().await;
}

fn node(name: &str, http: &str, inner: &str) -> Result<Node, Box<dyn Error>> {
    Ok(Node {
        name: name.to_owned(),
        zone: ZONE.to_owned(),
        region: "local".to_owned(),
        http: http.parse()?,
        inner: inner.parse()?,
        key: "local-inner-key".to_owned(),
        controls: vec![Peer {
            node: "control-1".to_owned(),
            address: CONTROL_INNER.parse()?,
        }],
        level: "warning".to_owned(),
        keys: Keys::default(),
        tls: None,
        grace: Duration::from_secs(5),
    })
}

fn resident(model: &str) -> Resident {
    Resident {
        model: model.to_owned(),
        version: 1,
        adapters: Vec::new(),
    }
}
