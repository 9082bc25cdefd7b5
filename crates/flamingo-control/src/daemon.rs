//! Starts and stops a control instance.

use crate::controller::EntryRequest;
use crate::http;
use crate::inner::InnerService;
use crate::leader_task::LeaderTask;
use crate::metrics::Metrics;
use crate::placement_task::PlacementTask;
use crate::raft_actor::{GetMembership, Options, RaftActor, Stop};
use crate::registry::Registry;
use crate::watch::{MAX_FULL_TRANSFERS, Publisher};
use actix::{Actor, Addr};
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_daemon::clock;
use flamingo_daemon::startup::{self, Check, Problem};
use flamingo_log::file::{Folder, Opened};
use flamingo_log::raft::{MembershipPolicy, Options as RaftOptions, Seed};
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

/// Time for pending replies to be sent after leadership is given up.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// Interval at which [`Core::wait_for_disk_failure`] checks the disk.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a transient failure of the disk to pass before the log may be opened again.
const DISK_RECOVERY_GRACE: Duration = Duration::from_secs(2);
/// Upper bound on the bytes of a frame in addition to the body.
const FRAME_OVERHEAD: usize = 4 * 1024;

/// Key of the settings with the address for operators, as in messages.
const HTTP_FIELD: &str = "[listen] http";

/// Runs a control instance until the future `stop` resolves.
///
/// # Errors
///
/// Returns an error where a listener or the data folder can't be opened.
pub async fn run(
    settings: Settings,
    log: Logger,
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Box<dyn Error>> {
    let placement = PlacementTask::new(log.clone(), clock::now());
    run_with(settings, log, vec![Box::new(placement)], stop).await
}

/// Runs a control instance with the given leader tasks until the future `stop` resolves.
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
    check(&settings)?;
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
            .bind(settings.node.http)
            .map_err(|error| Problem::Listener(HTTP_FIELD, settings.node.http, error))?
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

/// Tries the listeners and the data folder that the settings name.
fn check(settings: &Settings) -> Result<(), startup::Error> {
    let mut check = Check::default();
    check.listener(HTTP_FIELD, settings.node.http);
    check.listener("[listen] inner", settings.node.inner);
    check.folder("[control] data", &settings.data);
    check.finish(Some(()))
}

/// Builds the setup of the core from the settings. Without other control instances in the
/// settings, this instance is the only seed.
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
        membership: MembershipPolicy::Manual,
        data: settings.data.clone(),
        seal: Seal::new(&node.name, node.key.as_bytes()),
        metrics: metrics.clone(),
        leader_tasks,
        controller: None,
        log: log.clone(),
    }
}

/// Parameters of [`Core::start`].
pub struct Setup {
    /// Name of this instance.
    pub node: id::Node,
    /// Address on which this instance serves the inner protocol.
    pub inner: SocketAddr,
    /// Control instances that the settings name, including this one where it is one of the first.
    pub seeds: Vec<Seed>,
    /// Timeouts and intervals of the log.
    pub timing: Timing,
    /// How the member list changes without an operator.
    pub membership: MembershipPolicy,
    /// The data folder.
    pub data: PathBuf,
    /// Authenticates messages of the inner protocol.
    pub seal: Seal,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Tasks that run only while this instance leads.
    pub leader_tasks: Vec<Box<dyn LeaderTask>>,
    /// Receives requests to the engine controller; `None` where a leader task gives the orders.
    pub controller: Option<mpsc::Sender<EntryRequest>>,
    /// Logger.
    pub log: Logger,
}

/// A running control instance: the actor of the log and the registry of targets.
#[derive(Clone, Debug)]
pub struct Core {
    /// Owns the replicated log and the state.
    pub raft_actor: Addr<RaftActor>,
    /// The targets known to this instance.
    pub registry: Arc<Mutex<Registry>>,
}

impl Core {
    /// Opens the data folder, starts the actor of the log and serves the inner protocol.
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

    /// Waits until the disk has failed, and then for `DISK_RECOVERY_GRACE`.
    ///
    /// The log accepts no more records until it is opened again. The extra time lets a transient
    /// failure pass before the caller restarts.
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

    /// Gives up leadership and waits for pending replies to be sent.
    pub async fn stop(&self) {
        // Sending fails where the actor has stopped, which then has no leadership to give up.
        let _ = self.raft_actor.send(Stop).await;
        actix_rt::time::sleep(STOP_GRACE).await;
    }
}

fn build_raft_actor(setup: Setup) -> Result<RaftActor, Box<dyn Error>> {
    let Opened { folder, stored } = open_folder(&setup.data, &setup.log)?;
    let state = State::decode(&stored.snapshot.data)?;
    let raft_options = RaftOptions {
        node: setup.node.clone(),
        address: setup.inner,
        seeds: setup.seeds,
        timing: setup.timing,
        membership: setup.membership,
        seed: random_seed()?,
        stored,
    };
    Ok(RaftActor::new(Options {
        raft: Raft::new(raft_options, clock::now()),
        state,
        disk: Box::new(folder),
        node: setup.node,
        seal: setup.seal,
        leader_tasks: setup.leader_tasks,
        metrics: setup.metrics,
        log: setup.log,
    }))
}

/// Opens the data folder. The files of a corrupt folder are renamed; this instance then starts
/// with an empty folder and joins the log again.
fn open_folder(path: &Path, log: &Logger) -> Result<Opened, Box<dyn Error>> {
    let opened = match Folder::open(path, random_seed()?) {
        Err(error @ disk::Error::Corrupt(..)) => {
            error!(log, "the data folder is corrupt and was set aside; this instance joins as a learner";
                "error" => %error);
            Folder::set_aside(path)?;
            Folder::open(path, random_seed()?)?
        }
        other => other?,
    };
    if opened.stored.torn_bytes > 0 {
        warn!(log, "truncated an incomplete record at the end of the log"; "bytes" => opened.stored.torn_bytes);
    }
    Ok(opened)
}

/// Returns a random seed that is not 0.
fn random_seed() -> io::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}
