//! The actor that owns the replicated log and the state that it builds.
//!
//! It runs the pure [`Raft`] with the clock, the disk thread and the streams to
//! the other control instances, and applies what is committed to the [`State`].

mod answer;
mod forward;
mod pump;
mod waiting;

use crate::leader_task::{LeaderTask, Leadership};
use crate::link::Link;
use crate::metrics::Metrics;
use crate::watch::{Notice, Published, Routes};
use crate::writer::{self, Writer};
use actix::{Actor, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use flamingo_daemon::clock;
use flamingo_log::raft::{Change, Refusal, Seed};
use flamingo_log::{Disk, Raft, Role};
use flamingo_state::{Command, State};
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Beat, Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::{Fault, id, route};
use forward::Forwarder;
use slog::{Logger, error, info};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use waiting::Waiting;

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(20);
/// Time after which a follower that sent no beat is taken to be gone.
const FOLLOWER: Duration = Duration::from_secs(5);

/// A follower of the configuration on this instance.
#[derive(Debug)]
struct Subscriber {
    beat: Beat,
    until: Instant,
}

/// What a raft_actor is started with.
pub struct Options {
    /// The log, as its disk held it.
    pub raft: Raft,
    /// The state of the log's snapshot.
    pub state: State,
    /// The disk.
    pub disk: Box<dyn Disk>,
    /// This instance's name.
    pub node: id::Node,
    /// Seals the inner protocol.
    pub seal: Seal,
    /// What only the leader does.
    pub leader_tasks: Vec<Box<dyn LeaderTask>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Log lines.
    pub log: Logger,
}

/// Owns the replicated log and the state.
pub struct RaftActor {
    raft: Raft,
    state: State,
    disk: Option<Box<dyn Disk>>,
    writer: Option<Writer>,
    node: id::Node,
    seal: Seal,
    leader_tasks: Vec<Box<dyn LeaderTask>>,
    metrics: Metrics,
    log: Logger,
    links: BTreeMap<id::Node, Link>,
    forwarder: Forwarder,
    waiting: Waiting,
    followers: BTreeMap<id::Node, Subscriber>,
    published: watch::Sender<Published>,
    routes: watch::Sender<Routes>,
    /// Term of which the state holds the leader's first command.
    led: id::Term,
    /// Term in which this instance proposed its first command.
    begun: id::Term,
    flushing: bool,
    stopping: bool,
    /// Bytes of commands since the last snapshot.
    grown: usize,
}

impl std::fmt::Debug for RaftActor {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "RaftActor({})", self.node)
    }
}

impl RaftActor {
    /// Builds the actor; it works once it is started.
    #[must_use]
    pub fn new(start: Options) -> Self {
        let snapshot = start.state.configuration.snapshot();
        let (published, _) = watch::channel(Arc::new(snapshot));
        let known = start.state.routes.as_ref().map(|set| notice(set, false));
        let (routes, _) = watch::channel(known);
        Self {
            raft: start.raft,
            state: start.state,
            disk: Some(start.disk),
            writer: None,
            node: start.node.clone(),
            seal: start.seal.clone(),
            leader_tasks: start.leader_tasks,
            metrics: start.metrics,
            log: start.log,
            links: BTreeMap::new(),
            forwarder: Forwarder::new(start.node, start.seal),
            waiting: Waiting::default(),
            followers: BTreeMap::new(),
            published,
            routes,
            led: 0,
            begun: 0,
            flushing: false,
            stopping: false,
            grown: 0,
        }
    }

    /// Returns where the newest committed configuration is published.
    #[must_use]
    pub fn published(&self) -> watch::Receiver<Published> {
        self.published.subscribe()
    }

    /// Returns where the newest committed routes are published.
    #[must_use]
    pub fn routes(&self) -> watch::Receiver<Routes> {
        self.routes.subscribe()
    }

