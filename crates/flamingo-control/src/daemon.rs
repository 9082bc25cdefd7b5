//! Starts and stops the daemon.

use crate::duty::Duty;
use crate::http;
use crate::inner::Inner;
use crate::keeper::{Keeper, Start, Stop};
use crate::metrics::Metrics;
use crate::orders::Orders;
use crate::watch::{CATCH_UPS, Source};
use actix::Actor;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_log::file::{Folder, Opened};
use flamingo_log::raft::{Seed, Start as Begin};
use flamingo_log::{Raft, Timing, disk};
use flamingo_settings::control::Settings;
use flamingo_state::State;
use flamingo_wire::frame::{MAX_BODY, Seal};
use flamingo_wire::inner::control_server::ControlServer;
use flamingo_wire::inner::log_server::LogServer;
use slog::{Logger, error, info, warn};
use std::error::Error;
use std::future::Future;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// Time for which replies under way are waited for after leadership is given up.
const GRACE: Duration = Duration::from_millis(500);
/// Bytes of a frame beside its body.
const ENVELOPE: usize = 4 * 1024;

/// Runs a control instance until `stop` ends.
///
/// # Errors
///
/// Returns an error where a listener or the data folder can't be opened.
pub async fn run(
    settings: Settings,
    log: Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let orders = Orders::new(log.clone(), Instant::now());
    run_with(settings, log, vec![Box::new(orders)], stop).await
}

/// Runs a control instance with duties until `stop` ends.
///
/// # Errors
///
/// Returns an error where a listener or the data folder can't be opened.
pub async fn run_with(
    settings: Settings,
    log: Logger,
    duties: Vec<Box<dyn Duty>>,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let seal = Seal::new(&settings.node.name, settings.node.key.as_bytes());
    let metrics = Metrics::new()?;
    let keeper = keeper(&settings, &seal, &metrics, duties, &log)?;
    let published = keeper.published();
    let keeper = keeper.start();
    let listener = TcpListener::bind(settings.node.inner).await?;
    let source = Source {
        seal: seal.clone(),
        keeper: keeper.clone(),
        published,
        permits: Arc::new(Semaphore::new(CATCH_UPS)),
    };
    let inner = Inner::new(seal, keeper.clone(), source);
    let limit = MAX_BODY + ENVELOPE;
    let inner = Server::builder()
        .add_service(ControlServer::new(inner.clone()).max_decoding_message_size(limit))
        .add_service(LogServer::new(inner).max_decoding_message_size(limit));
    actix_rt::spawn(inner.serve_with_incoming(TcpListenerStream::new(listener)));
    let shared = Data::new(http::Shared {
        keeper: keeper.clone(),
        metrics,
    });
    let server =
        HttpServer::new(move || App::new().app_data(shared.clone()).configure(http::routes))
            .workers(1)
            .disable_signals()
            .bind(settings.node.http)?
            .run();
    info!(log, "control ready"; "http" => %settings.node.http, "inner" => %settings.node.inner);
    let handle = server.handle();
    actix_rt::spawn(async move {
        stop.await;
        // Without a keeper there is no leadership to give up.
        let _ = keeper.send(Stop).await;
        actix_rt::time::sleep(GRACE).await;
        handle.stop(true).await;
    });
    server.await?;
    info!(log, "control stopped");
    Ok(())
}

fn keeper(
    settings: &Settings,
    seal: &Seal,
    metrics: &Metrics,
    duties: Vec<Box<dyn Duty>>,
    log: &Logger,
) -> Result<Keeper, Box<dyn Error>> {
    let Opened { folder, stored } = open(&settings.data, log)?;
    let state = State::decode(&stored.snapshot.data)?;
    let node = &settings.node;
    let mut seeds: Vec<_> = node
        .controls
        .iter()
        .map(|peer| Seed {
            node: peer.node.clone(),
            address: peer.address,
        })
        .collect();
    if seeds.is_empty() {
        seeds.push(Seed {
            node: node.name.clone(),
            address: node.inner,
        });
    }
    let begin = Begin {
        node: node.name.clone(),
        address: node.inner,
        seeds: seeds.clone(),
        timing: Timing::default(),
        seed: random()?,
        stored,
    };
    Ok(Keeper::new(Start {
        raft: Raft::new(begin, Instant::now()),
        state,
        disk: Box::new(folder),
        node: node.name.clone(),
        seeds,
        seal: seal.clone(),
        duties,
        metrics: metrics.clone(),
        log: log.clone(),
    }))
}

/// Opens the data folder; a corrupt one is set aside, and the member joins anew.
fn open(path: &Path, log: &Logger) -> Result<Opened, Box<dyn Error>> {
    let opened = match Folder::open(path, random()?) {
        Err(error @ disk::Error::Corrupt(..)) => {
            error!(log, "the data folder is set aside; this instance joins as a learner";
                "error" => %error);
            Folder::set_aside(path)?;
            Folder::open(path, random()?)?
        }
        other => other?,
    };
    if opened.stored.torn > 0 {
        warn!(log, "a torn tail was cut off"; "bytes" => opened.stored.torn);
    }
    Ok(opened)
}

/// Returns a random number that is not 0.
fn random() -> io::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}
