//! Returns the response of a target to the caller.

use super::Proxy;
use super::job::{AttemptError, Job};
use super::load_guard::LoadGuard;
use super::stream::Stream;
use crate::body::{self, Body, Chunks, Error, collect};
use crate::choice::Candidate;
use crate::event_stream::{EventStream, Next};
use crate::events::Event;
use crate::exchange::PendingResponse;
use crate::pool::Connection;
use crate::wire::{Cause, Rejection, ResponseHead};
use flamingo_wire::route::Kind;
use flamingo_wire::stream::{Origin, key};
use futures_util::stream;
use http::{Method, Response, Version, header, response};
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response body that is buffered before it is returned, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Largest stream that is buffered for a caller that can't receive chunks, in bytes.
const MAX_BUFFERED_STREAM_BYTES: usize = 1024 * 1024;
/// Time for reading the rest of a discarded response, so that its connection can be reused.
const CONNECTION_RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt whose response head has been received.
pub(super) struct Answered {
    /// The target, with the prediction for the request.
    pub candidate: Candidate,
    /// Counts the request in the load of the target.
    pub load_guard: LoadGuard,
    /// The response.
    pub response: PendingResponse,
}

/// What a target has answered.
pub(super) enum Reply {
    /// A response head.
    Answered(Answered),
    /// The head and the first event of a stream.
    Begun(Begun),
}

/// A stream whose first event has been received.
pub(super) struct Begun {
    /// The target, with the prediction for the request.
    pub candidate: Candidate,
    /// Counts the request in the load of the target.
    pub load_guard: LoadGuard,
    /// The events after the first one.
    pub source: EventStream,
    /// The first event; `None` if the stream ended without one.
    pub first: Option<Event>,
}

impl Proxy {
    /// Sends a request to the chosen target and waits for the response head. `last_event_id` is the
    /// last event that the caller has received, if the request resumes a stream.
    pub(super) async fn ask(
        self: &Rc<Self>,
        job: &Job,
        candidate: Candidate,
        last_event_id: Option<u64>,
    ) -> Result<Answered, AttemptError> {
        let load_guard = self.prepare(job, &candidate).await?;
        let response = self.send(job, &candidate, last_event_id).await?;
        Ok(Answered {
            candidate,
            load_guard,
            response,
        })
    }

    /// Returns the target's response to the caller, or an error if the target rejected the
    /// request or the response can't be trusted.
    pub(super) async fn forward(
        self: &Rc<Self>,
        job: &Rc<Job>,
        answered: Answered,
    ) -> Result<Response<Body>, AttemptError> {
        let answered = self.check_head(job, answered)?;
        let status = answered.response.head.status;
        if job.route.kind == Kind::Stream && status.is_success() {
            let last_event_id = job.request.last_event_id;
            let begun = self.first_event(job, answered, last_event_id, job.deadline);
            return self.stream_response(job, begun.await?).await;
        }
        self.forward_whole(job, answered).await
    }

    /// Returns an error if the target rejected the request or its success can't be trusted.
    fn check_head(
        self: &Rc<Self>,
        job: &Job,
        answered: Answered,
    ) -> Result<Answered, AttemptError> {
        let parsed = &answered.response.parsed;
        if parsed.rejection.is_some() {
            self.record_rejection(job, &answered);
            self.discard(&answered.load_guard.target, answered.response);
            return Err(AttemptError::NotRun(Cause::NoRoom));
        }
        if !parsed.sealed && answered.response.head.status.is_success() {
            return Err(AttemptError::MayHaveRun(Cause::Broken));
        }
        Ok(answered)
    }

    /// As [`Self::check_head`], and returns an error if the target failed.
    pub(super) fn check_answer(
        self: &Rc<Self>,
        job: &Job,
        answered: Answered,
    ) -> Result<Answered, AttemptError> {
        let answered = self.check_head(job, answered)?;
        if !answered.response.head.status.is_server_error() {
            return Ok(answered);
        }
        self.discard(&answered.load_guard.target, answered.response);
        Err(AttemptError::MayHaveRun(Cause::Broken))
    }

    /// Records why a target rejected a request without running it.
    fn record_rejection(&self, job: &Job, answered: &Answered) {
        let Answered {
            load_guard,
            response,
            ..
        } = answered;
        let target = &load_guard.target;
        info!(self.log, "turned away"; "request" => &job.request.attempt_id, "target" => target,
            "status" => response.head.status.as_u16());
        if response.parsed.rejection != Some(Rejection::Misdirected) {
            return;
        }
        let mut table = self.topology.table.borrow_mut();
        if let (Some(model), Some(adapter)) = (&job.request.model, &job.request.adapter) {
            table.record_missing_adapter(target, model, adapter);
        } else if let Some(model) = &job.request.model {
            table.record_missing_model(target, model, Instant::now());
        }
    }

