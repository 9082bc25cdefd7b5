//! What the entries of one availability zone tell each other.

use crate::announce::Announcement;
use crate::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a process of this system.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    PartialEq,
    Serialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Keeps durable state and gives orders.
    Control,
}

/// A process of this system as others know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes the inner protocol.
    pub address: SocketAddr,
    /// Grows with each start, and with each refutation of a suspicion.
    pub incarnation: id::Incarnation,
    /// Configuration version that it has in force.
    pub version: id::Version,
}

/// What one process believes of another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Belief {
    /// It answers.
    Alive,
    /// It did not answer; it has until a deadline to refute this.
    Suspect,
    /// It is taken to be gone.
    Dead,
    /// It said that it leaves.
    Left,
}

/// A rumour about a process of this system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The process.
    pub peer: Peer,
    /// What the teller believes.
    pub belief: Belief,
}

/// One gossip message; the answer to one is another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Rumours about processes.
    pub rumours: Vec<Rumour>,
    /// Announcements of targets, newest known.
    pub targets: Vec<Announcement>,
}
