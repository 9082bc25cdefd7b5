//! The actor that owns the replicated log and the state built from it.
//!
//! The actor drives the pure state machine [`Raft`] with the clock, the disk thread and the
//! streams to the other control instances, and applies committed commands to the [`State`].
//!
//! A follower here is an instance that subscribes to the configuration on this instance (see
//! [`crate::watch`]), not a Raft follower.

mod actions;
mod forward;
mod proposals;
mod requests;

use crate::leader_task::{LeaderTask, Leadership};
use crate::link::Link;
use crate::metrics::Metrics;
use crate::watch::{ConfigSnapshot, LatestRoutes, RoutesUpdate};
use crate::writer::{self, Writer};
use actix::{Actor, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use flamingo_daemon::clock;
use flamingo_guard::quarantine::Ledger;
use flamingo_log::raft::{Change, Refusal, Seed};
use flamingo_log::{Disk, Raft, Role};
use flamingo_state::software::Software;
use flamingo_state::{Command, State};
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Heartbeat, Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::{Fault, id, route};
use forward::Forwarder;
use proposals::Proposals;
use slog::{Logger, error, info};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

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
    /// Evidence against prompts, from the reports of entries.
    evidence: Ledger,
    metrics: Metrics,
    log: Logger,
    links: BTreeMap<id::Node, Link>,
    forwarder: Forwarder,
    proposals: Proposals,
    followers: BTreeMap<id::Node, FollowerRecord>,
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
            evidence: Ledger::default(),
            metrics: options.metrics,
            log: options.log,
            links: BTreeMap::new(),
            forwarder: Forwarder::new(options.node, options.seal),
            proposals: Proposals::default(),
            followers: BTreeMap::new(),
            config,
            routes,
            software,
            lead_committed: 0,
            lead_proposed: 0,
            flush_queued: false,
            stopping: false,
            bytes_since_snapshot: 0,
            ticks: Ticks::default(),
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
        self.update_links();
        self.run_leader_tasks(now, ctx);
        self.update_metrics(now);
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
    }
}

/// Returns the routes in the form in which followers get them, without the operator's text.
fn routes_update(set: &route::Set, from_leader: bool) -> RoutesUpdate {
    // The operator's text is about as long as the encoded routes.
    let bytes = set.text.len() as u64;
    let set = route::Set {
        version: set.version,
        routes: set.routes.clone(),
        services: set.services.clone(),
        limits: set.limits,
        text: String::new(),
    };
    RoutesUpdate::new(set, from_leader, bytes)
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

/// A message of the log from another member.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerMessage(pub flamingo_log::Message);

/// A report of the disk thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct WriterReport(writer::Event);

/// Sends the proposals made since the last flush to the other members.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Flush;

/// A heartbeat of a follower of the configuration.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct FollowerHeartbeat(pub Heartbeat);

/// Handles a request of an entry, an operator or another control instance.
///
/// A request that only the leader can answer is forwarded to the leader, but never twice: a
/// request that another control instance forwarded is answered with a redirect.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct HandleRequest {
    /// The request.
    pub request: Request,
    /// Name of the sender; empty for an operator.
    pub from: id::Node,
}

/// Proposes a command; the reply comes once the command is committed, or says why it was refused.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Propose(pub Command);

/// Adds or removes one member of the log.
#[derive(Debug, Message)]
#[rtype(result = "Result<(), Fault>")]
pub struct ChangeMembers(pub Change);

/// Calls a function with the committed state and this instance's leadership.
#[derive(Message)]
#[rtype(result = "T")]
pub struct ReadState<T: 'static>(pub StateReader<T>);

/// A function for [`ReadState`]. The leadership is `None` where this instance does not lead now.
pub type StateReader<T> = Box<dyn FnOnce(&State, Option<&Leadership>) -> T + Send>;

/// The members of the log and the state of this instance; the reply to [`GetMembership`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Addresses of the members for the inner protocol.
    pub addresses: Vec<SocketAddr>,
    /// Address of the leader for the inner protocol; `None` where no leader is known.
    pub leader: Option<SocketAddr>,
    /// Number of entries that follow the routes on this instance.
    pub followers: usize,
    /// Whether the disk failed; if so, this instance acknowledges nothing any more.
    pub disk_failed: bool,
}

/// Returns whether this instance can serve requests: it has a member list, knows a leader and is
/// not stopping.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct IsReady;

/// Returns the members and the leader of the log, as far as this instance knows them.
#[derive(Debug, Message)]
#[rtype(result = "Membership")]
pub struct GetMembership;

