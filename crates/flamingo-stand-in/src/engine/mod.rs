//! A fake model engine with an OpenAI-style HTTP interface, and orders as in the model repository
//! extension of the `KServe` protocol.

pub mod account;
pub mod batch;
mod complete;
mod order;
pub mod prefix;
mod state;

use crate::announcer;
use crate::store::{Limits, Source, Store};
use actix_web::dev::Server;
use actix_web::web::{self, Data};
use actix_web::{App, HttpServer};
use flamingo_wire::announce::Resident;
use flamingo_wire::id;
use state::State;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub use state::Run;

/// Settings of one fake engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the engine.
    pub name: id::Target,
    /// Availability zone of the engine.
    pub zone: id::Zone,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Entries to announce the engine to, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// Accelerator memory, in mebibytes.
    pub memory: id::Mebibytes,
    /// Models that are resident at the start.
    pub resident: Vec<Resident>,
    /// Time between two tokens of a sequence that runs alone.
    pub pace: Duration,
}

/// Properties of the engine beyond its [`Settings`].
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Whether the engine rejects old fencing numbers, other incarnations and repeated orders.
    pub fenced: bool,
    /// Delay of load reports and cache events.
    pub lag: Duration,
    /// Duration of a model load from the store at full speed.
    pub load: Duration,
    /// Duration of an unload.
    pub unload: Duration,
    /// Minimum duration of an adapter load; the maximum is three times as long.
    pub adapter: Duration,
    /// Prefill time per uncached token.
    pub prefill: Duration,
    /// Limits of the batch.
    pub batch: batch::Limits,
    /// Size of the prefix cache, in blocks.
    pub prefix: usize,
    /// Memory of each copy that is resident at the start, in mebibytes.
    pub footprint: id::Mebibytes,
    /// The store from which the engine fetches weights.
    pub store: Source,
    /// Whether the engine can resume a stream.
    pub resumes: bool,
    /// File that records the executed requests.
    pub record: Option<PathBuf>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            fenced: true,
            lag: Duration::ZERO,
            load: Duration::from_millis(300),
            unload: Duration::from_millis(20),
            adapter: Duration::from_millis(5),
            prefill: Duration::from_micros(50),
            batch: batch::Limits {
                sequences: 64,
                tokens: 100_000,
            },
            prefix: 4_096,
            footprint: 0,
            store: Source::Local(Store::new(Limits::default())),
            resumes: true,
            record: None,
        }
    }
}

/// Starts the engine with the default [`Behaviour`].
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn start(settings: Settings) -> std::io::Result<(Server, SocketAddr)> {
    start_with(settings, Behaviour::default())
}

/// Starts the engine and returns its server and address.
///
/// `GET /stand-in/ran` lists the executed requests and `GET /stand-in/state` the account and
/// counters. `POST /stand-in/faults` injects faults, and `POST /stand-in/leave` has the engine leave.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the file can't be opened.
pub fn start_with(
    settings: Settings,
    behaviour: Behaviour,
) -> std::io::Result<(Server, SocketAddr)> {
    let listen = settings.listen;
    let entries = settings.entries.clone();
    let state = Data::new(State::new(settings, behaviour)?);
    let shared = state.clone();
    let server = HttpServer::new(move || App::new().app_data(shared.clone()).configure(routes))
        .workers(1)
        .disable_signals()
        .shutdown_timeout(3_600)
        .bind(listen)?;
    let address = server.addrs()[0];
    let server = server.run();
    state.serve(address, server.handle());
    let changed = state.changed.clone();
    let announced = state.into_inner();
    actix_rt::spawn(announcer::run(entries, changed, move || {
        announced.announcement()
    }));
    Ok((server, address))
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(complete::chat))
        .route("/v1/completions", web::post().to(complete::plain))
        .route("/v1/load_lora_adapter", web::post().to(order::load_adapter))
        .route(
            "/v1/unload_lora_adapter",
            web::post().to(order::unload_adapter),
        )
        .route(
            "/v2/repository/models/{model}/load",
            web::post().to(order::load),
        )
        .route(
            "/v2/repository/models/{model}/unload",
            web::post().to(order::unload),
        )
        .route("/stand-in/ran", web::get().to(state::ran))
        .route("/stand-in/state", web::get().to(state::show))
        .route("/stand-in/orders", web::get().to(state::orders))
        .route("/stand-in/faults", web::post().to(state::faults))
        .route("/stand-in/leave", web::post().to(state::leave))
        .route("/stand-in/cache-events", web::get().to(state::events));
}
