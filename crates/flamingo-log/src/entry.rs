//! What the log holds and what goes to the disk.

use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of one data folder; 0 where it is not known yet.
pub type Storage = u64;
/// Identity of one group of members; 0 where none was formed.
pub type Cluster = u64;

/// One control instance in the member list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub node: id::Node,
    /// Where it takes the inner protocol.
    pub address: SocketAddr,
    /// Identity of its data folder.
    pub storage: Storage,
    /// Whether it votes; a learner only receives.
    pub votes: bool,
    /// The member that leaves once this one votes.
    pub replaces: Option<id::Node>,
}

/// What an entry carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Empty,
    /// An encoded command of the state.
    Command(Vec<u8>),
    /// The member list from here on.
    Members(Vec<Member>),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position.
    pub index: id::Index,
    /// Term of the leader that made it.
    pub term: id::Term,
    /// What it carries.
    pub payload: Payload,
}

/// The state up to an index; it stands for all entries up to there.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The group of members.
    pub cluster: Cluster,
    /// Last index that it covers.
    pub index: id::Index,
    /// Term of that entry.
    pub term: id::Term,
    /// Member list at that index.
    pub members: Vec<Member>,
    /// Encoded state.
    pub data: Vec<u8>,
}

/// The term a member is in and whom it voted for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// The term.
    pub term: id::Term,
    /// Who got the vote of this term.
    pub node: Option<id::Node>,
}

/// One record for the disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A new term or vote.
    Vote(Vote),
    /// An entry; it replaces the entry at its index and all after it.
    Entry(Entry),
    /// A snapshot with the entries that stay behind it.
    Snapshot(Arc<Snapshot>),
    /// All entries up to this index are committed; a restart may apply them at once.
    Commit(id::Index),
}
