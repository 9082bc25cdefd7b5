//! The engine controller: gives load and unload orders to engines while this instance leads.
//!
//! Only the leader orders, so that engines never get conflicting orders. The controller loads
//! adapters when entries request them, and moves replicas of models to where the demand is. Each
//! order carries the fencing number of the leadership and the number of orders that the engine
//! must have accepted before, so that an order that arrives late changes nothing.

pub mod adapter_time;
pub mod demand;
pub mod engine;
pub mod engine_api;
pub mod pace;
pub mod published_loads;
pub mod store;
pub mod workspaces;

mod evidence;
mod moves;
mod orders;
mod quota;
mod residents;
mod share;

use crate::daemon::Core;
use crate::metrics::Metrics;
use crate::raft_actor::{EntryReport, GetNewestRoutes, ReadState};
use crate::watch::lock_registry;
use adapter_time::AdapterTimes;
use demand::Tracker;
use engine::{EngineState, Key};
use engine_api::{EngineClient, Operation, Order, Outcome};
use flamingo_daemon::clock;
use flamingo_guard::permits::Permits;
use flamingo_guard::quota::Terms;
use flamingo_guard::quota::ledger::Ledger;
use flamingo_guard::room::Ledger as RoomLedger;
use flamingo_wire::admin::Query;
use flamingo_wire::control::{Permit, Reply, Request, Room};
use flamingo_wire::fault::Reason;
use flamingo_wire::route::{Engine, Set};
use flamingo_wire::target::Usage;
use flamingo_wire::{Fault, id};
use pace::Pace;
use published_loads::PublishedLoads;
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use store::Loads;
use tokio::sync::{Mutex, mpsc, oneshot};

/// Interval at which the controller refreshes its view of the engines and plans moves.
const PLANNING_INTERVAL: Duration = Duration::from_millis(100);
/// Planning takes at most this part of the time, so that a process with little processor time
/// still answers the other control instances in time.
const PLANNING_TIME_DIVISOR: u32 = 5;
/// Interval at which the summed loads of all entries are published to the entries.
const LOADS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an idle engine is asked for a report. An engine whose sequence is unknown
/// or that executes an order is asked every three planning intervals.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time after an election in which a new leader collects reports of engines before its first
/// order, where engines check fencing numbers.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Time without a heartbeat after which a target's replicas no longer count.
const TARGET_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an entry that reports its usage is counted again; far shorter than the time for
/// which it counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// A request of an entry to the controller.
#[derive(Debug)]
pub struct EntryRequest {
    /// The entry that sent the request.
    pub from: id::Node,
    /// The request; the controller handles loads of adapters, reports of usage, permits, quotas and
    /// operators' queries for workspaces, and refuses all others.
    pub request: Request,
    /// Receives the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Sends a request to the controller and waits for the reply.
///
/// Replies with a fault of reason `Overloaded` where the controller's queue is full or the
/// controller has stopped.
pub async fn send_request(
    controller: &mpsc::Sender<EntryRequest>,
    from: &str,
    request: Request,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    let entry_request = EntryRequest {
        from: from.to_owned(),
        request,
        reply,
    };
    if controller.try_send(entry_request).is_err() {
        return Reply::Refused(busy("its request queue is full"));
    }
    answer
        .await
        .unwrap_or_else(|_| Reply::Refused(busy("it has stopped")))
}

/// Returns the fault for a request that the controller can't fulfil now.
fn busy(why: &str) -> Fault {
    let message = format!("the engine controller can't fulfil the request: {why}");
    Fault::not_run(Reason::Overloaded, message, "retry the request").retry_after(1)
}

/// Limits on when and how often orders are given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the last order of one leader and the first order of the next, where engines
    /// don't check fencing numbers.
    pub lease: Duration,
    /// Whether engines refuse an order whose fencing number is lower than the highest that they
    /// have received.
    pub fencing_enforced: bool,
    /// Loads from the weight store that may start within a window in addition to the rate.
    pub load_burst: f64,
    /// Window over which starts of loads from the weight store are counted.
    pub load_window: Duration,
}

/// Parameters of [`run`].
pub struct Options {
    /// Name of this instance.
    pub node: id::Node,
    /// The replicated state and the registry of targets.
    pub core: Core,
    /// Sends orders to engines.
    pub engine_client: Rc<dyn EngineClient>,
    /// Requests of entries.
    pub requests: mpsc::Receiver<EntryRequest>,
    /// Limits on when and how often orders are given.
    pub bounds: Bounds,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Times and amounts by which quotas of workspaces are kept.
    pub quota_terms: Terms,
    /// Logger.
    pub log: Logger,
}

