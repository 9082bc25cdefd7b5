//! Takes a request from its route to its answer.

mod job;
mod sending;
mod slot;
mod stream;

use crate::admission::Claim;
use crate::body::{Body, gather};
use crate::budget::{Allowance, Budget};
use crate::choice::{self, Choice, Need};
use crate::front::{Drain, Handler, Stage};
use crate::metrics::Metrics;
use crate::news::News;
use crate::tally::Counts;
use crate::wire::{Ask, Cause, Refusal, Try, Wire};
use bytes::Bytes;
use flamingo_link::subscription::ControlClient;
use flamingo_wire::id;
use flamingo_wire::route::{self, Route};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use job::{Job, Setback};
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Time past a route's timeout by which a final answer is given.
const FINAL: Duration = Duration::from_millis(60);
/// Time for which a caller is taken to wait where it names none.
const PATIENCE: Duration = Duration::from_secs(30);
/// Targets that may turn out to be out of reach before a request is given up.
const UNREACHED: usize = 4;
/// Shortest time after which a refused caller is asked to come back.
const BACK: Duration = Duration::from_millis(300);
/// Time over which returns of refused callers are spread.
const SPREAD: Duration = Duration::from_millis(700);
/// Entries that are assumed while no control instance has counted them.
const ENTRIES: usize = 16;

/// What a desk is built with.
pub struct Start {
    /// Translates.
    pub wire: Rc<dyn Wire>,
    /// What is known of the system.
    pub news: Rc<News>,
    /// Asks control.
    pub asker: Rc<ControlClient>,
    /// The entry's zone.
    pub zone: id::Zone,
    /// Repeats that all entries together may send.
    pub allowance: Allowance,
    /// Counts demand for the leader.
    pub counts: Rc<Counts>,
    /// Counters.
    pub metrics: Metrics,
    /// Whether the process is on its way out.
    pub drain: Rc<Drain>,
    /// Log lines.
    pub log: Logger,
}

/// Answers callers' requests.
pub struct Desk {
    wire: Rc<dyn Wire>,
    news: Rc<News>,
    asker: Rc<ControlClient>,
    zone: id::Zone,
    allowance: Allowance,
    budgets: RefCell<HashMap<id::Service, Budget>>,
    /// The longest time for which a caller of a route said to wait: its first try.
    longest: RefCell<HashMap<route::Name, Duration>>,
    counts: Rc<Counts>,
    metrics: Metrics,
    drain: Rc<Drain>,
    count: Cell<u64>,
    log: Logger,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Desk({})", self.zone)
    }
}

impl Handler for Desk {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move { self.answer(request).await }.boxed_local()
    }
}

impl Desk {
    /// Builds a desk.
    #[must_use]
    pub fn new(start: Start) -> Rc<Self> {
        Rc::new(Self {
            wire: start.wire,
            news: start.news,
            asker: start.asker,
            zone: start.zone,
            allowance: start.allowance,
            budgets: RefCell::default(),
            longest: RefCell::default(),
            counts: start.counts,
            metrics: start.metrics,
            drain: start.drain,
            count: Cell::new(0),
            log: start.log,
        })
    }

