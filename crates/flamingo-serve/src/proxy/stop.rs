//! Requests during the shutdown of this process.
//!
//! Answers one load: callers whose connections stay with this entry while it stops. Other entries serve
//! what this one may not be able to finish.

use super::Proxy;
use super::job::Job;
use crate::body::Body;
use crate::limit::Limit;
use crate::wire::{Cause, Refusal, RequestHead};
use flamingo_wire::route::Route;
use http::Response;
use slog::info;
use std::time::{Duration, Instant};

impl Proxy {
    /// Returns whether a request may still run when this process ends. A resumable stream goes on at
    /// another entry.
    pub(super) fn may_outlast_stop(&self, route: &Route, deadline: Instant) -> bool {
        let ends_at = self.drain.ends_at();
        ends_at.is_some_and(|ends_at| deadline > ends_at) && !route.resumable
    }

    /// Logs and counts a request that this process may not be able to finish, and returns the refusal.
    pub(super) fn refuse_stopping(
        &self,
        route: &Route,
        request: &RequestHead,
        deadline: Instant,
    ) -> Response<Body> {
        let now = Instant::now();
        let left = self
            .drain
            .ends_at()
            .map(|at| at.saturating_duration_since(now));
        info!(self.log, "refused while stopping"; "request" => &request.attempt_id,
            "route" => &route.name, "workspace" => &request.workspace,
            "limit" => Limit::name(Cause::Stopping), "version" => request.configuration,
            "left_ms" => left.map(|left| left.as_millis()),
            "may_last_ms" => deadline.saturating_duration_since(now).as_millis());
        self.metrics
            .record_outcome(&route.name, Cause::Stopping.into());
        let refusal = Refusal {
            cause: Cause::Stopping,
            retry_after: Some(Duration::ZERO),
        };
        self.refuse(refusal, Some(request))
    }

    /// Gives up a request that is in flight when this process ends. What was sent may have run.
    pub(super) fn give_up_at_end(&self, job: &Job) -> Response<Body> {
        if job.sent.get() == 0 {
            return self.refuse_stopping(&job.route, &job.request, job.deadline);
        }
        job.may_have_run.set(true);
        self.give_up(job, Cause::Late)
    }
}