    /// Buffers a response that is not a stream and returns it to the caller. A server error is
    /// replaced by the response of another attempt, if the request may be resent.
    async fn forward_whole(
        self: &Rc<Self>,
        job: &Rc<Job>,
        answered: Answered,
    ) -> Result<Response<Body>, AttemptError> {
        let Answered {
            candidate,
            load_guard,
            response,
        } = answered;
        let PendingResponse {
            head,
            parsed,
            body,
            connection,
            sent_at,
        } = response;
        let collected = timeout_at(job.deadline.into(), collect(body, MAX_BUFFERED_BYTES)).await;
        let bytes = match collected {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => {
                self.record_break(job, &candidate, sent_at, None);
                return Err(AttemptError::MayHaveRun(Cause::Broken));
            }
            Err(_) => return Err(AttemptError::MayHaveRun(Cause::Late)),
        };
        self.record_answered(job);
        self.return_to_pool(&load_guard.target, connection, &parsed);
        let now = Instant::now();
        if head.status.is_server_error() && job.route.repeatable() && self.try_retry(job, now) {
            info!(self.log, "answer replaced"; "request" => &job.request.attempt_id,
                "target" => &load_guard.target, "status" => head.status.as_u16());
            drop(load_guard);
            // The caller gets the server error if the next attempt has no response.
            if let Ok(replacement) = Box::pin(self.attempt(job)).await {
                return Ok(replacement);
            }
        }
        self.metrics
            .observe_first_event(&job.route.name, job.arrived_at.elapsed());
        self.metrics.record_outcome(&job.route.name, "answered");
        let head = self.caller_head(job, &head);
        Ok(Response::from_parts(head, Body::whole(bytes)))
    }

    /// Waits until `deadline` for the first event of a stream that goes on after `last_event_id`.
    pub(super) async fn first_event(
        self: &Rc<Self>,
        job: &Job,
        answered: Answered,
        last_event_id: Option<u64>,
        deadline: Instant,
    ) -> Result<Begun, AttemptError> {
        let Answered {
            candidate,
            load_guard,
            response,
        } = answered;
        let mut source = EventStream::new(response);
        let next = source.next(deadline).await;
        let target = &load_guard.target;
        self.log_stream_end(job, target, &source, &next, last_event_id);
        let first = match next {
            Next::Event(event) if !continues(job, &event, last_event_id) => {
                info!(self.log, "stream broken"; "request" => &job.request.attempt_id,
                    "target" => target, "why" => "the target did not go on after the last event",
                    "last" => last_event_id);
                return Err(AttemptError::MayHaveRun(Cause::Broken));
            }
            Next::Event(event) => Some(event),
            Next::End => None,
            Next::Broken(_) => {
                self.record_break(job, &candidate, source.response.sent_at, None);
                return Err(AttemptError::MayHaveRun(Cause::Broken));
            }
            Next::TimedOut => return Err(AttemptError::MayHaveRun(Cause::Late)),
        };
        load_guard.finish_prefill();
        self.record_answered(job);
        Ok(Begun {
            candidate,
            load_guard,
            source,
            first,
        })
    }

    /// Returns a response that streams the events to the caller.
    pub(super) async fn stream_response(
        self: &Rc<Self>,
        job: &Rc<Job>,
        begun: Begun,
    ) -> Result<Response<Body>, AttemptError> {
        let Begun {
            candidate,
            load_guard,
            source,
            first,
        } = begun;
        let head = self.caller_head(job, &source.response.head);
        let sent_at = source.response.sent_at;
        let done = first.is_none();
        self.begin_stream(job, &candidate);
        let rate = self.observe_prefill(job, &candidate, sent_at);
        info!(self.log, "stream begun"; "request" => &job.request.attempt_id,
            "target" => &load_guard.target, "route" => &job.route.name,
            "software" => &candidate.software,
            "resumes" => &job.request.resumes, "after" => job.request.last_event_id,
            "sent" => job.sent.get(), "fresh" => candidate.uncached_tokens,
            "rate" => rate, "queue_ms" => candidate.queueing_delay.as_millis(),
            "wait_ms" => candidate.first_event_delay.as_millis(),
            "took_ms" => job.arrived_at.elapsed().as_millis());
        self.metrics
            .observe_first_event(&job.route.name, job.arrived_at.elapsed());
        let stream = Stream {
            proxy: Rc::clone(self),
            job: Rc::clone(job),
            source: Some(source),
            load_guard,
            candidate,
            begun_at: Some(Instant::now()),
            last_event_at: Instant::now(),
            first,
            last_event_id: job.request.last_event_id,
            done,
            stalled: false,
        };
        let chunks = stream::unfold(
            Some(stream),
            |stream| async move { stream?.next_chunk().await },
        );
        let mut chunks: Chunks = Box::pin(chunks);
        if can_receive_chunks(job) {
            return Ok(Response::from_parts(head, Body::Chunks(chunks)));
        }
        let bytes = body::collect_chunks(&mut chunks, MAX_BUFFERED_STREAM_BYTES)
            .await
            .map_err(|error| match error {
                Error::TargetFailed | Error::TooLarge => AttemptError::MayHaveRun(Cause::Broken),
                Error::DeadlineExceeded => AttemptError::MayHaveRun(Cause::Late),
            })?;
        Ok(Response::from_parts(head, Body::whole(bytes)))
    }

