//! Registrations of targets with the control instances, and the load and demand of targets.

use crate::id;
use crate::prompt::Evidence;
use crate::share;
use serde::ser::{SerializeTuple, Serializer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A model that is resident on a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resident {
    /// The model.
    pub model: id::Model,
    /// Adapters of this model that are loaded on the target.
    pub adapters: Vec<id::Adapter>,
}

/// The newest state that a target registered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Name of the target.
    pub id: id::Target,
    /// Grows when control believes the target again against a registration that hid it; a higher one
    /// supersedes, whatever incarnation and sequence say.
    #[serde(default)]
    pub revision: u32,
    /// Start of the target; a registration with a higher incarnation supersedes.
    pub incarnation: id::Incarnation,
    /// Number of this message within the incarnation. A message that is delivered late has a
    /// lower number than the newest.
    pub sequence: id::Sequence,
    /// The service that the target belongs to.
    pub service: id::Service,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: id::Zone,
    /// Version of the target's software; empty where the target states none.
    #[serde(default)]
    pub software: id::Software,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is about to leave and accepts no new requests.
    pub leaving: bool,
    /// Whether the target has left.
    pub gone: bool,
    /// Models that are resident on the target.
    pub models: Vec<Resident>,
    /// Models whose weights the target caches in host memory.
    pub in_memory: Vec<id::Model>,
    /// Models whose weights the target caches on disk.
    pub on_disk: Vec<id::Model>,
}

impl Registration {
    /// Returns whether this registration is newer than `other`, of the same target.
    ///
    /// Of two registrations of one incarnation, the one that says that the target has left wins.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.revision != other.revision {
            return self.revision > other.revision;
        }
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        if other.gone {
            return false;
        }
        self.gone || self.sequence > other.sequence
    }

    /// Returns whether this registration differs from `other` in the sequence only.
    #[must_use]
    pub fn same_state(&self, other: &Self) -> bool {
        let mut same_sequence = other.clone();
        same_sequence.sequence = self.sequence;
        &same_sequence == self
    }
}

/// A model that a target is loading.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loading {
    /// The model.
    pub model: id::Model,
    /// Time until the model is expected to be resident, in milliseconds.
    pub remaining_ms: u64,
}

/// Models that are resident on a target, as the leader knows them from its orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Residency {
    /// The target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Models that are resident on the target.
    pub models: Vec<Resident>,
    /// Whether the target executes an order. It accepts no other order meanwhile.
    #[serde(rename = "moving")]
    pub executing: bool,
    /// The model that the target is loading, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loading: Option<Loading>,
}

/// Demand for one model at an entry since the entry's last report.
///
/// It is written as a row of its fields in their order, without their names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Demand {
    /// The service that serves the model.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// Predicted engine time of the requests, in milliseconds.
    pub work_ms: f64,
    /// Number of requests that arrived.
    pub requests: u32,
    /// Number of requests that were rejected because no target had the model resident or had
    /// capacity for it.
    pub refused: u32,
    /// Number of those of `requests` whose callers have waited before, so that they may come back after
    /// a rejection.
    #[serde(default)]
    pub returned: u32,
}

impl Serialize for Demand {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut row = serializer.serialize_tuple(6)?;
        row.serialize_element(&self.service)?;
        row.serialize_element(&self.model)?;
        row.serialize_element(&self.work_ms)?;
        row.serialize_element(&self.requests)?;
        row.serialize_element(&self.refused)?;
        row.serialize_element(&self.returned)?;
        row.end()
    }
}

/// What streams of one software version need of one model, at an entry since the entry's last report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Need {
    /// The service that serves the model.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// The version of the targets' software at which the streams began.
    pub software: id::Software,
    /// Number of streams that began.
    pub begun: u32,
    /// Number of times that a stream could not go on, because no target of the version has the model.
    pub stranded: u32,
}

/// Number of ranks that are counted separately; less urgent ranks count as the last one.
pub const RANKS: usize = 4;

/// Prompt tokens that wait for prefill, by rank.
pub type Backlog = [u32; RANKS];

/// The requests that one incarnation of a target takes from all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Requests a second.
    pub per_s: f64,
}

/// Load of one target by requests of one or more entries.
///
/// It is written as a row of its fields in their order, without their names, since many are sent
/// several times a second: 21 instead of 53 bytes for a target with a name of ten characters. The limit
/// is left out where there is none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Load {
    /// The target.
    pub target: id::Target,
    /// Number of requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of requests that have not returned their first event, by rank.
    #[serde(rename = "reading")]
    pub backlog: Backlog,
    /// Adapters that these requests use, by model.
    pub adapters: Vec<Resident>,
    /// Limit that the target named lately; known to the leader only.
    #[serde(default)]
    pub limit: Option<Limit>,
}

impl Serialize for Load {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = if self.limit.is_some() { 5 } else { 4 };
        let mut row = serializer.serialize_tuple(fields)?;
        row.serialize_element(&self.target)?;
        row.serialize_element(&self.running)?;
        row.serialize_element(&self.backlog)?;
        row.serialize_element(&self.adapters)?;
        if self.limit.is_some() {
            row.serialize_element(&self.limit)?;
        }
        row.end()
    }
}

/// Sums loads by target. The sums do not list adapters in use.
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

/// Demand and load that one entry reports to the leader a few times a second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Demand since the last report, by model.
    pub demand: Vec<Demand>,
    /// Load of targets by requests of this entry.
    pub loads: Vec<Load>,
    /// What this entry has seen of prompt parts.
    #[serde(default)]
    pub evidence: Evidence,
    /// What streams need of models at the versions at which they began, since the last report.
    #[serde(default)]
    pub needs: Vec<Need>,
    /// Work of workspaces since the last report; empty where requests need no key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<share::Use>,
    /// Whether this entry wants to be told the newest routes with the acknowledgement. A leader that surely
    /// knows them answers such a report with [`Reply::NewestRoutes`](crate::control::Reply::NewestRoutes).
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub asks_routes: bool,
}
