//! The actor that owns the replicated log and the state built from it.
//!
//! The actor drives the pure state machine [`Raft`] with the clock, the disk thread and the
//! streams to the other control instances, and applies committed commands to the [`State`].
//!
//! A follower here is an instance that subscribes to the configuration on this instance (see
//! [`crate::watch`]), not a Raft follower.

mod actions;
mod forward;
mod membership;
mod messages;
mod proposals;
mod requests;

use crate::controller::EntryRequest;
use crate::leader_task::{LeaderTask, Leadership};
use crate::link::Link;
use crate::metrics::Metrics;
use crate::watch::{ConfigSnapshot, LatestRoutes, RoutesUpdate};
use crate::writer::Writer;
use actix::{Actor, AsyncContext, Context};
use flamingo_daemon::clock;
use flamingo_guard::quarantine::Ledger;
use flamingo_log::{Disk, Raft, Role};
use flamingo_state::State;
use flamingo_state::software::Software;
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Heartbeat, Reply};
use flamingo_wire::frame::Seal;
use flamingo_wire::{id, route};
pub(crate) use forward::Forwarder;
pub use messages::{
    ChangeMembers, EntryReport, FollowerHeartbeat, GetMembership, GetNewestRoutes, HandleRequest,
    IsReady, Membership, PeerMessage, Propose, ReadState, StateReader, Stop, UpdateSeeds,
};
use messages::{Flush, WriterReport};
use proposals::Proposals;
use slog::{Logger, error, info};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Interval at which the actor advances the log's timers and runs the leader tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two ticks from which on the process counts as held up.
const LONG_TICK: Duration = Duration::from_millis(60);
/// Interval at which the longest time between two ticks is logged.
const LONG_TICK_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a follower of the configuration counts as gone.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The last heartbeat of a follower of the configuration, and when the follower counts as gone.
#[derive(Debug)]
struct FollowerRecord {
    heartbeat: Heartbeat,
    expires: Instant,
}

/// Watches how regularly the timers are advanced.
#[derive(Debug, Default)]
struct Ticks {
    last: Option<Instant>,
    longest: Duration,
    log_due: Option<Instant>,
}

impl Ticks {
    /// Records a tick. Returns the longest time between two ticks since the last time that it
    /// was to be logged, if it is to be logged now: the process was busy, or did not run.
    fn record(&mut self, now: Instant) -> Option<Duration> {
        let last = self.last.replace(now);
        self.longest = self
            .longest
            .max(last.map_or(Duration::ZERO, |last| now - last));
        if self.longest < LONG_TICK || self.log_due.is_some_and(|due| now < due) {
            return None;
        }
        self.log_due = Some(now + LONG_TICK_LOG_INTERVAL);
        Some(std::mem::take(&mut self.longest))
    }
}

/// Parameters of [`RaftActor::new`].
pub struct Options {
    /// The log, restored from disk.
    pub raft: Raft,
    /// The state of the log's snapshot.
    pub state: State,
    /// Stores records of the log.
    pub disk: Box<dyn Disk>,
    /// Name of this instance.
    pub node: id::Node,
    /// Authenticates messages of the inner protocol.
    pub seal: Seal,
    /// Tasks that run only while this instance leads.
    pub leader_tasks: Vec<Box<dyn LeaderTask>>,
    /// Receives operators' queries for workspaces while this instance leads; `None` where it runs no
    /// engine controller.
    pub controller: Option<mpsc::Sender<EntryRequest>>,
    /// Metrics that the actor updates.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
}

