//! Starts and stops the daemon.

use crate::duty::Duty;
use crate::holder::Question;
use crate::http;
use crate::inner::Inner;
use crate::keeper::{Keeper, Members, Start, Stop};
use crate::metrics::Metrics;
use crate::orders::Orders;
use crate::registry::Registry;
use crate::watch::{CATCH_UPS, Source};
use actix::{Actor, Addr};
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use flamingo_daemon::clock;
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

/// Time for which replies under way are waited for after leadership is given up.
const GRACE: Duration = Duration::from_millis(500);
/// Time between two looks whether the disk has failed.
const LOOK: Duration = Duration::from_millis(500);
/// Time for which a failed disk may recover before the log is opened again.
const PASS: Duration = Duration::from_secs(2);
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
    let orders = Orders::new(log.clone(), clock::now());
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
    let metrics = Metrics::new()?;
    let core = Core::start(setup(&settings, &metrics, duties, &log)).await?;
    let shared = Data::new(http::Shared {
        keeper: core.keeper.clone(),
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

fn setup(
    settings: &Settings,
    metrics: &Metrics,
    duties: Vec<Box<dyn Duty>>,
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
        duties,
        holder: None,
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
    pub membership: MembershipPolicy,
    /// The data folder.
    pub data: PathBuf,
    /// Seals the inner protocol.
    pub seal: Seal,
    /// Metrics.
    pub metrics: Metrics,
    /// What only the leader does.
    pub duties: Vec<Box<dyn Duty>>,
    /// Takes what is asked of the holder of orders; none where a duty gives them.
    pub holder: Option<mpsc::Sender<Question>>,
    /// Log lines.
    pub log: Logger,
}

/// The log, the state and the inner protocol of a running control instance.
#[derive(Clone, Debug)]
pub struct Core {
    /// Owns log and state.
    pub keeper: Addr<Keeper>,
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
        let holder = setup.holder.clone();
        let inner = setup.inner;
        let keeper = keeper(setup)?;
        let published = keeper.published();
        let routes = keeper.routes();
        let keeper = keeper.start();
        let listener = TcpListener::bind(inner).await?;
        let registry = Arc::new(Mutex::new(Registry::default()));
        let source = Source {
            seal: seal.clone(),
            keeper: keeper.clone(),
            published,
            permits: Arc::new(Semaphore::new(CATCH_UPS)),
            routes,
            registry: Arc::clone(&registry),
        };
        let inner = Inner::new(seal, keeper.clone(), source, holder);
        let limit = MAX_BODY + ENVELOPE;
        let inner = Server::builder()
            .add_service(ControlServer::new(inner.clone()).max_decoding_message_size(limit))
            .add_service(LogServer::new(inner).max_decoding_message_size(limit));
        actix_rt::spawn(inner.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(Self { keeper, registry })
    }

    /// Waits until the disk has failed, and a while longer.
    ///
    /// The log takes no more until it is opened again; what fails may pass meanwhile.
    pub async fn disk_failed(&self) {
        while !self.broken().await {
            actix_rt::time::sleep(LOOK).await;
        }
        actix_rt::time::sleep(PASS).await;
    }

    async fn broken(&self) -> bool {
        let group = self.keeper.send(Members).await;
        group.is_ok_and(|group| group.broken)
    }

    /// Gives up leadership, and waits for replies under way.
    pub async fn stop(&self) {
        // Without a keeper there is no leadership to give up.
        let _ = self.keeper.send(Stop).await;
        actix_rt::time::sleep(GRACE).await;
    }
}

fn keeper(setup: Setup) -> Result<Keeper, Box<dyn Error>> {
    let Opened { folder, stored } = open(&setup.data, &setup.log)?;
    let state = State::decode(&stored.snapshot.data)?;
    let options = RaftOptions {
        node: setup.node.clone(),
        address: setup.inner,
        seeds: setup.seeds,
        timing: setup.timing,
        membership: setup.membership,
        seed: random()?,
        stored,
    };
    Ok(Keeper::new(Start {
        raft: Raft::new(options, clock::now()),
        state,
        disk: Box::new(folder),
        node: setup.node,
        seal: setup.seal,
        duties: setup.duties,
        metrics: setup.metrics,
        log: setup.log,
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
    if opened.stored.torn_bytes > 0 {
        warn!(log, "a torn tail was cut off"; "bytes" => opened.stored.torn_bytes);
    }
    Ok(opened)
}

/// Returns a random number that is not 0.
fn random() -> io::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}
