//! Takes a request from its route to its answer.

use crate::admission::Claim;
use crate::body::{Body, Broken};
use crate::budget::{Allowance, Budget};
use crate::choice::{self, Choice, Need, Pick};
use crate::events::Event;
use crate::exchange::{self, Begun, Failure};
use crate::front::{Drain, Guard, Handler, Stage};
use crate::news::{News, Routes};
use crate::pool::Connection;
use crate::relay::{Relay, Step};
use crate::tally::Counts;
use crate::wire::{Ask, Cause, Hop, Refusal, Try, Wire};
use bytes::{Bytes, BytesMut};
use flamingo_link::feed::Asker;
use flamingo_wire::control::{Adapt, Reply, Request as Question};
use flamingo_wire::id;
use flamingo_wire::route::{self, Kind, Rank, Route};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use http::{Request, Response, request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::{Logger, info};
use smallvec::SmallVec;
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
/// Largest answer that is gathered before it is passed on, in bytes.
const GATHER: usize = 256 * 1024;
/// Targets that may turn out to be out of reach before a request is given up.
const UNREACHED: usize = 4;
/// Time that the holder of orders has to bring an adapter.
const ADAPT: Duration = Duration::from_millis(700);
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
    pub asker: Rc<Asker>,
    /// The entry's zone.
    pub zone: id::Zone,
    /// Repeats that all entries together may send.
    pub allowance: Allowance,
    /// Counts demand for the leader.
    pub counts: Rc<Counts>,
    /// Whether the process is on its way out.
    pub drain: Rc<Drain>,
    /// Log lines.
    pub log: Logger,
}

/// Answers callers' requests.
pub struct Desk {
    wire: Rc<dyn Wire>,
    news: Rc<News>,
    asker: Rc<Asker>,
    zone: id::Zone,
    allowance: Allowance,
    budgets: RefCell<HashMap<id::Service, Budget>>,
    /// The longest time for which a caller of a route said to wait: its first try.
    longest: RefCell<HashMap<route::Name, Duration>>,
    counts: Rc<Counts>,
    drain: Rc<Drain>,
    count: Cell<u64>,
    log: Logger,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Desk({})", self.zone)
    }
}

/// A request with what was decided of it once.
struct Job {
    head: request::Parts,
    body: Bytes,
    ask: Ask,
    route: Route,
    service: id::Service,
    routes: Rc<Routes>,
    arrived: Instant,
    /// Time for which its caller waited in earlier tries.
    elapsed: Duration,
    /// When the caller or the route gives up.
    deadline: Instant,
    tried: RefCell<SmallVec<[id::Target; 2]>>,
    /// Times that it was sent.
    sent: Cell<u32>,
    unreached: Cell<usize>,
    /// Whether it may have run.
    ran: Cell<bool>,
    _guard: Guard,
}

/// How one sending ended without an answer for the caller.
enum Setback {
    /// It did not run.
    NotRun(Cause),
    /// It did not run, and there is no other target to send it to.
    Stuck(Cause),
    /// It did not run, and would wait so long at the best target.
    Full(Duration),
    /// It may have run.
    MayHaveRun(Cause),
}

/// Counts a request at its target until it is dropped.
struct Slot {
    news: Rc<News>,
    target: id::Target,
    rank: Rank,
    fresh: Cell<u32>,
    adapter: Option<(id::Model, id::Adapter)>,
}

impl Slot {
    fn take(news: &Rc<News>, pick: &Pick, job: &Job) -> Self {
        let rank = job.route.rank;
        let ask = &job.ask;
        let adapter = ask.model.clone().zip(ask.adapter.clone());
        if let Some(target) = news.table.borrow_mut().get_mut(&pick.target) {
            target.own.running += 1;
            target.own.wait(rank, pick.fresh);
            if let Some((model, adapter)) = &adapter {
                target.begin(model, adapter);
            }
        }
        Self {
            news: Rc::clone(news),
            target: pick.target.clone(),
            rank,
            fresh: Cell::new(pick.fresh),
            adapter,
        }
    }

