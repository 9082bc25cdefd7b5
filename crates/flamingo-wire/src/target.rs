//! Targets that register with control instances, as these tell it to entries.

use crate::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A model that a target holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resident {
    /// The model.
    pub model: id::Model,
    /// Its adapters that the target holds.
    pub adapters: Vec<id::Adapter>,
}

/// What a target said of itself last.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Its name.
    pub id: id::Target,
    /// When it started; a later start of the same name supersedes.
    pub incarnation: id::Incarnation,
    /// Number of the word of this incarnation; a late one has a lower number.
    pub sequence: id::Sequence,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to go: it takes no new request.
    pub leaving: bool,
    /// Whether it has gone.
    pub gone: bool,
    /// Models that it holds.
    pub models: Vec<Resident>,
    /// Models of which its host memory keeps a copy.
    pub in_memory: Vec<id::Model>,
    /// Models of which its disk keeps a copy.
    pub on_disk: Vec<id::Model>,
}

impl Registration {
    /// Returns whether this word is newer than `other`, of the same target.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        if other.gone {
            return false;
        }
        self.gone || self.sequence > other.sequence
    }

    /// Returns whether only the sequence differs from `other`.
    #[must_use]
    pub fn same_state(&self, other: &Self) -> bool {
        let mut like = other.clone();
        like.sequence = self.sequence;
        &like == self
    }
}

/// Models of a target as the holder of its orders knows them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Residency {
    /// The target.
    pub target: id::Target,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Models that it holds.
    pub models: Vec<Resident>,
    /// Whether it carries out an order, and takes no other meanwhile.
    #[serde(rename = "moving")]
    pub executing: bool,
}

/// Demand for one model since the last report of an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// The service.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// Time of an engine that the requests ask for, in milliseconds.
    pub work_ms: f64,
    /// Requests that arrived.
    pub requests: u32,
    /// Requests refused because no target held the model or had room for it.
    pub refused: u32,
}

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Tokens of prompts that wait to be read, by rank.
pub type Backlog = [u32; RANKS];

/// Requests at one target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The target.
    pub target: id::Target,
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Tokens of prompts of which no first event has come, by rank.
    #[serde(rename = "reading")]
    pub backlog: Backlog,
    /// Adapters that these requests use, with their models.
    pub adapters: Vec<Resident>,
}

/// Adds up loads by target; which adapters are in use is left out.
///
/// ```
/// use flamingo_wire::target::{Load, sum};
///
/// let load = |running| Load {
///     target: "t".into(),
///     running,
///     ..Load::default()
/// };
/// assert_eq!(sum(&[load(1), load(2)]), [load(3)]);
/// ```
#[must_use]
pub fn sum<'a>(loads: impl IntoIterator<Item = &'a Load>) -> Vec<Load> {
    let mut sums: BTreeMap<&str, Load> = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(&load.target).or_insert_with(|| Load {
            target: load.target.clone(),
            ..Load::default()
        });
        sum.running += load.running;
        for (sum, tokens) in sum.backlog.iter_mut().zip(load.backlog) {
            *sum += tokens;
        }
    }
    sums.into_values().collect()
}

/// What one entry tells the leader a few times a second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Demand for models.
    pub demand: Vec<Demand>,
    /// Its requests at targets.
    pub loads: Vec<Load>,
}
