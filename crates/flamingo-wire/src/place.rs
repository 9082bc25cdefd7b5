//! Orders to engines and how they ended.

use crate::announce::Resident;
use crate::id;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What an order asks of an engine.
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
    /// Identity; never used twice.
    pub id: id::Order,
    /// Fencing number of the leader that gave it.
    pub fence: id::Fence,
    /// The engine.
    pub target: id::Target,
    /// Incarnation of the engine that it is meant for.
    pub incarnation: id::Incarnation,
    /// What to do.
    pub action: Action,
    /// Memory that it commits (load) or will free (unload), in mebibytes.
    pub memory: id::Mebibytes,
    /// Why, in one line for operators.
    pub reason: String,
}

/// How an order ended at the engine.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Carried out.
    Done,
    /// Refused or failed; the engine's memory is as before.
    Failed,
}

/// An engine's own word that an order has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The order.
    pub order: id::Order,
    /// How it ended.
    pub outcome: Outcome,
}

/// Place of a report in the order of one target's reports.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ReportVersion {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Sequence number of the announcement.
    pub sequence: id::Sequence,
}

/// A committed record that an order has ended, with the report that showed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settlement {
    /// The engine.
    pub target: id::Target,
    /// The order and how it ended.
    pub end: Completion,
    /// The report that showed it; an older report of this target proves nothing.
    #[serde(rename = "mark")]
    pub report_version: ReportVersion,
}
