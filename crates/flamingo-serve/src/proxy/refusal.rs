//! Error responses that the entry sends itself.

use super::Proxy;
use super::job::Job;
use crate::body::Body;
use crate::choice::Choice;
use crate::limit::Limit;
use crate::metrics::Outcome;
use crate::outlook::Outlook;
use crate::wire::{Cause, Refusal, RequestHead};
use bytes::Bytes;
use flamingo_daemon::clock;
use flamingo_guard::share::Standing;
use flamingo_wire::route::Route;
use http::Response;
use slog::info;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Shortest time after which a refused caller is asked to retry.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);
/// Range over which the retries of refused callers are spread, in addition to `RETRY_AFTER_MIN`.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(700);

impl Proxy {
    /// Logs and counts a request that has failed for good, and returns the error response.
    pub(super) fn give_up(&self, job: &Job, cause: Cause) -> Response<Body> {
        let now = Instant::now();
        let not_run = !job.may_have_run.get();
        let cause = match cause {
            Cause::NoTarget
            | Cause::NoModel
            | Cause::NoRoom
            | Cause::OverShare
            | Cause::Paused
            | Cause::Quarantined
                if !not_run =>
            {
                Cause::Broken
            }
            other => other,
        };
        if matches!(cause, Cause::NoModel | Cause::NoRoom | Cause::OverShare) {
            self.demand.record_refusal(&job.service, &job.request);
        }
        if job.turned_away.get() && job.limit(cause) == Some(Limit::Room) {
            self.record_turned_away(job);
        }
        if job.sent.get() == 0 {
            self.give_back_quota(job);
        }
        let retry_after = not_run.then(|| self.retry_after(job, now));
        let name: &str = cause.into();
        let limit: Option<&str> = job.limit(cause).map(Into::into);
        let outlook: Option<&str> = self.outlook(job, now).map(Into::into);
        info!(self.log, "given up"; "request" => &job.request.attempt_id, "route" => &job.route.name,
            "workspace" => &job.request.workspace, "limit" => limit,
            "version" => job.request.configuration, "cause" => name, "not_run" => not_run, "sent" => job.sent.get(),
            "model" => &job.request.model, "software" => &*job.software.borrow(),
            "outlook" => outlook, "after_ms" => (now - job.arrived_at).as_millis());
        self.metrics.record_outcome(&job.route.name, name);
        self.record_refusal(&job.request, cause, job.limit(cause));
        self.refuse(Refusal { cause, retry_after }, Some(&job.request))
    }

    /// Counts a request that is refused for `cause` for its workspace, with the limit that decided.
    pub(super) fn record_refusal(&self, request: &RequestHead, cause: Cause, limit: Option<Limit>) {
        if let Some(outcome) = Outcome::of_refusal(cause, limit) {
            let workspace = request.workspace.as_deref();
            self.metrics.workspaces().record(workspace, outcome);
        }
    }

    /// Counts a request that a target has answered whole.
    pub(super) fn record_served(&self, job: &Job) {
        self.metrics.record_outcome(&job.route.name, "answered");
        let workspace = job.request.workspace.as_deref();
        self.metrics.workspaces().record(workspace, Outcome::Served);
    }

    /// Returns the time after which a refused caller should retry: not before its quarantine or that of
    /// a part of its prompt ends, the first pause where all targets have asked for one, or its model can
    /// be resident.
    fn retry_after(&self, job: &Job, now: Instant) -> Duration {
        let quarantined_until = self.quarantined_until(&job.service, &job.identities());
        let until = quarantined_until.or_else(|| match self.choose_target(job, now) {
            Choice::Paused(until) | Choice::Loading(until) => Some(until),
            Choice::NoModel => self.load_time(job).map(|load_time| now + load_time),
            Choice::QueueTooLong(delay) if self.standing(job, now) != Standing::Unlimited => {
                self.share_reopens(job, delay, now)
            }
            _ if self.outlook(job, now) == Some(Outlook::NoModel) => {
                self.load_time(job).map(|load_time| now + load_time)
            }
            _ => None,
        });
        let earliest = until.map(|until| until.saturating_duration_since(now));
        earliest.unwrap_or_default().max(RETRY_AFTER_MIN) + self.retry_spread(&job.request)
    }

