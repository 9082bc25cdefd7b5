//! Passes requests on to neighbours: entries that reach targets while this one does not.

use super::Proxy;
use super::arrival::{Arrival, Upload, choose_service};
use super::begin::MAX_BUFFERED_STREAM_BYTES;
use super::forward::{MAX_BUFFERED_BYTES, may_be_empty};
use super::job::Job;
use crate::body::{self, Body, Chunks, Error, WhenFull, collect};
use crate::exchange::Framing;
use crate::handover::{self, Answer, Failure, MARK};
use crate::isolation::Reach;
use crate::server::Stage;
use crate::wire::{Cause, Refusal, RequestHead};
use bytes::Bytes;
use flamingo_wire::handover::prove;
use flamingo_wire::id;
use flamingo_wire::route::Route;
use futures_util::stream;
use http::{HeaderValue, Request, Response, Version, request};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use slog::{Logger, info, warn};
use smallvec::SmallVec;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};
use strum::IntoStaticStr;
use tokio::time::timeout_at;

/// Largest number of neighbours that a request is sent to.
const MAX_SENDINGS: usize = 2;
/// Largest number of neighbours that are asked: one that refuses answers at once.
const MAX_ASKED: usize = 4;
/// Time for which a neighbour that failed or refused is not asked.
const ASIDE_TIME: Duration = Duration::from_secs(2);

/// Why a request is passed on.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Reason {
    /// This entry is isolated.
    Isolated,
    /// The attempts of the request found no target.
    NoTarget,
}

/// A request that is passed on.
pub(super) struct Passing<'a> {
    /// The head as the caller sent it.
    pub head: &'a request::Parts,
    /// The head as parsed by the codec.
    pub request: &'a RequestHead,
    /// Route of the request.
    pub route: &'a Route,
    /// Service whose budget pays for a repetition.
    pub service: &'a id::Service,
    /// Complete request body.
    pub body: &'a Bytes,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Why it is passed on.
    pub reason: Reason,
}

impl Passing<'_> {
    /// Returns a number that differs between tries, so that they spread over the neighbours.
    fn salt(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.request.attempt_id, self.arrived_at).hash(&mut hasher);
        hasher.finish()
    }
}

impl Proxy {
    /// Passes a request on before anything of it is counted here, if this entry is isolated. Returns its
    /// response, or the body of a request that no neighbour has taken.
    pub(super) async fn pass_on_early(
        &self,
        arrival: &Arrival,
        upload: Upload,
    ) -> Result<Response<Body>, Upload> {
        let Some(head) = &arrival.caller_head else {
            return Err(upload);
        };
        let outlasts = self.may_outlast_stop(&arrival.route, arrival.deadline);
        if outlasts || !self.is_isolated() || !self.has_neighbour() {
            return Err(upload);
        }
        let body = match self.receive_body(upload, arrival).await {
            Ok(body) => body,
            Err(refusal) => return Ok(refusal),
        };
        let passing = Passing {
            head,
            request: &arrival.request,
            route: &arrival.route,
            service: &choose_service(&arrival.route, &arrival.request),
            body: &body,
            arrived_at: arrival.arrived_at,
            deadline: arrival.deadline,
            reason: Reason::Isolated,
        };
        let response = tokio::select! {
            biased;
            response = self.pass_on(&passing) => response,
            () = self.drain.reach(Stage::Ending) => {
                Some(self.give_up_passed_on(&passing, Failure::Late))
            }
        };
        response.ok_or(Upload::Whole(body))
    }

    /// Passes a request on that has not run and finds no target here, if targets may be out of the reach
    /// of this entry alone; else gives it up.
    pub(super) async fn pass_on_or_give_up(&self, job: &Job, cause: Cause) -> Response<Body> {
        let passes_on = self.may_pass_on(job, cause);
        let Some(head) = job.caller_head.take().filter(|_| passes_on) else {
            return self.give_up(job, cause);
        };
        // The neighbour takes and counts it anew.
        self.give_back_quota(job);
        let passing = Passing {
            head: &head,
            request: &job.request,
            route: &job.route,
            service: &job.service,
            body: &job.body,
            arrived_at: job.arrived_at,
            deadline: job.deadline,
            reason: Reason::NoTarget,
        };
        // Until it is known that no neighbour has taken it, it may run.
        job.sent.set(1);
        let Some(response) = self.pass_on(&passing).await else {
            job.sent.set(0);
            return self.give_up(job, cause);
        };
        self.retries.forget_request(&job.service, job.arrived_at);
        response
    }

