//! What the entries of one availability zone tell each other.

use crate::announce::{Announcement, Load};
use crate::config::Snapshot;
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
pub enum Liveness {
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
pub struct Update {
    /// The process.
    pub peer: Peer,
    /// What the teller believes.
    #[serde(rename = "belief")]
    pub liveness: Liveness,
}

/// A target's announcement with the time since the target gave it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The announcement.
    pub announcement: Announcement,
    /// Age, in milliseconds.
    pub age: u32,
}

/// A newer load of a target whose state is otherwise unchanged.
///
/// On the wire it is an array without field names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct LoadUpdate {
    /// Checksum of everything in the announcement but sequence and load.
    pub state_checksum: u32,
    /// Sequence of the announcement.
    pub sequence: id::Sequence,
    /// Age, in tenths of a second.
    pub age: u8,
    /// The load.
    pub load: Load,
}

/// A [`LoadUpdate`] as it travels: state checksum, sequence, age, running, waiting, cache, rate.
type Packed = (u32, id::Sequence, u8, u32, u32, u16, u32);

impl From<Packed> for LoadUpdate {
    fn from((state_checksum, sequence, age, running, waiting, cache, rate): Packed) -> Self {
        let load = Load {
            running,
            waiting,
            cache,
            rate,
        };
        Self {
            state_checksum,
            sequence,
            age,
            load,
        }
    }
}

impl From<LoadUpdate> for Packed {
    fn from(update: LoadUpdate) -> Self {
        let load = update.load;
        let LoadUpdate {
            state_checksum,
            sequence,
            age,
            ..
        } = update;
        (
            state_checksum,
            sequence,
            age,
            load.running,
            load.waiting,
            load.cache,
            load.rate,
        )
    }
}

/// What a process knows of one part of the targets.
///
/// On the wire it is an array without field names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, Vec<u8>)", into = "(u32, Vec<u8>)")]
pub struct Digest {
    /// Checksum of the tags of the targets.
    pub checksum: u32,
    /// Low bits of the sequence of each target, in the order of their tags.
    pub sequence_bits: Vec<u8>,
}

impl From<(u32, Vec<u8>)> for Digest {
    fn from((checksum, sequence_bits): (u32, Vec<u8>)) -> Self {
        Self {
            checksum,
            sequence_bits,
        }
    }
}

impl From<Digest> for (u32, Vec<u8>) {
    fn from(digest: Digest) -> Self {
        (digest.checksum, digest.sequence_bits)
    }
}

/// What the teller knows of a target, for the repair of differences.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetVersion {
    /// The target.
    pub target: id::Target,
    /// Checksum of everything in the announcement but sequence and load.
    #[serde(rename = "tag")]
    pub state_checksum: u32,
    /// Incarnation known.
    pub incarnation: id::Incarnation,
    /// Sequence known.
    pub sequence: id::Sequence,
}

/// One availability zone, as its entries tell others of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: id::Zone,
    /// Milliseconds since the Unix epoch at the teller; the newest stands.
    #[serde(rename = "stamp")]
    pub sent_at_ms: u64,
    /// Live entries.
    pub entries: u32,
    /// Targets that serve.
    pub targets: u32,
    /// Requests that run on the zone's targets.
    pub running: u32,
    /// Newest configuration version in force there.
    pub version: id::Version,
    /// Some live entries to speak to.
    pub contacts: Vec<Peer>,
}

/// One gossip message; the answer to one is another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Rumours about processes; the first is the sender's word on itself.
    #[serde(rename = "rumours")]
    pub updates: Vec<Update>,
    /// Announcements of targets, newest known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<Observation>,
    /// Newer loads.
    #[serde(rename = "lines", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadUpdate>,
    /// Checksum of the live members that the sender knows.
    #[serde(default)]
    pub members: u32,
    /// What the sender knows of targets; only where it asks for what is newer.
    #[serde(rename = "buckets", default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<Digest>,
    /// Some targets that the sender knows, told where the checksums differ.
    #[serde(rename = "marks", default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<TargetVersion>,
    /// Targets whose announcements the sender asks for.
    #[serde(rename = "wants", default, skip_serializing_if = "Vec::is_empty")]
    pub requested: Vec<id::Target>,
    /// A process that did not answer the sender; the receiver is to try it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe: Option<id::Node>,
    /// A process that the sender reached on the receiver's behalf.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reached: Option<id::Node>,
    /// Other availability zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
    /// Asks for a configuration newer than this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch: Option<id::Version>,
    /// The configuration that was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<Box<Snapshot>>,
}
