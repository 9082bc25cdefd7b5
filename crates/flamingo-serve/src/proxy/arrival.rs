//! Takes a request from its head to its first attempt.

use super::job::{self, Job};
use super::{Proxy, refusal, share};
use crate::body::{Body, WhenFull, collect};
use crate::handover::MARK;
use crate::server::{Guard, Stage};
use crate::topology::Routes;
use crate::wire::{AttemptId, Cause, Refusal, RequestHead};
use bytes::Bytes;
use flamingo_wire::id;
use flamingo_wire::prompt::PartId;
use flamingo_wire::route::Route;
use http::{Request, Response, request};
use hyper::body::Incoming;
use slog::info;
use std::cell::{Cell, OnceCell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Time after a route's timeout by which a request must have its final response.
const RESPONSE_GRACE: Duration = Duration::from_millis(60);
/// Time that a caller is assumed to wait if it states none.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(30);

/// Who has sent a request to this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sender {
    /// A caller. Its request may be passed on to another entry.
    Caller,
    /// Another entry, on behalf of a caller.
    Neighbour,
}

/// The body of a caller's request.
pub(super) enum Upload {
    /// It has not been read.
    Unread(Incoming),
    /// It was received whole.
    Whole(Bytes),
}

/// A request whose route has been found.
pub(super) struct Arrival {
    /// HTTP head; without the caller's key once that was looked up.
    pub http_head: request::Parts,
    /// The head as received; `None` where the request may not be passed on.
    pub caller_head: Option<request::Parts>,
    /// The head as parsed by the codec.
    pub request: RequestHead,
    /// Routes that were current when the request arrived.
    pub routes: Rc<Routes>,
    /// Route of the request.
    pub route: Route,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Counts the request as in flight.
    pub guard: Guard,
}

impl Arrival {
    /// Returns the time that the caller waits from the arrival of the request.
    fn max_wait(&self) -> Duration {
        self.request.max_wait.unwrap_or(DEFAULT_MAX_WAIT)
    }
}

