//! What members say to each other.

use crate::entry::{Cluster, Entry, Member, Storage};
use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of a leader's heartbeat, echoed by whom it reaches.
pub type Round = u64;

/// One message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: id::Node,
    /// Identity of the sender's data folder.
    pub from_storage: Storage,
    /// The receiver.
    pub to: id::Node,
    /// Identity of the receiver's data folder as the sender knows it.
    pub to_storage: Storage,
    /// The sender's group of members.
    pub cluster: Cluster,
    /// The sender's term; of a pre-vote, the term that it would ask for.
    pub term: id::Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for a vote.
    Ask(Ask),
    /// Answers [`Body::Ask`].
    Voted {
        /// Whether the question was a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Heartbeat and entries.
    Append(Append),
    /// Answers [`Body::Append`].
    Appended {
        /// Heartbeat that is answered.
        round: Round,
        /// What the follower holds.
        fit: Fit,
    },
    /// One chunk of a snapshot.
    Install(Chunk),
    /// Answers [`Body::Install`].
    Installed {
        /// Heartbeat that is answered.
        round: Round,
        /// Index of the snapshot.
        index: id::Index,
        /// Bytes of it that are held.
        offset: u64,
        /// Whether the whole snapshot is in force and synced.
        done: bool,
    },
    /// A member without a member list asks who has none either.
    Inquire,
    /// Answers [`Body::Inquire`] of a member that has no member list.
    Unformed,
    /// The first member list.
    Found(Vec<Member>),
    /// A member whose folder is not in the member list asks to join.
    Join {
        /// Where it takes the inner protocol.
        address: SocketAddr,
    },
    /// A leader that stops asks the receiver to be elected at once.
    Transfer,
}

/// A candidate's question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Only asks whether the vote would be given.
    pub pre: bool,
    /// The leader gave up its lease in favour of the candidate.
    pub transfer: bool,
    /// The candidate's last index.
    pub last_index: id::Index,
    /// Term of that entry.
    pub last_term: id::Term,
}

/// A leader's heartbeat with entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// Index before the entries.
    pub prev_index: id::Index,
    /// Term of that entry.
    pub prev_term: id::Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Last committed index.
    pub commit: id::Index,
    /// Number of the heartbeat.
    pub round: Round,
}

/// Whether a follower's log fits the leader's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fit {
    /// It is the same up to this index, and synced.
    Matched(id::Index),
    /// It is not; go on after this index.
    Missing(id::Index),
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// Last index that the snapshot covers.
    pub index: id::Index,
    /// Term of that entry.
    pub term: id::Term,
    /// Member list at that index.
    pub members: Vec<Member>,
    /// Position of the data in the encoded state, in bytes.
    pub offset: u64,
    /// Size of the encoded state, in bytes.
    pub total: u64,
    /// The bytes.
    pub data: Vec<u8>,
    /// Number of the heartbeat.
    pub round: Round,
}
