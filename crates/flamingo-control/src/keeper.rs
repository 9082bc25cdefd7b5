//! The actor that owns the replicated log and the state that it builds.
//!
//! It runs the pure [`Raft`] with the clock, the disk thread and the streams to
//! the other control instances, and applies what is committed to the [`State`].

mod answer;
mod forward;
mod pump;
mod waiting;

use crate::duty::{Duty, Leadership};
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
use flamingo_wire::control::{Heartbeat, Reply, Request};
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
struct Watched {
    beat: Heartbeat,
    until: Instant,
}

/// What a keeper is started with.
pub struct Start {
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
    pub duties: Vec<Box<dyn Duty>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Log lines.
    pub log: Logger,
}

/// Owns the replicated log and the state.
pub struct Keeper {
    raft: Raft,
    state: State,
    disk: Option<Box<dyn Disk>>,
    writer: Option<Writer>,
    node: id::Node,
    seal: Seal,
    duties: Vec<Box<dyn Duty>>,
    metrics: Metrics,
    log: Logger,
    links: BTreeMap<id::Node, Link>,
    forwarder: Forwarder,
    waiting: Waiting,
    followers: BTreeMap<id::Node, Watched>,
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

impl std::fmt::Debug for Keeper {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Keeper({})", self.node)
    }
}