    /// Returns whether a request that fails for `cause` may be passed on.
    pub(super) fn may_pass_on(&self, job: &Job, cause: Cause) -> bool {
        cause == Cause::NoTarget
            && job.caller_head.borrow().is_some()
            && job.sent.get() == 0
            && !job.may_have_run.get()
            && job.unreachable.get() > 0
            && self.reach() != Reach::Reaching
            && self.has_neighbour()
    }

    fn has_neighbour(&self) -> bool {
        self.choose_neighbour(0, &[]).is_some()
    }

    fn choose_neighbour(&self, salt: u64, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let neighbours = self.topology.neighbours.borrow();
        let own = self.inner_address;
        neighbours.choose(&self.zone, own, tried, salt, Instant::now())
    }

    /// Passes a request on. Returns the response of a neighbour, or the failure of one that may have run
    /// it; `None` if it has not run anywhere.
    async fn pass_on(&self, passing: &Passing<'_>) -> Option<Response<Body>> {
        let mut tried: SmallVec<[SocketAddr; MAX_ASKED]> = SmallVec::new();
        let mut sendings = 0;
        let mut lost = None;
        while tried.len() < MAX_ASKED && sendings < MAX_SENDINGS {
            let Some(neighbour) = self.choose_neighbour(passing.salt(), &tried) else {
                break;
            };
            tried.push(neighbour);
            let failure = match self.ask_neighbour(passing, neighbour).await {
                Ok(response) => return Some(response),
                Err(failure) => failure,
            };
            self.record_not_passed_on(passing, neighbour, failure);
            sendings += usize::from(failure != Failure::Refused);
            if failure.may_have_run() {
                lost = Some(failure);
                if !self.may_repeat(passing) {
                    break;
                }
            }
        }
        lost.map(|failure| self.give_up_passed_on(passing, failure))
    }

    /// Returns whether a request that may have run at a neighbour may be sent to another one. Spends a
    /// retry of the budget if so.
    fn may_repeat(&self, passing: &Passing<'_>) -> bool {
        let now = Instant::now();
        now < passing.deadline
            && passing.route.repeatable()
            && passing.route.attempts > 1
            && self.pay_retry(passing.service, now)
    }

    async fn ask_neighbour(
        &self,
        passing: &Passing<'_>,
        neighbour: SocketAddr,
    ) -> Result<Response<Body>, Failure> {
        let reason: &str = passing.reason.into();
        info!(self.log, "request passed on"; "request" => &passing.request.attempt_id,
            "route" => &passing.route.name, "neighbour" => %neighbour, "why" => reason,
            "after_ms" => passing.arrived_at.elapsed().as_millis());
        let request = self.request_to(passing, neighbour)?;
        let answer = handover::send(neighbour, request, passing.deadline).await?;
        let response = self.return_answer(passing, neighbour, answer).await?;
        self.metrics
            .handovers()
            .passed_on
            .with_label_values(&["answered"])
            .inc();
        self.metrics
            .record_outcome(&passing.route.name, "passed_on");
        Ok(response)
    }

    /// Returns the request for a neighbour: as the caller sent it, with what is left of its time and with
    /// the proof that an entry of this system passes it on.
    fn request_to(
        &self,
        passing: &Passing<'_>,
        neighbour: SocketAddr,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let identity = handover::identity(neighbour, passing.head, passing.request);
        let proof = prove(&self.seal, &identity, SystemTime::now());
        let proof = proof.map_err(|error| {
            warn!(self.log, "request can't be sealed"; "error" => %error);
            Failure::Unsent
        })?;
        let max_wait = passing.request.max_wait;
        let left = max_wait.map(|wait| wait.saturating_sub(passing.arrived_at.elapsed()));
        let mut request = Request::new(Full::new(passing.body.clone()));
        *request.method_mut() = passing.head.method.clone();
        *request.uri_mut() = super::attempt::origin_form(&passing.head.uri);
        *request.headers_mut() = self.codec.passed_on_headers(passing.head, left);
        // Hexadecimal digits are a valid header value.
        if let Ok(proof) = HeaderValue::from_str(&proof) {
            request.headers_mut().insert(MARK, proof);
        }
        Ok(request)
    }