/// Owns the replicated log and the state built from it.
pub struct RaftActor {
    raft: Raft,
    state: State,
    disk: Option<Box<dyn Disk>>,
    writer: Option<Writer>,
    node: id::Node,
    seal: Seal,
    leader_tasks: Vec<Box<dyn LeaderTask>>,
    controller: Option<mpsc::Sender<EntryRequest>>,
    /// Evidence against prompts, from the reports of entries.
    evidence: Ledger,
    metrics: Metrics,
    log: Logger,
    links: BTreeMap<id::Node, Link>,
    forwarder: Forwarder,
    proposals: Proposals,
    followers: BTreeMap<id::Node, FollowerRecord>,
    /// Entries that report their usage to this instance, and until when they count.
    reporters: BTreeMap<id::Node, Instant>,
    /// Zones of other control instances, from their heartbeats. They are kept while an instance is
    /// down, so that entries of its zone know where to expect it.
    control_zones: BTreeMap<id::Node, id::Zone>,
    config: watch::Sender<ConfigSnapshot>,
    routes: watch::Sender<LatestRoutes>,
    software: watch::Sender<Arc<Software>>,
    /// Term whose `Lead` command of this instance is committed; 0 while this instance does not
    /// lead.
    lead_committed: id::Term,
    /// Last term in which this instance proposed a `Lead` command.
    lead_proposed: id::Term,
    /// Whether a `Flush` message is on its way to this actor.
    flush_queued: bool,
    stopping: bool,
    /// Bytes of commands applied since the last snapshot.
    bytes_since_snapshot: usize,
    ticks: Ticks,
    observer: membership::Observer,
}

impl std::fmt::Debug for RaftActor {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "RaftActor({})", self.node)
    }
}

impl RaftActor {
    /// Builds the actor, which does nothing until it is started.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let snapshot = options.state.configuration.snapshot();
        let (config, _) = watch::channel(Arc::new(snapshot));
        let update = options
            .state
            .routes
            .as_ref()
            .map(|set| routes_update(set, false));
        let (routes, _) = watch::channel(update);
        let (software, _) = watch::channel(Arc::new(options.state.software.clone()));
        Self {
            raft: options.raft,
            state: options.state,
            disk: Some(options.disk),
            writer: None,
            node: options.node.clone(),
            seal: options.seal.clone(),
            leader_tasks: options.leader_tasks,
            controller: options.controller,
            evidence: Ledger::default(),
            metrics: options.metrics,
            log: options.log,
            links: BTreeMap::new(),
            forwarder: Forwarder::new(options.node, options.seal),
            proposals: Proposals::default(),
            followers: BTreeMap::new(),
            reporters: BTreeMap::new(),
            control_zones: BTreeMap::new(),
            config,
            routes,
            software,
            lead_committed: 0,
            lead_proposed: 0,
            flush_queued: false,
            stopping: false,
            bytes_since_snapshot: 0,
            ticks: Ticks::default(),
            observer: membership::Observer::default(),
        }
    }

    /// Returns a receiver of the newest committed configuration.
    #[must_use]
    pub fn subscribe_config(&self) -> watch::Receiver<ConfigSnapshot> {
        self.config.subscribe()
    }

    /// Returns a receiver of the newest committed routes.
    #[must_use]
    pub fn subscribe_routes(&self) -> watch::Receiver<LatestRoutes> {
        self.routes.subscribe()
    }

    /// Returns a receiver of the committed software versions of targets.
    #[must_use]
    pub fn subscribe_software(&self) -> watch::Receiver<Arc<Software>> {
        self.software.subscribe()
    }

    /// Returns the leadership of this instance, or `None` where it does not lead at `now` or its
    /// `Lead` command is not committed yet.
    fn leadership(&self, now: Instant) -> Option<Leadership> {
        let term = self.raft.term();
        let leads = self.raft.is_leader(now) && self.lead_committed == term;
        leads.then(|| Leadership {
            term,
            fence: self.state.fence(),
            until: self.raft.leadership_deadline().unwrap_or(now),
        })
    }

    /// Publishes the committed configuration, routes and software versions where they have changed.
    fn publish(&self) {
        let version = self.state.configuration.version();
        if version > self.config.borrow().version {
            let snapshot: Snapshot = self.state.configuration.snapshot();
            self.config.send_replace(Arc::new(snapshot));
        }
        let published = self.routes.borrow().as_ref().map(|update| update.version);
        if let Some(set) = &self.state.routes
            && Some(set.version) != published
        {
            let leads = self.raft.role() == Role::Leader;
            info!(self.log, "routes applied"; "version" => set.version, "leads" => leads);
            self.routes.send_replace(Some(routes_update(set, leads)));
        }
        self.software.send_if_modified(|published| {
            let changed = **published != self.state.software;
            if changed {
                *published = Arc::new(self.state.software.clone());
            }
            changed
        });
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = clock::now();
        if let Some(longest) = self.ticks.record(now) {
            info!(self.log, "held up"; "for_ms" => longest.as_millis());
        }
        self.raft.tick(now);
        self.process_actions(now);
        self.proposals.expire(now);
        self.followers.retain(|_, follower| now < follower.expires);
        self.reporters.retain(|_, expires| now < *expires);
        self.update_links();
        self.run_leader_tasks(now, ctx);
        self.update_metrics(now);
        self.observe_membership(now);
    }

    /// Runs the leader tasks while this instance leads, and proposes the commands they return.
    fn run_leader_tasks(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let Some(leadership) = self.leadership(now) else {
            return;
        };
        let mut commands = Vec::new();
        for leader_task in &mut self.leader_tasks {
            commands.extend(leader_task.run(&self.state, &leadership, now));
        }
        for command in commands {
            // A committed command is reported to the tasks when it is applied.
            if let Err(refusal) = self.propose(now, command.clone()) {
                let reply = Reply::Refused(requests::refusal_fault(&refusal));
                for leader_task in &mut self.leader_tasks {
                    leader_task.command_replied(&command, &reply);
                }
            }
        }
        self.flush_soon(ctx);
    }

    /// Queues a `Flush` behind the messages already in the mailbox, so that the proposals of all of
    /// them are sent together.
    fn flush_soon(&mut self, ctx: &mut Context<Self>) {
        if !self.flush_queued {
            self.flush_queued = true;
            ctx.notify(Flush);
        }
    }

    /// Sets the gauges from the log, the state and the followers.
    fn update_metrics(&self, now: Instant) {
        let metrics = &self.metrics;
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.leads.set(i64::from(self.raft.is_leader(now)));
        metrics.term.set(number(self.raft.term()));
        metrics.committed.set(number(self.raft.commit_index()));
        metrics
            .version
            .set(number(self.state.configuration.version()));
        metrics
            .ledger_records
            .set(number(self.state.calls.records() as u64));
        let outstanding = self.state.orders.outstanding().count();
        metrics.orders_outstanding.set(number(outstanding as u64));
        metrics.followers.set(number(self.followers.len() as u64));
        metrics.disk_failed.set(i64::from(self.raft.disk_failed()));
        metrics.disk_full.set(i64::from(self.raft.disk_full()));
    }
}