impl Keeper {
    /// Builds the actor; it works once it is started.
    #[must_use]
    pub fn new(start: Start) -> Self {
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
            duties: start.duties,
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
        let leads = self.raft.is_leader(now) && self.led == term;
        leads.then(|| Leadership {
            term,
            fence: self.state.fence(),
            until: self.raft.leadership_deadline().unwrap_or(now),
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

    /// Lets the duties run, while this instance leads.
    fn work(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let Some(leadership) = self.leadership(now) else {
            return;
        };
        let mut commands = Vec::new();
        for duty in &mut self.duties {
            commands.extend(duty.run(&self.state, &leadership, now));
        }
        for command in commands {
            // The reply comes to the duty when the command is committed.
            if let Err(refusal) = self.submit(now, command.clone()) {
                let reply = Reply::Refused(answer::refused(&refusal));
                for duty in &mut self.duties {
                    duty.replied(&command, &reply);
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
        metrics.leads.set(i64::from(self.raft.is_leader(now)));
        metrics.term.set(number(self.raft.term()));
        metrics.committed.set(number(self.raft.commit_index()));
        metrics
            .version
            .set(number(self.state.configuration.version()));
        metrics
            .records
            .set(number(self.state.calls.records() as u64));
        let outstanding = self.state.orders.outstanding().count();
        metrics.outstanding.set(number(outstanding as u64));
        metrics.followers.set(number(self.followers.len() as u64));
        metrics.broken.set(i64::from(self.raft.disk_failed()));
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

impl Actor for Keeper {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1024);
        let keeper = ctx.address();
        if let Some(disk) = self.disk.take() {
            let report = move |event| keeper.do_send(Written(event));
            match Writer::start(disk, report) {
                Ok(writer) => self.writer = Some(writer),
                Err(error) => {
                    error!(self.log, "no writer thread"; "error" => %error);
                    self.raft.fail_disk(clock::now());
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
pub struct Incoming(pub flamingo_log::Message);

/// A report of the disk thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Written(writer::Event);

/// Sends what was proposed since the last one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Flush;

/// A beat of a follower of the configuration.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Followed(pub Heartbeat);

/// A question of an entry, an operator or another control instance.
///
/// One that this instance can't answer is passed to the leader, but never
/// twice: a question of another control instance is redirected.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Ask {
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
pub struct Enlist(pub Change);

/// Looks at the committed state and at the leadership, if it holds right now.
#[derive(Message)]
#[rtype(result = "T")]
pub struct Look<T: 'static>(pub Glance<T>);

/// What [`Look`] calls.
pub type Glance<T> = Box<dyn FnOnce(&State, Option<&Leadership>) -> T + Send>;

/// What [`Members`] answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Group {
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
pub struct Ready;

/// The members and the leader of the log, as this instance knows them.
#[derive(Debug, Message)]
#[rtype(result = "Group")]
pub struct Members;

/// The settings name these control instances from now on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Reseed(pub Vec<Seed>);

/// Gives up leadership and takes no more proposals.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

impl Handler<Incoming> for Keeper {
    type Result = ();

    fn handle(&mut self, Incoming(message): Incoming, _: &mut Self::Context) {
        let now = clock::now();
        self.raft.receive(now, message);
        self.pump(now);
    }
}

impl Handler<Written> for Keeper {
    type Result = ();

    fn handle(&mut self, Written(event): Written, _: &mut Self::Context) {
        let now = clock::now();
        match event {
            writer::Event::Synced(count) => self.raft.synced(now, count),
            writer::Event::Failed(error) => {
                error!(self.log, "the disk failed; nothing is acknowledged from now on";
                    "error" => %error);
                self.raft.fail_disk(now);
            }
        }
        self.pump(now);
    }
}

impl Handler<Flush> for Keeper {
    type Result = ();

    fn handle(&mut self, _: Flush, _: &mut Self::Context) {
        let now = clock::now();
        self.flushing = false;
        self.raft.flush(now);
        self.pump(now);
    }
}

impl Handler<Followed> for Keeper {
    type Result = ();

    fn handle(&mut self, Followed(beat): Followed, _: &mut Self::Context) {
        let until = clock::now() + FOLLOWER;
        let watched = Watched { beat, until };
        self.followers.insert(watched.beat.node.clone(), watched);
    }
}

impl Handler<Propose> for Keeper {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, Propose(command): Propose, ctx: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        let waited = self.await_reply(now, command);
        self.flush_soon(ctx);
        waited
    }
}

impl Handler<Ask> for Keeper {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, ask: Ask, ctx: &mut Self::Context) -> Self::Result {
        self.ask(clock::now(), ask, ctx)
    }
}

impl Handler<Enlist> for Keeper {
    type Result = MessageResult<Enlist>;

    fn handle(&mut self, Enlist(change): Enlist, _: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        let changed = self.raft.change(now, change);
        self.pump(now);
        MessageResult(changed.map_err(|refusal: Refusal| answer::refused(&refusal)))
    }
}

impl<T: Send + 'static> Handler<Look<T>> for Keeper {
    type Result = MessageResult<Look<T>>;

    fn handle(&mut self, Look(glance): Look<T>, _: &mut Self::Context) -> Self::Result {
        let leadership = self.leadership(clock::now());
        MessageResult(glance(&self.state, leadership.as_ref()))
    }
}

impl Handler<Ready> for Keeper {
    type Result = bool;

    fn handle(&mut self, _: Ready, _: &mut Self::Context) -> bool {
        let led = self.raft.leader().is_some() && !self.raft.members().is_empty();
        led && !self.stopping
    }
}

impl Handler<Members> for Keeper {
    type Result = MessageResult<Members>;

    fn handle(&mut self, _: Members, _: &mut Self::Context) -> Self::Result {
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
        MessageResult(Group {
            addresses,
            leader,
            followers,
            broken: self.raft.disk_failed(),
        })
    }
}

impl Handler<Reseed> for Keeper {
    type Result = ();

    fn handle(&mut self, Reseed(seeds): Reseed, _: &mut Self::Context) {
        self.raft.update_seeds(seeds);
    }
}

impl Handler<Stop> for Keeper {
    type Result = ();

    fn handle(&mut self, _: Stop, _: &mut Self::Context) {
        info!(self.log, "leadership given up to stop");
        let now = clock::now();
        self.stopping = true;
        self.raft.transfer_leadership(now);
        self.pump(now);
    }
}
