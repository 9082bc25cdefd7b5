//! Starts and stops the daemon.

use crate::controller::EntryRequest;
use crate::http;
use crate::inner::InnerService;
use crate::leader_task::LeaderTask;
use crate::metrics::Metrics;
use crate::orders::Orders;
use crate::raft_actor::{GetMembership, Options, RaftActor, Stop};
use crate::registry::Registry;
use crate::watch::{MAX_FULL_TRANSFERS, Publisher};
use actix::{Actor, Addr};
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_daemon::clock;
use flamingo_log::file::{Folder, Opened};
use flamingo_log::raft::{Growth, Seed, Start as RaftStart};
use flamingo_log::{Raft, Timing, disk};
use flamingo_settings::control::Settings;
use flamingo_state::State;
use flamingo_wire::frame::{MAX_BODY, Seal};
use flamingo_wire::id;
use flamingo_wire::inner::control_server::ControlServer;
use flamingo_wire::inner::log_server::LogServer;
use slog::{Logger, error, info, warn};
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// Time for which replies under way are waited for after leadership is given up.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// Time between two looks whether the disk has failed.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a failed disk may recover before the log is opened again.
const DISK_RECOVERY_GRACE: Duration = Duration::from_secs(2);
/// Bytes of a frame beside its body.
const FRAME_OVERHEAD: usize = 4 * 1024;

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
    let orders = Orders::new(log.clone(), clock::now());
    run_with(settings, log, vec![Box::new(orders)], stop).await
}

/// Runs a control instance with leader_tasks until `stop` ends.
///
/// # Errors
///
/// Returns an error where a listener or the data folder can't be opened.
pub async fn run_with(
    settings: Settings,
    log: Logger,
    leader_tasks: Vec<Box<dyn LeaderTask>>,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let metrics = Metrics::new()?;
    let core = Core::start(core_setup(&settings, &metrics, leader_tasks, &log)).await?;
    let shared = Data::new(http::Shared {
        raft_actor: core.raft_actor.clone(),
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
        core.stop().await;
        handle.stop(true).await;
    });
    server.await?;
    info!(log, "control stopped");
    Ok(())
}

fn core_setup(
    settings: &Settings,
    metrics: &Metrics,
    leader_tasks: Vec<Box<dyn LeaderTask>>,
    log: &Logger,
) -> Setup {
    let node = &settings.node;
    let controls = node.controls.iter();
    let mut seeds: Vec<_> = controls
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
    Setup {
        node: node.name.clone(),
        inner: node.inner,
        seeds,
        timing: Timing::default(),
        growth: Growth::Closed,
        data: settings.data.clone(),
        seal: Seal::new(&node.name, node.key.as_bytes()),
        metrics: metrics.clone(),
        leader_tasks,
        controller: None,
        log: log.clone(),
    }
}

/// What the core of a control instance is started with.
pub struct Setup {
    /// Its name.
    pub node: id::Node,
    /// Where it takes the inner protocol.
    pub inner: SocketAddr,
    /// Control instances that it is told of, itself among them where it is one of the first.
    pub seeds: Vec<Seed>,
    /// Times of the log.
    pub timing: Timing,
    /// How the member list changes by itself.
    pub growth: Growth,
    /// The data folder.
    pub data: PathBuf,
    /// Seals the inner protocol.
    pub seal: Seal,
    /// Metrics.
    pub metrics: Metrics,
    /// What only the leader does.
    pub leader_tasks: Vec<Box<dyn LeaderTask>>,
    /// Takes what is asked of the holder of orders; none where a leader_task gives them.
    pub controller: Option<mpsc::Sender<EntryRequest>>,
    /// Log lines.
    pub log: Logger,
}

/// The log, the state and the inner protocol of a running control instance.
#[derive(Clone, Debug)]
pub struct Core {
    /// Owns log and state.
    pub raft_actor: Addr<RaftActor>,
    /// The targets that registered here.
    pub registry: Arc<Mutex<Registry>>,
}