/// Returns the routes in the form in which followers get them, without the operator's text.
fn routes_update(set: &route::Set, from_leader: bool) -> RoutesUpdate {
    // The operator's text is about as long as the encoded routes.
    let bytes = set.text.len() as u64;
    RoutesUpdate::new(without_text(set), from_leader, bytes)
}

/// Returns what followers get of a set of routes: the operator's text holds keys of callers.
fn without_text(set: &route::Set) -> route::Set {
    route::Set {
        version: set.version,
        routes: set.routes.clone(),
        services: set.services.clone(),
        limits: set.limits,
        workspaces: set.workspaces.clone(),
        text: String::new(),
    }
}

impl Actor for RaftActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1024);
        let raft_actor = ctx.address();
        if let Some(disk) = self.disk.take() {
            let report = move |event| raft_actor.do_send(WriterReport(event));
            match Writer::start(disk, report) {
                Ok(writer) => self.writer = Some(writer),
                Err(error) => {
                    error!(self.log, "cannot start the log writer thread"; "error" => %error);
                    self.raft.fail_disk(clock::now());
                }
            }
        }
        // Entries that the disk recorded as committed are applied before the first request.
        self.process_actions(clock::now());
        ctx.run_interval(TICK_INTERVAL, Self::tick);
    }
}
