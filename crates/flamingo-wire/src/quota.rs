//! Messages by which entries keep the quotas of workspaces together with the leader.
//!
//! What is sent for each workspace is written as a row, without the names of its fields: these were
//! more than half of a question.

use crate::id;
use serde::{Deserialize, Serialize};

/// What an entry holds and wants. Each question is a snapshot, so that a lost one changes nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Question {
    /// The entry's incarnation: credit of an earlier one is not known to this one.
    pub incarnation: id::Incarnation,
    /// Number of the question; an incarnation has one question in flight.
    pub sequence: id::Sequence,
    /// The question whose answer was received last; 0 where none was.
    pub heard: id::Sequence,
    /// The workspaces that the question is about.
    pub uses: Vec<Use>,
}

/// What an entry holds and wants for one workspace.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "UseRow", into = "UseRow")]
pub struct Use {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Credit that the entry keeps, in units.
    pub held: f64,
    /// Credit that the entry gives back, in units.
    pub returned: f64,
    /// Recent use, in units a second.
    pub rate: f64,
    /// Mean cost of recent requests, in units.
    pub mean: f64,
    /// Credit that is wanted ahead of use, in units.
    pub ahead: f64,
    /// Share that the entry holds, in units a second.
    pub share: f64,
    /// Time for which the entry holds the share, in milliseconds.
    pub share_ms: u64,
    /// Requests that wait for the answer, in the order in which they came.
    pub wants: Vec<Want>,
}

/// A request that lacks credit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(f64, bool)", into = "(f64, bool)")]
pub struct Want {
    /// Cost of the request, in units.
    pub units: f64,
    /// Whether its caller comes back after a rejection.
    pub returning: bool,
}

/// The leader's answer to a question.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// Number of the question.
    pub sequence: id::Sequence,
    /// What the entry gets; workspaces without a quota are left out.
    pub grants: Vec<Grant>,
}

/// What an entry gets for one workspace.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "GrantRow", into = "GrantRow")]
pub struct Grant {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Credit ahead of use, in units.
    pub credit: f64,
    /// Whether the credit that the entry holds expires as late as this one.
    pub renewed: bool,
    /// Share of the rate, in units a second.
    pub share: f64,
    /// Rate of the whole workspace from which the share was taken, in units a second.
    pub per_s: f64,
    /// Decisions on the requests that wait, in their order.
    pub decisions: Vec<Decision>,
}

/// Whether a request is within the quota.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// It is.
    Admitted,
    /// It will be after this time, in milliseconds.
    Wait(u64),
    /// It never is: it costs far more than the burst.
    TooLarge,
}

/// The fields of [`Use`] in their order.
type UseRow = (id::Workspace, f64, f64, f64, f64, f64, f64, u64, Vec<Want>);

impl From<UseRow> for Use {
    fn from(row: UseRow) -> Self {
        let (workspace, held, returned, rate, mean, ahead, share, share_ms, wants) = row;
        Self {
            workspace,
            held,
            returned,
            rate,
            mean,
            ahead,
            share,
            share_ms,
            wants,
        }
    }
}

impl From<Use> for UseRow {
    fn from(record: Use) -> Self {
        let Use {
            workspace,
            held,
            returned,
            rate,
            mean,
            ahead,
            share,
            share_ms,
            wants,
        } = record;
        (
            workspace, held, returned, rate, mean, ahead, share, share_ms, wants,
        )
    }
}

impl From<(f64, bool)> for Want {
    fn from((units, returning): (f64, bool)) -> Self {
        Self { units, returning }
    }
}

impl From<Want> for (f64, bool) {
    fn from(want: Want) -> Self {
        (want.units, want.returning)
    }
}

/// The fields of [`Grant`] in their order.
type GrantRow = (id::Workspace, f64, bool, f64, f64, Vec<Decision>);

impl From<GrantRow> for Grant {
    fn from(row: GrantRow) -> Self {
        let (workspace, credit, renewed, share, per_s, decisions) = row;
        Self {
            workspace,
            credit,
            renewed,
            share,
            per_s,
            decisions,
        }
    }
}

impl From<Grant> for GrantRow {
    fn from(record: Grant) -> Self {
        let Grant {
            workspace,
            credit,
            renewed,
            share,
            per_s,
            decisions,
        } = record;
        (workspace, credit, renewed, share, per_s, decisions)
    }
}
