//! Returns the response of a target to the caller.

use super::Proxy;
use super::begin::Begun;
use super::crash::Progress;
use super::job::{AttemptError, Job};
use super::load_guard::LoadGuard;
use crate::body::{Body, WhenFull, collect};
use crate::choice::Candidate;
use crate::exchange::{Framing, PendingResponse};
use crate::wire::{Cause, Rejection};
use flamingo_wire::route::Kind;
use http::{Method, Response, StatusCode, header, response};
use http_body::Body as _;
use hyper::body::Incoming;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response body that is buffered before it is returned, in bytes.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 * 1024;

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
        load_guard.record_response(&response.parsed);
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
        if let Some(rejection) = parsed.rejection {
            self.record_rejection(job, &answered);
            self.discard(&answered.load_guard.target, answered.response);
            let adapter_missing =
                rejection == Rejection::Misdirected && job.request.adapter.is_some();
            return Err(if adapter_missing {
                AttemptError::AdapterMissing(Box::new(Candidate {
                    needs_adapter_load: true,
                    ..answered.candidate
                }))
            } else {
                AttemptError::NotRun(Cause::NoRoom)
            });
        }
        if !parsed.sealed && answered.response.head.status.is_success() {
            let request = job.request.attempt_id.as_ref();
            self.record_broken_answer(request, &answered.load_guard.target, "seal");
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
        if states_too_much(&body) {
            return Err(AttemptError::MayHaveRun(Cause::Broken));
        }
        let buffer = self.memory.buffer(MAX_BUFFERED_BYTES);
        let collected = collect(body, buffer, WhenFull::Wait);
        let bytes = match timeout_at(job.deadline.into(), collected).await {
            Ok(Ok(bytes)) if !bytes.is_empty() || may_be_empty(&job.http_head.method, &head) => {
                bytes
            }
            Ok(_) => {
                self.record_break(job, &candidate, sent_at, Progress::Head);
                let request = job.request.attempt_id.as_ref();
                self.record_broken_answer(request, &candidate.target, "body");
                return Err(AttemptError::MayHaveRun(Cause::Broken));
            }
            Err(_) => return Err(AttemptError::MayHaveRun(Cause::Late)),
        };
        self.record_answered(job);
        self.record_share_begun(job);
        self.record_response(&candidate.target);
        self.record_departed_answer(&candidate, bytes.len());
        self.return_to_pool(&load_guard.target, connection, &parsed);
        let now = Instant::now();
        self.observe_request(job, &candidate, head.status, now.duration_since(sent_at));
        if head.status.is_server_error() && job.route.repeatable() && self.try_retry(job, now) {
            info!(self.log, "answer replaced"; "request" => &job.request.attempt_id,
                "target" => &load_guard.target, "status" => head.status.as_u16());
            drop(load_guard);
            // The caller gets the server error if the next attempt has no response.
            if let Ok(replacement) = Box::pin(self.attempt(job, None)).await {
                return Ok(replacement);
            }
        }
        self.metrics
            .observe_first_event(&job.route.name, job.arrived_at.elapsed());
        self.record_served(job);
        let head = self.caller_head(job, &head);
        Ok(Response::from_parts(head, Body::whole(bytes)))
    }

    /// Adds the time of a successful request to the fitted speed of a plain service. A request that was
    /// sent before does not count.
    fn observe_request(
        &self,
        job: &Job,
        candidate: &Candidate,
        status: StatusCode,
        time: Duration,
    ) {
        if job.request.model.is_some() || !status.is_success() || job.sent.get() > 1 {
            return;
        }
        let mut table = self.topology.table.borrow_mut();
        let (target, running) = (&candidate.target, candidate.basis.running);
        table.observe_request(&job.service, target, running, time, Instant::now());
    }

    /// Returns the head of the caller's response for a target's response. How the target delimited
    /// its body is not passed on: the server delimits the body that it sends.
    pub(super) fn caller_head(&self, job: &Job, head: &response::Parts) -> response::Parts {
        self.head_for(&job.http_head.method, head)
    }

    /// As [`Self::caller_head`], for a request with this method.
    pub(super) fn head_for(&self, method: &Method, head: &response::Parts) -> response::Parts {
        let mut head = clone_head(head);
        self.codec.strip_hop_by_hop(&mut head);
        // The response to HEAD has no body, and states the length that GET would return.
        if *method != Method::HEAD {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        head
    }
}

/// Returns whether a response states a longer body than is buffered. That is no fault of the target.
fn states_too_much(body: &Incoming) -> bool {
    let stated = body.size_hint().lower();
    usize::try_from(stated).map_or(true, |stated| stated > MAX_BUFFERED_BYTES)
}

/// Returns whether an answer with this head is whole without a body. A success that states no end may
/// have broken off after its head.
pub(super) fn may_be_empty(method: &Method, head: &response::Parts) -> bool {
    let no_content = [StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT];
    let has_body = head.status.is_success() && !no_content.contains(&head.status);
    let stated = Framing::of(head) != Framing::Connection;
    !has_body || stated || *method == Method::HEAD
}

/// Clones the status and headers of a response head.
fn clone_head(head: &response::Parts) -> response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    response.headers_mut().clone_from(&head.headers);
    response.into_parts().0
}