    /// Notes that the prompt has been read.
    fn read(&self) {
        let fresh = self.fresh.take();
        if let Some(target) = self.news.table.borrow_mut().get_mut(&self.target) {
            target.own.read(self.rank, fresh);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.read();
        if let Some(target) = self.news.table.borrow_mut().get_mut(&self.target) {
            target.own.running = target.own.running.saturating_sub(1);
            if let Some((model, adapter)) = &self.adapter {
                target.end(model, adapter);
            }
        }
    }
}

/// The stream of a job on its way to the caller.
struct Stream {
    desk: Rc<Desk>,
    job: Rc<Job>,
    relay: Relay,
    slot: Slot,
    /// The first event, until it is passed on.
    first: Option<Event>,
    /// The number of the last event that was passed on.
    last: Option<u64>,
    /// Nothing follows.
    done: bool,
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
            unreached: Cell::new(0),
            ran: Cell::new(false),
            _guard: guard,
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
        if job.sent.get() == 0 {
            return job.unreached.get() > 0 && job.unreached.get() < UNREACHED;
        }
        if job.sent.get() >= job.route.attempts.max(1) {
            return false;
        }
        let entries = self.news.peers.borrow().entries().unwrap_or(ENTRIES);
        self.budget(&job.service, |budget| budget.repeat(now, entries))
    }

