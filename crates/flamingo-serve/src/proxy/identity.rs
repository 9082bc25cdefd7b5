//! Finds the workspace of a request, and refuses requests without a valid key.

use super::Proxy;
use super::refusal::RETRY_AFTER_MIN;
use crate::body::Body;
use crate::limit::Limit;
use crate::metrics::Outcome;
use crate::topology::Routes;
use crate::wire::{Cause, Refusal, RequestHead};
use flamingo_daemon::clock;
use flamingo_guard::authentication::{Decision, decide};
use flamingo_wire::route::Route;
use flamingo_wire::workspace::Workspace;
use http::{Response, request};
use slog::info;
use std::sync::Arc;

impl Proxy {
    /// Returns the workspace that the key of a request belongs to, removes the key from its head, and
    /// gives the route the rank of the workspace.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted.
    pub(super) fn authenticate(
        &self,
        routes: &Routes,
        route: &mut Route,
        http_head: &mut request::Parts,
        request: &mut RequestHead,
    ) -> Result<Option<Arc<Workspace>>, Cause> {
        let Some(index) = &routes.keys else {
            return Ok(None);
        };
        let is_current = self.topology.has_newest_routes(clock::now());
        let decision = decide(index, request.key.as_ref(), route.anonymous, is_current);
        let workspace = match decision {
            Decision::Allowed(workspace) => workspace.cloned(),
            Decision::Unknown | Decision::Unsure => None,
        };
        let name = workspace.as_ref().map(|workspace| workspace.name.as_str());
        self.codec.replace_identity(http_head, name);
        self.metrics
            .workspaces()
            .record_authentication(name, decision);
        self.metrics.workspaces().record(name, Outcome::Received);
        request.workspace = name.map(str::to_owned);
        let rank = workspace.as_ref().and_then(|workspace| workspace.rank);
        route.rank = rank.unwrap_or(route.rank);
        match decision {
            Decision::Allowed(_) => Ok(workspace),
            Decision::Unknown => Err(Cause::Unauthenticated),
            Decision::Unsure => Err(Cause::UnsureKey),
        }
    }

    /// Logs and counts a request that its key does not admit, and returns the refusal.
    pub(super) fn refuse_key(
        &self,
        route: &Route,
        request: &RequestHead,
        cause: Cause,
    ) -> Response<Body> {
        let name: &str = cause.into();
        info!(self.log, "not authenticated"; "request" => &request.attempt_id,
            "route" => &route.name, "workspace" => &request.workspace, "limit" => Limit::name(cause),
            "version" => request.configuration, "cause" => name, "with_key" => request.key.is_some());
        self.metrics.record_outcome(&route.name, name);
        let retry_after = RETRY_AFTER_MIN + self.retry_spread(request);
        let refusal = match cause {
            Cause::UnsureKey => Refusal::not_run(cause, retry_after),
            _ => Refusal::new(cause),
        };
        self.refuse(refusal, Some(request))
    }
}
