//! What operators ask, and the answers that their client prints.

use crate::announce::{Availability, Resident};
use crate::config::{Set, Snapshot};
use crate::gossip::Liveness;
use crate::id;
use crate::place;
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// An operator's question or wish.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Query {
    /// The state of the control instances and of who follows which version.
    Status,
    /// The accepted changes, newest first.
    History,
    /// One accepted version.
    Version(id::Version),
    /// The targets.
    Targets,
    /// Which copies sit where.
    Placement,
    /// Why a model sits where it does.
    Explain(id::Model),
    /// The orders given lately, newest first, with their reasons.
    Moves,
    /// Drain a target, or end its drain.
    Drain(Drain),
    /// The moves that an edited set would cause, without doing them.
    DryRun(Box<Set>),
    /// Write a snapshot of the log now.
    Snapshot,
}

/// A wish to drain a target, or to end its drain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Identity of this wish; a resend carries the same one.
    pub id: id::Change,
    /// The target.
    pub target: id::Target,
    /// Whether it is drained from now on.
    pub on: bool,
    /// Who asks.
    pub author: String,
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// To [`Query::Status`].
    Status(Status),
    /// To [`Query::History`].
    History(Vec<Accepted>),
    /// To [`Query::Version`].
    Version(Box<Snapshot>),
    /// To [`Query::Targets`].
    Targets(Vec<Target>),
    /// To [`Query::Placement`].
    Placement(Vec<Copy>),
    /// To [`Query::Explain`].
    Explain(Explanation),
    /// To [`Query::Moves`] and [`Query::DryRun`].
    Moves(Vec<Move>),
    /// To [`Query::Drain`]: the version that holds it.
    Drained(id::Version),
    /// To [`Query::Snapshot`]: the last index that it covers.
    Snapshot(id::Index),
}

/// The state of the control instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Who answers.
    pub node: id::Node,
    /// Who leads, as far as that is known.
    pub leader: Option<id::Node>,
    /// The term.
    pub term: id::Term,
    /// Last committed index.
    pub committed: id::Index,
    /// Version of the configuration in force.
    pub version: id::Version,
    /// The control instances.
    pub members: Vec<Member>,
    /// Who follows the configuration, and which version each has in force.
    pub followers: Vec<Follower>,
}

/// One control instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub node: id::Node,
    /// Whether it votes; a learner does not.
    pub votes: bool,
    /// Last index that it is known to hold.
    pub matched: id::Index,
}

/// One entry that follows the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Follower {
    /// Its name.
    pub node: id::Node,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Version that it has in force.
    pub version: id::Version,
    /// What is believed of it.
    #[serde(rename = "belief")]
    pub liveness: Liveness,
}

/// One accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The version that it made.
    pub version: id::Version,
    /// Its identity.
    pub change: id::Change,
    /// Who asked.
    pub author: String,
    /// When the leader took it.
    pub at: SystemTime,
    /// What it changed, in one line.
    pub summary: String,
}

/// One target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Its name.
    pub target: id::Target,
    /// Its availability zone.
    pub zone: id::Zone,
    /// `engine`, or the service's name.
    pub kind: String,
    /// Whether it takes new work.
    #[serde(rename = "standing")]
    pub availability: Availability,
    /// Whether operators drain it.
    pub drained: bool,
    /// Accelerator memory, in mebibytes; 0 for a plain service.
    pub memory: id::Mebibytes,
    /// Memory committed, in mebibytes.
    pub committed: id::Mebibytes,
    /// Copies that it holds.
    pub resident: Vec<Resident>,
}

/// One copy of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Copy {
    /// The model.
    pub model: id::Model,
    /// Version of the weights.
    pub version: u32,
    /// The target.
    pub target: id::Target,
    /// Its availability zone.
    pub zone: id::Zone,
    /// `resident`, `loading` or `unloading`.
    pub state: String,
}

/// Why a model sits where it does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The model.
    pub model: id::Model,
    /// Copies wanted now.
    pub wanted: u32,
    /// Why as many.
    pub reason: String,
    /// The copies.
    pub copies: Vec<Copy>,
    /// Targets that were weighed for the next copy, best first, with a reason each.
    pub candidates: Vec<Candidate>,
}

/// One target weighed for a copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Memory not committed, in mebibytes.
    pub free: id::Mebibytes,
    /// Why it is or is not fit.
    pub reason: String,
}

/// One order, for the history of moves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// The order.
    pub order: place::Order,
    /// How it ended; nothing while it may be under way.
    pub outcome: Option<place::Outcome>,
    /// When it was committed.
    pub at: SystemTime,
}
