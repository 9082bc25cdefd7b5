//! Messages between the members of a group.

use crate::entry::{Cluster, Entry, Member, Storage};
use flamingo_wire::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of a leader's heartbeat, which the reply repeats; numbers restart with each
/// leadership.
pub type Round = u64;

/// A message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Name of the sender.
    pub from: id::Node,
    /// Storage identity of the sender's data folder.
    pub from_storage: Storage,
    /// Name of the receiver.
    pub to: id::Node,
    /// Storage identity of the receiver's data folder, as far as the sender knows it; 0
    /// otherwise.
    pub to_storage: Storage,
    /// Identity of the sender's group of members; 0 where it has none.
    pub cluster: Cluster,
    /// Term of the sender; in a pre-vote request, the term of the election that would
    /// follow.
    pub term: id::Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Requests a vote or a pre-vote.
    #[serde(rename = "Ask")]
    RequestVote(VoteRequest),
    /// Replies to [`Body::RequestVote`].
    #[serde(rename = "Voted")]
    VoteReply {
        /// Whether the request was for a pre-vote.
        pre: bool,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Heartbeat of a leader with the entries that the receiver misses.
    Append(Append),
    /// Replies to [`Body::Append`].
    Appended {
        /// Number of the heartbeat to which this replies.
        round: Round,
        /// Whether the follower's log matches the leader's.
        #[serde(rename = "fit")]
        log_match: LogMatch,
        /// Whether the follower has only heard the heartbeat, because its disk is late: `log_match` then claims
        /// nothing, and the real reply follows after the sync.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        heard_only: bool,
    },
    /// One chunk of a snapshot for a member that misses compacted entries.
    Install(SnapshotChunk),
    /// Replies to [`Body::Install`].
    Installed {
        /// Number of the heartbeat to which this replies.
        round: Round,
        /// Last index that the snapshot covers.
        index: id::Index,
        /// Number of bytes of the snapshot that the receiver has.
        offset: u64,
        /// Whether the whole snapshot is installed and synced.
        done: bool,
    },
    /// A member without a member list asks which others have none either.
    #[serde(rename = "Inquire")]
    QueryUnformed,
    /// Replies to [`Body::QueryUnformed`]: the sender has no member list.
    Unformed,
    /// The first member list, which forms the group.
    #[serde(rename = "Found")]
    InitialMembers(Vec<Member>),
    /// An instance asks to be listed under the identity of its data folder.
    Join {
        /// Address at which it accepts messages of other instances.
        address: SocketAddr,
    },
    /// Replies to [`Body::Join`] where the sender does not lead and knows who does: names the leader, which can
    /// list the instance.
    Referral {
        /// Name of the leader.
        leader: id::Node,
        /// Address at which it accepts messages of other instances.
        address: SocketAddr,
    },
    /// A leader that steps down asks the receiver to start an election at once.
    #[serde(rename = "Transfer")]
    TimeoutNow,
}

impl Body {
    /// Returns the reply of a follower whose records are synced.
    #[must_use]
    pub fn appended(round: Round, log_match: LogMatch) -> Self {
        Self::Appended {
            round,
            log_match,
            heard_only: false,
        }
    }
}

/// A candidate's request for a vote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which asks only whether a vote would be granted.
    pub pre: bool,
    /// Whether the leader stepped down in favour of the candidate, so that receivers grant
    /// the vote though they heard from a leader within the election timeout.
    pub transfer: bool,
    /// Index of the candidate's last entry.
    pub last_index: id::Index,
    /// Term of the candidate's last entry.
    pub last_term: id::Term,
}

/// A leader's heartbeat and entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// Index of the entry before the first of `entries`.
    pub prev_index: id::Index,
    /// Term of the entry at `prev_index`.
    pub prev_term: id::Term,
    /// Entries to append; empty in a plain heartbeat.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: id::Index,
    /// Number of the heartbeat.
    pub round: Round,
    /// Voters that the leader has not heard for a time. A successor goes on counting from there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silences: Vec<Silence>,
}

/// A voter that does not answer its leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Silence {
    /// Name of the voter.
    pub node: id::Node,
    /// Time since the leader sent the newest heartbeat that the voter answered or reported as heard, in
    /// milliseconds.
    pub age_ms: u64,
}

/// Whether a follower's log matches the leader's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogMatch {
    /// The logs are the same up to this index, and the follower has synced the entries.
    Matched(id::Index),
    /// The logs differ; the leader should send the entries after this index.
    #[serde(rename = "Missing")]
    Mismatch(id::Index),
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// Last index that the snapshot covers.
    pub index: id::Index,
    /// Term of the entry at `index`.
    pub term: id::Term,
    /// Member list in force at `index`.
    pub members: Vec<Member>,
    /// Offset of `data` in the encoded state, in bytes.
    pub offset: u64,
    /// Size of the encoded state, in bytes.
    pub total: u64,
    /// Bytes of the encoded state.
    pub data: Vec<u8>,
    /// Number of the heartbeat.
    pub round: Round,
}
