//! Messages between the control instances and their clients: entries and operators.

use crate::admin;
use crate::announce::Announcement;
use crate::config;
use crate::fault::Fault;
use crate::id;
use crate::outcome::Verdict;
use crate::{prompt, quota, route, share, stream, target};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use strum::IntoStaticStr;

/// A request to a control instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Return the configuration if it is newer than the given version.
    Fetch(Fetch),
    /// Replace the configuration that operators edit.
    Apply(config::Change),
    /// Record in the ledger that a non-idempotent call is about to be dispatched.
    Begin(Call),
    /// Record in the ledger how a non-idempotent call ended.
    Finish(Answer),
    /// Targets that announced themselves at an entry, and the demand that the entry received.
    Report(Report),
    /// A request of an operator.
    Admin(admin::Query),
    /// Apply a set of routes, unless a set with a higher version is in force.
    Route(Arc<route::Set>),
    /// Return the routes in force. Only a leader whose lease is valid answers, so that the answer
    /// is never outdated.
    Routes,
    /// Return the routes in force as followers get them, without the operator's text. As for [`Self::Routes`],
    /// only a leader whose lease is valid answers. Sent only to an instance that gave [`Reply::NewestRoutes`]:
    /// builds that can't read this request don't give that reply.
    PushedRoutes,
    /// Demand at one entry and the load that it puts on targets.
    #[serde(rename = "Tally")]
    Usage(target::Usage),
    /// A usage report of an entry, for a control instance to pass on to the leader. The reply is the
    /// leader's.
    PassUsage(UsageReport),
    /// Usage reports that a control instance passes on, with the entry that sent each.
    Usages(Vec<(id::Node, target::Usage)>),
    /// Load an adapter on a target that already has the model resident.
    #[serde(rename = "Adapt")]
    LoadAdapter(LoadAdapter),
    /// Permit to send one request to a target that names a limit.
    Permit(Permit),
    /// Room for one more request at a target that is brittle.
    Room(Room),
    /// A brittle target has rejected a request of the entry for want of room.
    Rejected(Room),
    /// Streams that began at an entry, for any control instance to keep.
    Begun(Vec<stream::Begun>),
    /// Return where a stream began, as far as the instance knows.
    Origin(stream::Key),
    /// Record that targets of a service serve, or are about to serve, with this software version.
    Confirm(stream::Origin),
    /// Return the software versions with which targets of a service serve or served a short time ago.
    /// Only a leader whose lease is valid answers, so that the answer is never outdated.
    Versions(id::Service),
    /// What an entry holds and wants of the quotas of workspaces.
    Quota(quota::Question),
}

/// A usage report that another control instance passes on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// The leader that the report is for, as the entry knows it.
    pub leader: SocketAddr,
    /// The report.
    pub usage: target::Usage,
}

/// A request to load an adapter on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadAdapter {
    /// The target.
    pub target: id::Target,
    /// The target's incarnation, as the requesting entry knows it.
    pub incarnation: id::Incarnation,
    /// The model that the adapter belongs to; it must be resident on the target.
    pub model: id::Model,
    /// The adapter to load.
    pub adapter: id::Adapter,
    /// Whether the target has rejected the request for lack of the adapter, after the leader had said
    /// that it is loaded.
    #[serde(default)]
    pub missed: bool,
}

/// A request for the permit to send one request to a target that names a limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Permit {
    /// The target.
    pub target: id::Target,
    /// The target's incarnation, as the requesting entry knows it.
    pub incarnation: id::Incarnation,
    /// Requests a second in the newest response that the entry has from the target; `None` if that
    /// response names no limit, or there is none.
    pub named: Option<f64>,
}

/// What an entry says of a target that is brittle: it falls over when it rejects too many requests a second
/// for want of room.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Room {
    /// The target.
    pub target: id::Target,
    /// The target's incarnation, as the entry knows it.
    pub incarnation: id::Incarnation,
    /// Rejections a second that the target bears, as it says.
    pub rejections_per_s: f64,
    /// Requests that run at the target at the same time.
    pub slots: u32,
    /// Requests of the entry at the target, with the one that it asks for.
    pub running: u32,
}

/// Heartbeat of a follower, that is a process that subscribes to pushes.
///
/// Followers send it at least once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The follower's name.
    pub node: id::Node,
    /// The follower's availability zone.
    pub zone: id::Zone,
    /// Version of the configuration that the follower has in force.
    pub version: id::Version,
    /// Version of the routes that the follower has in force, or 0 where it has no routes.
    /// `None` means that the follower subscribes to neither routes nor targets.
    #[serde(default)]
    pub routes: Option<id::Version>,
    /// Whether the follower keeps the evidence against what crashes targets.
    #[serde(default)]
    pub keeps_evidence: bool,
    /// Whether the follower wants what the other control instances push relayed to it.
    #[serde(default)]
    pub relays: bool,
    /// Address at which the follower, an entry, takes requests from other entries. `None` while it
    /// reaches no target itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub neighbour: Option<SocketAddr>,
}

