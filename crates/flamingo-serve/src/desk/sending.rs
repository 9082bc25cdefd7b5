//! Sends a job to a target, and passes its answer on.

use super::Desk;
use super::job::{Job, Setback};
use super::slot::Slot;
use super::stream::Stream;
use crate::body::{Body, gather};
use crate::choice::{self, Choice, Pick};
use crate::exchange::{self, Begun, Failure};
use crate::pool::Connection;
use crate::relay::{Relay, Step};
use crate::wire::{Answer, Away, Cause, Hop};
use flamingo_wire::control::{LoadAdapter, Reply, Request as Question};
use flamingo_wire::fault::Reason;
use flamingo_wire::route::Kind;
use futures_util::stream;
use http::{Request, Response, Uri, response};
use http_body_util::Full;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest answer that is gathered before it is passed on, in bytes.
const GATHER: usize = 256 * 1024;
/// Time that the holder of orders has to bring an adapter.
const ADAPT: Duration = Duration::from_millis(700);
/// Shortest time past the objective after which a target without an answer is given up.
const SILENCE: Duration = Duration::from_millis(600);
/// Time for reading what is left of an answer, so that its connection can be kept.
const REST: Duration = Duration::from_secs(1);

/// A job that a target has begun to answer.
struct Sent {
    pick: Pick,
    /// Its place at the target.
    slot: Slot,
    begun: Begun,
}

impl Desk {
    /// Sends a job once.
    pub(super) async fn attempt(self: &Rc<Self>, job: &Rc<Job>) -> Result<Response<Body>, Setback> {
        let pick = match self.choose(job, Instant::now()) {
            Choice::Send(pick) => pick,
            Choice::Full(wait) => return Err(Setback::Full(wait)),
            Choice::NoTarget => return Err(Setback::Stuck(Cause::NoTarget)),
            Choice::NoModel => return Err(Setback::Stuck(Cause::NoModel)),
        };
        let slot = Slot::take(&self.news, &pick, job);
        if pick.bare {
            self.adapt(job, &pick).await?;
        }
        let begun = self.send(job, &pick, job.ask.after).await?;
        self.pass(job, Sent { pick, slot, begun }).await
    }

    /// Has the adapter of a job brought to its target.
    pub(super) async fn adapt(&self, job: &Job, pick: &Pick) -> Result<(), Setback> {
        let (Some(model), Some(adapter)) = (job.ask.model.clone(), job.ask.adapter.clone()) else {
            return Ok(());
        };
        let known = self.news.peers.borrow().leader;
        let Some(leader) = known else {
            return Err(self.lacks(job, pick, "no leader is known"));
        };
        let incarnation = {
            let table = self.news.table.borrow();
            let target = table.get(&pick.target);
            target.map(|target| target.registration.incarnation)
        };
        let Some(incarnation) = incarnation else {
            return Err(self.lacks(job, pick, "the target has gone"));
        };
        let question = Question::LoadAdapter(LoadAdapter {
            target: pick.target.clone(),
            incarnation,
            model: model.clone(),
            adapter: adapter.clone(),
        });
        let deadline = job.deadline.min(Instant::now() + ADAPT);
        match self.asker.ask(leader, &question, deadline).await {
            Reply::Acknowledged => {
                let mut table = self.news.table.borrow_mut();
                table.adapted(&pick.target, &model, &adapter);
                Ok(())
            }
            Reply::Refused(fault) => {
                if fault.reason == Reason::Leaderless {
                    // It is asked again once a control instance names it, or another.
                    self.news.peers.borrow_mut().forget(leader);
                }
                Err(self.lacks(job, pick, &fault.message))
            }
            other => Err(self.lacks(job, pick, &format!("{other:?}"))),
        }
    }

