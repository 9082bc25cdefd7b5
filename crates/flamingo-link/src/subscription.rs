//! Subscriptions to the control instances, which push routes, targets and peers.
//!
//! A process subscribes to control instances by a separate stream each. A control instance subscribes
//! to every other one, so that it receives a target's registration from whichever instance the target
//! registered with. An entry chooses by [`Feeds`].

use crate::feeds::{Feeds, Plan, Role};
use crate::pool::{MAX_MESSAGE_BYTES, Pool, dial};
use flamingo_wire::control::{Heartbeat, Push, Relayed, Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client;
use flamingo_wire::{Fault, id};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;
use tokio_stream::wrappers::ReceiverStream;

/// Time between two heartbeats that this process sends on a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a push after which a stream is dropped.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out for opening a stream, including its connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between the end of a stream and the next attempt to open one.
const REDIAL_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which an entry reconsiders which control instances it follows, and whether it takes
/// requests from other entries.
const PLANNING_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two lines about followed instances: while most are down, they change at each planning.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of heartbeats that wait to be sent on a stream.
const MAX_QUEUED_HEARTBEATS: usize = 4;

/// Handler of the pushes that a [`Subscriber`] receives.
pub trait PushHandler {
    /// Returns the version of the routes in force, or 0 where there are none. Heartbeats carry it,
    /// so that instances do not push routes that are already in force.
    fn routes_version(&self) -> id::Version;
    /// Returns whether pushes of evidence against what crashes targets are wanted.
    fn keeps_evidence(&self) -> bool {
        false
    }
    /// Returns the address at which this process takes requests from other entries; `None` where it
    /// takes none, or reaches no target itself at this time.
    fn neighbour(&self) -> Option<SocketAddr> {
        None
    }
    /// Handles a push of the instance at `from`.
    fn on_push(&self, from: SocketAddr, push: Push);
    /// Handles the end of the stream from the instance at `from`.
    fn on_disconnect(&self, from: SocketAddr);
    /// Handles that the instance at `from` is not followed any more, since others relay its pushes.
    fn on_close(&self, _from: SocketAddr) {}
    /// Handles a change of the numbers of followed instances in the own zone and in other zones.
    fn on_followed(&self, _own: usize, _other: usize) {}
}

/// Identity of this process towards the control instances.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this process.
    pub node: id::Node,
    /// Availability zone of this process.
    pub zone: id::Zone,
    /// Signs and verifies frames of the inner protocol.
    pub seal: Seal,
}

/// Subscribes to every control instance that becomes known, or to those that [`Feeds`] chooses.
pub struct Subscriber {
    identity: Identity,
    handler: Rc<dyn PushHandler>,
    /// `None` where every instance is followed.
    feeds: Option<RefCell<Feeds>>,
    plan: RefCell<Plan>,
    /// The plan that was last logged, and when.
    logged: RefCell<Option<(Plan, Instant)>>,
    followed: RefCell<BTreeMap<SocketAddr, AbortHandle>>,
    /// What the handler last answered for [`PushHandler::neighbour`].
    neighbour: Cell<Option<SocketAddr>>,
    /// Notifies all streams when other routes come into force, an instance is asked for relaying, or this
    /// process begins or ceases to take requests from other entries.
    heartbeat_due: watch::Sender<()>,
    log: Logger,
}

impl std::fmt::Debug for Subscriber {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Subscriber({})", self.identity.node)
    }
}

impl Subscriber {
    /// Creates a subscriber without subscriptions, for a control instance: it follows every other one.
    #[must_use]
    pub fn new(identity: Identity, handler: Rc<dyn PushHandler>, log: Logger) -> Rc<Self> {
        Self::with_feeds(None, identity, handler, log)
    }

    /// Creates a subscriber without subscriptions, for an entry: it follows an instance of its zone that
    /// relays what the others push. Must be called within a [`tokio::task::LocalSet`].
    #[must_use]
    pub fn relayed(identity: Identity, handler: Rc<dyn PushHandler>, log: Logger) -> Rc<Self> {
        let feeds = Feeds::new(&identity.node, &identity.zone);
        let feeds = Some(RefCell::new(feeds));
        let subscriber = Self::with_feeds(feeds, identity, handler, log);
        tokio::task::spawn_local(Rc::clone(&subscriber).keep_planning());
        subscriber
    }

