//! One control instance, one entry and a few fake targets in one process.

use flamingo_ctl::client::Client;
use flamingo_daemon::{log, stop};
use flamingo_settings::keys::Keys;
use flamingo_settings::node::{Node, Peer};
use flamingo_settings::serve::Serve;
use flamingo_settings::{control, entry};
use flamingo_stand_in::{engine, service};
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::{Change, Model, Set};
use slog::Level;
use std::error::Error;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

const CONTROL: u16 = 7400;
const CONTROL_INNER: u16 = 7401;
const ENTRY: u16 = 7410;
const ENTRY_INNER: u16 = 7411;
/// Lets the system pick a free port.
const ANY: u16 = 0;
const ZONE: &str = "local-a";
/// Accelerator memory of each fake engine, in mebibytes.
const MEMORY: u64 = 80_000;
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
/// Time between two tokens of a fake engine.
const PACE: Duration = Duration::from_millis(20);
/// Time between two looks at whether the system is ready.
const STEP: Duration = Duration::from_millis(50);
const LOOKS: u32 = 1_200;

/// Settings of the local system.
#[derive(Clone, Debug)]
pub struct Settings {
    /// IP number to listen on.
    pub host: IpAddr,
    /// Data folder of the control instance.
    pub data: PathBuf,
    /// The set that an empty data folder starts with.
    pub set: Set,
}

/// Runs the local system until it is asked to stop.
///
/// # Errors
///
/// Returns an error where an address or the data folder can't be had.
pub async fn run(settings: Settings) -> Result<(), Box<dyn Error>> {
    let host = settings.host;
    let at = |port| SocketAddr::new(host, port);
    let control = control::Settings {
        node: node("control-1", host, CONTROL, CONTROL_INNER),
        data: settings.data,
    };
    let entry = entry::Settings {
        node: node("entry-1", host, ENTRY, ENTRY_INNER),
        seeds: Vec::new(),
        serve: Serve::default(),
    };
    let log = |name| log::root(name, Level::Warning);
    let control = flamingo_control::daemon::run(control, log("control-1"), stopped());
    let control = actix_rt::spawn(async { control.await.map_err(|error| error.to_string()) });
    let entry = flamingo_entry::daemon::run(entry, log("entry-1"), stopped());
    let entry = actix_rt::spawn(async { entry.await.map_err(|error| error.to_string()) });
    engines(at(ANY), at(ENTRY))?;
    services(&settings.set, at(ANY), at(ENTRY))?;
    let client = Client::new(vec![at(CONTROL)]);
    apply(&client, settings.set).await?;
    reachable(&client).await?;
    greet(at(CONTROL), at(ENTRY));
    control.await??;
    entry.await??;
    Ok(())
}

fn node(name: &str, host: IpAddr, http: u16, inner: u16) -> Node {
    let control = Peer {
        node: "control-1".to_owned(),
        address: SocketAddr::new(host, CONTROL_INNER),
    };
    Node {
        name: name.to_owned(),
        zone: ZONE.to_owned(),
        region: "local".to_owned(),
        http: SocketAddr::new(host, http),
        inner: SocketAddr::new(host, inner),
        key: "local-inner-key".to_owned(),
        controls: vec![control],
        level: "warning".to_owned(),
        keys: Keys::default(),
        tls: None,
        grace: Duration::from_secs(5),
    }
}

async fn stopped() {
    // Where signals can't be listened to, the process is ended by the system.
    let _ = stop::requested().await;
}

/// Starts fake engines, empty: the models come by orders.
fn engines(listen: SocketAddr, entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    for name in ENGINES {
        let (server, address) = engine::start(engine::Settings {
            name: name.to_owned(),
            zone: ZONE.to_owned(),
            listen,
            entries: vec![entry],
            memory: MEMORY,
            resident: Vec::new(),
            pace: PACE,
        })?;
        actix_rt::spawn(server);
        println!("{name}: http://{address}");
    }
    Ok(())
}

fn services(set: &Set, listen: SocketAddr, entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    for known in &set.services {
        let name = format!("{}-1", known.name);
        let (server, address) = service::start(service::Settings {
            name: name.clone(),
            service: known.name.clone(),
            zone: ZONE.to_owned(),
            listen,
            entries: vec![entry],
        })?;
        actix_rt::spawn(server);
        println!("{name}: http://{address}");
    }
    Ok(())
}

/// Applies the set where the data folder holds none yet.
async fn apply(client: &Client, set: Set) -> Result<(), Box<dyn Error>> {
    let mut last = String::new();
    for _ in 0..LOOKS {
        match seed(client, &set).await {
            Ok(()) => return Ok(()),
            Err(error) => last = error.to_string(),
        }
        actix_rt::time::sleep(STEP).await;
    }
    Err(format!("the control instance did not take the set: {last}").into())
}

async fn seed(client: &Client, set: &Set) -> Result<(), flamingo_ctl::Error> {
    if client.config().await?.version > 0 {
        return Ok(());
    }
    let change = Change {
        id: "embedded-default".to_owned(),
        base: 0,
        author: "flamingolink".to_owned(),
        set: set.clone(),
    };
    client.apply(&change).await?;
    Ok(())
}

/// Waits until a copy of every model is resident.
async fn reachable(client: &Client) -> Result<(), Box<dyn Error>> {
    let set = client.config().await?.set;
    for _ in 0..LOOKS {
        if let Ok(Answer::Placement(copies)) = client.query(&Query::Placement).await {
            let resident = |model: &Model| {
                let mut held = copies.iter().filter(|copy| copy.state == "resident");
                held.any(|copy| copy.model == model.name)
            };
            if set.models.iter().all(resident) {
                return Ok(());
            }
        }
        actix_rt::time::sleep(STEP).await;
    }
    Err("the models did not become resident".into())
}

fn greet(control: SocketAddr, entry: SocketAddr) {
    println!("control: http://{control}");
    println!("entry: http://{entry}");
    println!();
    println!("Ask a model:");
    println!(
        "  curl -N http://{entry}/v1/chat/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"care-notes\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"Summarise today\"}}]}}'"
    );
    println!("See who leads and what is in force:");
    println!("  cargo run --release --bin flamingoctl -- --at {entry} status");
}
