//! Entries of the log and the records that are written to the disk.

use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Random identity of one data folder; 0 where it is not known yet.
pub type Storage = u64;
/// Identity of one group of members; 0 where none was formed.
pub type Cluster = u64;

/// One control instance in the member list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the control instance.
    pub node: id::Node,
    /// Address at which it accepts messages of other instances.
    pub address: SocketAddr,
    /// Storage identity of its data folder; 0 until it has joined.
    pub storage: Storage,
    /// Whether it is a voter; a learner only receives entries.
    pub votes: bool,
    /// Member that is removed once this one votes; `None` for no replacement.
    pub replaces: Option<id::Node>,
}

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Nothing; the first entry of each leader.
    Empty,
    /// An encoded command of the replicated state.
    Command(Vec<u8>),
    /// The member list that is in force from this entry on.
    Members(Vec<Member>),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Index in the log; the first entry has index 1.
    pub index: id::Index,
    /// Term of the leader that appended the entry.
    pub term: id::Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// The replicated state after all entries up to an index, which it replaces.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Identity of the group of members.
    pub cluster: Cluster,
    /// Index of the last entry that the snapshot covers.
    pub index: id::Index,
    /// Term of the entry at `index`.
    pub term: id::Term,
    /// Member list in force at `index`.
    pub members: Vec<Member>,
    /// The encoded replicated state; empty before the first command.
    pub data: Vec<u8>,
}

/// The current term of a member and its vote in that term.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// Current term.
    pub term: id::Term,
    /// Candidate that this member voted for in the term; `None` where it has not voted.
    pub node: Option<id::Node>,
}

/// A record for the disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A new term or vote.
    Vote(Vote),
    /// An entry, which replaces the entry at its index and all after it.
    Entry(Entry),
    /// A snapshot, which replaces all entries up to its index.
    Snapshot(Arc<Snapshot>),
    /// All entries up to this index are committed, so that a restarted member may apply
    /// them at once.
    Commit(id::Index),
}