    /// Notes that an adapter can't be brought to a target, which is not tried again.
    fn lacks(&self, job: &Job, pick: &Pick, why: &str) -> Setback {
        info!(self.log, "adapter not brought"; "request" => &job.ask.attempt,
            "target" => &pick.target, "why" => why);
        job.pass_over(&pick.target);
        Setback::NotRun(Cause::NoModel)
    }

    /// Sends a job to its target and waits for the head of the answer.
    pub(super) async fn send(
        &self,
        job: &Job,
        pick: &Pick,
        after: Option<u64>,
    ) -> Result<Begun, Setback> {
        let now = Instant::now();
        let address = {
            let mut table = self.news.table.borrow_mut();
            let Some(target) = table.get_mut(&pick.target).filter(|target| target.open()) else {
                job.pass_over(&pick.target);
                return Err(Setback::NotRun(Cause::NoTarget));
            };
            target.reads(choice::space(&job.ask), &job.ask.pieces, pick.fresh);
            target.registration.address
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
        *request.uri_mut() = origin(&job.head.uri);
        *request.headers_mut() = self.wire.forward(&job.head, &hop);
        let kept = self.news.pool.borrow_mut().take(&pick.target, now);
        let how = if kept.is_some() {
            "used_again"
        } else {
            "dialled"
        };
        self.metrics.connections.with_label_values(&[how]).inc();
        let attempt = job.ask.attempt.as_deref();
        let wire = self.wire.as_ref();
        let patient = job.deadline.min(now + Self::patience(job, pick));
        job.sent_at.set(Instant::now());
        let sent = exchange::send(kept, address, request, attempt, wire, patient).await;
        job.tried.borrow_mut().push(pick.target.clone());
        match sent {
            Ok(begun) => {
                job.count();
                let mut table = self.news.table.borrow_mut();
                self.metrics.sendings.with_label_values(&["answered"]).inc();
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

    /// Returns for how long a target may keep a job waiting before it is tried elsewhere: as
    /// long as the job has, where it may not run twice or can't be sent again.
    fn patience(job: &Job, pick: &Pick) -> Duration {
        let another = job.sent.get() + 1 < job.route.attempts;
        if job.ask.model.is_none() || !job.route.repeatable() || !another {
            return job.deadline.saturating_duration_since(job.arrived);
        }
        let objective = Duration::from_millis(job.route.objective_ms);
        objective + pick.wait.max(SILENCE)
    }

    fn failed(&self, job: &Job, pick: &Pick, failure: Failure) -> Setback {
        let now = Instant::now();
        let name: &str = failure.into();
        self.metrics.sendings.with_label_values(&[name]).inc();
        info!(self.log, "sending failed"; "request" => &job.ask.attempt,
            "target" => &pick.target, "failure" => name);
        match failure {
            Failure::Unreached | Failure::Unsent => {
                self.shun(&pick.target, now);
                job.unreached.set(job.unreached.get() + 1);
                Setback::NotRun(Cause::NoTarget)
            }
            Failure::Late if now >= job.deadline => {
                job.count();
                Setback::MayHaveRun(Cause::Late)
            }
            // One that is late before the job is over is silent, or far busier than was known.
            Failure::Broken | Failure::Foreign | Failure::Late => {
                self.shun(&pick.target, now);
                job.count();
                Setback::MayHaveRun(Cause::Broken)
            }
        }
    }

    /// Passes the answer of a job on, or says why it does not count.
    async fn pass(self: &Rc<Self>, job: &Rc<Job>, sent: Sent) -> Result<Response<Body>, Setback> {
        let answer = &sent.begun.answer;
        let status = sent.begun.head.status;
        if answer.away.is_some() {
            self.turned_away(job, &sent);
            self.keep(&sent.slot.target, sent.begun);
            return Err(Setback::NotRun(Cause::NoRoom));
        }
        if !answer.sealed && status.is_success() {
            return Err(Setback::MayHaveRun(Cause::Broken));
        }
        if job.route.kind == Kind::Stream && status.is_success() {
            return self.stream(job, sent).await;
        }
        self.whole(job, sent).await
    }

    /// Notes that a target could not be reached, broke off or fell silent.
    pub(super) fn shun(&self, target: &str, now: Instant) {
        self.news.table.borrow_mut().failed(target, now);
    }

    /// Notes why a target did not run a job.
    fn turned_away(&self, job: &Job, sent: &Sent) {
        let Sent { slot, begun, .. } = sent;
        let target = &slot.target;
        info!(self.log, "turned away"; "request" => &job.ask.attempt, "target" => target,
            "status" => begun.head.status.as_u16());
        if begun.answer.away != Some(Away::Misdirected) {
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
    async fn whole(self: &Rc<Self>, job: &Rc<Job>, sent: Sent) -> Result<Response<Body>, Setback> {
        let slot = sent.slot;
        let Begun {
            mut head,
            answer,
            body,
            connection,
        } = sent.begun;
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
        self.metrics.begun(&job.route.name, job.arrived.elapsed());
        self.metrics.ended(&job.route.name, "answered");
        self.wire.back(&mut head);
        Ok(Response::from_parts(head, Body::whole(bytes)))
    }

    /// Waits for the first event of a stream, and passes the stream on.
    async fn stream(self: &Rc<Self>, job: &Rc<Job>, sent: Sent) -> Result<Response<Body>, Setback> {
        let Sent { pick, slot, begun } = sent;
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
        let rate = self.learn(job, &pick);
        info!(self.log, "stream begun"; "request" => &job.ask.attempt, "target" => &slot.target,
            "route" => &job.route.name, "sent" => job.sent.get(), "fresh" => pick.fresh,
            "rate" => rate, "queue_ms" => pick.queue.as_millis(), "wait_ms" => pick.wait.as_millis(),
            "took_ms" => job.arrived.elapsed().as_millis());
        self.metrics.begun(&job.route.name, job.arrived.elapsed());
        let stream = Stream {
            desk: Rc::clone(self),
            job: Rc::clone(job),
            relay: Some(relay),
            slot,
            first,
            last: job.ask.after,
            done,
            stalled: false,
        };
        let chunks = stream::unfold(Some(stream), |stream| async move { stream?.step().await });
        Ok(Response::from_parts(head, Body::Chunks(Box::pin(chunks))))
    }

    /// Takes in how long a target took to read a prompt; returns the tokens that targets are
    /// now taken to read in a millisecond.
    fn learn(&self, job: &Job, pick: &Pick) -> f64 {
        let wait = job.sent_at.get().elapsed();
        let mut table = self.news.table.borrow_mut();
        let pace = table.pace_mut(&job.service);
        // What others send meanwhile blurs the rest.
        if pick.before == 0 {
            pace.learn(pick.fresh, wait);
        }
        pace.rate()
    }

    /// Reads what is left of an answer that does not count, to keep its connection.
    fn keep(self: &Rc<Self>, target: &str, begun: Begun) {
        let desk = Rc::clone(self);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + REST;
            let rest = timeout_at(deadline.into(), gather(begun.body, GATHER)).await;
            if matches!(rest, Ok(Ok(_))) {
                desk.reuse(&target, begun.connection, &begun.answer);
            }
        });
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(super) fn reuse(
        self: &Rc<Self>,
        target: &str,
        mut connection: Connection,
        answer: &Answer,
    ) {
        if answer.closes {
            return;
        }
        let idle = answer.idle;
        let news = Rc::clone(&self.news);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + REST;
            let ready = timeout_at(deadline.into(), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut pool = news.pool.borrow_mut();
                pool.put(&target, connection, idle, Instant::now());
            }
        });
    }
}

/// Returns the form of a request's target that a server takes (RFC 9112, section 3.2.1).
fn origin(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

fn clone(head: &response::Parts) -> response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.version_mut() = head.version;
    response.headers_mut().clone_from(&head.headers);
    response.into_parts().0
}
