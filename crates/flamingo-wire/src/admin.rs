//! Requests of operators and their answers, which the operators' client prints.

use crate::announce::{Availability, Resident};
use crate::config::{Set, Snapshot};
use crate::gossip::Liveness;
use crate::id;
use crate::place;
use crate::route::Rank;
use crate::workspace::Unit;
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// A request of an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Query {
    /// Return the state of the control instances and of the followers of the configuration.
    Status,
    /// Return the accepted changes, newest first.
    History,
    /// Return one accepted version of the configuration.
    Version(id::Version),
    /// Return the targets.
    Targets,
    /// Return the copies of all models and the targets that they are on.
    Placement,
    /// Explain the placement of one model.
    Explain(id::Model),
    /// Return the most recent orders, newest first, with their reasons.
    Moves,
    /// Start or end the drain of a target.
    Drain(Drain),
    /// Return the moves that an edited configuration would cause, without applying it.
    DryRun(Box<Set>),
    /// Write a snapshot of the replicated state now.
    Snapshot,
    /// Return what workspaces use of their quotas.
    Workspaces,
}

/// A request to start or end the drain of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Identity of this request; a retry carries the same identity.
    pub id: id::Change,
    /// The target.
    pub target: id::Target,
    /// Whether to start the drain (`true`) or to end it (`false`).
    pub on: bool,
    /// Name of the author, for the history.
    pub author: String,
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// Answer to [`Query::Status`].
    Status(Status),
    /// Answer to [`Query::History`].
    History(Vec<Accepted>),
    /// Answer to [`Query::Version`].
    Version(Box<Snapshot>),
    /// Answer to [`Query::Targets`].
    Targets(Vec<Target>),
    /// Answer to [`Query::Placement`].
    Placement(Vec<Copy>),
    /// Answer to [`Query::Explain`].
    Explain(Explanation),
    /// Answer to [`Query::Moves`] and [`Query::DryRun`].
    Moves(Vec<Move>),
    /// Answer to [`Query::Drain`]: the version of the configuration that contains the change.
    Drained(id::Version),
    /// Answer to [`Query::Snapshot`]: the last log index that the snapshot covers.
    Snapshot(id::Index),
    /// Answer to [`Query::Workspaces`].
    Workspaces(Workspaces),
}

/// The state of the control instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the instance that answers.
    pub node: id::Node,
    /// Name of the leader; `None` where no leader is known.
    pub leader: Option<id::Node>,
    /// Current term.
    pub term: id::Term,
    /// Last committed log index.
    pub committed: id::Index,
    /// Version of the configuration in force.
    pub version: id::Version,
    /// The control instances.
    pub members: Vec<Member>,
    /// The followers of the configuration, each with the version that it has in force.
    pub followers: Vec<Follower>,
}

/// A control instance as a member of the Raft group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub node: id::Node,
    /// Whether the instance votes; a learner does not.
    pub votes: bool,
    /// Last log index that the instance is known to have stored.
    pub matched: id::Index,
}

/// An entry that follows the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Follower {
    /// Name of the entry.
    pub node: id::Node,
    /// Availability zone of the entry.
    pub zone: id::Zone,
    /// Version of the configuration that the entry has in force.
    pub version: id::Version,
    /// Liveness of the entry, as the answering instance sees it.
    #[serde(rename = "belief")]
    pub liveness: Liveness,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The version that the change made.
    pub version: id::Version,
    /// Identity of the change.
    pub change: id::Change,
    /// Name of the author.
    pub author: String,
    /// Time at which the leader accepted the change.
    pub at: SystemTime,
    /// Summary of the change, in one line.
    pub summary: String,
}

/// A target, as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name of the target.
    pub target: id::Target,
    /// Availability zone of the target.
    pub zone: id::Zone,
    /// `engine`, or the service's name.
    pub kind: String,
    /// Whether the target accepts new requests.
    #[serde(rename = "standing")]
    pub availability: Availability,
    /// Whether operators drain the target.
    pub drained: bool,
    /// Accelerator memory, in mebibytes; 0 for a plain service.
    pub memory: id::Mebibytes,
    /// Memory committed, in mebibytes.
    pub committed: id::Mebibytes,
    /// Model copies that are resident on the target.
    pub resident: Vec<Resident>,
}

/// A copy of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Copy {
    /// The model.
    pub model: id::Model,
    /// Version of the weights.
    pub version: u32,
    /// The target.
    pub target: id::Target,
    /// Availability zone of the target.
    pub zone: id::Zone,
    /// State of the copy: `resident`, `loading` or `unloading`.
    pub state: String,
}

/// Explanation of the placement of one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The model.
    pub model: id::Model,
    /// Number of copies that placement wants now.
    pub wanted: u32,
    /// Reason for this number of copies.
    pub reason: String,
    /// The copies.
    pub copies: Vec<Copy>,
    /// Targets considered for the next copy, best first, each with a reason.
    pub candidates: Vec<Candidate>,
}

/// A target considered for a copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Memory that is not committed, in mebibytes.
    pub free: id::Mebibytes,
    /// Reason why the target is suitable or not.
    pub reason: String,
}

/// An order in the history of moves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// The order.
    pub order: place::Order,
    /// How the order ended; `None` while it may still be in progress.
    pub outcome: Option<place::Outcome>,
    /// Time at which the order was committed.
    pub at: SystemTime,
}

/// The workspaces of the configuration in force, without their keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Workspaces {
    /// Version of the configuration that names them.
    pub version: id::Version,
    /// Time over which use is counted, in milliseconds; shorter than the window of the quotas after a
    /// change of the leader.
    pub window_ms: u64,
    /// The workspaces, in the order of the configuration.
    pub workspaces: Vec<Workspace>,
}

/// A workspace and what it uses of its quota, as the leader knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub workspace: id::Workspace,
    /// Rank of its requests; `None` where that of the route counts.
    pub rank: Option<Rank>,
    /// What its quota counts.
    pub unit: Unit,
    /// Limit in units a second; `None` without a limit. The figures below are 0 then.
    pub per_s: Option<f64>,
    /// Units that may be used at once.
    pub burst: f64,
    /// Units that entries were granted over the window.
    pub used: f64,
    /// The same as a part of what the limit allows in that time without the burst.
    pub fraction: f64,
    /// Whether requests were refused over the window, as the workspace wanted more than its limit.
    pub over: bool,
}
