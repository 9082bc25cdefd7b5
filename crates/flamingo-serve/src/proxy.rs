//! Handles a caller's request from finding its route to the response.

mod adapter;
mod attempt;
mod begin;
mod crash;
mod departure;
mod forward;
mod identity;
mod job;
mod load_guard;
mod loading;
mod permit;
mod proof;
mod quota;
mod refusal;
mod release;
mod resumption;
mod retry;
mod share;
mod silence;
mod stop;
mod stream;
mod successor;
mod version;

use crate::admission::Timing;
use crate::body::{Body, WhenFull, collect};
use crate::budget::Allowance;
use crate::choice::{self, Choice, Requirements};
use crate::demand::Counter;
use crate::departure::{Price, Terms, expected_bytes};
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::quota::Quotas;
use crate::round_trip::RoundTrips;
use crate::server::{Drain, Handler, Stage};
use crate::sharers::Sharers;
use crate::topology::Topology;
use crate::wire::{AttemptId, Cause, Codec, Refusal, RequestHead};
use bytes::Bytes;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::config::LatePolicy;
use flamingo_wire::id;
use flamingo_wire::prompt::PartId;
use flamingo_wire::route::{self, Route};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use job::{AttemptError, Job};
pub use loading::LATE_LOAD_TIMEOUT;
pub use refusal::RETRY_AFTER_MIN;
use slog::{Logger, info};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Time after a route's timeout by which a request must have its final response.
const RESPONSE_GRACE: Duration = Duration::from_millis(60);
/// Time that a caller is assumed to wait if it states none.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(30);
/// Number of unreachable targets after which a request is given up.
const MAX_UNREACHABLE: usize = 4;
/// Number of entries that is assumed until a control instance has sent it.
const ASSUMED_ENTRIES: usize = 16;

/// Parameters of [`Proxy::new`].
pub struct Options {
    /// Translates HTTP heads.
    pub codec: Rc<dyn Codec>,
    /// Routes, targets and other processes.
    pub topology: Rc<Topology>,
    /// Sends requests to control instances.
    pub control_client: Rc<ControlClient>,
    /// Zone of this entry.
    pub zone: id::Zone,
    /// Price of traffic to other zones.
    pub leaving_price: Price,
    /// What happens to requests that can't meet their objective.
    pub late_policy: LatePolicy,
    /// Retries that all entries together may send.
    pub allowance: Allowance,
    /// Times and amounts by which quotas of workspaces are kept.
    pub quota_terms: flamingo_guard::quota::Terms,
    /// Counts demand for the reports to the leader.
    pub demand: Rc<Counter>,
    /// Memory for the bodies of requests and responses.
    pub memory: Memory,
    /// Metrics of this entry.
    pub metrics: Metrics,
    /// Stage of the shutdown.
    pub drain: Rc<Drain>,
    /// Logger for requests.
    pub log: Logger,
}

/// Forwards callers' requests to targets and returns their responses.
pub struct Proxy {
    codec: Rc<dyn Codec>,
    topology: Rc<Topology>,
    control_client: Rc<ControlClient>,
    zone: id::Zone,
    leaving_price: Price,
    late_policy: LatePolicy,
    round_trips: RefCell<RoundTrips>,
    retries: retry::Retries,
    /// Longest wait that any caller of a route has stated. Callers state the time that remains,
    /// so the longest wait is that of a first try.
    longest_waits: RefCell<HashMap<route::Name, Duration>>,
    /// Requests that wait for their model.
    waiting: loading::Waiting,
    demand: Rc<Counter>,
    /// Quotas of workspaces.
    quotas: Rc<Quotas>,
    memory: Memory,
    metrics: Metrics,
    drain: Rc<Drain>,
    /// Number of target choices so far.
    choices: Cell<u64>,
    log: Logger,
}

impl std::fmt::Debug for Proxy {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Proxy({})", self.zone)
    }
}

impl Handler for Proxy {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move { self.respond(request).await }.boxed_local()
    }
}