    fn with_feeds(
        feeds: Option<RefCell<Feeds>>,
        identity: Identity,
        handler: Rc<dyn PushHandler>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            identity,
            handler,
            feeds,
            plan: RefCell::default(),
            logged: RefCell::default(),
            followed: RefCell::default(),
            neighbour: Cell::default(),
            heartbeat_due: watch::channel(()).0,
            log,
        })
    }

    /// Makes the instances at `addresses` known, and subscribes to those that are to be followed.
    pub fn follow(self: &Rc<Self>, addresses: &[SocketAddr]) {
        if let Some(feeds) = &self.feeds {
            feeds.borrow_mut().add_seeds(addresses);
            self.apply_plan();
        } else {
            self.open(addresses);
        }
    }

    /// Subscribes to the instances at `addresses`, except those that already have a subscription.
    fn open<'a>(self: &Rc<Self>, addresses: impl IntoIterator<Item = &'a SocketAddr>) {
        for address in addresses {
            // The name of a control instance is its address; an instance does not follow itself.
            let is_self = address.to_string() == self.identity.node;
            if is_self {
                continue;
            }
            let mut followed = self.followed.borrow_mut();
            followed.entry(*address).or_insert_with(|| {
                let following = Rc::clone(self).keep_following(*address);
                tokio::task::spawn_local(following).abort_handle()
            });
        }
    }

    /// Reconsiders periodically which instances are followed and what they are to know. Never returns.
    async fn keep_planning(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PLANNING_INTERVAL).await;
            self.apply_plan();
            self.tell_neighbour();
        }
    }

    /// Sends a heartbeat to every followed instance if this process begins or ceases to take requests from
    /// other entries.
    fn tell_neighbour(&self) {
        let neighbour = self.handler.neighbour();
        if self.neighbour.replace(neighbour) != neighbour {
            self.heartbeat_due.send_replace(());
        }
    }

    /// Follows the instances that the feeds choose now, and no others.
    fn apply_plan(self: &Rc<Self>) {
        let Some(feeds) = &self.feeds else {
            return;
        };
        let now = Instant::now();
        let routes = self.handler.routes_version();
        feeds.borrow_mut().record_routes(routes, now);
        let plan = feeds.borrow_mut().plan(now);
        let counts = feeds.borrow().count(&plan);
        self.log_plan(&plan, counts, now);
        let previous = self.plan.replace(plan.clone());
        if previous == plan {
            return;
        }
        self.handler.on_followed(counts.0, counts.1);
        for closed in previous.keys().filter(|known| !plan.contains_key(known)) {
            if let Some(following) = self.followed.borrow_mut().remove(closed) {
                following.abort();
                self.handler.on_close(*closed);
            }
        }
        self.open(plan.keys());
        self.heartbeat_due.send_replace(());
    }

    /// Logs a changed plan, at most once every [`LOG_INTERVAL`].
    fn log_plan(&self, plan: &Plan, (own, other): (usize, usize), now: Instant) {
        let mut logged = self.logged.borrow_mut();
        let is_early = logged
            .as_ref()
            .is_some_and(|(last, at)| last == plan || now < *at + LOG_INTERVAL);
        if is_early {
            return;
        }
        *logged = Some((plan.clone(), now));
        let relays = plan.iter().filter(|(_, role)| **role == Role::Relay);
        let relays: Vec<String> = relays.map(|(relay, _)| relay.to_string()).collect();
        info!(self.log, "control instances chosen"; "own_zone" => own, "other_zones" => other,
            "relays" => relays.join(","));
    }

    /// Follows the instance at `address` and reopens the stream whenever it ends.
    async fn keep_following(self: Rc<Self>, address: SocketAddr) {
        loop {
            let reason = self.follow_stream(address).await;
            if let Some(feeds) = &self.feeds {
                feeds.borrow_mut().disconnect(address, Instant::now());
            }
            if let Some(reason) = reason {
                warn!(self.log, "subscription to control instance ended"; "control" => %address, "why" => reason);
                self.handler.on_disconnect(address);
                // A dial that fails waits for the next planning instead, so that instances that are all
                // down are not dialled one after the other without a pause.
                self.apply_plan();
            }
            tokio::time::sleep(REDIAL_INTERVAL).await;
        }
    }

    /// Follows one instance by a stream. Returns the reason for the end of the stream, or `None`
    /// where the stream could not be opened.
    async fn follow_stream(self: &Rc<Self>, address: SocketAddr) -> Option<&'static str> {
        let deadline = Instant::now() + DIAL_TIMEOUT;
        let channel = dial(address, deadline).await?;
        let (heartbeats, outgoing) = mpsc::channel(MAX_QUEUED_HEARTBEATS);
        // Before the first heartbeat, so that a change after it is not missed.
        let mut heartbeat_due = self.heartbeat_due.subscribe();
        self.send_heartbeat(address, &heartbeats);
        let mut client = control_client::ControlClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        let opened = client.watch(ReceiverStream::new(outgoing));
        let response = timeout_at(deadline.into(), opened).await.ok()?.ok()?;
        let mut stream = response.into_inner();
        info!(self.log, "subscribed to control instance"; "control" => %address);
        let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        let mut stream_deadline = Instant::now() + STREAM_TIMEOUT;
        loop {
            let next = next_heartbeat.min(stream_deadline);
            let received = tokio::select! {
                received = timeout_at(next.into(), stream.message()) => received,
                // The sender lives as long as the subscriber, so this does not fail.
                _ = heartbeat_due.changed() => {
                    self.send_heartbeat(address, &heartbeats);
                    continue;
                }
            };
            match received {
                // What arrives after the deadline was sent before this process or the connection stood
                // still, and must neither be taken for current nor relayed.
                Ok(Ok(Some(_))) if Instant::now() >= stream_deadline => {
                    return Some("no message before the deadline");
                }
                Ok(Ok(Some(frame))) => {
                    match self.identity.seal.open(&frame, SystemTime::now()) {
                        Ok(push) => self.handle(address, push),
                        Err(error) if error.is_of_later_build() => {
                            debug!(self.log, "push of a later build skipped"; "control" => %address, "error" => %error);
                        }
                        Err(error) => {
                            warn!(self.log, "push rejected"; "error" => %error);
                            return Some("invalid frame");
                        }
                    }
                    stream_deadline = Instant::now() + STREAM_TIMEOUT;
                }
                Ok(Ok(None)) => return Some("ended"),
                Ok(Err(_)) => return Some("broken"),
                Err(_) => {}
            }
            let now = Instant::now();
            if now >= stream_deadline {
                return Some("silent");
            }
            if now >= next_heartbeat {
                next_heartbeat = now + HEARTBEAT_INTERVAL;
                self.send_heartbeat(address, &heartbeats);
            }
        }
    }

    fn handle(self: &Rc<Self>, address: SocketAddr, push: Push) {
        let replan = self.record(address, &push);
        let before = self.handler.routes_version();
        self.handler.on_push(address, push);
        if self.handler.routes_version() != before {
            // A heartbeat tells every instance at once that it need not push these routes.
            self.heartbeat_due.send_replace(());
        }
        if replan {
            self.apply_plan();
        }
    }

    /// Records what a push says of the control instances. Returns whether that may change the plan.
    fn record(self: &Rc<Self>, address: SocketAddr, push: &Push) -> bool {
        let Some(feeds) = &self.feeds else {
            if let Push::Peers(peers) = push {
                self.open(&peers.controls);
            }
            return false;
        };
        let mut feeds = feeds.borrow_mut();
        let now = Instant::now();
        feeds.record_push(address, now);
        match push {
            Push::Peers(peers) => feeds.record_peers(peers, now),
            Push::Reached(reached) => feeds.record_reached(address, reached),
            Push::Relayed(Relayed { push, .. }) => match &**push {
                Push::Peers(peers) => feeds.record_peers(peers, now),
                _ => return false,
            },
            _ => return false,
        }
        true
    }

    /// Returns whether the instance at `address` is asked for what the others push.
    fn wants_relays(&self, address: SocketAddr) -> bool {
        self.plan.borrow().get(&address) == Some(&Role::Relay)
    }

    /// Queues a heartbeat with the version of the routes in force. It is dropped where the queue is
    /// full: the instance then reads nothing, and the stream ends at its deadline.
    fn send_heartbeat(&self, address: SocketAddr, heartbeats: &mpsc::Sender<flamingo_wire::Frame>) {
        let heartbeat = Heartbeat {
            node: self.identity.node.clone(),
            zone: self.identity.zone.clone(),
            version: 0,
            routes: Some(self.handler.routes_version()),
            keeps_evidence: self.handler.keeps_evidence(),
            relays: self.wants_relays(address),
            neighbour: self.handler.neighbour(),
        };
        let seal = &self.identity.seal;
        if let Ok(frame) = seal.seal(&address.to_string(), &heartbeat, SystemTime::now()) {
            let _ = heartbeats.try_send(frame);
        }
    }
}

