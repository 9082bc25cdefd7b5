//! Holds requests of a workspace within its quota.

use super::job::{AttemptError, Job};
use super::{Proxy, RETRY_AFTER_MIN};
use crate::body::Body;
use crate::limit::Limit;
use crate::topology::Routes;
use crate::wire::{Cause, Refusal, RequestHead};
use flamingo_daemon::clock;
use flamingo_guard::quota::account::{Refusal as Denial, Source, Ticket};
use flamingo_guard::quota::{cost, limits};
use flamingo_wire::quota::Want;
use flamingo_wire::route::Route;
use flamingo_wire::workspace::{Quota, Workspace};
use http::Response;
use slog::info;
use std::time::Duration;

/// Shortest time that a caller has spent on earlier tries from which on it counts as one that comes
/// back after a rejection. Less is a difference between callers and networks.
const RETURNING_MIN: Duration = Duration::from_millis(20);
/// Unit of the time after which callers are told to retry: it is written with two decimals.
const RETRY_AFTER_UNIT_MS: u128 = 10;

/// A request whose cost is given back if its caller leaves before anything was sent.
pub(super) struct Refund<'a> {
    pub proxy: &'a Proxy,
    pub job: &'a Job,
}

impl Drop for Refund<'_> {
    fn drop(&mut self) {
        if self.job.sent.get() == 0 {
            self.proxy.give_back_quota(self.job);
        }
    }
}

impl Proxy {
    /// Takes the cost of a request from the quota of its workspace, if there is one. Returns the
    /// refusal of a request that is over the quota.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that may not be sent.
    pub(super) async fn take_quota(
        &self,
        workspace: Option<&Workspace>,
        route: &Route,
        request: &RequestHead,
        earlier_wait: Duration,
    ) -> Result<Option<Ticket>, Response<Body>> {
        let Some(workspace) = workspace else {
            return Ok(None);
        };
        let Some(quota) = workspace.quota.filter(limits) else {
            return Ok(None);
        };
        let name = &workspace.name;
        let want = Want {
            units: units(&quota, request),
            returning: earlier_wait >= RETURNING_MIN,
        };
        match self.quotas.take(name, quota, want).await {
            Ok(ticket) => {
                self.metrics
                    .workspaces()
                    .record_quota(name, "admitted", Some(want.units));
                Ok(Some(ticket))
            }
            Err(denial) => Err(self.refuse_over_quota(name, want.units, denial, route, request)),
        }
    }

    /// Takes the cost anew of a request that has waited for too long since it was admitted, such as for
    /// its model: it would count in a window whose quota others have used.
    pub(super) async fn renew_quota(&self, job: &Job) -> Result<(), AttemptError> {
        let now = clock::now();
        let outdated = job.ticket.borrow().clone();
        let Some(outdated) = outdated.filter(|ticket| now >= ticket.until) else {
            return Ok(());
        };
        if job.may_have_run.get() {
            return Ok(());
        }
        let Some(quota) = find_quota(&job.routes, &outdated.workspace) else {
            return Ok(());
        };
        let want = Want {
            units: outdated.units,
            returning: true,
        };
        let taken = self.quotas.take(&outdated.workspace, quota, want).await;
        let denial = match taken {
            Ok(ticket) => {
                job.ticket.replace(Some(ticket));
                return Ok(());
            }
            Err(denial) => denial,
        };
        let name = &outdated.workspace;
        let refusal = self.record_denial(name, want.units, denial, &job.request);
        Err(AttemptError::NoAlternative(refusal.cause))
    }

    /// Gives back what a request has taken of its quota, as it was not sent.
    pub(super) fn give_back_quota(&self, job: &Job) {
        if let Some(ticket) = job.ticket.take() {
            self.quotas.give_back(&ticket);
        }
    }

    /// Logs and counts a request that is not within its quota, and returns the refusal.
    fn refuse_over_quota(
        &self,
        workspace: &str,
        units: f64,
        denial: Denial,
        route: &Route,
        request: &RequestHead,
    ) -> Response<Body> {
        let refusal = self.record_denial(workspace, units, denial, request);
        self.metrics
            .record_outcome(&route.name, refusal.cause.into());
        self.record_refusal(request, refusal.cause, Limit::of(refusal.cause));
        self.refuse(refusal, Some(request))
    }

    /// Logs and counts a request that is not within its quota.
    fn record_denial(
        &self,
        workspace: &str,
        units: f64,
        denial: Denial,
        request: &RequestHead,
    ) -> Refusal {
        let (cause, retry_after, source) = match denial {
            Denial::Over(delay, source) => (Cause::OverQuota, Some(round_up(delay)), Some(source)),
            Denial::TooLarge => (Cause::OverQuota, None, Some(Source::Leader)),
            Denial::Unknown => {
                let retry_after = RETRY_AFTER_MIN + self.retry_spread(request);
                (Cause::QuotaUnknown, Some(retry_after), None)
            }
        };
        let name: &str = cause.into();
        let source: Option<&str> = source.map(Into::into);
        info!(self.log, "not within the quota"; "request" => &request.attempt_id,
            "workspace" => workspace, "limit" => Limit::name(cause), "version" => request.configuration,
            "cause" => name, "cost" => units.round(),
            "wait_ms" => retry_after.map(|wait| wait.as_millis()), "source" => source);
        self.metrics
            .workspaces()
            .record_quota(workspace, name, None);
        Refusal { cause, retry_after }
    }
}

/// Returns the quota of a workspace; `None` if it has none.
fn find_quota(routes: &Routes, workspace: &str) -> Option<Quota> {
    let mut workspaces = routes.set.workspaces.as_ref()?.iter();
    let found = workspaces.find(|known| known.name == workspace)?;
    found.quota.filter(limits)
}

/// Returns the cost of a request in units of its quota.
fn units(quota: &Quota, request: &RequestHead) -> f64 {
    let tokens = request
        .prompt_tokens
        .saturating_add(request.max_output_tokens);
    cost(quota, request.model.is_some(), tokens)
}

/// Rounds a time up to what a caller can be told, so that it does not come back too early.
fn round_up(time: Duration) -> Duration {
    let units = time.as_millis().div_ceil(RETRY_AFTER_UNIT_MS) * RETRY_AFTER_UNIT_MS;
    Duration::from_millis(u64::try_from(units).unwrap_or(u64::MAX))
}
