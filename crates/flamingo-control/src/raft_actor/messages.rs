//! The messages of the actor and what it does with each.

use super::{FOLLOWER_TIMEOUT, FollowerRecord, RaftActor, requests};
use crate::leader_task::Leadership;
use crate::writer;
use actix::{Handler, Message, MessageResult, ResponseFuture};
use flamingo_daemon::clock;
use flamingo_log::raft::{Change, Refusal, Seed};
use flamingo_state::{Command, State};
use flamingo_wire::control::{Heartbeat, NewestRoutes, Reply, Request};
use flamingo_wire::{Fault, id};
use slog::{error, info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A message of the log from another member.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerMessage(pub flamingo_log::Message);

/// A report of the disk thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct WriterReport(pub(super) writer::Event);

/// Sends the proposals made since the last flush to the other members.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Flush;

/// A heartbeat of a follower of the configuration.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct FollowerHeartbeat(pub Heartbeat);

/// An entry has reported its usage to this instance, which counts it from now on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct EntryReport(pub id::Node);

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

/// Returns the newest routes; `None` where this instance does not surely lead, so that another one may have
/// newer ones.
#[derive(Debug, Message)]
#[rtype(result = "Option<NewestRoutes>")]
pub struct GetNewestRoutes;

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
    /// Zones of the members in the same order, from the heartbeats that they send to this instance;
    /// `None` where none has come, and for this instance itself.
    pub zones: Vec<Option<id::Zone>>,
    /// Address of the leader for the inner protocol; `None` where no leader is known.
    pub leader: Option<SocketAddr>,
    /// Number of entries that follow the routes on this instance or report their usage to it.
    pub followers: usize,
    /// Version of the committed routes; 0 before the first.
    pub routes: id::Version,
    /// Zones and addresses of the entries that follow this instance and take requests from others.
    pub neighbours: Vec<(id::Zone, SocketAddr)>,
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
            writer::Event::Synced(count) => {
                if self.raft.disk_full() {
                    info!(self.log, "there is room on the disk again");
                }
                self.raft.synced(now, count);
            }
            writer::Event::Full(error) => {
                warn!(self.log, "the disk is full; this instance neither leads nor votes until there is room";
                    "error" => %error);
                self.raft.fill_disk(now);
            }
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
        if self.is_control(&heartbeat.node) {
            let zone = heartbeat.zone.clone();
            self.control_zones.insert(heartbeat.node.clone(), zone);
        }
        let follower = FollowerRecord { heartbeat, expires };
        self.followers
            .insert(follower.heartbeat.node.clone(), follower);
    }
}

impl Handler<EntryReport> for RaftActor {
    type Result = ();

    fn handle(&mut self, EntryReport(node): EntryReport, _: &mut Self::Context) {
        self.reporters.insert(node, clock::now() + FOLLOWER_TIMEOUT);
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

impl Handler<GetNewestRoutes> for RaftActor {
    type Result = Option<NewestRoutes>;

    fn handle(&mut self, _: GetNewestRoutes, _: &mut Self::Context) -> Self::Result {
        let knows = self.raft.has_read_lease(clock::now());
        let routes = self.state.routes.as_ref();
        knows.then(|| {
            routes.map_or_else(NewestRoutes::default, |set| NewestRoutes {
                version: set.version,
                bytes: set.text.len() as u64,
            })
        })
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
        let zones = members
            .iter()
            .map(|member| self.control_zones.get(&member.node).cloned())
            .collect();
        let followers = self.followers.iter();
        let followers = followers.filter(|(_, follower)| follower.heartbeat.routes.is_some());
        let entries = followers.map(|(node, _)| node).chain(self.reporters.keys());
        let entries: BTreeSet<_> = entries.filter(|node| !listed(node)).collect();
        let followers = entries.len();
        let heartbeats = self.followers.values().map(|known| &known.heartbeat);
        let neighbours = heartbeats.filter_map(|heartbeat| {
            let address = heartbeat.neighbour?;
            Some((heartbeat.zone.clone(), address))
        });
        let neighbours = neighbours.collect();
        MessageResult(Membership {
            addresses,
            zones,
            leader,
            followers,
            neighbours,
            routes: self.state.routes.as_ref().map_or(0, |set| set.version),
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