/// Sends single requests to control instances over pooled connections.
#[derive(Debug)]
pub struct ControlClient {
    seal: Seal,
    pool: Pool,
}

impl ControlClient {
    /// Creates a client that signs its requests with `seal`.
    #[must_use]
    pub fn new(seal: Seal) -> Self {
        Self {
            seal,
            pool: Pool::default(),
        }
    }

    /// Sends a request to the instance at `address`. Returns its reply, or a refusal with the
    /// verdict `NotRun` where no reply arrives by `deadline`.
    pub async fn ask(&self, address: SocketAddr, request: &Request, deadline: Instant) -> Reply {
        match timeout_at(deadline.into(), self.send(address, request, deadline)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => {
                self.pool.drop(address);
                Reply::Refused(unreachable_fault(address, &error.to_string()))
            }
            Err(_) => {
                self.pool.drop(address);
                Reply::Refused(unreachable_fault(address, "no answer before the deadline"))
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, Box<dyn std::error::Error>> {
        let channel = self.pool.get(address, deadline).await;
        let channel = channel.ok_or("connection failed")?;
        let frame = self
            .seal
            .seal(&address.to_string(), request, SystemTime::now())?;
        let mut client = control_client::ControlClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        let response = client.ask(frame).await?;
        Ok(self.seal.open(response.get_ref(), SystemTime::now())?)
    }
}

fn unreachable_fault(address: SocketAddr, reason: &str) -> Fault {
    let message = format!("control at {address}: {reason}");
    Fault::not_run(Reason::Leaderless, message, "send the request again").retry_after(1)
}