/// A message from a control instance to its followers, sent at least once a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Push {
    /// Heartbeat: no configuration newer than this version is known.
    #[serde(rename = "Beat")]
    Heartbeat(id::Version),
    /// A newer configuration.
    Config(config::Snapshot),
    /// Newer routes.
    Routes(Arc<route::Set>),
    /// Registrations that this instance received, or, for a new follower, all that it knows.
    Targets(Vec<target::Registration>),
    /// Targets that sent a heartbeat with an unchanged registration.
    #[serde(rename = "Heard")]
    Unchanged(Vec<id::Target>),
    /// Models resident on targets, as the leader knows them from the orders that it gave.
    #[serde(rename = "Holdings")]
    Residency(Vec<target::Residency>),
    /// Load of all targets that have any, summed over all entries.
    Loads(Vec<target::Load>),
    /// Load of the targets whose load has changed since the last push of loads.
    LoadChanges(Vec<target::Load>),
    /// All workspaces that are above their share of a capacity that is short, by the leader. It is sent
    /// a few times a second while there is any, and once when there is none any more.
    Shares(Vec<share::Limit>),
    /// The other processes of the system that this instance knows.
    Peers(Peers),
    /// Prompt parts that requests must not contain.
    Quarantines(Vec<prompt::Quarantine>),
    /// Evidence against what crashes targets, for followers that keep it.
    Dossier(prompt::Dossier),
    /// What another control instance pushed, for followers that want it relayed. A relayed push is
    /// never relayed again.
    Relayed(Relayed),
    /// The other control instances from which this instance received something within the last
    /// second. It ends the state that a follower gets first, and is sent again when it changes.
    Reached(Vec<SocketAddr>),
}

/// A push that a control instance relays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Relayed {
    /// Address of the control instance that pushed it.
    pub origin: SocketAddr,
    /// The push.
    pub push: Box<Push>,
}

/// The processes of the system.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peers {
    /// Addresses on which control instances accept the inner protocol.
    pub controls: Vec<SocketAddr>,
    /// Availability zones of `controls`, in the same order; empty where a zone is not known yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<id::Zone>,
    /// Number of entries that follow this instance or report their usage to it.
    pub entries: u32,
    /// Address of the leader; `None` where no leader is known.
    pub leader: Option<SocketAddr>,
    /// Version of the newest routes that this instance knows to be committed; 0 before the first.
    #[serde(default)]
    pub routes: id::Version,
    /// Some of the entries that take requests from others; other ones in each list that names any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub neighbours: Option<Naming>,
}

/// Entries of one zone that take requests from others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Naming {
    /// Availability zone of the entries.
    pub zone: id::Zone,
    /// Addresses at which they take requests.
    pub addresses: Vec<SocketAddr>,
    /// Whether another control instance has named them. Such a naming is not relayed again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub relayed: bool,
}

/// A request for a configuration newer than a known version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Version that the requesting process has in force.
    pub version: id::Version,
    /// Name of the requesting process.
    pub node: id::Node,
}

/// A non-idempotent call, identified by the idempotency key that its caller chose.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// The called service.
    pub service: id::Service,
    /// The caller's idempotency key.
    pub key: id::Key,
    /// SHA-256 digest of method, path and body. It detects a key that is reused for another call.
    pub digest: Vec<u8>,
    /// Identity of this attempt. Only the attempt that the ledger grants may dispatch the call.
    pub request: id::Request,
}

/// The recorded result of a call, returned when the caller retries with the same key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The called service.
    pub service: id::Service,
    /// The caller's idempotency key.
    pub key: id::Key,
    /// Identity of the attempt that was dispatched.
    pub request: id::Request,
    /// Whether the call ran.
    pub verdict: Verdict,
    /// HTTP status of the response; 0 where no response was received.
    pub status: u16,
    /// Content type of the response.
    pub content: String,
    /// Body of the response; `None` where it is too large to record.
    pub body: Option<Vec<u8>>,
}

/// Targets and demand that one entry reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Name of the reporting entry.
    pub node: id::Node,
    /// The newest announcements of targets whose state changed since the last report.
    pub targets: Vec<Announcement>,
    /// Demand since the last report, by model.
    pub demand: Vec<Demand>,
    /// What the entry has seen of prompts that crash targets.
    #[serde(default)]
    pub evidence: prompt::Evidence,
}

/// Demand for one model since the last report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The model.
    pub model: id::Model,
    /// Number of requests that arrived.
    pub requests: u32,
    /// Number of requests that met the latency objective of their profile.
    pub met: u32,
    /// Number of requests that were rejected because no target had capacity.
    pub refused: u32,
    /// Number of tokens generated.
    pub tokens: u64,
}

/// The ledger's decision on a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// This attempt may dispatch the call; no other attempt may.
    Dispatch,
    /// The call ended before, with this result.
    Answered(Answer),
    /// Another attempt was dispatched and has not ended.
    Pending,
}

/// A reply of a control instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// No configuration newer than the requested one; this version is in force.
    Current(id::Version),
    /// A newer configuration.
    Config(config::Snapshot),
    /// The change is committed and made this version.
    Accepted(id::Version),
    /// The ledger's decision on a call.
    Grant(Grant),
    /// The request was carried out; there is nothing to return.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The answer to a request of an operator.
    Admin(admin::Answer),
    /// The routes in force; `None` where no set of routes was ever accepted.
    Routes(Option<Arc<route::Set>>),
    /// The request was refused; the fault holds the reason.
    Refused(Fault),
    /// Where a stream began.
    Origin(stream::Knowledge),
    /// Software versions of a service.
    Versions(Vec<id::Software>),
    /// There is no permit for a request to the target, or no room for it there, for this time, in
    /// milliseconds.
    NoPermit(u64),
    /// The report was received; these prompt parts are in quarantine.
    Quarantines(Vec<prompt::Quarantine>),
    /// What an entry gets of the quotas of workspaces.
    Quota(quota::Answer),
    /// The usage report was received, by an instance that surely leads and has the newest routes. Builds that
    /// ask for it in a report can read it.
    NewestRoutes(NewestRoutes),
}

/// The newest routes that are committed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewestRoutes {
    /// Version of the routes; 0 where no set was ever accepted.
    pub version: id::Version,
    /// Approximate size of one copy, in bytes.
    pub bytes: u64,
}