/// Replaces the control instances that the settings name.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct UpdateSeeds(pub Vec<Seed>);

/// Gives up leadership and takes no more proposals.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

impl Handler<PeerMessage> for RaftActor {
    type Result = ();

    fn handle(&mut self, PeerMessage(message): PeerMessage, _: &mut Self::Context) {
        let now = clock::now();
        self.raft.receive(now, message);
        self.process_actions(now);
    }
}

impl Handler<WriterReport> for RaftActor {
    type Result = ();

    fn handle(&mut self, WriterReport(event): WriterReport, _: &mut Self::Context) {
        let now = clock::now();
        match event {
            writer::Event::Synced(count) => self.raft.synced(now, count),
            writer::Event::Failed(error) => {
                error!(self.log, "the disk failed; nothing is acknowledged until a restart";
                    "error" => %error);
                self.raft.fail_disk(now);
            }
        }
        self.process_actions(now);
    }
}

impl Handler<Flush> for RaftActor {
    type Result = ();

    fn handle(&mut self, _: Flush, _: &mut Self::Context) {
        let now = clock::now();
        self.flush_queued = false;
        self.raft.flush(now);
        self.process_actions(now);
    }
}

impl Handler<FollowerHeartbeat> for RaftActor {
    type Result = ();

    fn handle(&mut self, FollowerHeartbeat(heartbeat): FollowerHeartbeat, _: &mut Self::Context) {
        let expires = clock::now() + FOLLOWER_TIMEOUT;
        let follower = FollowerRecord { heartbeat, expires };
        self.followers
            .insert(follower.heartbeat.node.clone(), follower);
    }
}

impl Handler<Propose> for RaftActor {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, Propose(command): Propose, ctx: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        let reply = self.propose_for_reply(now, command);
        self.flush_soon(ctx);
        reply
    }
}

impl Handler<HandleRequest> for RaftActor {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, message: HandleRequest, ctx: &mut Self::Context) -> Self::Result {
        self.handle_request(clock::now(), message, ctx)
    }
}

impl Handler<ChangeMembers> for RaftActor {
    type Result = MessageResult<ChangeMembers>;

    fn handle(
        &mut self,
        ChangeMembers(change): ChangeMembers,
        _: &mut Self::Context,
    ) -> Self::Result {
        let now = clock::now();
        let changed = self.raft.change(now, change);
        self.process_actions(now);
        MessageResult(changed.map_err(|refusal: Refusal| requests::refusal_fault(&refusal)))
    }
}

impl<T: Send + 'static> Handler<ReadState<T>> for RaftActor {
    type Result = MessageResult<ReadState<T>>;

    fn handle(&mut self, ReadState(read): ReadState<T>, _: &mut Self::Context) -> Self::Result {
        let leadership = self.leadership(clock::now());
        MessageResult(read(&self.state, leadership.as_ref()))
    }
}

impl Handler<IsReady> for RaftActor {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> bool {
        let has_leader = self.raft.leader().is_some() && !self.raft.members().is_empty();
        has_leader && !self.stopping
    }
}

impl Handler<GetMembership> for RaftActor {
    type Result = MessageResult<GetMembership>;

    fn handle(&mut self, _: GetMembership, _: &mut Self::Context) -> Self::Result {
        let members = self.raft.members();
        let leader = self.raft.leader();
        let leader = members
            .iter()
            .find(|member| Some(&member.node) == leader)
            .map(|member| member.address);
        let addresses = members.iter().map(|member| member.address).collect();
        let listed = |node: &str| members.iter().any(|member| member.node == node);
        let followers = self.followers.values();
        let followers = followers
            .filter(|follower| {
                follower.heartbeat.routes.is_some() && !listed(&follower.heartbeat.node)
            })
            .count();
        MessageResult(Membership {
            addresses,
            leader,
            followers,
            disk_failed: self.raft.disk_failed(),
        })
    }
}

impl Handler<UpdateSeeds> for RaftActor {
    type Result = ();

    fn handle(&mut self, UpdateSeeds(seeds): UpdateSeeds, _: &mut Self::Context) {
        self.raft.update_seeds(seeds);
    }
}

impl Handler<Stop> for RaftActor {
    type Result = ();

    fn handle(&mut self, _: Stop, _: &mut Self::Context) {
        info!(self.log, "stopping: giving up leadership");
        let now = clock::now();
        self.stopping = true;
        self.raft.transfer_leadership(now);
        self.process_actions(now);
    }
}