impl Proxy {
    /// Returns a proxy that has served no request yet.
    #[must_use]
    pub fn new(options: Options) -> Rc<Self> {
        let sharers = Sharers::new(options.allowance.window);
        options.topology.peers.borrow_mut().sharers = sharers;
        Rc::new(Self {
            codec: options.codec,
            topology: options.topology,
            control_client: options.control_client,
            zone: options.zone,
            leaving_price: options.leaving_price,
            late_policy: options.late_policy,
            round_trips: RefCell::default(),
            retries: retry::Retries::new(options.allowance),
            longest_waits: RefCell::default(),
            waiting: loading::Waiting::default(),
            demand: options.demand,
            quotas: Rc::new(Quotas::new(options.quota_terms)),
            memory: options.memory,
            metrics: options.metrics,
            drain: options.drain,
            choices: Cell::new(0),
            log: options.log,
        })
    }

    /// Returns the routes, targets and other processes that this entry knows.
    #[must_use]
    pub fn topology(&self) -> &Rc<Topology> {
        &self.topology
    }

    /// Returns the quotas, whose questions [`quota::run`](crate::quota::run) asks.
    #[must_use]
    pub fn quotas(&self) -> &Rc<Quotas> {
        &self.quotas
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived_at = Instant::now();
        let (mut http_head, body) = request.into_parts();
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
        let Some(mut route) = routes.find(&request.host, &request.path).cloned() else {
            return self.refuse_unrouted(&request);
        };
        let found = self.authenticate(&routes, &mut route, &mut http_head, &mut request);
        let workspace = match found {
            Ok(workspace) => workspace,
            Err(cause) => return self.refuse_key(&route, &request, cause),
        };
        let mut service = choose_service(&route, &request);
        let parts = request.shared_parts();
        let max_wait = request.max_wait.unwrap_or(DEFAULT_MAX_WAIT);
        let timeout = Duration::from_millis(route.timeout_ms) + RESPONSE_GRACE;
        let deadline = arrived_at + max_wait.min(timeout);
        if let Some(refused) = self.refuse_unread(&route, &request, &service, &parts, deadline) {
            return refused;
        }
        let max_bytes = routes.set.limits.body_bytes;
        let body = match self.receive_body(body, max_bytes, deadline).await {
            Ok(body) => body,
            Err(Cause::NoMemory) => return self.refuse_for_memory(&route, &request),
            Err(cause) => return self.refuse_early(Refusal::new(cause), Some(&route), &request),
        };
        let earlier_wait = self.earlier_wait(&route, max_wait);
        let mut software = None;
        if route.resumable && request.last_event_id.is_some() {
            let scope = job::scope(&routes, workspace.as_deref());
            let origin = self.find_origin(&route, &request, scope, deadline).await;
            let Some(origin) = origin else {
                return self.refuse_resumption(&route, &request);
            };
            service = origin.service;
            software = Some(origin.software);
        }
        let fingerprint = job::identify(&http_head, &request, &body);
        if let Some(until) = self.quarantined_until(&service, &[fingerprint]) {
            return self.refuse_deadly(&route, &request, fingerprint, until);
        }
        let taken = self.take_quota(workspace.as_deref(), &route, &request, earlier_wait);
        let ticket = match taken.await {
            Ok(ticket) => ticket,
            Err(response) => return response,
        };
        let job = Job {
            http_head,
            body,
            service,
            route,
            workspace,
            routes,
            arrived_at,
            earlier_wait,
            deadline,
            request,
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
            guard,
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

    /// Counts a request in the demand that the leader places models by.
    fn record_demand(&self, job: &Job) {
        let ratio = self.work_ratio(job);
        self.demand
            .record_arrival(&job.service, &job.request, job.earlier_wait, ratio);
    }

    /// Returns the body of a request.
    ///
    /// # Errors
    ///
    /// Returns why the body was not received whole by `deadline`.
    async fn receive_body(
        &self,
        body: Incoming,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, Cause> {
        let buffer = self.memory.buffer(max_bytes);
        let collected = collect(body, buffer, WhenFull::Refuse);
        let collected = timeout_at(deadline.into(), collected).await;
        collected.unwrap_or(Err(Cause::Unreadable))
    }

    /// Returns the response of a target, or gives up at the end of the process.
    async fn run(self: Rc<Self>, job: Rc<Job>) -> Response<Body> {
        let _refund = quota::Refund {
            proxy: &self,
            job: &job,
        };
        tokio::select! {
            biased;
            response = self.try_targets(&job) => response,
            () = self.drain.reach(Stage::Ending) => self.give_up_at_end(&job),
        }
    }

    /// Sends a request to targets until one responds or no further attempt is allowed.
    async fn try_targets(self: &Rc<Self>, job: &Rc<Job>) -> Response<Body> {
        let mut resend_to = None;
        loop {
            let error = match self.attempt(job, resend_to.take()).await {
                Ok(response) => return response,
                Err(error) => error,
            };
            job.record_error(&error);
            let now = Instant::now();
            let expired = now >= job.deadline;
            let cause = match error {
                AttemptError::NoAlternative(cause) => return self.give_up(job, cause),
                AttemptError::QueueTooLong(delay) => {
                    let cause = self.record_no_room(job, delay, now);
                    return self.give_up(job, cause);
                }
                AttemptError::AdapterMissing(candidate) => {
                    if !expired && self.may_resend(job, now) {
                        resend_to = Some(*candidate);
                        continue;
                    }
                    Cause::NoRoom
                }
                AttemptError::NotRun(cause) | AttemptError::MayHaveRun(cause) => cause,
            };
            let repeatable = !job.may_have_run.get() || job.route.repeatable();
            if expired || !repeatable || !self.try_retry(job, now) {
                return self.give_up(job, cause);
            }
        }
    }

    /// Returns the time of work of a request's model relative to its service.
    fn work_ratio(&self, job: &Job) -> f64 {
        let model = job.request.model.as_deref().unwrap_or_default();
        let table = self.topology.table.borrow();
        table.speed(&job.service).ratio(model)
    }

    /// Returns the number of entries, or `ASSUMED_ENTRIES` until a control instance has sent it.
    fn entries(&self) -> usize {
        let entries = self.topology.peers.borrow().entries();
        entries.unwrap_or(ASSUMED_ENTRIES)
    }

    fn choose_target(&self, job: &Job, now: Instant) -> Choice {
        let service = job.routes.service(&job.service);
        let tried = job.tried.borrow();
        let software = job.software.borrow();
        let round_trips = self.round_trips.borrow();
        let required = Requirements {
            service: &job.service,
            engine: service.and_then(|service| service.engine.as_ref()),
            request: &job.request,
            rank: job.rank(),
            zone: &self.zone,
            leaving: Some(Terms {
                price: self.leaving_price,
                bytes: expected_bytes(&job.request, job.body.len()),
                objective: Duration::from_millis(job.route.objective_ms),
                elapsed: Self::elapsed(job, now),
                round_trips: &round_trips,
            }),
            software: software.as_deref(),
            tried: &tried,
            can_load_adapters: self.topology.peers.borrow().leader.is_some(),
            entries: self.entries(),
            timing: self.timing(job, now),
            late: false,
        };
        self.choices.set(self.choices.get() + 1);
        let salt = choice::salt(&job.request, self.choices.get());
        let table = self.topology.table.borrow();
        choice::choose_by_policy(&table, &required, self.late_policy, salt, now)
    }

    /// Returns the time since the caller's first try.
    fn elapsed(job: &Job, now: Instant) -> Duration {
        job.earlier_wait + now.saturating_duration_since(job.arrived_at)
    }

    /// Returns the times for the admission decision. Returns `None`, which admits the request, if
    /// it was already sent or goes to a plain service.
    fn timing(&self, job: &Job, now: Instant) -> Option<Timing> {
        if job.request.model.is_none() || job.sent.get() > 0 {
            return None;
        }
        Some(Timing {
            elapsed: Self::elapsed(job, now),
            objective: Duration::from_millis(job.route.objective_ms),
            remaining: job.deadline.saturating_duration_since(now),
            has_begun: job.goes_on(),
            queueing_delay: Duration::ZERO,
            standing: self.standing(job, now),
        })
    }

    /// Estimates the time that the caller of a request has spent on earlier tries: the longest
    /// wait stated by any caller of the route, minus the wait that this caller states.
    fn earlier_wait(&self, route: &Route, max_wait: Duration) -> Duration {
        let mut longest_waits = self.longest_waits.borrow_mut();
        let longest = longest_waits.entry(route.name.clone()).or_insert(max_wait);
        *longest = max_wait.max(*longest);
        longest.saturating_sub(max_wait)
    }
}

/// Chooses the service for a request by the weights of the route's shares. The choice depends only
/// on the attempt id, so the same try always goes to the same service.
fn choose_service(route: &Route, request: &RequestHead) -> id::Service {
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
