//! Follows control instances: routes, targets and peers as each of them tells it.
//!
//! Each instance is followed by a stream of its own, so that a target's word reaches
//! this process from whichever instance the target spoke to.

use crate::pool::{MESSAGE, Pool, dial};
use flamingo_wire::control::{Heartbeat, Push, Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client;
use flamingo_wire::{Fault, id};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;
use tokio_stream::wrappers::ReceiverStream;

/// Time between two beats.
const BEAT: Duration = Duration::from_secs(1);
/// Time without a push after which the stream is dropped.
const SILENCE: Duration = Duration::from_secs(2);
/// Time that dialling a stream may take.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time between two tries to dial an instance.
const PAUSE: Duration = Duration::from_millis(150);
/// Beats that may wait to be sent.
const QUEUE: usize = 4;

/// What takes the pushes.
pub trait PushHandler {
    /// Returns the version of the routes in force; 0 for none.
    fn routes_version(&self) -> id::Version;
    /// Takes a push of the instance at `from`.
    fn on_push(&self, from: SocketAddr, push: Push);
    /// Takes the word that the stream of the instance at `from` ended.
    fn on_disconnect(&self, from: SocketAddr);
}

/// How this process shows itself to control instances.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub node: id::Node,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Seals the inner protocol.
    pub seal: Seal,
}

/// Follows every control instance that becomes known.
pub struct Subscriber {
    identity: Identity,
    listener: Rc<dyn PushHandler>,
    followed: RefCell<BTreeSet<SocketAddr>>,
    /// Changes whenever other routes come into force.
    routed: watch::Sender<()>,
    log: Logger,
}

impl std::fmt::Debug for Subscriber {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Subscriber({})", self.identity.node)
    }
}

impl Subscriber {
    /// Builds a feed that follows nobody yet.
    #[must_use]
    pub fn new(identity: Identity, listener: Rc<dyn PushHandler>, log: Logger) -> Rc<Self> {
        Rc::new(Self {
            identity,
            listener,
            followed: RefCell::default(),
            routed: watch::channel(()).0,
            log,
        })
    }

    /// Follows the instances at `addresses`, beside those followed already.
    pub fn follow(self: &Rc<Self>, addresses: &[SocketAddr]) {
        for address in addresses {
            // A control instance has its address as its name.
            let own = address.to_string() == self.identity.node;
            if own {
                continue;
            }
            if self.followed.borrow_mut().insert(*address) {
                let feed = Rc::clone(self);
                tokio::task::spawn_local(feed.keep(*address));
            }
        }
    }

    async fn keep(self: Rc<Self>, address: SocketAddr) {
        loop {
            let why = self.watch(address).await;
            if let Some(why) = why {
                warn!(self.log, "control lost"; "control" => %address, "why" => why);
                self.listener.on_disconnect(address);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Follows one instance; returns why the stream ended, or nothing where it never began.
    async fn watch(self: &Rc<Self>, address: SocketAddr) -> Option<&'static str> {
        let deadline = Instant::now() + PATIENCE;
        let channel = dial(address, deadline).await?;
        let (beats, outgoing) = mpsc::channel(QUEUE);
        self.beat(address, &beats);
        let mut client =
            control_client::ControlClient::new(channel).max_decoding_message_size(MESSAGE);
        let opened = client.watch(ReceiverStream::new(outgoing));
        let answer = timeout_at(deadline.into(), opened).await.ok()?.ok()?;
        let mut stream = answer.into_inner();
        info!(self.log, "control followed"; "control" => %address);
        let mut next_beat = Instant::now() + BEAT;
        let mut silent = Instant::now() + SILENCE;
        let mut routed = self.routed.subscribe();
        loop {
            let next = next_beat.min(silent);
            let heard = tokio::select! {
                heard = timeout_at(next.into(), stream.message()) => heard,
                // The sender lives as long as the feed.
                _ = routed.changed() => {
                    self.beat(address, &beats);
                    continue;
                }
            };
            match heard {
                Ok(Ok(Some(frame))) => {
                    match self.identity.seal.open(&frame, SystemTime::now()) {
                        Ok(push) => self.take(address, push),
                        Err(error) => {
                            warn!(self.log, "push refused"; "error" => %error);
                            return Some("sealed by a stranger");
                        }
                    }
                    silent = Instant::now() + SILENCE;
                }
                Ok(Ok(None)) => return Some("ended"),
                Ok(Err(_)) => return Some("broken"),
                Err(_) => {}
            }
            let now = Instant::now();
            if now >= silent {
                return Some("silent");
            }
            if now >= next_beat {
                next_beat = now + BEAT;
                self.beat(address, &beats);
            }
        }
    }

    fn take(self: &Rc<Self>, address: SocketAddr, push: Push) {
        if let Push::Peers(peers) = &push {
            self.follow(&peers.controls);
        }
        let before = self.listener.routes_version();
        self.listener.on_push(address, push);
        if self.listener.routes_version() != before {
            // Each instance that is followed hears at once that it need not send them.
            self.routed.send_replace(());
        }
    }

    /// Says which routes are in force. Where the queue is full, nobody listens, and the
    /// deadline of the stream ends it.
    fn beat(&self, address: SocketAddr, beats: &mpsc::Sender<flamingo_wire::Frame>) {
        let beat = Heartbeat {
            node: self.identity.node.clone(),
            zone: self.identity.zone.clone(),
            version: 0,
            routes: Some(self.listener.routes_version()),
        };
        let seal = &self.identity.seal;
        if let Ok(frame) = seal.seal(&address.to_string(), &beat, SystemTime::now()) {
            let _ = beats.try_send(frame);
        }
    }
}

/// Asks single questions of control instances, over connections that are kept.
#[derive(Debug)]
pub struct ControlClient {
    seal: Seal,
    pool: Pool,
}

impl ControlClient {
    /// Builds an asker that seals with `seal`.
    #[must_use]
    pub fn new(seal: Seal) -> Self {
        Self {
            seal,
            pool: Pool::default(),
        }
    }

    /// Asks the instance at `address`, until `deadline`.
    pub async fn ask(&self, address: SocketAddr, request: &Request, deadline: Instant) -> Reply {
        match timeout_at(deadline.into(), self.send(address, request, deadline)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => {
                self.pool.drop(address);
                Reply::Refused(unreached(address, &error.to_string()))
            }
            Err(_) => {
                self.pool.drop(address);
                Reply::Refused(unreached(address, "no answer in time"))
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
        let channel = channel.ok_or("it can't be dialled")?;
        let frame = self
            .seal
            .seal(&address.to_string(), request, SystemTime::now())?;
        let mut client =
            control_client::ControlClient::new(channel).max_decoding_message_size(MESSAGE);
        let answer = client.ask(frame).await?;
        Ok(self.seal.open(answer.get_ref(), SystemTime::now())?)
    }
}

fn unreached(address: SocketAddr, why: &str) -> Fault {
    let message = format!("control at {address}: {why}");
    Fault::not_run(Reason::Leaderless, message, "ask again").retry_after(1)
}
