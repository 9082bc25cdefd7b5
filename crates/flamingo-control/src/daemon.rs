//! Starts and stops a control instance.

use crate::controller::EntryRequest;
use crate::http;
use crate::inner::InnerService;
use crate::leader_task::LeaderTask;
use crate::metrics::Metrics;
use crate::origins;
use crate::placement_task::PlacementTask;
use crate::raft_actor::{GetMembership, HandleRequest, Options, RaftActor, Stop};
use crate::registry::Registry;
use crate::software::{self, Gate, Passage};
use crate::suspicions::{self, Keeper};
use crate::usage_relay::UsageRelay;
use crate::watch::{MAX_FULL_TRANSFERS, Publisher, lock_registry};
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
use flamingo_state::software::Software;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::{MAX_BODY, Seal};
use flamingo_wire::id;
use flamingo_wire::inner::control_server::ControlServer;
use flamingo_wire::inner::log_server::LogServer;
use flamingo_wire::stream::Origin;
use flamingo_wire::target::Registration;
use slog::{Logger, error, info, warn};
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::watch::Receiver;
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// Time for pending replies to be sent after leadership is given up.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// Interval at which [`Core::wait_for_disk_failure`] checks the disk.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a transient failure of the disk to pass before the log may be opened again.
const DISK_RECOVERY_GRACE: Duration = Duration::from_secs(2);
/// Folder within the data folder for the origins of streams.
const ORIGINS_FOLDER: &str = "origins";
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
    /// Targets whose software version is not committed yet.
    gate: Arc<Mutex<Gate>>,
    log: Logger,
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
        let origins_folder = setup.data.join(ORIGINS_FOLDER);
        let evidence = suspicions::File::new(&setup.data);
        let log = setup.log.clone();
        let metrics = setup.metrics.clone();
        let raft_actor = build_raft_actor(setup)?;
        let origins = origins::Store::open(&origins_folder, log.clone())?;
        let config = raft_actor.subscribe_config();
        let routes = raft_actor.subscribe_routes();
        let software = raft_actor.subscribe_software();
        let raft_actor = raft_actor.start();
        let listener = TcpListener::bind(inner).await?;
        let registry = Arc::new(Mutex::new(Registry::default()));
        let keeper = Keeper::open(evidence, Arc::clone(&registry), log.clone());
        let publisher = Publisher {
            seal: seal.clone(),
            raft_actor: raft_actor.clone(),
            config,
            transfer_permits: Arc::new(Semaphore::new(MAX_FULL_TRANSFERS)),
            routes,
            registry: Arc::clone(&registry),
            metrics,
        };
        let usage_relay = UsageRelay::start(seal.clone(), log.clone());
        let inner = InnerService::new(
            seal,
            raft_actor.clone(),
            publisher,
            controller,
            origins,
            usage_relay,
        );
        let limit = MAX_BODY + FRAME_OVERHEAD;
        let inner = Server::builder()
            .add_service(ControlServer::new(inner.clone()).max_decoding_message_size(limit))
            .add_service(LogServer::new(inner).max_decoding_message_size(limit));
        actix_rt::spawn(inner.serve_with_incoming(TcpListenerStream::new(listener)));
        let core = Self {
            raft_actor,
            registry,
            gate: Arc::default(),
            log,
        };
        actix_rt::spawn(core.clone().adopt_software(software));
        actix_rt::spawn(keeper.run());
        Ok(core)
    }

    /// Records a heartbeat of a target. A target whose software version is not committed yet is
    /// published once it is.
    pub fn record_heartbeat(&self, mut registration: Registration) {
        let now = clock::now();
        let origin = software::origin(&registration);
        let mut gate = self.lock_gate();
        let passage = gate.check(&registration, SystemTime::now());
        if passage == Passage::Held {
            if lock_registry(&self.registry).withdraw_superseded(now, &mut registration) {
                info!(self.log, "target held"; "target" => &registration.id,
                    "service" => &origin.service, "software" => &origin.software);
                gate.hold(registration, now);
            }
        } else {
            gate.remove(&registration.id);
            lock_registry(&self.registry).record_heartbeat(now, registration);
        }
        if passage != Passage::Open && gate.begin_confirmation(&origin) {
            actix_rt::spawn(self.clone().confirm(origin));
        }
    }

    /// Records that a target has left. An `incarnation` other than 0 must be the current one; 0 stands
    /// for any.
    pub fn record_departure(&self, target: &str, incarnation: id::Incarnation) {
        self.lock_gate().remove(target);
        lock_registry(&self.registry).record_departure(clock::now(), target, incarnation);
    }

    /// Has a software version committed; tries again while a target waits for it.
    async fn confirm(self, origin: Origin) {
        let mut delays = software::confirmation_delays();
        loop {
            let request = Request::Confirm(origin.clone());
            let from = id::Node::new();
            let reply = self.raft_actor.send(HandleRequest { request, from }).await;
            if !matches!(reply, Ok(Reply::Acknowledged)) {
                info!(self.log, "software version not confirmed"; "service" => &origin.service,
                    "software" => &origin.software, "why" => format!("{reply:?}"));
                actix_rt::time::sleep(delays.next().unwrap_or_default()).await;
            }
            let mut gate = self.lock_gate();
            if matches!(reply, Ok(Reply::Acknowledged)) || !gate.holds(&origin, clock::now()) {
                gate.end_confirmation(&origin);
                return;
            }
        }
    }

    /// Publishes the targets that wait for their software version as it is committed. Ends with the
    /// actor of the log.
    async fn adopt_software(self, mut software: Receiver<Arc<Software>>) {
        loop {
            self.release_targets(Arc::clone(&software.borrow_and_update()));
            if software.changed().await.is_err() {
                return;
            }
        }
    }

    /// Publishes the targets whose software version is among the committed ones.
    fn release_targets(&self, committed: Arc<Software>) {
        let now = clock::now();
        let released = self.lock_gate().adopt(committed, now, SystemTime::now());
        for registration in released {
            lock_registry(&self.registry).record_heartbeat(now, registration);
        }
    }

    /// Locks the gate. A poisoned lock is used all the same, because a panic of another holder leaves
    /// the gate consistent.
    fn lock_gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
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
        controller: setup.controller,
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
