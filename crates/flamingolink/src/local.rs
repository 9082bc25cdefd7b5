//! Starts one control instance, one entry and simulated targets in one process.

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

const CONTROL_HTTP_PORT: u16 = 7400;
const CONTROL_INNER_PORT: u16 = 7401;
const ENTRY_HTTP_PORT: u16 = 7410;
const ENTRY_INNER_PORT: u16 = 7411;
/// Makes the operating system pick a free port.
const EPHEMERAL_PORT: u16 = 0;
const ZONE: &str = "local-a";
/// Accelerator memory of each simulated engine, in mebibytes.
const ENGINE_MEMORY_MIB: u64 = 80_000;
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
/// Time that a simulated engine takes for each token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks whether the system is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Checks after which the start of the system fails, at least 60 s after the first one.
const MAX_POLLS: u32 = 1_200;

/// Settings of the local system.
#[derive(Clone, Debug)]
pub struct Settings {
    /// IP address that all processes of the system listen on.
    pub host: IpAddr,
    /// Folder in which the control instance keeps its state.
    pub data: PathBuf,
    /// Configuration set to apply if the data folder is empty.
    pub set: Set,
}

/// Runs the local system until the process gets a stop signal.
///
/// # Errors
///
/// Returns an error if an address or the data folder can't be used, if the control instance
/// rejects the set, or if the models are not resident in time.
pub async fn run(settings: Settings) -> Result<(), Box<dyn Error>> {
    let host = settings.host;
    let address = |port| SocketAddr::new(host, port);
    let control = control::Settings {
        node: node("control-1", host, CONTROL_HTTP_PORT, CONTROL_INNER_PORT),
        data: settings.data,
    };
    let entry = entry::Settings {
        node: node("entry-1", host, ENTRY_HTTP_PORT, ENTRY_INNER_PORT),
        seeds: Vec::new(),
        serve: Serve::default(),
    };
    let log = |name| log::root(name, Level::Warning);
    let control = flamingo_control::daemon::run(control, log("control-1"), stop_signal());
    let control = actix_rt::spawn(async { control.await.map_err(|error| error.to_string()) });
    let entry = flamingo_entry::daemon::run(entry, log("entry-1"), stop_signal());
    let entry = actix_rt::spawn(async { entry.await.map_err(|error| error.to_string()) });
    start_engines(address(EPHEMERAL_PORT), address(ENTRY_HTTP_PORT))?;
    start_services(
        &settings.set,
        address(EPHEMERAL_PORT),
        address(ENTRY_HTTP_PORT),
    )?;
    let client = Client::new(vec![address(CONTROL_HTTP_PORT)]);
    apply_initial_set(&client, settings.set).await?;
    wait_for_models(&client).await?;
    print_examples(address(CONTROL_HTTP_PORT), address(ENTRY_HTTP_PORT));
    control.await??;
    entry.await??;
    Ok(())
}

/// Builds the settings that the control instance and the entry have in common.
fn node(name: &str, host: IpAddr, http: u16, inner: u16) -> Node {
    let control = Peer {
        node: "control-1".to_owned(),
        address: SocketAddr::new(host, CONTROL_INNER_PORT),
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

async fn stop_signal() {
    // Without signal handlers the operating system ends the process.
    let _ = stop::requested().await;
}

/// Starts simulated engines without models; the control instance orders the loads.
fn start_engines(listen: SocketAddr, entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    for name in ENGINES {
        let (server, address) = engine::start(engine::Settings {
            name: name.to_owned(),
            zone: ZONE.to_owned(),
            listen,
            entries: vec![entry],
            memory: ENGINE_MEMORY_MIB,
            resident: Vec::new(),
            pace: TOKEN_INTERVAL,
        })?;
        actix_rt::spawn(server);
        println!("{name}: http://{address}");
    }
    Ok(())
}

/// Starts one simulated replica of each plain service.
fn start_services(set: &Set, listen: SocketAddr, entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    for item in &set.services {
        let name = format!("{}-1", item.name);
        let (server, address) = service::start(service::Settings {
            name: name.clone(),
            service: item.name.clone(),
            zone: ZONE.to_owned(),
            listen,
            entries: vec![entry],
        })?;
        actix_rt::spawn(server);
        println!("{name}: http://{address}");
    }
    Ok(())
}

/// Applies the set if the data folder has none yet, and retries until the control instance
/// answers.
async fn apply_initial_set(client: &Client, set: Set) -> Result<(), Box<dyn Error>> {
    let mut last_error = String::new();
    for _ in 0..MAX_POLLS {
        match apply_if_unset(client, &set).await {
            Ok(()) => return Ok(()),
            Err(error) => last_error = error.to_string(),
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("the control instance did not accept the set: {last_error}").into())
}

async fn apply_if_unset(client: &Client, set: &Set) -> Result<(), flamingo_ctl::Error> {
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

/// Waits until a copy of every model is resident on an engine.
async fn wait_for_models(client: &Client) -> Result<(), Box<dyn Error>> {
    let set = client.config().await?.set;
    for _ in 0..MAX_POLLS {
        if let Ok(Answer::Placement(copies)) = client.query(&Query::Placement).await {
            let resident = |model: &Model| {
                let mut resident_copies = copies.iter().filter(|copy| copy.state == "resident");
                resident_copies.any(|copy| copy.model == model.name)
            };
            if set.models.iter().all(resident) {
                return Ok(());
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err("not all models became resident in time".into())
}

fn print_examples(control: SocketAddr, entry: SocketAddr) {
    println!("control: http://{control}");
    println!("entry: http://{entry}");
    println!();
    println!("Send a request to a model:");
    println!(
        "  curl -N http://{entry}/v1/chat/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"care-notes\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"Summarise today\"}}]}}'"
    );
    println!("Show the leader and the configuration in force:");
    println!("  cargo run --release --bin flamingoctl -- --at {entry} status");
}