/// The current leadership with the parts of the committed state that planning needs.
#[derive(Clone, Debug)]
struct LeaderSnapshot {
    fence: id::Fence,
    until: Instant,
    routes: Option<Arc<Set>>,
    /// Wall-clock times at which loads from the weight store started, under any leader.
    loads: Vec<SystemTime>,
}

impl LeaderSnapshot {
    /// Returns how long ago loads from the weight store started. A time ahead of this clock, from an
    /// instance whose clock is ahead, counts as now.
    fn load_ages(&self, wall: SystemTime) -> impl Iterator<Item = Duration> {
        let loads = self.loads.iter();
        loads.map(move |started| wall.duration_since(*started).unwrap_or_default())
    }
}

/// State of the controller during one leadership; dropped when the leadership ends.
#[derive(Debug, Default)]
struct TermState {
    fence: id::Fence,
    /// When the first order may be given.
    orders_from: Option<Instant>,
    /// Whether an engine refused an order because it knows a higher fencing number.
    superseded: bool,
    engines: BTreeMap<id::Target, EngineState>,
    /// Engines without a registration that may still execute a load if they return.
    departed: BTreeMap<id::Target, EngineState>,
    order_locks: BTreeMap<id::Target, Rc<Mutex<()>>>,
    /// When each engine was last asked for a report.
    polled_at: BTreeMap<id::Target, Instant>,
    demand: Tracker,
    /// Permits to send requests to targets that name a limit.
    permits: Permits,
    /// Requests of all entries at targets that are brittle.
    rooms: RoomLedger,
    /// Times that the adapters of models take to load.
    adapter_times: AdapterTimes,
    /// Quotas of workspaces; `None` before the first leadership.
    quotas: Option<Ledger>,
    quotas_logged_at: Option<Instant>,
    /// Work of workspaces, for the shares of what is short; `None` before the first report.
    shares: Option<flamingo_guard::share::ledger::Ledger>,
    shares_logged_at: Option<Instant>,
    /// Models that no engine has resident, by service and model.
    missing: BTreeMap<(id::Service, id::Model), Missing>,
    routes: Option<Arc<Set>>,
    /// Loads from the weight store that this leader planned, and that it or earlier ones started.
    store_loads: Loads,
    loads_published_at: Option<Instant>,
    published_loads: PublishedLoads,
    /// Engines whose residency the entries have to get.
    unpublished: BTreeSet<id::Target>,
}

/// A model that no engine has resident.
#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Instant,
    /// Since when callers ask for it; `None` while nobody does.
    wanted_since: Option<Instant>,
}

impl TermState {
    /// Returns the state of an engine, unless it has restarted or the leadership is another one.
    fn engine(&self, key: &Key) -> Option<&EngineState> {
        let engine_state = self.engines.get(&key.target)?;
        (engine_state.key(self.fence) == *key).then_some(engine_state)
    }

    /// As [`Self::engine`], to change the state.
    fn engine_mut(&mut self, key: &Key) -> Option<&mut EngineState> {
        let engine_state = self.engines.get_mut(&key.target)?;
        (engine_state.key(self.fence) == *key).then_some(engine_state)
    }

    /// Applies the outcome of an order to the engine to which `key` belonged when it was sent. An
    /// engine that has restarted since may still execute a load that got no answer.
    fn apply_outcome(&mut self, key: &Key, order: &Order, outcome: Outcome, now: Instant) {
        if let Some(engine_state) = self.engine_mut(key) {
            engine_state.apply_outcome(order, outcome, now);
            return;
        }
        let late = outcome == Outcome::Uncertain && order.operation == Operation::Load;
        if late
            && self.fence == key.fence
            && let Some(restarted) = self.engines.get_mut(&key.target)
        {
            restarted.record_late_load(order, now);
        }
    }
}

/// Limits a log line to one a second.
#[derive(Debug, Default)]
struct LogRateLimit {
    next: Option<Instant>,
}

impl LogRateLimit {
    /// Returns whether the line may be written now; if so, the next second begins.
    fn allow(&mut self, now: Instant) -> bool {
        let due = self.next.is_none_or(|next| now >= next);
        if due {
            self.next = Some(now + Duration::from_secs(1));
        }
        due
    }
}

