//! One control instance in this process, whose controller orders the engines of a [`World`].

use super::engine::World;
use flamingo_control::controller::{self, Bounds, EntryRequest, Options, send_request};
use flamingo_control::daemon::{Core, Setup};
use flamingo_control::metrics::Metrics;
use flamingo_control::raft_actor::HandleRequest;
use flamingo_control::registry::Broadcast;
use flamingo_control::watch::lock_registry;
use flamingo_daemon::clock;
use flamingo_guard::quota::Terms;
use flamingo_log::Timing;
use flamingo_log::raft::{MembershipPolicy, Seed};
use flamingo_test_support::{address, wait};
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::prompt::Quarantine;
use flamingo_wire::route::{Service, Set};
use flamingo_wire::workspace::{Quota, Unit, Workspace};
use slog::Logger;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::broadcast::Receiver;
use tokio::sync::mpsc;

/// Port of the inner protocol.
const PORT: u16 = 7411;
/// Interval of the engines' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);

/// Quota of the workspace `w`.
pub const QUOTA: Quota = Quota {
    unit: Unit::Requests,
    per_s: 20.0,
    burst: 5.0,
    plain_units: 0.0,
};

/// A running controller.
pub struct Harness {
    requests: mpsc::Sender<EntryRequest>,
    core: Core,
    pub metrics: Metrics,
    _data: tempfile::TempDir,
}

impl Harness {
    /// Starts an instance that leads alone, and waits until its controller knows the routes.
    pub async fn start(world: &World) -> Self {
        let data = tempfile::tempdir().unwrap();
        let log = Logger::root(slog::Discard, slog::o!());
        let setup = setup(data.path(), &log);
        let metrics = setup.metrics.clone();
        let core = Core::start(setup).await.unwrap();
        let (requests, received) = mpsc::channel(16);
        put_routes(&core, world).await;
        actix_rt::spawn(send_heartbeats(core.clone(), world.clone()));
        actix_rt::spawn(controller::run(Options {
            node: "c".into(),
            core: core.clone(),
            engine_client: Rc::new(world.clone()),
            requests: received,
            bounds: Bounds {
                lease: Duration::from_secs(3),
                fencing_enforced: true,
                load_burst: 3.0,
                load_window: Duration::from_secs(5),
            },
            metrics: metrics.clone(),
            quota_terms: Terms::default(),
            log,
        }));
        Self {
            requests,
            core,
            metrics,
            _data: data,
        }
    }

    /// Subscribes to what the instance pushes to entries.
    pub fn pushes(&self) -> Receiver<Arc<Broadcast>> {
        lock_registry(&self.core.registry).subscribe().1
    }

    /// Returns what an entry gets that subscribes now.
    pub fn quarantines(&self) -> Vec<Quarantine> {
        lock_registry(&self.core.registry).quarantines(clock::now())
    }

    /// Asks the controller on behalf of an entry.
    pub async fn ask(&self, request: Request) -> Reply {
        self.ask_as("entry", request).await
    }

    /// Asks the actor of the log on behalf of an entry.
    pub async fn ask_log(&self, request: Request) -> Reply {
        let from = "entry".into();
        let reply = self.core.raft_actor.send(HandleRequest { request, from });
        reply.await.expect("the actor runs")
    }

    /// Asks the controller on behalf of the entry named `from`.
    pub async fn ask_as(&self, from: &str, request: Request) -> Reply {
        send_request(&self.requests, from, request).await
    }
}

fn setup(data: &std::path::Path, log: &Logger) -> Setup {
    let inner = address::at(address::host(), PORT);
    Setup {
        node: "c".into(),
        inner,
        seeds: vec![Seed {
            node: "c".into(),
            address: inner,
        }],
        timing: Timing::low_latency(),
        membership: MembershipPolicy::Automatic {
            min_voters: 1,
            bootstraps: true,
        },
        data: data.into(),
        seal: Seal::new("c", b"a key of the tests"),
        metrics: Metrics::new().unwrap(),
        leader_tasks: Vec::new(),
        controller: None,
        log: log.clone(),
    }
}

async fn put_routes(core: &Core, world: &World) {
    let set = Arc::new(Set {
        version: 1,
        services: vec![Service {
            name: "s".into(),
            connections: 8,
            engine: Some((*world.config).clone()),
        }],
        workspaces: Some(vec![Workspace {
            name: "w".into(),
            quota: Some(QUOTA),
            ..Workspace::default()
        }]),
        text: "the text of an operator, with keys".into(),
        ..Set::default()
    });
    wait::until("the routes to be accepted", || async {
        let request = Request::Route(Arc::clone(&set));
        let from = String::new();
        let reply = core.raft_actor.send(HandleRequest { request, from }).await;
        matches!(reply, Ok(Reply::Accepted(1))).then_some(())
    })
    .await;
}

async fn send_heartbeats(core: Core, world: World) {
    for sequence in 1.. {
        for (id, engine) in world.engines.borrow().iter() {
            let registration = engine.registration(id, sequence);
            lock_registry(&core.registry).record_heartbeat(clock::now(), registration);
        }
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
