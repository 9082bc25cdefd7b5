//! What targets say of themselves.

use crate::id;
use crate::place;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// What a target is.
#[derive(Clone, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A model engine on one accelerator.
    Engine(Engine),
    /// A replica of a plain service.
    Service(Service),
}

/// A plain service's replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The service that it serves.
    pub name: id::Service,
}

/// A model engine's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Engine {
    /// Accelerator memory, in mebibytes.
    pub memory: id::Mebibytes,
    /// Whether the engine refuses an order with an old fencing number.
    pub fenced: bool,
    /// Models that are resident and ready.
    pub resident: Vec<Resident>,
    /// Copies that are being loaded.
    #[serde(default)]
    pub loading: Vec<Resident>,
    /// Orders that ended lately, newest last, for the placement's account.
    #[serde(default)]
    pub ended: Vec<place::Completion>,
}

/// One model copy in an engine's memory.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Resident {
    /// The model.
    pub model: id::Model,
    /// Version of its weights.
    pub version: u32,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<id::Adapter>,
}

/// A target's own count of its work, with the lag of its report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests being worked on.
    pub running: u32,
    /// Requests queued at the target.
    pub waiting: u32,
    /// KV cache in use, in thousandths of its size.
    #[serde(default)]
    pub cache: u16,
    /// Tokens generated in the last second over all requests.
    #[serde(default)]
    pub rate: u32,
}

/// Whether a target takes new work.
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
    /// Takes new work.
    #[default]
    Serving,
    /// Is leaving: finishes what runs and takes nothing new.
    Leaving,
}

/// A target's announcement, repeated about once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The target's name.
    pub target: id::Target,
    /// Grows with each start of the target.
    pub incarnation: id::Incarnation,
    /// Grows with each announcement of one incarnation.
    pub sequence: id::Sequence,
    /// Availability zone that it stands in.
    pub zone: id::Zone,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Whether it takes new work.
    #[serde(rename = "standing", default)]
    pub availability: Availability,
    /// Its load.
    #[serde(default)]
    pub load: Load,
    /// What it is.
    pub kind: Kind,
}

impl Announcement {
    /// Returns whether this announcement is newer than `other` of the same target.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns the engine's state, if the target is an engine.
    #[must_use]
    pub fn engine(&self) -> Option<&Engine> {
        match &self.kind {
            Kind::Engine(engine) => Some(engine),
            Kind::Service(_) => None,
        }
    }
}
