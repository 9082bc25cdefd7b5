//! Pushes the configuration, the routes and the targets to followers (`Control.Watch`).
//!
//! A follower is an instance that subscribes, usually an entry. A follower sends heartbeats. In
//! return it gets each newer configuration at once, and a heartbeat at least every
//! [`HEARTBEAT_INTERVAL`]. [`MAX_BYTES_PER_S`] bounds the bytes of configuration for one follower,
//! and [`MAX_FULL_TRANSFERS`] the number of followers that get a whole configuration at a time.

use crate::metrics::Metrics;
use crate::packet::{HEARTBEAT_INTERVAL, STREAM_TIMEOUT};
use crate::raft_actor::{FollowerHeartbeat, GetMembership, RaftActor};
use crate::registry::{Broadcast, Registry};
use crate::transfer::{BACKOFF_SLOTS, Offer, Transfer};
use actix::Addr;
use flamingo_daemon::clock;
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Heartbeat, Peers, Push};
use flamingo_wire::frame::Seal;
use flamingo_wire::{Frame, id, route};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::Semaphore;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch::Receiver;
use tonic::{Status, Streaming};

/// Bytes of configuration that one follower gets a second, on average.
pub const MAX_BYTES_PER_S: u64 = 1024 * 1024;
/// Number of followers that get a whole configuration at a time.
pub const MAX_FULL_TRANSFERS: usize = 16;

/// Pushes about targets after those that a new follower got first.
type Updates = broadcast::Receiver<Arc<Broadcast>>;

/// The committed configuration that [`RaftActor`] publishes.
pub type ConfigSnapshot = Arc<Snapshot>;

/// The committed routes that [`RaftActor`] publishes; `None` before the first.
pub type LatestRoutes = Option<RoutesUpdate>;

/// A newly committed set of routes, for the followers.
#[derive(Clone, Debug)]
pub struct RoutesUpdate {
    /// Version of the routes.
    pub version: id::Version,
    /// The routes, without the operator's text.
    pub routes: Arc<Broadcast>,
    /// Whether this instance led when the routes were committed. The leader sends them at once.
    /// The other instances wait and then send them only to followers that still lack them,
    /// because copies of a large set from all instances would saturate a follower's link.
    pub from_leader: bool,
    /// Approximate size of one copy, in bytes.
    pub bytes: u64,
}

impl RoutesUpdate {
    /// Returns the update for routes that take `bytes` in one copy.
    #[must_use]
    pub fn new(set: route::Set, from_leader: bool, bytes: u64) -> Self {
        Self {
            version: set.version,
            routes: Arc::new(Broadcast::new(Push::Routes(Arc::new(set)))),
            from_leader,
            bytes,
        }
    }

    /// Returns the offer of the instance `own` to a follower. The hash spreads the instances over
    /// the backoff slots differently for each follower.
    #[must_use]
    pub fn offer(&self, follower: &str, own: &str) -> Offer {
        let mut hasher = DefaultHasher::new();
        (follower, own).hash(&mut hasher);
        let slot = hasher.finish() % u64::from(BACKOFF_SLOTS);
        Offer {
            version: self.version,
            leads: self.from_leader,
            copy: Duration::from_millis(self.bytes * 1_000 / MAX_BYTES_PER_S),
            slot: u32::try_from(slot).unwrap_or(0),
        }
    }
}

/// Serves the streams of all followers of this instance; clones share their sources.
#[derive(Clone, Debug)]
pub struct Publisher {
    /// Authenticates the frames in both directions.
    pub seal: Seal,
    /// Receives the followers' heartbeats.
    pub raft_actor: Addr<RaftActor>,
    /// The newest committed configuration.
    pub config: Receiver<ConfigSnapshot>,
    /// Permits to send a whole configuration.
    pub transfer_permits: Arc<Semaphore>,
    /// The newest committed routes.
    pub routes: Receiver<LatestRoutes>,
    /// The targets known to this instance.
    pub registry: Arc<Mutex<Registry>>,
    /// Counts the bytes that are sent.
    pub metrics: Metrics,
}

/// The stream to one follower, and what the follower has received.
#[derive(Debug)]
struct FollowerStream {
    node: id::Node,
    /// Version of the configuration that the follower has.
    version: id::Version,
    /// When the next whole configuration may be sent.
    config_due: Instant,
    /// Transfer of the routes; `None` where the follower follows no routes and targets.
    routes: Option<Transfer>,
    /// Whether the follower keeps the evidence against what crashes targets.
    keeps_evidence: bool,
    /// Whether the follower gets what the other control instances push.
    relays: bool,
    out: Sender<Result<Frame, Status>>,
}

