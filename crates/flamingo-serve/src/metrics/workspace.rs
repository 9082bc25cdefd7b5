//! Counts the requests of workspaces.

use crate::authentication::Decision;
use flamingo_daemon::metrics::Registry;
use prometheus::IntCounterVec;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Largest number of workspaces that have a time series of their own, over all configurations since the
/// start, which bounds the size of a scrape.
const MAX_WORKSPACES: usize = 64;
/// Label of the workspaces beyond [`MAX_WORKSPACES`].
const OTHER_WORKSPACES: &str = "(other)";
/// Label of callers without a workspace.
const NO_WORKSPACE: &str = "(none)";

/// Requests by workspace: the decisions on their keys, and what they take of quotas.
#[derive(Clone, Debug)]
pub struct WorkspaceCounters {
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
    names: Rc<RefCell<BTreeSet<String>>>,
}

impl WorkspaceCounters {
    /// Adds the counters to a registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry has a metric of one of the names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
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
            names: Rc::default(),
        })
    }

    /// Counts a decision on the key of a request of `workspace`.
    pub fn record_authentication(&self, workspace: Option<&str>, decision: Decision<'_>) {
        let workspace = workspace.map_or(NO_WORKSPACE, |name| self.label(name));
        let decision: &str = decision.into();
        let labels = [workspace, decision];
        self.authentications.with_label_values(&labels).inc();
    }

    /// Counts a request of a workspace with a quota, and its cost if it was admitted.
    pub fn record_quota(&self, workspace: &str, outcome: &str, units: Option<f64>) {
        let label = self.label(workspace);
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
        let label = match workspace {
            "" => NO_WORKSPACE,
            name => self.label(name),
        };
        let labels = [label, standing];
        self.share_refusals.with_label_values(&labels).inc();
    }

    /// Returns the label of a workspace, so that new names don't add time series without bound.
    fn label<'a>(&self, name: &'a str) -> &'a str {
        let mut names = self.names.borrow_mut();
        if names.contains(name) {
            return name;
        }
        if names.len() >= MAX_WORKSPACES {
            return OTHER_WORKSPACES;
        }
        names.insert(name.to_owned());
        name
    }
}
