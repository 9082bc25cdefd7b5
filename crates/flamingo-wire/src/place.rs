//! Orders to engines and how they ended.

use crate::announce::Resident;
use crate::id;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The action that an order asks of an engine.
#[derive(Clone, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load a model copy.
    Load(Resident),
    /// Unload a model copy.
    Unload(Resident),
}

/// An order, committed as an intent before it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Identity of the order; it is never reused.
    pub id: id::Order,
    /// Fencing number of the leader that gave the order.
    pub fence: id::Fence,
    /// The engine.
    pub target: id::Target,
    /// Incarnation of the engine that the order is meant for.
    pub incarnation: id::Incarnation,
    /// The action.
    pub action: Action,
    /// Memory that the order commits (load) or will free (unload), in mebibytes.
    pub memory: id::Mebibytes,
    /// Reason for the order, in one line for operators.
    pub reason: String,
}

/// How an order ended at the engine.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The engine carried out the order.
    Done,
    /// The engine refused the order or failed to carry it out; its memory is unchanged.
    Failed,
}

/// An engine's report that an order has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The order.
    pub order: id::Order,
    /// How the order ended.
    pub outcome: Outcome,
}

/// Version of a target's report, which orders the reports of one target.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ReportVersion {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Sequence number of the announcement.
    pub sequence: id::Sequence,
}

/// A committed record that an order has ended, with the report that proves it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settlement {
    /// The engine.
    pub target: id::Target,
    /// The order and how it ended.
    pub end: Completion,
    /// Version of the report that shows the end. An older report of this target is no evidence of
    /// its memory.
    #[serde(rename = "mark")]
    pub report_version: ReportVersion,
}
