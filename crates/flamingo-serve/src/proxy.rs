//! Handles a caller's request from finding its route to the response.

mod adapter;
mod arrival;
mod attempt;
mod begin;
mod crash;
mod departure;
mod forward;
mod handover;
mod identity;
mod job;
mod load_guard;
mod loading;
mod permit;
mod proof;
mod quota;
mod reach;
mod refusal;
mod release;
mod resumption;
mod retry;
mod room;
mod share;
mod silence;
mod stop;
mod stream;
mod successor;
mod version;

use crate::admission::Timing;
use crate::body::Body;
use crate::budget::Allowance;
use crate::choice::{self, Choice, Requirements};
use crate::demand::Counter;
use crate::departure::{Price, Terms, expected_bytes};
use crate::isolation::Isolation;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::quota::Quotas;
use crate::round_trip::RoundTrips;
use crate::server::{Drain, Handler, Stage};
use crate::sharers::Sharers;
use crate::topology::Topology;
use crate::wire::{Cause, Codec};
use arrival::Sender;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::config::LatePolicy;
use flamingo_wire::frame::Seal;
use flamingo_wire::id;
use flamingo_wire::route::{self, Route};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use job::{AttemptError, Job};
pub use loading::LATE_LOAD_TIMEOUT;
pub use refusal::RETRY_AFTER_MIN;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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
    /// Proves requests that are passed on to other entries.
    pub seal: Seal,
    /// Address at which other entries reach this one; `None` if it takes no requests of theirs.
    pub inner_address: Option<SocketAddr>,
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
    seal: Seal,
    inner_address: Option<SocketAddr>,
    /// Whether this entry reaches targets.
    isolation: RefCell<Isolation>,
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
    /// When the leader is asked for room again after it has not answered; `None` if it has.
    room_questions_from: Cell<Option<Instant>>,
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
        async move { self.respond(request, Sender::Caller).await }.boxed_local()
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
            seal: options.seal,
            inner_address: options.inner_address,
            isolation: RefCell::new(Isolation::new(Instant::now())),
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
            room_questions_from: Cell::new(None),
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

    /// Returns the translation of HTTP heads.
    #[must_use]
    pub fn codec(&self) -> &dyn Codec {
        self.codec.as_ref()
    }

    /// Returns the metrics of this entry.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the stage of the shutdown.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.drain.stage()
    }

    /// Serves a request that another entry has passed on, as if its caller had come here. It is not passed
    /// on again.
    pub async fn serve_passed_on(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.respond(request, Sender::Neighbour).await
    }

    /// Counts a request in the demand that the leader places models by.
    fn record_demand(&self, job: &Job) {
        let ratio = self.work_ratio(job);
        self.demand
            .record_arrival(&job.service, &job.request, job.earlier_wait, ratio);
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
                AttemptError::NoAlternative(cause) => {
                    return self.pass_on_or_give_up(job, cause).await;
                }
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
            let passes_on = self.is_isolated() && self.may_pass_on(job, cause);
            if expired || !repeatable || passes_on || !self.try_retry(job, now) {
                return self.pass_on_or_give_up(job, cause).await;
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
