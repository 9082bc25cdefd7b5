//! Announcements in which targets describe themselves.

use crate::id;
use crate::place;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// The kind of a target.
#[derive(Clone, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A model engine on one accelerator.
    Engine(Engine),
    /// A replica of a plain service.
    Service(Service),
}

/// A replica of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
}

/// The state of a model engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Engine {
    /// Accelerator memory, in mebibytes.
    pub memory: id::Mebibytes,
    /// Whether the engine refuses an order with an old fencing number.
    pub fenced: bool,
    /// Models that are resident and ready.
    pub resident: Vec<Resident>,
    /// Model copies that are being loaded.
    #[serde(default)]
    pub loading: Vec<Resident>,
    /// Orders that ended recently, newest last. Placement settles its memory account with them.
    #[serde(default)]
    pub ended: Vec<place::Completion>,
}

/// A model copy in the memory of an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Resident {
    /// The model.
    pub model: id::Model,
    /// Version of the weights.
    pub version: u32,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<id::Adapter>,
}

/// Load of a target as the target itself counts it, at the time of its announcement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests queued at the target.
    pub waiting: u32,
    /// KV cache in use, in thousandths of its size.
    #[serde(default)]
    pub cache: u16,
    /// Tokens generated in the last second, over all requests.
    #[serde(default)]
    pub rate: u32,
}

/// Whether a target accepts new requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Availability {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Finishes the requests that run and accepts no new ones.
    Leaving,
}

/// An announcement of a target; targets send one about every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the target.
    pub target: id::Target,
    /// Incarnation; it grows with each start of the target.
    pub incarnation: id::Incarnation,
    /// Sequence; it grows with each announcement of one incarnation.
    pub sequence: id::Sequence,
    /// Availability zone of the target.
    pub zone: id::Zone,
    /// Address on which the target accepts requests and orders.
    pub address: SocketAddr,
    /// Whether the target accepts new requests.
    #[serde(rename = "standing", default)]
    pub availability: Availability,
    /// Load of the target.
    #[serde(default)]
    pub load: Load,
    /// Kind of the target.
    pub kind: Kind,
}

impl Announcement {
    /// Returns whether this announcement is newer than `other` of the same target.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns the state of the engine, or `None` where the target is a plain service.
    #[must_use]
    pub fn engine(&self) -> Option<&Engine> {
        match &self.kind {
            Kind::Engine(engine) => Some(engine),
            Kind::Service(_) => None,
        }
    }
}
