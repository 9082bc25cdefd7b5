//! What entries and operators ask of the control instances.

use crate::admin;
use crate::announce::Announcement;
use crate::config;
use crate::fault::Fault;
use crate::id;
use crate::outcome::Verdict;
use crate::{route, target};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A question to a control instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Give the configuration if it is newer than this version.
    Fetch(Fetch),
    /// Replace the configuration.
    Apply(config::Change),
    /// Record that a non-idempotent call is about to be dispatched.
    Begin(Call),
    /// Record how a call ended.
    Finish(Answer),
    /// Targets as one zone's entries know them.
    Report(Report),
    /// An operator's question or wish.
    Admin(admin::Query),
    /// Put routes in force, unless a higher version is.
    Route(Arc<route::Set>),
    /// Give the routes in force, as the leader knows them for sure.
    Routes,
    /// Demand and load at one entry.
    #[serde(rename = "Tally")]
    Usage(target::Usage),
    /// Bring an adapter to a target that holds its model.
    #[serde(rename = "Adapt")]
    LoadAdapter(LoadAdapter),
}

/// Asks for an adapter on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadAdapter {
    /// The target.
    pub target: id::Target,
    /// Its incarnation, as the asker knows it.
    pub incarnation: id::Incarnation,
    /// The model.
    pub model: id::Model,
    /// The adapter.
    pub adapter: id::Adapter,
}

/// What a follower of the configuration says, at least once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The follower.
    pub node: id::Node,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Version that it has in force.
    pub version: id::Version,
    /// Version of the routes that it has in force, 0 for none; absent where it follows
    /// neither routes nor targets.
    #[serde(default)]
    pub routes: Option<id::Version>,
}

/// What a control instance tells its followers, at least once a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Push {
    /// Nothing newer than this version.
    #[serde(rename = "Beat")]
    Heartbeat(id::Version),
    /// A newer configuration.
    Config(config::Snapshot),
    /// Newer routes.
    Routes(Arc<route::Set>),
    /// Words of targets that are new to this instance, or all that it knows.
    Targets(Vec<target::Registration>),
    /// Targets that were heard, with nothing new to say.
    #[serde(rename = "Heard")]
    Unchanged(Vec<id::Target>),
    /// Models of targets, as the holder of their orders knows them.
    #[serde(rename = "Holdings")]
    Residency(Vec<target::Residency>),
    /// Requests of all entries together at targets.
    Loads(Vec<target::Load>),
    /// The other processes of the system as this instance knows them.
    Peers(Peers),
}

/// The processes of the system.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peers {
    /// Where control instances take the inner protocol.
    pub controls: Vec<SocketAddr>,
    /// Entries that follow this instance.
    pub entries: u32,
    /// The control instance that leads, where one is known.
    pub leader: Option<SocketAddr>,
}

/// Asks for a configuration newer than a known one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Version that the asker has in force.
    pub version: id::Version,
    /// The asker.
    pub node: id::Node,
}

/// A non-idempotent call with its caller's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// The service that is called.
    pub service: id::Service,
    /// The caller's idempotency key.
    pub key: id::Key,
    /// SHA-256 of method, path and body.
    pub digest: Vec<u8>,
    /// The attempt that asks; only the one that the ledger names may dispatch.
    pub request: id::Request,
}

/// How a call ended, for resends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The service that was called.
    pub service: id::Service,
    /// The caller's idempotency key.
    pub key: id::Key,
    /// The attempt that was dispatched.
    pub request: id::Request,
    /// Whether it ran.
    pub verdict: Verdict,
    /// HTTP status of the answer; 0 where none was seen.
    pub status: u16,
    /// Content type of the answer.
    pub content: String,
    /// Body of the answer, left out where it is too large to record.
    pub body: Option<Vec<u8>>,
}

/// Targets and demand as one entry sees them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The reporting entry.
    pub node: id::Node,
    /// Newest announcements that changed since the last report.
    pub targets: Vec<Announcement>,
    /// Demand since the last report.
    pub demand: Vec<Demand>,
}

/// Demand for one model since the last report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The model.
    pub model: id::Model,
    /// Requests that arrived.
    pub requests: u32,
    /// Requests that met their profile's promise.
    pub met: u32,
    /// Requests refused for want of room.
    pub refused: u32,
    /// Tokens generated.
    pub tokens: u64,
}

/// What the ledger says to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// Dispatch it: this attempt is the one and only.
    Dispatch,
    /// It ended before; this was its answer.
    Answered(Answer),
    /// Another attempt was dispatched and has not ended.
    Pending,
}

/// An answer of a control instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Nothing newer.
    Current(id::Version),
    /// A newer configuration.
    Config(config::Snapshot),
    /// The change is committed under this version.
    Accepted(id::Version),
    /// The ledger's word on a call.
    Grant(Grant),
    /// Noted.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The answer to an operator.
    Admin(admin::Answer),
    /// The routes in force; none where none were ever accepted.
    Routes(Option<Arc<route::Set>>),
    /// Refused, with the reason.
    Refused(Fault),
}