impl FollowerStream {
    /// Returns the offer of the instance of `seal` to this follower. A follower that wants relayed pushes
    /// usually follows no other instance, so it gets routes at once, as from the leader.
    fn offer(&self, update: &RoutesUpdate, seal: &Seal) -> Offer {
        let mut offer = update.offer(&self.node, seal.node());
        offer.leads |= self.relays;
        offer
    }
}

impl Publisher {
    /// Serves one follower until its stream ends or brings no heartbeat for [`STREAM_TIMEOUT`].
    pub async fn serve(
        mut self,
        mut heartbeats: Streaming<Frame>,
        out: Sender<Result<Frame, Status>>,
    ) {
        let Ok(Some(first)) = heartbeats.message().await else {
            return;
        };
        let Some(heartbeat) = self.open_heartbeat(&first) else {
            let _ = out
                .send(Err(Status::unauthenticated("invalid heartbeat")))
                .await;
            return;
        };
        let mut stream = FollowerStream {
            node: heartbeat.node.clone(),
            version: heartbeat.version,
            config_due: Instant::now(),
            routes: heartbeat.routes.map(Transfer::new),
            keeps_evidence: heartbeat.keeps_evidence,
            relays: heartbeat.relays,
            out,
        };
        let mut updates = self.subscribe_targets(&stream).await;
        self.schedule_routes(&mut stream);
        self.raft_actor.do_send(FollowerHeartbeat(heartbeat));
        let mut deadline = Instant::now() + STREAM_TIMEOUT;
        let mut tick = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                frame = heartbeats.message() => {
                    let Ok(Some(frame)) = frame else {
                        return;
                    };
                    if let Some(heartbeat) = self.open_heartbeat(&frame) {
                        deadline = Instant::now() + STREAM_TIMEOUT;
                        stream.version = stream.version.max(heartbeat.version);
                        self.record_routes(&mut stream, heartbeat.routes);
                        let begins = heartbeat.relays && !stream.relays;
                        stream.relays = heartbeat.relays;
                        if begins {
                            updates = self.subscribe_targets(&stream).await;
                        }
                        self.raft_actor.do_send(FollowerHeartbeat(heartbeat));
                    }
                }
                received = next_update(&mut updates) => {
                    let sent = match received {
                        Ok(update) => self.send_broadcast(&stream, &update).await,
                        Err(RecvError::Lagged(_)) => {
                            updates = self.subscribe_targets(&stream).await;
                            Some(())
                        }
                        Err(RecvError::Closed) => None,
                    };
                    if sent.is_none() {
                        return;
                    }
                }
                changed = self.routes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.schedule_routes(&mut stream);
                }
                () = sleep_until(stream.routes.and_then(|transfer| transfer.due())) => {
                    if self.send_routes(&mut stream).await.is_none() {
                        return;
                    }
                }
                changed = self.config.changed() => {
                    if changed.is_err() || self.send_config(&mut stream, false).await.is_none() {
                        return;
                    }
                }
                _ = tick.tick() => {
                    let silent = Instant::now() >= deadline;
                    if silent || self.send_config(&mut stream, true).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    /// Verifies and decodes a heartbeat; `None` where the frame is no valid heartbeat of its sender.
    fn open_heartbeat(&self, frame: &Frame) -> Option<Heartbeat> {
        let heartbeat: Heartbeat = self.seal.open(frame, SystemTime::now()).ok()?;
        (heartbeat.node == frame.from).then_some(heartbeat)
    }

    /// Sends the quarantined prompt parts, with the evidence to one that keeps it, and all known targets
    /// to a follower, in this order, so that it uses no target before. The rest of the state follows.
    /// Returns the receiver of later updates, or `None` for a follower that follows no targets, or whose stream has ended.
    async fn subscribe_targets(&self, stream: &FollowerStream) -> Option<Updates> {
        stream.routes.as_ref()?;
        let (all, rest, dossier, updates) = {
            let now = clock::now();
            let registry = lock_registry(&self.registry);
            let (all, updates) = registry.subscribe();
            let rest = registry.state_after_targets(stream.relays, now);
            (all, rest, registry.dossier(Instant::now()), updates)
        };
        let quarantines = dossier.quarantines.clone();
        if !quarantines.is_empty() {
            let push = Push::Quarantines(quarantines);
            self.send_push(stream, &push).await?;
        }
        if stream.keeps_evidence {
            self.send_push(stream, &Push::Dossier(dossier)).await?;
        }
        self.send_push(stream, &Push::Targets(all)).await?;
        for push in rest {
            self.send_push(stream, &push).await?;
        }
        Some(updates)
    }

    /// Sends one push; returns `None` where the stream has ended.
    async fn send_push(&self, stream: &FollowerStream, push: &Push) -> Option<()> {
        let frame = self.seal_frame(&stream.node, push)?;
        self.metrics.record_push(push, frame.body.len());
        send_frame(&stream.out, frame).await
    }

    /// Sends a push for all followers; returns `None` where the stream has ended.
    async fn send_broadcast(&self, stream: &FollowerStream, update: &Broadcast) -> Option<()> {
        let is_wanted = match update.push() {
            Push::Dossier(_) => stream.keeps_evidence,
            Push::Relayed(_) | Push::Reached(_) => stream.relays,
            _ => true,
        };
        if !is_wanted {
            return Some(());
        }
        let frame = update.frame(&self.seal, SystemTime::now())?;
        self.metrics.record_push(update.push(), frame.body.len());
        send_frame(&stream.out, frame).await
    }

    /// Schedules newer routes for a follower that follows routes and lacks them.
    fn schedule_routes(&mut self, stream: &mut FollowerStream) {
        let update = self.routes.borrow_and_update();
        let offer = update
            .as_ref()
            .map(|update| stream.offer(update, &self.seal));
        if let (Some(offer), Some(transfer)) = (offer, &mut stream.routes) {
            transfer.offer(offer, Instant::now());
        }
    }

    /// Records the version of the routes that a follower reported.
    fn record_routes(&self, stream: &mut FollowerStream, version: Option<id::Version>) {
        let update = self.routes.borrow();
        let offer = update
            .as_ref()
            .map(|update| stream.offer(update, &self.seal));
        if let (Some(version), Some(transfer)) = (version, &mut stream.routes) {
            transfer.report(version, offer, Instant::now());
        }
    }

    /// Sends the newest routes, unless the follower has received them in the meantime. Returns
    /// `None` where the stream has ended.
    async fn send_routes(&self, stream: &mut FollowerStream) -> Option<()> {
        let update = self.routes.borrow().clone();
        let offer = update
            .as_ref()
            .map(|update| stream.offer(update, &self.seal));
        let (Some(update), Some(offer), Some(transfer)) = (update, offer, &mut stream.routes)
        else {
            return Some(());
        };
        if !transfer.send(offer, Instant::now()) {
            return Some(());
        }
        self.send_broadcast(stream, &update.routes).await
    }

    /// Sends a newer configuration, or else a heartbeat if `heartbeat` is set. Returns `None`
    /// where the stream has ended.
    async fn send_config(&mut self, stream: &mut FollowerStream, heartbeat: bool) -> Option<()> {
        let newest = Arc::clone(&self.config.borrow_and_update());
        let now = Instant::now();
        if newest.version > stream.version && now >= stream.config_due {
            let permit = self.transfer_permits.acquire().await.ok()?;
            let push = Push::Config(Snapshot::clone(&newest));
            let frame = self.seal_frame(&stream.node, &push)?;
            self.metrics.record_push(&push, frame.body.len());
            let cost = frame.body.len() as u64 * 1_000 / MAX_BYTES_PER_S;
            stream.config_due = now + Duration::from_millis(cost);
            send_frame(&stream.out, frame).await?;
            drop(permit);
            stream.version = newest.version;
        } else if heartbeat {
            let push = Push::Heartbeat(stream.version);
            self.send_push(stream, &push).await?;
        } else {
            return Some(());
        }
        if stream.version >= newest.version && !newest.set.workspaces.is_empty() {
            self.send_leader(stream).await?;
        }
        Some(())
    }

    /// Tells a follower that has the newest configuration whether this instance knows a leader, so that an
    /// entry can tell an unknown key from one that it may have missed. Followers of routes and targets get
    /// the processes anyway. Returns `None` where the stream has ended.
    async fn send_leader(&self, stream: &FollowerStream) -> Option<()> {
        if stream.routes.is_some() {
            return Some(());
        }
        let membership = self.raft_actor.send(GetMembership).await.ok()?;
        let peers = Peers {
            leader: membership.leader,
            ..Peers::default()
        };
        self.send_push(stream, &Push::Peers(peers)).await
    }

    fn seal_frame(&self, to: &str, push: &Push) -> Option<Frame> {
        self.seal.seal(to, push, SystemTime::now()).ok()
    }
}

/// Waits until `due`; never returns where `due` is `None`.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

/// Waits for the next update of targets; never returns where the follower follows none.
async fn next_update(updates: &mut Option<Updates>) -> Result<Arc<Broadcast>, RecvError> {
    match updates {
        Some(updates) => updates.recv().await,
        None => std::future::pending().await,
    }
}

/// Locks the registry. A poisoned lock is used all the same, because a panic of another holder
/// leaves the registry consistent.
pub fn lock_registry(registry: &Mutex<Registry>) -> MutexGuard<'_, Registry> {
    registry.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a frame. Returns `None` where the stream has ended or accepts no frame within
/// [`STREAM_TIMEOUT`].
async fn send_frame(out: &Sender<Result<Frame, Status>>, frame: Frame) -> Option<()> {
    let sent = tokio::time::timeout(STREAM_TIMEOUT, out.send(Ok(frame))).await;
    sent.ok()?.ok()
}