    /// Returns the leadership of this instance, if it holds at `now`.
    fn leadership(&self, now: Instant) -> Option<Leadership> {
        let term = self.raft.term();
        let leads = self.raft.leads(now) && self.led == term;
        leads.then(|| Leadership {
            term,
            fence: self.state.fence(),
            until: self.raft.until().unwrap_or(now),
        })
    }

    fn publish(&self) {
        let version = self.state.configuration.version();
        if version > self.published.borrow().version {
            let snapshot: Snapshot = self.state.configuration.snapshot();
            self.published.send_replace(Arc::new(snapshot));
        }
        let published = self
            .routes
            .borrow()
            .as_ref()
            .map(|notice| notice.set.version);
        if let Some(set) = &self.state.routes
            && Some(set.version) != published
        {
            let first = self.raft.role() == Role::Leader;
            self.routes.send_replace(Some(notice(set, first)));
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = clock::now();
        self.raft.tick(now);
        self.pump(now);
        self.waiting.expire(now);
        self.followers.retain(|_, watched| now < watched.until);
        self.connect();
        self.work(now, ctx);
        self.measure(now);
    }

    /// Lets the leader_tasks run, while this instance leads.
    fn work(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let Some(leadership) = self.leadership(now) else {
            return;
        };
        let mut commands = Vec::new();
        for leader_task in &mut self.leader_tasks {
            commands.extend(leader_task.run(&self.state, &leadership, now));
        }
        for command in commands {
            // The reply comes to the leader_task when the command is committed.
            if let Err(refusal) = self.submit(now, command.clone()) {
                let reply = Reply::Refused(answer::refused(&refusal));
                for leader_task in &mut self.leader_tasks {
                    leader_task.command_replied(&command, &reply);
                }
            }
        }
        self.flush_soon(ctx);
    }

    fn flush_soon(&mut self, ctx: &mut Context<Self>) {
        if !self.flushing {
            self.flushing = true;
            ctx.notify(Flush);
        }
    }

    fn measure(&self, now: Instant) {
        let metrics = &self.metrics;
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.leads.set(i64::from(self.raft.leads(now)));
        metrics.term.set(number(self.raft.term()));
        metrics.committed.set(number(self.raft.committed()));
        metrics
            .version
            .set(number(self.state.configuration.version()));
        metrics
            .records
            .set(number(self.state.calls.records() as u64));
        let outstanding = self.state.orders.outstanding().count();
        metrics.outstanding.set(number(outstanding as u64));
        metrics.followers.set(number(self.followers.len() as u64));
        metrics.broken.set(i64::from(self.raft.broken()));
    }
}

/// Returns routes as the followers get them.
fn notice(set: &route::Set, first: bool) -> Notice {
    // The text is about as long as what is made of it.
    let bytes = set.text.len() as u64;
    let set = route::Set {
        version: set.version,
        routes: set.routes.clone(),
        services: set.services.clone(),
        limits: set.limits,
        text: String::new(),
    };
    Notice {
        set: Arc::new(set),
        first,
        bytes,
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
                    error!(self.log, "no writer thread"; "error" => %error);
                    self.raft.failed(clock::now());
                }
            }
        }
        // What the disk knew to be committed is applied before anything is asked.
        self.pump(clock::now());
        ctx.run_interval(TICK, Self::tick);
    }
}

/// A message of another member.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerMessage(pub flamingo_log::Message);

/// A report of the disk thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct WriterReport(writer::Event);

/// Sends what was proposed since the last one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Flush;

/// A beat of a follower of the configuration.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct FollowerHeartbeat(pub Beat);

/// A question of an entry, an operator or another control instance.
///
/// One that this instance can't answer is passed to the leader, but never
/// twice: a question of another control instance is redirected.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct HandleRequest {
    /// The question.
    pub request: Request,
    /// Who asks; empty for an operator.
    pub from: id::Node,
}

/// Proposes a command; answers once it is committed.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Propose(pub Command);

/// Changes the member list by one member.
#[derive(Debug, Message)]
#[rtype(result = "Result<(), Fault>")]
pub struct ChangeMembers(pub Change);