    fn budget<T>(&self, service: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), Budget::new(self.allowance));
        }
        match budgets.get_mut(service) {
            Some(budget) => change(budget),
            // Inserted just above.
            None => unreachable!("a service has its budget"),
        }
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
        };
        self.count.set(self.count.get() + 1);
        let salt = choice::salt(&job.ask, self.count.get());
        choice::choose(&self.news.table.borrow(), &need, salt, now)
    }

    /// Returns whether a job may wait at its target.
    fn admits(&self, job: &Job, pick: &Pick) -> bool {
        if job.ask.model.is_none() || job.sent.get() > 0 {
            return true;
        }
        let now = Instant::now();
        let claim = Claim {
            elapsed: job.elapsed + now.saturating_duration_since(job.arrived),
            objective: Duration::from_millis(job.route.objective_ms),
            left: job.deadline.saturating_duration_since(now),
            wait: pick.queue,
        };
        claim.admitted()
    }

    /// Returns for how long the caller of a request has waited in earlier tries.
    fn elapsed(&self, route: &Route, patience: Duration) -> Duration {
        let mut longest = self.longest.borrow_mut();
        if !longest.contains_key(&route.name) {
            longest.insert(route.name.clone(), patience);
        }
        let Some(longest) = longest.get_mut(&route.name) else {
            return Duration::ZERO;
        };
        *longest = patience.max(*longest);
        *longest - patience
    }

    /// Sends a job once.
    async fn attempt(self: &Rc<Self>, job: &Rc<Job>) -> Result<Response<Body>, Setback> {
        let now = Instant::now();
        let pick = match self.choose(job, now) {
            Choice::Send(pick) => pick,
            Choice::NoTarget => return Err(Setback::Stuck(Cause::NoTarget)),
            Choice::NoModel => return Err(Setback::Stuck(Cause::NoModel)),
        };
        if !self.admits(job, &pick) {
            return Err(Setback::Full(pick.queue));
        }
        let slot = Slot::take(&self.news, &pick, job);
        if pick.bare {
            self.adapt(job, &pick).await?;
        }
        let begun = self.send(job, &pick, job.ask.after).await?;
        self.pass(job, slot, begun, &pick).await
    }

    /// Has the adapter of a job brought to its target.
    async fn adapt(&self, job: &Job, pick: &Pick) -> Result<(), Setback> {
        let lacking = || Setback::NotRun(Cause::NoModel);
        let leader = self.news.peers.borrow().leader.ok_or_else(lacking)?;
        let (Some(model), Some(adapter)) = (job.ask.model.clone(), job.ask.adapter.clone()) else {
            return Ok(());
        };
        let incarnation = {
            let table = self.news.table.borrow();
            let target = table.get(&pick.target).ok_or_else(lacking)?;
            target.word.incarnation
        };
        let question = Question::Adapt(Adapt {
            target: pick.target.clone(),
            incarnation,
            model: model.clone(),
            adapter: adapter.clone(),
        });
        let deadline = job.deadline.min(Instant::now() + ADAPT);
        match self.asker.ask(leader, &question, deadline).await {
            Reply::Noted => {
                let mut table = self.news.table.borrow_mut();
                table.adapted(&pick.target, &model, &adapter);
                Ok(())
            }
            other => {
                info!(self.log, "adapter not brought"; "request" => &job.ask.attempt,
                    "target" => &pick.target, "reply" => ?other);
                job.tried.borrow_mut().push(pick.target.clone());
                job.unreached.set(job.unreached.get() + 1);
                Err(lacking())
            }
        }
    }

    /// Sends a job to its target and waits for the head of the answer.
    async fn send(&self, job: &Job, pick: &Pick, after: Option<u64>) -> Result<Begun, Setback> {
        let now = Instant::now();
        let address = {
            let mut table = self.news.table.borrow_mut();
            let Some(target) = table.get_mut(&pick.target).filter(|target| target.open()) else {
                job.tried.borrow_mut().push(pick.target.clone());
                job.unreached.set(job.unreached.get() + 1);
                return Err(Setback::NotRun(Cause::NoTarget));
            };
            target.reads(choice::space(&job.ask), &job.ask.pieces, pick.fresh);
            target.word.address
        };
        let hop = Hop {
            target: &pick.target,
            deadline: job.deadline,
            now,
            rank: job.ask.model.is_some().then_some(job.route.rank),
            after,
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.head.method.clone();
        *request.uri_mut() = job.head.uri.clone();
        *request.headers_mut() = self.wire.forward(&job.head, &hop);
        let kept = self.news.pool.borrow_mut().take(&pick.target, now);
        let attempt = job.ask.attempt.as_deref();
        let wire = self.wire.as_ref();
        let sent = exchange::send(kept, address, request, attempt, wire, job.deadline).await;
        job.tried.borrow_mut().push(pick.target.clone());
        match sent {
            Ok(begun) => {
                job.sent.set(job.sent.get() + 1);
                let mut table = self.news.table.borrow_mut();
                table.answered(&pick.target);
                if let Some(load) = begun.answer.load {
                    table.loaded(&pick.target, load);
                }
                drop(table);
                Ok(begun)
            }
            Err(failure) => Err(self.failed(job, pick, failure)),
        }
    }

    fn failed(&self, job: &Job, pick: &Pick, failure: Failure) -> Setback {
        let now = Instant::now();
        let name: &str = failure.into();
        info!(self.log, "sending failed"; "request" => &job.ask.attempt,
            "target" => &pick.target, "failure" => name);
        match failure {
            Failure::Unreached | Failure::Unsent => {
                self.news.table.borrow_mut().failed(&pick.target, now);
                job.unreached.set(job.unreached.get() + 1);
                Setback::NotRun(Cause::NoTarget)
            }
            Failure::Broken | Failure::Foreign => {
                self.news.table.borrow_mut().failed(&pick.target, now);
                job.sent.set(job.sent.get() + 1);
                Setback::MayHaveRun(Cause::Broken)
            }
            Failure::Late => {
                job.sent.set(job.sent.get() + 1);
                Setback::MayHaveRun(Cause::Late)
            }
        }
    }

    /// Passes the answer of a job on, or says why it does not count.
    async fn pass(
        self: &Rc<Self>,
        job: &Rc<Job>,
        slot: Slot,
        begun: Begun,
        pick: &Pick,
    ) -> Result<Response<Body>, Setback> {
        let answer = &begun.answer;
        let status = begun.head.status;
        if answer.not_run || answer.misdirected {
            self.turned_away(job, &slot.target, &begun);
            self.keep(&slot.target, begun);
            return Err(Setback::NotRun(Cause::NoRoom));
        }
        if !answer.sealed && status.is_success() {
            return Err(Setback::MayHaveRun(Cause::Broken));
        }
        if job.route.kind == Kind::Stream && status.is_success() {
            return self.stream(job, slot, begun, pick).await;
        }
        self.whole(job, slot, begun).await
    }

    /// Notes why a target did not run a job.
    fn turned_away(&self, job: &Job, target: &str, begun: &Begun) {
        info!(self.log, "turned away"; "request" => &job.ask.attempt, "target" => target,
            "status" => begun.head.status.as_u16());
        if !begun.answer.misdirected {
            return;
        }
        let mut table = self.news.table.borrow_mut();
        if let (Some(model), Some(adapter)) = (&job.ask.model, &job.ask.adapter) {
            table.bared(target, model, adapter);
        } else if let Some(model) = &job.ask.model {
            table.lacked(target, model, Instant::now());
        }
    }

    /// Gathers a plain answer and passes it on.
    async fn whole(
        self: &Rc<Self>,
        job: &Rc<Job>,
        slot: Slot,
        begun: Begun,
    ) -> Result<Response<Body>, Setback> {
        let Begun {
            mut head,
            answer,
            body,
            connection,
        } = begun;
        let gathered = timeout_at(job.deadline.into(), gather(body, GATHER)).await;
        let bytes = match gathered {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return Err(Setback::MayHaveRun(Cause::Broken)),
            Err(_) => return Err(Setback::MayHaveRun(Cause::Late)),
        };
        self.reuse(&slot.target, connection, &answer);
        let now = Instant::now();
        if head.status.is_server_error() && job.route.repeatable() && self.again(job, now) {
            info!(self.log, "answer replaced"; "request" => &job.ask.attempt,
                "target" => &slot.target, "status" => head.status.as_u16());
            drop(slot);
            // The failure is passed on where the next try does no better.
            if let Ok(better) = Box::pin(self.attempt(job)).await {
                return Ok(better);
            }
        }
        self.wire.back(&mut head);
        Ok(Response::from_parts(head, Body::whole(bytes)))
    }

    /// Waits for the first event of a stream, and passes the stream on.
    async fn stream(
        self: &Rc<Self>,
        job: &Rc<Job>,
        slot: Slot,
        begun: Begun,
        pick: &Pick,
    ) -> Result<Response<Body>, Setback> {
        let mut head = clone(&begun.head);
        self.wire.back(&mut head);
        head.headers.remove(http::header::CONTENT_LENGTH);
        let mut relay = Relay::new(begun);
        let (first, done) = match relay.next(job.deadline).await {
            Step::Event(event) => (Some(event), false),
            Step::Rest(event) => (Some(event), true),
            Step::End => (None, true),
            Step::Broken => return Err(Setback::MayHaveRun(Cause::Broken)),
            Step::Late => return Err(Setback::MayHaveRun(Cause::Late)),
        };
        slot.read();
        info!(self.log, "stream begun"; "request" => &job.ask.attempt, "target" => &slot.target,
            "route" => &job.route.name, "sent" => job.sent.get(), "fresh" => pick.fresh,
            "queue_ms" => pick.queue.as_millis(), "wait_ms" => pick.wait.as_millis(),
            "took_ms" => job.arrived.elapsed().as_millis());
        let stream = Stream {
            desk: Rc::clone(self),
            job: Rc::clone(job),
            relay,
            slot,
            first,
            last: job.ask.after,
            done,
        };
        let chunks = stream::unfold(Some(stream), |stream| async move { stream?.step().await });
        Ok(Response::from_parts(head, Body::Chunks(Box::pin(chunks))))
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

    /// Reads what is left of an answer that does not count, to keep its connection.
    fn keep(self: &Rc<Self>, target: &str, begun: Begun) {
        let desk = Rc::clone(self);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + Duration::from_secs(1);
            let rest = timeout_at(deadline.into(), gather(begun.body, GATHER)).await;
            if matches!(rest, Ok(Ok(_))) {
                desk.reuse(&target, begun.connection, &begun.answer);
            }
        });
    }

    /// Keeps a connection whose answer has been read to its end.
    fn reuse(
        self: &Rc<Self>,
        target: &str,
        mut connection: Connection,
        answer: &crate::wire::Answer,
    ) {
        if answer.closes {
            return;
        }
        let idle = answer.idle;
        let news = Rc::clone(&self.news);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + Duration::from_secs(1);
            let ready = timeout_at(deadline.into(), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut pool = news.pool.borrow_mut();
                pool.put(&target, connection, idle, Instant::now());
            }
        });
    }
}

