//! Messages by which scarce capacity is shared between workspaces.
//!
//! Both records are written as rows, without the names of their fields, since they are sent several
//! times a second.

use crate::id;
use crate::route::Rank;
use serde::{Deserialize, Serialize};

/// Work of one workspace at an entry since the entry's last report, in milliseconds of an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "UseRow", into = "UseRow")]
pub struct Use {
    /// The workspace; empty for callers without one.
    pub workspace: id::Workspace,
    /// Rank of the requests.
    pub rank: Rank,
    /// The service.
    pub service: id::Service,
    /// The model; `None` at a plain service.
    pub model: Option<id::Model>,
    /// Work that was let in.
    pub admitted: u32,
    /// Work that was rejected for lack of room or by a limit.
    pub refused: u32,
    /// Work that had to join a long queue, or that targets turned away; it may have been let in before an
    /// earlier report.
    pub pressed: u32,
    /// Work that targets have begun to answer; requests of earlier reports are among it.
    pub begun: u32,
}

/// A workspace that is above its fair share of a capacity that is short.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LimitRow", into = "LimitRow")]
pub struct Limit {
    /// The workspace; empty for callers without one.
    pub workspace: id::Workspace,
    /// Rank of the requests.
    pub rank: Rank,
    /// The service.
    pub service: id::Service,
    /// The model; `None` for all requests to the service.
    pub model: Option<id::Model>,
    /// Part of the workspace's work that is within its share, in thousandths.
    pub permille: u16,
}

/// The fields of [`Use`] in their order.
type UseRow = (
    id::Workspace,
    Rank,
    id::Service,
    Option<id::Model>,
    u32,
    u32,
    u32,
    u32,
);

impl From<UseRow> for Use {
    fn from(row: UseRow) -> Self {
        let (workspace, rank, service, model, admitted, refused, pressed, begun) = row;
        Self {
            workspace,
            rank,
            service,
            model,
            admitted,
            refused,
            pressed,
            begun,
        }
    }
}

impl From<Use> for UseRow {
    fn from(record: Use) -> Self {
        (
            record.workspace,
            record.rank,
            record.service,
            record.model,
            record.admitted,
            record.refused,
            record.pressed,
            record.begun,
        )
    }
}

/// The fields of [`Limit`] in their order.
type LimitRow = (id::Workspace, Rank, id::Service, Option<id::Model>, u16);

impl From<LimitRow> for Limit {
    fn from((workspace, rank, service, model, permille): LimitRow) -> Self {
        Self {
            workspace,
            rank,
            service,
            model,
            permille,
        }
    }
}

impl From<Limit> for LimitRow {
    fn from(record: Limit) -> Self {
        (
            record.workspace,
            record.rank,
            record.service,
            record.model,
            record.permille,
        )
    }
}