/// Plans and gives orders while this instance leads.
struct Controller {
    node: id::Node,
    core: Core,
    engine_client: Rc<dyn EngineClient>,
    bounds: Bounds,
    quota_terms: Terms,
    term: RefCell<TermState>,
    /// Whether this process has led before.
    has_led: Cell<bool>,
    planning_pace: RefCell<Pace>,
    demand_log_limit: RefCell<LogRateLimit>,
    /// When each entry that reports its usage was last counted.
    counted: RefCell<BTreeMap<id::Node, Instant>>,
    metrics: Metrics,
    log: Logger,
}

/// Runs the controller until all senders of requests are dropped.
pub async fn run(options: Options) {
    let controller = Rc::new(Controller {
        node: options.node,
        core: options.core,
        engine_client: options.engine_client,
        bounds: options.bounds,
        quota_terms: options.quota_terms,
        term: RefCell::default(),
        has_led: Cell::new(false),
        planning_pace: RefCell::new(Pace::new(PLANNING_TIME_DIVISOR)),
        demand_log_limit: RefCell::default(),
        counted: RefCell::default(),
        metrics: options.metrics,
        log: options.log,
    });
    let mut requests = options.requests;
    let mut round = tokio::time::interval(PLANNING_INTERVAL);
    round.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else {
                    return;
                };
                tokio::task::spawn_local(Rc::clone(&controller).handle_request(request));
            }
            _ = round.tick() => controller.run_round().await,
        }
    }
}

impl Controller {
    async fn handle_request(self: Rc<Self>, entry_request: EntryRequest) {
        let reply = match entry_request.request {
            Request::LoadAdapter(request) => match self.load_adapter(&request).await {
                Ok(()) => Reply::Acknowledged,
                Err(why) => {
                    info!(self.log, "adapter not brought"; "target" => &request.target,
                        "model" => &request.model, "adapter" => &request.adapter, "why" => why);
                    Reply::Refused(busy(why))
                }
            },
            Request::Usage(usage) => {
                let asks_routes = usage.asks_routes;
                self.record_usage(&entry_request.from, usage);
                self.acknowledge(asks_routes).await
            }
            Request::Usages(reports) => {
                let asks_routes = reports.iter().any(|(_, usage)| usage.asks_routes);
                for (entry, usage) in reports {
                    self.record_usage(&entry, usage);
                }
                self.acknowledge(asks_routes).await
            }
            Request::Permit(permit) => self.permit(&permit).await,
            Request::Room(asked) => self.room(&entry_request.from, &asked).await,
            Request::Rejected(rejected) => {
                let now = clock::now();
                let rooms = &mut self.term.borrow_mut().rooms;
                rooms.record_rejection(&rejected, now);
                Reply::Acknowledged
            }
            Request::Quota(question) => self.quota(&entry_request.from, &question).await,
            Request::Admin(Query::Workspaces) => self.workspaces().await,
            _ => Reply::Refused(busy("it does not handle requests of this kind")),
        };
        // The entry may have disconnected.
        let _ = entry_request.reply.send(reply);
    }

    /// Acknowledges reports; one that asks for it, with the newest routes where this instance knows them.
    async fn acknowledge(&self, asks_routes: bool) -> Reply {
        if !asks_routes {
            return Reply::Acknowledged;
        }
        let newest = self.core.raft_actor.send(GetNewestRoutes).await;
        newest
            .ok()
            .flatten()
            .map_or(Reply::Acknowledged, Reply::NewestRoutes)
    }

    /// Records what the entry `from` reports.
    fn record_usage(&self, from: &str, mut usage: Usage) {
        let evidence = std::mem::take(&mut usage.evidence);
        self.record_evidence(from, &evidence);
        self.count_reporter(from);
        self.record_shares(&usage.shares);
        let now = clock::now();
        let mut term = self.term.borrow_mut();
        term.rooms.record_report(from, &usage.loads, now);
        term.demand.record(now, from, usage);
    }

    /// Has an entry counted among those that share the retry budget, before its report is
    /// acknowledged. The actor hears of each entry a few times in the time for which it counts.
    fn count_reporter(&self, from: &str) {
        let now = clock::now();
        let mut counted = self.counted.borrow_mut();
        let due = counted
            .get(from)
            .is_none_or(|counted_at| now >= *counted_at + COUNT_INTERVAL);
        if due {
            counted.retain(|_, counted_at| now < *counted_at + COUNT_INTERVAL);
            counted.insert(from.to_owned(), now);
            self.core.raft_actor.do_send(EntryReport(from.to_owned()));
        }
    }

