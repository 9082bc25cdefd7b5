//! Gossip messages between the entries of one availability zone.
//!
//! They carry SWIM membership updates, announcements of targets, anti-entropy digests and
//! summaries of other zones.

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
    /// Accepts callers' requests.
    Entry,
    /// Keeps durable state and gives orders to engines.
    Control,
}

/// A process of this system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Name of the process.
    pub node: id::Node,
    /// Role of the process.
    pub role: Role,
    /// Availability zone of the process.
    pub zone: id::Zone,
    /// Address on which the process accepts the inner protocol.
    pub address: SocketAddr,
    /// Incarnation; it grows with each start and with each refutation of a suspicion.
    pub incarnation: id::Incarnation,
    /// Version of the configuration that the process has in force.
    pub version: id::Version,
}

/// SWIM state of a member, as another member sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// The member answers.
    Alive,
    /// The member did not answer. It is declared dead unless it refutes this before a deadline.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced a planned stop.
    Left,
}

/// A SWIM membership update.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The member that this update is about.
    pub peer: Peer,
    /// State of the member, as the sender sees it.
    #[serde(rename = "belief")]
    pub liveness: Liveness,
}

/// An announcement of a target with its age.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The announcement.
    pub announcement: Announcement,
    /// Time since the target made the announcement, in milliseconds.
    pub age: u32,
}

/// A newer load of a target whose other state is unchanged.
///
/// It is serialized as an array without field names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct LoadUpdate {
    /// Checksum of the announcement without its sequence and load. It identifies both the
    /// target and the state that the receiver must already know.
    pub state_checksum: u32,
    /// Sequence of the announcement that gave the load.
    pub sequence: id::Sequence,
    /// Time since the target made the announcement, in tenths of a second.
    pub age: u8,
    /// The load of the target.
    pub load: Load,
}

/// Serialized form of [`LoadUpdate`]: state checksum, sequence, age, running, waiting, cache, rate.
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

/// Anti-entropy digest of one bucket of targets.
///
/// Targets are divided into buckets by name, so that two processes find out which part of
/// their knowledge differs. It is serialized as an array without field names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, Vec<u8>)", into = "(u32, Vec<u8>)")]
pub struct Digest {
    /// Combined checksum of the state checksums of the targets in the bucket.
    pub checksum: u32,
    /// Low bits of the sequence of each target, in the order of the state checksums.
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

/// Version of a target's state that the sender knows, to repair differences.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetVersion {
    /// The target.
    pub target: id::Target,
    /// Checksum of the announcement without its sequence and load.
    #[serde(rename = "tag")]
    pub state_checksum: u32,
    /// Incarnation of the newest announcement that the sender knows.
    pub incarnation: id::Incarnation,
    /// Sequence of the newest announcement that the sender knows.
    pub sequence: id::Sequence,
}

/// Summary of one availability zone for the entries of other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: id::Zone,
    /// Time of sending by the sender's clock, in milliseconds since the Unix epoch. The newest
    /// summary of a zone replaces older ones.
    #[serde(rename = "stamp")]
    pub sent_at_ms: u64,
    /// Number of live entries.
    pub entries: u32,
    /// Number of targets that accept new requests.
    pub targets: u32,
    /// Number of requests that run on the zone's targets.
    pub running: u32,
    /// Newest version of the configuration in force in the zone.
    pub version: id::Version,
    /// Some live entries of the zone that other zones can contact.
    pub contacts: Vec<Peer>,
}

/// A gossip message. The answer to a message has the same type.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Membership updates. The first update must be about the sender itself.
    #[serde(rename = "rumours")]
    pub updates: Vec<Update>,
    /// The newest announcements of targets that the sender knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<Observation>,
    /// Newer loads of targets whose other state is unchanged.
    #[serde(rename = "lines", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadUpdate>,
    /// Checksum of the live members that the sender knows.
    #[serde(default)]
    pub members: u32,
    /// Digests of the targets that the sender knows, one for each bucket. Empty where the sender
    /// does not ask for newer state.
    #[serde(rename = "buckets", default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<Digest>,
    /// Versions of some targets that the sender knows, from buckets whose checksums differ.
    #[serde(rename = "marks", default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<TargetVersion>,
    /// Targets whose announcements the sender requests.
    #[serde(rename = "wants", default, skip_serializing_if = "Vec::is_empty")]
    pub requested: Vec<id::Target>,
    /// Indirect probe: a member that did not answer the sender and that the receiver should
    /// contact.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe: Option<id::Node>,
    /// Result of an indirect probe: a member that the sender reached for the receiver.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reached: Option<id::Node>,
    /// Summaries of other availability zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
    /// Requests the configuration, if the receiver has one newer than this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch: Option<id::Version>,
    /// The requested configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<Box<Snapshot>>,
}