    /// Records the software version at which a stream begins, unless it goes on with an earlier one.
    fn begin_stream(&self, job: &Job, candidate: &Candidate) {
        let mut software = job.software.borrow_mut();
        if software.is_some() {
            return;
        }
        *software = Some(candidate.software.clone());
        let Some(attempt_id) = job
            .request
            .attempt_id
            .as_ref()
            .filter(|_| job.route.resumable)
        else {
            return;
        };
        let origin = Origin {
            service: job.service.clone(),
            software: candidate.software.clone(),
        };
        let mut origins = self.topology.origins.borrow_mut();
        origins.record(key(attempt_id), origin, &candidate.target, Instant::now());
    }

    /// Returns the head of the caller's response for a target's response. How the target delimited
    /// its body is not passed on: the server delimits the body that it sends.
    fn caller_head(&self, job: &Job, head: &response::Parts) -> response::Parts {
        let mut head = clone_head(head);
        self.codec.strip_hop_by_hop(&mut head);
        // The response to HEAD has no body, and states the length that GET would return.
        if job.http_head.method != Method::HEAD {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        head
    }

    /// Adds the time to a first event to the estimate of the prefill rate, and returns the
    /// estimated rate in tokens per millisecond.
    fn observe_prefill(&self, job: &Job, candidate: &Candidate, sent_at: Instant) -> f64 {
        let time = sent_at.elapsed();
        let mut table = self.topology.table.borrow_mut();
        let estimator = table.prefill_mut(&job.service);
        // With a backlog, the time also depends on requests of other entries that are not known
        // exactly.
        if candidate.backlog_tokens == 0 {
            estimator.observe(candidate.uncached_tokens, time);
        }
        estimator.tokens_per_ms()
    }

    /// Reads the rest of a discarded response in the background, so that its connection can be
    /// reused.
    fn discard(self: &Rc<Self>, target: &str, response: PendingResponse) {
        let proxy = Rc::clone(self);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + CONNECTION_RESET_TIMEOUT;
            let rest =
                timeout_at(deadline.into(), collect(response.body, MAX_BUFFERED_BYTES)).await;
            if matches!(rest, Ok(Ok(_))) {
                proxy.return_to_pool(&target, response.connection, &response.parsed);
            }
        });
    }

    /// Returns a connection to the pool once it can send another request. The response on it must
    /// have been read to its end.
    pub(super) fn return_to_pool(
        self: &Rc<Self>,
        target: &str,
        mut connection: Connection,
        parsed: &ResponseHead,
    ) {
        if parsed.closes_connection {
            return;
        }
        let idle_timeout = parsed.idle_timeout;
        let topology = Rc::clone(&self.topology);
        let target = target.to_owned();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + CONNECTION_RESET_TIMEOUT;
            let ready = timeout_at(deadline.into(), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut pool = topology.pool.borrow_mut();
                pool.put(&target, connection, idle_timeout, Instant::now());
            }
        });
    }
}

/// Returns whether the first event of a response directly follows the last one that the caller has, if
/// the stream goes on.
fn continues(job: &Job, event: &Event, last_event_id: Option<u64>) -> bool {
    !job.route.resumable || event.follows(last_event_id)
}

/// Returns whether the caller can tell a streamed response that breaks off from a complete one. In
/// HTTP/1.0 a body without a length ends with its connection.
fn can_receive_chunks(job: &Job) -> bool {
    job.http_head.version >= Version::HTTP_11
}

/// Clones the status and headers of a response head.
fn clone_head(head: &response::Parts) -> response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    response.headers_mut().clone_from(&head.headers);
    response.into_parts().0
}