    /// Takes a permit to send a request to a target, if this instance leads.
    async fn permit(&self, permit: &Permit) -> Reply {
        if self.leader_snapshot().await.is_none() {
            return Reply::Refused(not_leading());
        }
        let now = clock::now();
        let permits = &mut self.term.borrow_mut().permits;
        let taken = permits.try_take(&permit.target, permit.incarnation, permit.named, now);
        permit_reply(taken, now)
    }

    /// Takes room for a request at a brittle target, if this instance leads.
    async fn room(&self, from: &str, asked: &Room) -> Reply {
        if self.leader_snapshot().await.is_none() {
            return Reply::Refused(not_leading());
        }
        let now = clock::now();
        let rooms = &mut self.term.borrow_mut().rooms;
        permit_reply(rooms.try_take(from, asked, now), now)
    }

    /// Returns the leadership and the state, or `None` where this instance does not lead now.
    async fn leader_snapshot(&self) -> Option<LeaderSnapshot> {
        let read = ReadState(Box::new(|state, leadership| {
            leadership.map(|leadership| LeaderSnapshot {
                fence: leadership.fence,
                until: leadership.until,
                routes: state.routes.clone(),
                loads: state.loads.clone(),
            })
        }));
        let leader: Option<LeaderSnapshot> = self.core.raft_actor.send(read).await.ok()?;
        leader.filter(|leader| clock::now() < leader.until)
    }

    /// Judges prompt parts. If this instance leads, also refreshes the view of the engines, publishes
    /// loads and plans moves.
    async fn run_round(self: &Rc<Self>) {
        self.judge_parts();
        let Some(leader) = self.leader_snapshot().await else {
            *self.term.borrow_mut() = TermState::default();
            self.show_adapter_times();
            return;
        };
        let now = clock::now();
        self.start_term(&leader, now);
        let Some(routes) = leader.routes.clone() else {
            return;
        };
        self.term.borrow_mut().routes = Some(Arc::clone(&routes));
        self.refresh_engines(&routes, now);
        self.flush_residencies();
        self.publish_loads(now);
        self.publish_shares(now);
        self.log_quotas(now);
        self.show_adapter_times();
        if self.may_order(now) {
            self.plan_if_due(&leader, &routes, now).await;
        }
    }

    /// Shows the learned load times of adapters in the metrics; none where this instance does not lead.
    fn show_adapter_times(&self) {
        let term = self.term.borrow();
        self.metrics.show_adapter_times(&term.adapter_times);
    }

    /// Plans moves, unless planning has taken too large a part of the recent time.
    async fn plan_if_due(self: &Rc<Self>, leader: &LeaderSnapshot, routes: &Set, now: Instant) {
        if !self.planning_pace.borrow().is_due(now) {
            return;
        }
        self.plan(leader, routes, now).await;
        self.planning_pace.borrow_mut().record(now, clock::now());
    }

    /// Resets the state where `leader` is a new leadership, and sets when orders may begin. The
    /// demand that entries reported before and the times of adapters are kept.
    fn start_term(&self, leader: &LeaderSnapshot, now: Instant) {
        let mut term = self.term.borrow_mut();
        if term.fence == leader.fence {
            return;
        }
        // Before the first leadership nobody gave orders. Where engines check fencing numbers,
        // they refuse orders of the previous leader from the first order of this one on.
        let wait = match (leader.fence, self.bounds.fencing_enforced) {
            (0 | 1, _) => Duration::ZERO,
            (_, true) => TAKEOVER_DELAY,
            (_, false) => self.bounds.lease,
        };
        info!(self.log, "engine controller started"; "fence" => leader.fence, "wait_ms" => wait.as_millis());
        let demand = std::mem::take(&mut term.demand);
        let adapter_times = std::mem::take(&mut term.adapter_times);
        let mut store_loads = Loads::default();
        store_loads.adopt(leader.load_ages(SystemTime::now()), now);
        *term = TermState {
            fence: leader.fence,
            orders_from: Some(now + wait),
            demand,
            adapter_times,
            store_loads,
            quotas: Some(self.new_quotas(leader, now)),
            ..TermState::default()
        };
    }

    /// Returns whether this leadership may give orders at `now`.
    fn may_order(&self, now: Instant) -> bool {
        let term = self.term.borrow();
        !term.superseded && term.orders_from.is_some_and(|first| now >= first)
    }