impl Stream {
    /// Returns the next chunk for the caller.
    async fn step(mut self) -> Option<(Result<Bytes, Broken>, Option<Self>)> {
        if let Some(first) = self.first.take() {
            self.last = first.id.or(self.last);
            return Some((Ok(first.bytes), Some(self)));
        }
        loop {
            if self.done {
                self.end();
                return None;
            }
            match self.relay.next(self.job.deadline).await {
                Step::Event(event) => {
                    if !self.follows(&event) {
                        return self.broken("an event out of order");
                    }
                    self.last = event.id.or(self.last);
                    return Some((Ok(event.bytes), Some(self)));
                }
                Step::Rest(event) => {
                    self.done = true;
                    return Some((Ok(event.bytes), Some(self)));
                }
                Step::End => self.done = true,
                Step::Late => return Some((Err(Broken::Late), None)),
                Step::Broken => {
                    if !self.resume().await {
                        return self.broken("the target broke off");
                    }
                }
            }
        }
    }

    /// Returns whether an event comes right after the last one.
    fn follows(&self, event: &Event) -> bool {
        match (self.last, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }

    fn broken(self, why: &str) -> Option<(Result<Bytes, Broken>, Option<Self>)> {
        info!(self.desk.log, "stream broken"; "request" => &self.job.ask.attempt,
            "target" => &self.slot.target, "why" => why, "last" => self.last);
        Some((Err(Broken::Target), None))
    }

    /// Goes on at another target, after the last event that was passed on.
    async fn resume(&mut self) -> bool {
        let desk = Rc::clone(&self.desk);
        let job = Rc::clone(&self.job);
        let resumable = job.route.resumable && self.last.is_some();
        if !resumable || !desk.again(&job, Instant::now()) {
            return false;
        }
        let Choice::Send(pick) = desk.choose(&job, Instant::now()) else {
            return false;
        };
        if pick.bare && desk.adapt(&job, &pick).await.is_err() {
            return false;
        }
        let slot = Slot::take(&desk.news, &pick, &job);
        let Ok(begun) = desk.send(&job, &pick, self.last).await else {
            return false;
        };
        let good = begun.head.status.is_success() && begun.answer.sealed;
        if good {
            info!(desk.log, "stream resumed"; "request" => &job.ask.attempt,
                "target" => &pick.target, "after" => self.last);
            self.relay = Relay::new(begun);
            self.slot = slot;
        }
        good
    }

    /// Keeps the connection of a stream that has ended in order.
    fn end(self) {
        let begun = self.relay.begun;
        self.desk
            .reuse(&self.slot.target, begun.connection, &begun.answer);
    }
}

/// Gathers a body.
async fn gather(mut body: Incoming, most: usize) -> Result<Bytes, Cause> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Cause::Unreadable)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > most {
                return Err(Cause::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
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

fn clone(head: &http::response::Parts) -> http::response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.version_mut() = head.version;
    response.headers_mut().clone_from(&head.headers);
    response.into_parts().0
}
