//! A fake model engine: the usual HTTP interface of model serving, and the
//! model repository extension of the `KServe` protocol for orders.

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
    /// Its name.
    pub name: id::Target,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it listens; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Entries to announce itself to, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// Accelerator memory, in mebibytes.
    pub memory: id::Mebibytes,
    /// Models that are resident from the start.
    pub resident: Vec<Resident>,
    /// Time between two tokens of a sequence that is alone.
    pub pace: Duration,
}

/// How the engine behaves beyond its [`Settings`].
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Whether it refuses old fencing numbers, other incarnations and repeated orders.
    pub fenced: bool,
    /// Lag of its load reports and cache events.
    pub lag: Duration,
    /// Time of a model's load from the store at full speed.
    pub load: Duration,
    /// Time of an unload.
    pub unload: Duration,
    /// Least time of an adapter's load; the most is three times as long.
    pub adapter: Duration,
    /// Prefill time of one token that is not cached.
    pub prefill: Duration,
    /// What bounds its batch.
    pub batch: batch::Limits,
    /// Size of its prefix cache, in blocks.
    pub prefix: usize,
    /// Memory of each copy that is resident from the start, in mebibytes.
    pub footprint: id::Mebibytes,
    /// Where it fetches weights.
    pub store: Source,
    /// Whether it continues a stream from a later token.
    pub resumes: bool,
    /// File that records what ran.
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
/// Returns an error where the address can't be taken.
pub fn start(settings: Settings) -> std::io::Result<(Server, SocketAddr)> {
    start_with(settings, Behaviour::default())
}

/// Starts the engine and returns its server and the address that it took.
///
/// What ran is listed at `GET /stand-in/ran`, its account and counts at
/// `GET /stand-in/state`; `POST /stand-in/faults` sets faults and
/// `POST /stand-in/leave` lets it leave.
///
/// # Errors
///
/// Returns an error where the address can't be taken or the record not opened.
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
