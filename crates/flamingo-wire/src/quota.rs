//! Messages by which entries keep the quotas of workspaces together with the leader.
//!
//! What is sent for each workspace is written as a row, without the names of its fields: these were
//! more than half of a question.

use crate::id;
use serde::{Deserialize, Serialize, Serializer};

/// A number that is written in as few bytes as hold it: units are mostly whole.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(transparent)]
struct Short(f64);

impl Serialize for Short {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the result is used only if it is the same number"
    )]
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (whole, short) = (self.0 as u32, self.0 as f32);
        if f64::from(whole).to_bits() == self.0.to_bits() {
            serializer.serialize_u32(whole)
        } else if f64::from(short).to_bits() == self.0.to_bits() {
            serializer.serialize_f32(short)
        } else {
            serializer.serialize_f64(self.0)
        }
    }
}

/// Rounds units down to what is written in few bytes: whole units, sixteenths of numbers below 100, or
/// 4,096ths below 1: a rate of a request in some seconds must not become 0.
///
/// ```
/// use flamingo_wire::quota::round_down;
///
/// assert_eq!(round_down(2_500.7), 2_500.0);
/// assert_eq!(round_down(2.7), 2.6875);
/// assert_eq!(round_down(0.015_7), 0.015_625);
/// ```
#[must_use]
pub fn round_down(units: f64) -> f64 {
    let parts = match units {
        units if units < 1.0 => 4_096.0,
        units if units < 100.0 => 16.0,
        _ => 1.0,
    };
    (units * parts).floor() / parts
}

/// What an entry holds and wants. Each question is a snapshot, so that a lost one changes nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "QuestionRow", into = "QuestionRow")]
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
#[serde(from = "(Short, bool)", into = "(Short, bool)")]
pub struct Want {
    /// Cost of the request, in units.
    pub units: f64,
    /// Whether its caller comes back after a rejection.
    pub returning: bool,
}

/// The leader's answer to a question.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(
    from = "(id::Sequence, Vec<Grant>)",
    into = "(id::Sequence, Vec<Grant>)"
)]
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

/// The fields of [`Question`] in their order.
type QuestionRow = (id::Incarnation, id::Sequence, id::Sequence, Vec<Use>);

impl From<QuestionRow> for Question {
    fn from((incarnation, sequence, heard, uses): QuestionRow) -> Self {
        Self {
            incarnation,
            sequence,
            heard,
            uses,
        }
    }
}

impl From<Question> for QuestionRow {
    fn from(question: Question) -> Self {
        let Question {
            incarnation,
            sequence,
            heard,
            uses,
        } = question;
        (incarnation, sequence, heard, uses)
    }
}

impl From<(id::Sequence, Vec<Grant>)> for Answer {
    fn from((sequence, grants): (id::Sequence, Vec<Grant>)) -> Self {
        Self { sequence, grants }
    }
}

impl From<Answer> for (id::Sequence, Vec<Grant>) {
    fn from(answer: Answer) -> Self {
        (answer.sequence, answer.grants)
    }
}

/// The fields of [`Use`] in their order.
type UseRow = (
    id::Workspace,
    Short,
    Short,
    Short,
    Short,
    Short,
    Short,
    u64,
    Vec<Want>,
);

impl From<UseRow> for Use {
    fn from(row: UseRow) -> Self {
        let (workspace, held, returned, rate, mean, ahead, share, share_ms, wants) = row;
        Self {
            workspace,
            held: held.0,
            returned: returned.0,
            rate: rate.0,
            mean: mean.0,
            ahead: ahead.0,
            share: share.0,
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
            workspace,
            Short(held),
            Short(returned),
            Short(rate),
            Short(mean),
            Short(ahead),
            Short(share),
            share_ms,
            wants,
        )
    }
}

impl From<(Short, bool)> for Want {
    fn from((units, returning): (Short, bool)) -> Self {
        Self {
            units: units.0,
            returning,
        }
    }
}

impl From<Want> for (Short, bool) {
    fn from(want: Want) -> Self {
        (Short(want.units), want.returning)
    }
}

/// The fields of [`Grant`] in their order.
type GrantRow = (id::Workspace, Short, bool, Short, Short, Vec<Decision>);

impl From<GrantRow> for Grant {
    fn from(row: GrantRow) -> Self {
        let (workspace, credit, renewed, share, per_s, decisions) = row;
        Self {
            workspace,
            credit: credit.0,
            renewed,
            share: share.0,
            per_s: per_s.0,
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
        (
            workspace,
            Short(credit),
            renewed,
            Short(share),
            Short(per_s),
            decisions,
        )
    }
}