    /// Returns the time by which the retry of a refused caller is put off, so that callers do not all
    /// retry at once. It depends on a hash of the request.
    pub(super) fn retry_spread(&self, request: &RequestHead) -> Duration {
        let mut hasher = DefaultHasher::new();
        request.attempt_id.hash(&mut hasher);
        self.choices.get().hash(&mut hasher);
        let permille = u32::try_from(hasher.finish() % 1_000).unwrap_or(0);
        RETRY_AFTER_SPREAD * permille / 1_000
    }

    /// Logs a request that is refused before its target is chosen and that has no other line, and returns
    /// the refusal. `route` is `None` where none was found.
    pub(super) fn refuse_early(
        &self,
        refusal: Refusal,
        route: Option<&Route>,
        request: &RequestHead,
    ) -> Response<Body> {
        let name: &str = refusal.cause.into();
        let freshness = self.topology.freshness.borrow();
        let outdated_for = freshness.outdated_for(clock::now());
        info!(self.log, "not forwarded"; "request" => &request.attempt_id,
            "route" => route.map(|route| &route.name), "workspace" => &request.workspace,
            "limit" => Limit::name(refusal.cause), "version" => request.configuration,
            "newest" => freshness.newest(), "outdated_ms" => outdated_for.map(|age| age.as_millis()),
            "cause" => name);
        self.refuse(refusal, Some(request))
    }

    /// Refuses a request that no route matches. Where the leader has not confirmed these routes as the newest, a
    /// newer configuration may hold a route for it, and the caller is asked to come back.
    pub(super) fn refuse_unrouted(&self, request: &RequestHead) -> Response<Body> {
        let refusal = if self.topology.has_newest_routes(clock::now()) {
            Refusal::new(Cause::NoRoute)
        } else {
            let retry_after = RETRY_AFTER_MIN + self.retry_spread(request);
            Refusal::not_run(Cause::UnsureRoute, retry_after)
        };
        self.refuse_early(refusal, None, request)
    }

    /// Logs and counts a request that goes on with a stream of unknown origin, and returns the refusal.
    pub(super) fn refuse_resumption(&self, route: &Route, request: &RequestHead) -> Response<Body> {
        let cause = Cause::UnknownOrigin;
        self.metrics.record_outcome(&route.name, cause.into());
        let refusal = Refusal {
            cause,
            retry_after: Some(RETRY_AFTER_MIN),
        };
        self.refuse_early(refusal, Some(route), request)
    }

    /// Logs and counts a request whose body finds no memory, and returns the refusal.
    pub(super) fn refuse_for_memory(&self, route: &Route, request: &RequestHead) -> Response<Body> {
        let cause = Cause::NoMemory;
        info!(self.log, "no memory for a body"; "request" => &request.attempt_id,
            "route" => &route.name, "workspace" => &request.workspace, "limit" => Limit::name(cause),
            "version" => request.configuration, "held" => self.memory.held());
        self.metrics.record_outcome(&route.name, cause.into());
        self.record_refusal(request, cause, Limit::of(cause));
        let refusal = Refusal {
            cause,
            retry_after: Some(RETRY_AFTER_MIN + self.retry_spread(request)),
        };
        self.refuse(refusal, Some(request))
    }

    /// Returns an error response whose body is the name of the cause.
    pub(super) fn refuse(&self, refusal: Refusal, request: Option<&RequestHead>) -> Response<Body> {
        let head = self.codec.refusal_head(&refusal, request);
        let name: &str = refusal.cause.into();
        Response::from_parts(head, Body::whole(Bytes::from(name)))
    }
}