    /// Updates the engine states from the registrations of targets, and requests a report from
    /// each engine whose last poll is too long ago.
    fn refresh_engines(self: &Rc<Self>, routes: &Set, now: Instant) {
        let registrations = lock_registry(&self.core.registry).active(now, TARGET_TIMEOUT);
        let mut term = self.term.borrow_mut();
        let term = &mut *term;
        let is_engine = |registration: &flamingo_wire::target::Registration| {
            engine_config(routes, &registration.service).is_some() && !registration.gone
        };
        let registrations: Vec<_> = registrations.into_iter().filter(is_engine).collect();
        let departed = term.engines.extract_if(.., |id, engine_state| {
            let mut ids = registrations.iter().map(|registration| &registration.id);
            !engine_state.moving && !ids.any(|registered| registered == id)
        });
        term.departed.extend(departed);
        term.departed
            .retain(|_, engine_state| engine_state.awaits_late_loads(now));
        for registration in registrations {
            let known = term.engines.get_mut(&registration.id);
            match known {
                Some(known) if known.registration.incarnation == registration.incarnation => {
                    known.registration = registration;
                }
                _ => {
                    let id = registration.id.clone();
                    let departed = term.departed.remove(&id);
                    let previous = term.engines.get(&id).or(departed.as_ref());
                    let engine_state = match previous {
                        Some(previous) => EngineState::restarted(registration, previous, now),
                        None => EngineState::new(registration, now),
                    };
                    term.polled_at.remove(&id);
                    term.engines.insert(id, engine_state);
                }
            }
        }
        for (id, engine_state) in &term.engines {
            let polled_at = term.polled_at.get(id);
            let due = polled_at.is_none_or(|polled_at| {
                let known = engine_state.sequence().is_some() && !engine_state.is_occupied(now);
                let interval = if known {
                    ENGINE_POLL_INTERVAL
                } else {
                    PLANNING_INTERVAL * 3
                };
                now >= *polled_at + interval
            });
            if due && !engine_state.moving {
                term.polled_at.insert(id.clone(), now);
                let key = engine_state.key(term.fence);
                tokio::task::spawn_local(Rc::clone(self).poll_engine(key));
            }
        }
    }

    /// Publishes the summed loads of all entries and the limits that targets name, at most once every
    /// `LOADS_INTERVAL`.
    fn publish_loads(&self, now: Instant) {
        let mut term = self.term.borrow_mut();
        if term
            .loads_published_at
            .is_some_and(|published_at| now < published_at + LOADS_INTERVAL)
        {
            return;
        }
        term.loads_published_at = Some(now);
        let loads = term.demand.total_loads(now);
        let limits = term.permits.limits(now);
        if let Some(push) = term.published_loads.next_push(loads, limits, now) {
            lock_registry(&self.core.registry).publish_loads(now, push);
        }
    }

    /// Has the next round publish to the entries which models and adapters an engine has resident.
    fn publish_residency(&self, target: &str) {
        let mut term = self.term.borrow_mut();
        term.unpublished.insert(target.to_owned());
    }

    /// Publishes the residencies that have become known since the last call.
    fn flush_residencies(&self) {
        let now = clock::now();
        let mut term = self.term.borrow_mut();
        let unpublished = std::mem::take(&mut term.unpublished);
        let known = unpublished.iter().filter_map(|id| term.engines.get(id));
        let residencies: Vec<_> = known
            .map(|engine_state| engine_state.residency(now))
            .collect();
        if !residencies.is_empty() {
            lock_registry(&self.core.registry).publish_residency(now, residencies);
        }
    }
}

/// Returns the reply to a request for a permit or for room.
fn permit_reply(taken: Result<(), Instant>, now: Instant) -> Reply {
    let Err(until) = taken else {
        return Reply::Acknowledged;
    };
    let wait = until.saturating_duration_since(now).as_millis();
    Reply::NoPermit(u64::try_from(wait).unwrap_or(u64::MAX))
}

fn not_leading() -> Fault {
    let message = "this instance does not lead";
    Fault::not_run(Reason::Leaderless, message, "ask the leader")
}

/// Returns the engine settings of a service; `None` where the service is unknown or plain.
fn engine_config<'a>(routes: &'a Set, service: &str) -> Option<&'a Engine> {
    let mut services = routes.services.iter();
    let service = services.find(|known| known.name == service);
    service.and_then(|service| service.engine.as_ref())
}