    /// Returns the answer of a neighbour to the caller: a stream as it arrives, all else once it is whole.
    async fn return_answer(
        &self,
        passing: &Passing<'_>,
        neighbour: SocketAddr,
        answer: Answer,
    ) -> Result<Response<Body>, Failure> {
        let head = self.head_for(&passing.head.method, &answer.head);
        let framing = Framing::of(&answer.head);
        if framing != Framing::Chunks {
            let whole = self.receive_whole(passing, answer).await?;
            return Ok(Response::from_parts(head, Body::whole(whole)));
        }
        let log = self.log.new(slog::o!());
        let relay = Relay {
            answer,
            deadline: passing.deadline,
            neighbour,
            request: passing.request.attempt_id.clone(),
            log,
        };
        let mut chunks = relay.into_chunks();
        if passing.head.version >= Version::HTTP_11 {
            return Ok(Response::from_parts(head, Body::Chunks(chunks)));
        }
        // In HTTP/1.0 a stream that breaks off can't be told from one that is whole.
        let collected = body::collect_chunks(&mut chunks, MAX_BUFFERED_STREAM_BYTES, &self.memory);
        let whole = collected.await.map_err(|error| match error {
            Error::DeadlineExceeded => Failure::Late,
            Error::TargetFailed | Error::TooLarge => Failure::Broken,
        })?;
        Ok(Response::from_parts(head, Body::whole(whole)))
    }

    async fn receive_whole(&self, passing: &Passing<'_>, answer: Answer) -> Result<Bytes, Failure> {
        let Answer {
            head,
            body,
            connection,
        } = answer;
        let buffer = self.memory.buffer(MAX_BUFFERED_BYTES);
        let collected = collect(body, buffer, WhenFull::Wait);
        let collected = timeout_at(passing.deadline.into(), collected).await;
        drop(connection);
        match collected {
            Ok(Ok(bytes)) if !bytes.is_empty() || may_be_empty(&passing.head.method, &head) => {
                Ok(bytes)
            }
            Ok(_) => Err(Failure::Broken),
            Err(_) => Err(Failure::Late),
        }
    }

    /// Logs and counts a neighbour that has not answered a request, and asks others for a time.
    fn record_not_passed_on(&self, passing: &Passing<'_>, neighbour: SocketAddr, failure: Failure) {
        let name: &str = failure.into();
        info!(self.log, "neighbour failed"; "request" => &passing.request.attempt_id,
            "neighbour" => %neighbour, "failure" => name,
            "after_ms" => passing.arrived_at.elapsed().as_millis());
        self.metrics
            .handovers()
            .passed_on
            .with_label_values(&[name])
            .inc();
        // One that is late may only be waiting for a target.
        if failure != Failure::Late {
            let until = Instant::now() + ASIDE_TIME;
            let mut neighbours = self.topology.neighbours.borrow_mut();
            neighbours.put_aside(neighbour, until);
        }
    }

    /// Logs and counts a request that may have run at a neighbour, and returns the failure.
    fn give_up_passed_on(&self, passing: &Passing<'_>, failure: Failure) -> Response<Body> {
        let cause = match failure {
            Failure::Late => Cause::Late,
            _ => Cause::Broken,
        };
        let name: &str = cause.into();
        info!(self.log, "given up after passing on"; "request" => &passing.request.attempt_id,
            "route" => &passing.route.name, "cause" => name,
            "after_ms" => passing.arrived_at.elapsed().as_millis());
        self.metrics.record_outcome(&passing.route.name, name);
        self.refuse(Refusal::new(cause), Some(passing.request))
    }
}

/// The streamed answer of a neighbour on its way to the caller.
struct Relay {
    answer: Answer,
    deadline: Instant,
    neighbour: SocketAddr,
    request: Option<crate::wire::AttemptId>,
    log: Logger,
}

impl Relay {
    fn into_chunks(self) -> Chunks {
        let chunks = stream::unfold(Some(self), |relay| async move { relay?.next_chunk().await });
        Box::pin(chunks)
    }

    /// Returns the next chunk with what follows it, or `None` at the normal end. After an error nothing
    /// follows, and the caller's stream ends without its end marker.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, Error>, Option<Self>)> {
        let next = next_data(&mut self.answer.body);
        let error = match timeout_at(self.deadline.into(), next).await {
            Ok(None) => return None,
            Ok(Some(Ok(data))) => return Some((Ok(data), Some(self))),
            Ok(Some(Err(_))) => Error::TargetFailed,
            Err(_) => Error::DeadlineExceeded,
        };
        info!(self.log, "stream of a neighbour broken"; "request" => &self.request,
            "neighbour" => %self.neighbour, "why" => %error);
        Some((Err(error), None))
    }
}

/// Returns the next bytes of a body; `None` at its end.
async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}
