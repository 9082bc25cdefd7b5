//! Counts the requests of workspaces.

use crate::limit::Limit;
use crate::wire::Cause;
use flamingo_daemon::labels::Labels;
use flamingo_daemon::metrics::Registry;
use flamingo_guard::authentication::Decision;
use prometheus::IntCounterVec;
use strum::{EnumIter, IntoStaticStr};

/// Label of callers without a workspace.
const NO_WORKSPACE: &str = "(none)";

/// What became of a request of a workspace.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It came with a key of the workspace. Each request counts here; one that ends otherwise than below,
    /// such as by a caller who leaves, has no further outcome.
    Received,
    /// A target answered it.
    Served,
    /// The workspace had used up its quota.
    OverQuota,
    /// There was no room for it, or not within the share of the workspace.
    NoRoom,
}

impl Outcome {
    /// Returns how a request ended that was refused for `cause`, with the limit that decided; `None` for
    /// other ends.
    ///
    /// ```
    /// use flamingo_serve::limit::Limit;
    /// use flamingo_serve::metrics::Outcome;
    /// use flamingo_serve::wire::Cause;
    ///
    /// let outcome = Outcome::of_refusal(Cause::Paused, Some(Limit::Room));
    /// assert_eq!(outcome, Some(Outcome::NoRoom));
    /// assert_eq!(Outcome::of_refusal(Cause::QuotaUnknown, Some(Limit::Quota)), None);
    /// ```
    #[must_use]
    pub fn of_refusal(cause: Cause, limit: Option<Limit>) -> Option<Self> {
        match (cause, limit) {
            (Cause::OverQuota, _) => Some(Self::OverQuota),
            (_, Some(Limit::Room | Limit::Share)) => Some(Self::NoRoom),
            _ => None,
        }
    }
}

/// Requests by workspace: what became of them, the decisions on their keys, and what they take of
/// quotas.
#[derive(Clone, Debug)]
pub struct WorkspaceCounters {
    /// Requests by workspace and what became of them.
    requests: IntCounterVec,
    /// Requests by workspace and the decision on their key.
    authentications: IntCounterVec,
    /// Requests of workspaces with a quota, by workspace and outcome.
    quota_requests: IntCounterVec,
    /// Cost of the requests that a quota admitted, by workspace.
    quota_units: IntCounterVec,
    /// Requests that the share of their workspace refused, by workspace and by whether they were beyond
    /// the share or within it.
    share_refusals: IntCounterVec,
    /// Workspaces that have a time series of their own.
    names: Labels,
}

impl WorkspaceCounters {
    /// Adds the counters to a registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry has a metric of one of the names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            requests: registry.counters(
                "flamingo_workspace_requests_total",
                "Requests of workspaces that were received, and how they ended.",
                &["workspace", "outcome"],
            )?,
            authentications: registry.counters(
                "flamingo_authentications_total",
                "Requests by workspace and the decision on their key.",
                &["workspace", "decision"],
            )?,
            quota_requests: registry.counters(
                "flamingo_quota_requests_total",
                "Requests of workspaces with a quota, by workspace and outcome.",
                &["workspace", "outcome"],
            )?,
            quota_units: registry.counters(
                "flamingo_quota_units_total",
                "Units that requests have taken of quotas, by workspace.",
                &["workspace"],
            )?,
            share_refusals: registry.counters(
                "flamingo_share_refusals_total",
                "Requests refused since their workspace is above its share of what is short.",
                &["workspace", "standing"],
            )?,
            names: Labels::default(),
        })
    }

    /// Counts what became of a request of `workspace`; those without a workspace are not counted.
    pub fn record(&self, workspace: Option<&str>, outcome: Outcome) {
        let Some(workspace) = workspace else {
            return;
        };
        let (label, outcome) = (self.names.label(workspace), outcome.into());
        self.requests.with_label_values(&[&*label, outcome]).inc();
    }

    /// Counts a decision on the key of a request of `workspace`.
    pub fn record_authentication(&self, workspace: Option<&str>, decision: Decision<'_>) {
        let label = workspace.map(|name| self.names.label(name));
        let decision: &str = decision.into();
        let labels = [label.as_deref().unwrap_or(NO_WORKSPACE), decision];
        self.authentications.with_label_values(&labels).inc();
    }

    /// Counts a request of a workspace with a quota, and its cost if it was admitted.
    pub fn record_quota(&self, workspace: &str, outcome: &str, units: Option<f64>) {
        let label = &*self.names.label(workspace);
        let requests = self.quota_requests.with_label_values(&[label, outcome]);
        requests.inc();
        if let Some(units) = units {
            // A float is cast to the nearest integer; a cost is neither negative nor larger than that.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let units = units.round() as u64;
            self.quota_units.with_label_values(&[label]).inc_by(units);
        }
    }

    /// Counts a request that was refused since its workspace is above its share.
    pub fn record_share(&self, workspace: &str, standing: &str) {
        let label = (!workspace.is_empty()).then(|| self.names.label(workspace));
        let labels = [label.as_deref().unwrap_or(NO_WORKSPACE), standing];
        self.share_refusals.with_label_values(&labels).inc();
    }
}