/// Looks at the committed state and at the leadership, if it holds right now.
#[derive(Message)]
#[rtype(result = "T")]
pub struct ReadState<T: 'static>(pub StateReader<T>);

/// What [`ReadState`] calls.
pub type StateReader<T> = Box<dyn FnOnce(&State, Option<&Leadership>) -> T + Send>;

/// What [`GetMembership`] answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Where the members take the inner protocol.
    pub addresses: Vec<SocketAddr>,
    /// Where the leader does, if one is known.
    pub leader: Option<SocketAddr>,
    /// Entries that follow the routes on this instance.
    pub followers: usize,
    /// Whether the disk failed: this instance acknowledges nothing.
    pub broken: bool,
}

/// Whether this instance can serve: it has a member list and knows a leader.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct IsReady;

/// The members and the leader of the log, as this instance knows them.
#[derive(Debug, Message)]
#[rtype(result = "Membership")]
pub struct GetMembership;

/// The settings name these control instances from now on.
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
        self.pump(now);
    }
}

impl Handler<WriterReport> for RaftActor {
    type Result = ();

    fn handle(&mut self, WriterReport(event): WriterReport, _: &mut Self::Context) {
        let now = clock::now();
        match event {
            writer::Event::Synced(count) => self.raft.synced(now, count),
            writer::Event::Failed(error) => {
                error!(self.log, "the disk failed; nothing is acknowledged from now on";
                    "error" => %error);
                self.raft.failed(now);
            }
        }
        self.pump(now);
    }
}

impl Handler<Flush> for RaftActor {
    type Result = ();

    fn handle(&mut self, _: Flush, _: &mut Self::Context) {
        let now = clock::now();
        self.flushing = false;
        self.raft.flush(now);
        self.pump(now);
    }
}

impl Handler<FollowerHeartbeat> for RaftActor {
    type Result = ();

    fn handle(&mut self, FollowerHeartbeat(beat): FollowerHeartbeat, _: &mut Self::Context) {
        let until = clock::now() + FOLLOWER;
        let watched = Subscriber { beat, until };
        self.followers.insert(watched.beat.node.clone(), watched);
    }
}

impl Handler<Propose> for RaftActor {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, Propose(command): Propose, ctx: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        let waited = self.await_reply(now, command);
        self.flush_soon(ctx);
        waited
    }
}

impl Handler<HandleRequest> for RaftActor {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, ask: HandleRequest, ctx: &mut Self::Context) -> Self::Result {
        self.ask(clock::now(), ask, ctx)
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
        self.pump(now);
        MessageResult(changed.map_err(|refusal: Refusal| answer::refused(&refusal)))
    }
}

impl<T: Send + 'static> Handler<ReadState<T>> for RaftActor {
    type Result = MessageResult<ReadState<T>>;

    fn handle(&mut self, ReadState(glance): ReadState<T>, _: &mut Self::Context) -> Self::Result {
        let leadership = self.leadership(clock::now());
        MessageResult(glance(&self.state, leadership.as_ref()))
    }
}

impl Handler<IsReady> for RaftActor {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> bool {
        let led = self.raft.leader().is_some() && !self.raft.members().is_empty();
        led && !self.stopping
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
            .filter(|watched| watched.beat.routes.is_some() && !listed(&watched.beat.node))
            .count();
        MessageResult(Membership {
            addresses,
            leader,
            followers,
            broken: self.raft.broken(),
        })
    }
}

impl Handler<UpdateSeeds> for RaftActor {
    type Result = ();

    fn handle(&mut self, UpdateSeeds(seeds): UpdateSeeds, _: &mut Self::Context) {
        self.raft.reseed(seeds);
    }
}

impl Handler<Stop> for RaftActor {
    type Result = ();

    fn handle(&mut self, _: Stop, _: &mut Self::Context) {
        info!(self.log, "leadership given up to stop");
        let now = clock::now();
        self.stopping = true;
        self.raft.resign(now);
        self.pump(now);
    }
}