impl Proxy {
    /// Returns the response to a request.
    pub(super) async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        sender: Sender,
    ) -> Response<Body> {
        let arrived_at = Instant::now();
        let (mut http_head, body) = request.into_parts();
        // Only the address that a request comes to says who has sent it.
        http_head.headers.remove(MARK);
        let mut request = match self.codec.parse_request(&http_head) {
            Ok(request) => request,
            Err(problem) => {
                info!(self.log, "request unreadable"; "problem" => problem);
                return self.refuse(Refusal::new(Cause::Unreadable), None);
            }
        };
        if self.drain.stage() >= Stage::Closing {
            let refusal = Refusal::not_run(Cause::Stopping, Duration::ZERO);
            return self.refuse_early(refusal, None, &request);
        }
        let guard = self.drain.track_request();
        let Some(routes) = self.topology.routes.borrow().clone() else {
            let refusal = Refusal::not_run(Cause::NoRoutes, refusal::RETRY_AFTER_MIN);
            return self.refuse_early(refusal, None, &request);
        };
        request.configuration = routes.set.version;
        let Some(route) = routes.find(&request.host, &request.path).cloned() else {
            return self.refuse_unrouted(&request);
        };
        let max_wait = request.max_wait.unwrap_or(DEFAULT_MAX_WAIT);
        let timeout = Duration::from_millis(route.timeout_ms) + RESPONSE_GRACE;
        let arrival = Arrival {
            caller_head: (sender == Sender::Caller).then(|| http_head.clone()),
            http_head,
            request,
            routes,
            route,
            arrived_at,
            deadline: arrived_at + max_wait.min(timeout),
            guard,
        };
        match self.pass_on_early(&arrival, Upload::Unread(body)).await {
            Ok(response) => response,
            Err(body) => self.serve(arrival, body).await,
        }
    }

    /// Returns the response to a request that is served by this entry.
    async fn serve(self: Rc<Self>, mut arrival: Arrival, body: Upload) -> Response<Body> {
        let found = {
            let Arrival {
                http_head,
                request,
                routes,
                route,
                ..
            } = &mut arrival;
            self.authenticate(routes, route, http_head, request)
        };
        let workspace = match found {
            Ok(workspace) => workspace,
            Err(cause) => return self.refuse_key(&arrival.route, &arrival.request, cause),
        };
        let Arrival {
            request,
            routes,
            route,
            arrived_at,
            deadline,
            ..
        } = &arrival;
        let mut service = choose_service(route, request);
        let parts = request.shared_parts();
        if let Some(refused) = self.refuse_unread(route, request, &service, &parts, *deadline) {
            return refused;
        }
        let body = match self.receive_body(body, &arrival).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let earlier_wait = self.earlier_wait(route, arrival.max_wait());
        let mut software = None;
        if route.resumable && request.last_event_id.is_some() {
            let scope = job::scope(routes, workspace.as_deref());
            let origin = self.find_origin(route, request, scope, *deadline).await;
            let Some(origin) = origin else {
                return self.refuse_resumption(route, request);
            };
            service = origin.service;
            software = Some(origin.software);
        }
        let fingerprint = job::identify(&arrival.http_head, request, &body);
        if let Some(until) = self.quarantined_until(&service, &[fingerprint]) {
            return self.refuse_deadly(route, request, fingerprint, until);
        }
        let taken = self.take_quota(workspace.as_deref(), route, request, earlier_wait);
        let ticket = match taken.await {
            Ok(ticket) => ticket,
            Err(response) => return response,
        };
        let arrived_at = *arrived_at;
        let job = Job {
            http_head: arrival.http_head,
            caller_head: RefCell::new(arrival.caller_head),
            body,
            service,
            route: arrival.route,
            workspace,
            routes: arrival.routes,
            arrived_at,
            earlier_wait,
            deadline: arrival.deadline,
            request: arrival.request,
            parts,
            fingerprint,
            software: RefCell::new(software),
            content_type: OnceCell::new(),
            said_to_end: Cell::new(false),
            tried: RefCell::default(),
            lost: RefCell::default(),
            lost_at: Cell::new(None),
            progress_at: Cell::new(arrived_at),
            waits: Cell::new(false),
            stranded_since: Cell::new(None),
            resent: Cell::new(false),
            sent: Cell::new(0),
            late: Cell::new(false),
            unreachable: Cell::new(0),
            may_have_run: Cell::new(false),
            turned_away: Cell::new(false),
            ticket: RefCell::new(ticket),
            share: share::Progress::new(self.choices.get()),
            guard: arrival.guard,
        };
        self.retries.record_request(&job.service, arrived_at);
        self.record_demand(&job);
        self.run(Rc::new(job)).await
    }

    /// Refuses a request before its body is read, if its prompt is quarantined or it may outlast the stop
    /// of this process.
    fn refuse_unread(
        &self,
        route: &Route,
        request: &RequestHead,
        service: &str,
        parts: &[PartId],
        deadline: Instant,
    ) -> Option<Response<Body>> {
        if let Some(until) = self.quarantined_until(service, parts) {
            return Some(self.refuse_quarantined(route, request, until));
        }
        let outlasts = self.may_outlast_stop(route, deadline);
        outlasts.then(|| self.refuse_stopping(route, request, deadline))
    }

    /// Returns the body of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request whose body is not received whole by its deadline.
    pub(super) async fn receive_body(
        &self,
        upload: Upload,
        arrival: &Arrival,
    ) -> Result<Bytes, Response<Body>> {
        let body = match upload {
            Upload::Whole(bytes) => return Ok(bytes),
            Upload::Unread(body) => body,
        };
        let (route, request) = (&arrival.route, &arrival.request);
        let buffer = self.memory.buffer(arrival.routes.set.limits.body_bytes);
        let collected = collect(body, buffer, WhenFull::Refuse);
        let collected = timeout_at(arrival.deadline.into(), collected).await;
        collected
            .unwrap_or(Err(Cause::Unreadable))
            .map_err(|cause| match cause {
                Cause::NoMemory => self.refuse_for_memory(route, request),
                cause => self.refuse_early(Refusal::new(cause), Some(route), request),
            })
    }
}

/// Chooses the service for a request by the weights of the route's shares. The choice depends only
/// on the attempt id, so the same try always goes to the same service.
pub(super) fn choose_service(route: &Route, request: &RequestHead) -> id::Service {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut hasher = DefaultHasher::new();
    let attempt_id: Option<&AttemptId> = request.attempt_id.as_ref();
    attempt_id.hash(&mut hasher);
    let mut offset = hasher.finish() % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if offset < weight {
            return share.service.clone();
        }
        offset -= weight;
    }
    id::Service::new()
}