    /// Returns what is known of the system.
    #[must_use]
    pub fn news(&self) -> &Rc<News> {
        &self.news
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let ask = match self.wire.ask(&head) {
            Ok(ask) => ask,
            Err(problem) => {
                info!(self.log, "request unreadable"; "problem" => problem);
                return self.refuse(Refusal::new(Cause::Unreadable), None);
            }
        };
        if self.drain.stage() == Stage::Closing {
            let refusal = Refusal {
                cause: Cause::Stopping,
                back: Some(Duration::ZERO),
            };
            return self.refuse(refusal, Some(&ask));
        }
        let guard = self.drain.enter();
        let Some(routes) = self.news.routes.borrow().clone() else {
            let refusal = Refusal {
                cause: Cause::NoRoutes,
                back: Some(BACK),
            };
            return self.refuse(refusal, Some(&ask));
        };
        let Some(route) = routes.find(&ask.host, &ask.path).cloned() else {
            return self.refuse(Refusal::new(Cause::NoRoute), Some(&ask));
        };
        let patience = ask.patience.unwrap_or(PATIENCE);
        let timeout = Duration::from_millis(route.timeout_ms) + FINAL;
        let deadline = arrived + patience.min(timeout);
        let most = routes.set.limits.body_bytes;
        let body = match timeout_at(deadline.into(), gather(body, most)).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return self.refuse(Refusal::new(cause), Some(&ask)),
            Err(_) => return self.refuse(Refusal::new(Cause::Unreadable), Some(&ask)),
        };
        let elapsed = self.elapsed(&route, patience);
        let service = share(&route, &ask);
        let job = Job {
            head,
            body,
            service,
            route,
            routes,
            arrived,
            elapsed,
            deadline,
            ask,
            tried: RefCell::default(),
            sent: Cell::new(0),
            sent_at: Cell::new(arrived),
            unreached: Cell::new(0),
            ran: Cell::new(false),
            guard,
        };
        self.budget(&job.service, |budget| budget.request(arrived));
        self.counts.arrived(&job.service, &job.ask);
        self.run(Rc::new(job)).await
    }

    /// Sends a job until it has an answer or no more may be tried.
    async fn run(self: Rc<Self>, job: Rc<Job>) -> Response<Body> {
        loop {
            let setback = match self.attempt(&job).await {
                Ok(answer) => return answer,
                Err(setback) => setback,
            };
            let now = Instant::now();
            let over = now >= job.deadline;
            let cause = match setback {
                Setback::NotRun(cause) => cause,
                Setback::Stuck(cause) => return self.give_up(&job, cause),
                Setback::Full(wait) => {
                    info!(self.log, "no room"; "request" => &job.ask.attempt,
                        "wait_ms" => wait.as_millis());
                    return self.give_up(&job, Cause::NoRoom);
                }
                Setback::MayHaveRun(cause) => {
                    job.ran.set(true);
                    cause
                }
            };
            let may = !job.ran.get() || job.route.repeatable();
            if over || !may || !self.again(&job, now) {
                return self.give_up(&job, cause);
            }
        }
    }

    /// Returns whether a job may be sent once more; takes that from the budget.
    fn again(&self, job: &Job, now: Instant) -> bool {
        // Each round passes a target over or sends: it ends.
        if job.unreached.get() >= UNREACHED {
            return false;
        }
        if job.sent.get() == 0 {
            return job.unreached.get() > 0;
        }
        if job.sent.get() >= job.route.attempts.max(1) {
            return false;
        }
        let entries = self.news.peers.borrow().entries().unwrap_or(ENTRIES);
        let affordable = self.budget(&job.service, |budget| budget.repeat(now, entries));
        if !affordable {
            self.metrics.unaffordable.inc();
        }
        affordable
    }

    fn budget<T>(&self, service: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned());
        change(budget.or_insert_with(|| Budget::new(self.allowance)))
    }

    fn choose(&self, job: &Job, now: Instant) -> Choice {
        let service = job.routes.service(&job.service);
        let tried = job.tried.borrow();
        let need = Need {
            service: &job.service,
            engine: service.and_then(|service| service.engine.as_ref()),
            ask: &job.ask,
            rank: job.route.rank,
            zone: &self.zone,
            tried: &tried,
            orders: self.news.peers.borrow().leader.is_some(),
            entries: self.news.peers.borrow().entries().unwrap_or(ENTRIES),
            claim: Self::claim(job, now),
        };
        self.count.set(self.count.get() + 1);
        let salt = choice::salt(&job.ask, self.count.get());
        choice::choose(&self.news.table.borrow(), &need, salt, now)
    }

    /// Returns what a job asks of a wait before its first event; nothing where it was sent
    /// before, or is for a plain service.
    fn claim(job: &Job, now: Instant) -> Option<Claim> {
        if job.ask.model.is_none() || job.sent.get() > 0 {
            return None;
        }
        Some(Claim {
            elapsed: job.elapsed + now.saturating_duration_since(job.arrived),
            objective: Duration::from_millis(job.route.objective_ms),
            left: job.deadline.saturating_duration_since(now),
            wait: Duration::ZERO,
        })
    }

    /// Returns for how long the caller of a request has waited in earlier tries.
    fn elapsed(&self, route: &Route, patience: Duration) -> Duration {
        let mut longest = self.longest.borrow_mut();
        let longest = longest.entry(route.name.clone()).or_insert(patience);
        *longest = patience.max(*longest);
        longest.saturating_sub(patience)
    }

    /// Returns what is final for a job that is given up.
    fn give_up(&self, job: &Job, cause: Cause) -> Response<Body> {
        let now = Instant::now();
        let not_run = !job.ran.get();
        let cause = match cause {
            Cause::NoTarget | Cause::NoModel | Cause::NoRoom if !not_run => Cause::Broken,
            other => other,
        };
        if matches!(cause, Cause::NoModel | Cause::NoRoom) {
            self.counts.refused(&job.service, &job.ask);
        }
        let back = not_run.then(|| self.back(job));
        let name: &str = cause.into();
        info!(self.log, "given up"; "request" => &job.ask.attempt, "route" => &job.route.name,
            "cause" => name, "not_run" => not_run, "sent" => job.sent.get(),
            "model" => &job.ask.model, "after_ms" => (now - job.arrived).as_millis());
        self.metrics.ended(&job.route.name, name);
        self.refuse(Refusal { cause, back }, Some(&job.ask))
    }

    /// Returns when a refused caller is to come back: spread, so that not all do at once.
    fn back(&self, job: &Job) -> Duration {
        let mut hasher = DefaultHasher::new();
        job.ask.attempt.hash(&mut hasher);
        self.count.get().hash(&mut hasher);
        let part = u32::try_from(hasher.finish() % 1_000).unwrap_or(0);
        BACK + SPREAD * part / 1_000
    }

    fn refuse(&self, refusal: Refusal, ask: Option<&Ask>) -> Response<Body> {
        let head = self.wire.refuse(&refusal, ask);
        let name: &str = refusal.cause.into();
        Response::from_parts(head, Body::whole(Bytes::from(name)))
    }
}

/// Returns the service that a request goes to, by the route's shares.
fn share(route: &Route, ask: &Ask) -> id::Service {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut hasher = DefaultHasher::new();
    let attempt: Option<&Try> = ask.attempt.as_ref();
    attempt.hash(&mut hasher);
    let mut place = hasher.finish() % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if place < weight {
            return share.service.clone();
        }
        place -= weight;
    }
    id::Service::new()
}