impl Core {
    /// Opens the data folder and the inner listener, and starts to work.
    ///
    /// # Errors
    ///
    /// Returns an error where the listener or the data folder can't be opened.
    pub async fn start(setup: Setup) -> Result<Self, Box<dyn Error>> {
        let seal = setup.seal.clone();
        let controller = setup.controller.clone();
        let inner = setup.inner;
        let raft_actor = build_raft_actor(setup)?;
        let config = raft_actor.subscribe_config();
        let routes = raft_actor.subscribe_routes();
        let raft_actor = raft_actor.start();
        let listener = TcpListener::bind(inner).await?;
        let registry = Arc::new(Mutex::new(Registry::default()));
        let publisher = Publisher {
            seal: seal.clone(),
            raft_actor: raft_actor.clone(),
            config,
            transfer_permits: Arc::new(Semaphore::new(MAX_FULL_TRANSFERS)),
            routes,
            registry: Arc::clone(&registry),
        };
        let inner = InnerService::new(seal, raft_actor.clone(), publisher, controller);
        let limit = MAX_BODY + FRAME_OVERHEAD;
        let inner = Server::builder()
            .add_service(ControlServer::new(inner.clone()).max_decoding_message_size(limit))
            .add_service(LogServer::new(inner).max_decoding_message_size(limit));
        actix_rt::spawn(inner.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(Self {
            raft_actor,
            registry,
        })
    }

    /// Waits until the disk has failed, and a while longer.
    ///
    /// The log takes no more until it is opened again; what fails may pass meanwhile.
    pub async fn wait_for_disk_failure(&self) {
        while !self.disk_has_failed().await {
            actix_rt::time::sleep(DISK_CHECK_INTERVAL).await;
        }
        actix_rt::time::sleep(DISK_RECOVERY_GRACE).await;
    }

    async fn disk_has_failed(&self) -> bool {
        let membership = self.raft_actor.send(GetMembership).await;
        membership.is_ok_and(|membership| membership.disk_failed)
    }

    /// Gives up leadership, and waits for replies under way.
    pub async fn stop(&self) {
        // Without a raft_actor there is no leadership to give up.
        let _ = self.raft_actor.send(Stop).await;
        actix_rt::time::sleep(STOP_GRACE).await;
    }
}

fn build_raft_actor(setup: Setup) -> Result<RaftActor, Box<dyn Error>> {
    let Opened { folder, stored } = open_folder(&setup.data, &setup.log)?;
    let state = State::decode(&stored.snapshot.data)?;
    let raft_start = RaftStart {
        node: setup.node.clone(),
        address: setup.inner,
        seeds: setup.seeds,
        timing: setup.timing,
        growth: setup.growth,
        seed: random_seed()?,
        stored,
    };
    Ok(RaftActor::new(Options {
        raft: Raft::new(raft_start, clock::now()),
        state,
        disk: Box::new(folder),
        node: setup.node,
        seal: setup.seal,
        leader_tasks: setup.leader_tasks,
        metrics: setup.metrics,
        log: setup.log,
    }))
}

/// Opens the data folder; a corrupt one is set aside, and the member joins anew.
fn open_folder(path: &Path, log: &Logger) -> Result<Opened, Box<dyn Error>> {
    let opened = match Folder::open(path, random_seed()?) {
        Err(error @ disk::Error::Corrupt(..)) => {
            error!(log, "the data folder is set aside; this instance joins as a learner";
                "error" => %error);
            Folder::set_aside(path)?;
            Folder::open(path, random_seed()?)?
        }
        other => other?,
    };
    if opened.stored.torn > 0 {
        warn!(log, "a torn tail was cut off"; "bytes" => opened.stored.torn);
    }
    Ok(opened)
}

/// Returns a random number that is not 0.
fn random_seed() -> io::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}
