//! Begins the stream of a target: waits for its first event, and returns the response to the caller.

use super::Proxy;
use super::crash::Progress;
use super::forward::Answered;
use super::job::{AttemptError, Job};
use super::load_guard::LoadGuard;
use super::proof;
use super::stream::Stream;
use crate::body::{self, Body, Chunks, Error};
use crate::choice::Candidate;
use crate::event_stream::{EventStream, Next};
use crate::events::Event;
use crate::speed::Sample;
use crate::wire::Cause;
use flamingo_wire::stream::{Origin, Scope, key};
use futures_util::stream;
use http::{Response, Version, header};
use slog::info;
use std::rc::Rc;
use std::time::Instant;

/// Largest stream that is buffered for a caller that can't receive chunks, in bytes.
pub(super) const MAX_BUFFERED_STREAM_BYTES: usize = 1024 * 1024;

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
        let last = last_event_id.filter(|_| job.route.resumable);
        let target = &load_guard.target;
        if last.is_some() && !proof::has_type_of_stream(job, &response.head) {
            return Err(self.refuse_successor(job, target, last, "content_type"));
        }
        let mut source = EventStream::new(response, last);
        let next = source.next(deadline).await;
        self.log_stream_end(job, target, &source, &next, last);
        let first = match next {
            Next::Event(event) => Some(event),
            Next::End => None,
            Next::Broken(cause) if cause.is_flaw() => {
                return Err(self.refuse_successor(job, target, last, cause.into()));
            }
            Next::Broken(_) => {
                self.record_break(job, &candidate, source.response.sent_at, Progress::Head);
                self.record_failure(&candidate.target, Instant::now());
                return Err(AttemptError::MayHaveRun(Cause::Broken));
            }
            Next::TimedOut => return Err(AttemptError::MayHaveRun(Cause::Late)),
        };
        if last.is_some() && proof::is_first_unproved_end(job, first.as_ref()) {
            return Err(self.refuse_successor(job, target, last, "no_event"));
        }
        load_guard.finish_prefill();
        self.record_response(&candidate.target);
        self.record_answered(job);
        self.record_share_begun(job);
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
        let content_type = source.response.head.headers.get(header::CONTENT_TYPE);
        // The value is set once: a job begins one stream for its caller.
        let _ = job.content_type.set(content_type.cloned());
        self.begin_stream(job, &candidate);
        job.progress_at.set(Instant::now());
        self.observe_speed(job, &candidate, sent_at);
        let basis = &candidate.basis;
        info!(self.log, "stream begun"; "request" => &job.request.attempt_id,
            "target" => &load_guard.target, "route" => &job.route.name,
            "software" => &candidate.software,
            "resumes" => &job.request.resumes, "after" => job.request.last_event_id,
            "sent" => job.sent.get(), "fresh" => candidate.uncached_tokens,
            "rate" => basis.tokens_per_ms, "factor" => basis.factor, "pace" => basis.pace,
            "pace_age_ms" => basis.pace_age.map(|age| age.as_millis()), "queue_ms" => candidate.queueing_delay.as_millis(),
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
            last_event_id: job.request.last_event_id.filter(|_| job.route.resumable),
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
        let bytes = body::collect_chunks(&mut chunks, MAX_BUFFERED_STREAM_BYTES, &self.memory)
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
        self.demand
            .record_begun(&job.service, &job.request, &candidate.software);
        let origin = Origin {
            service: job.service.clone(),
            software: candidate.software.clone(),
        };
        let now = Instant::now();
        let mut origins = self.topology.origins.borrow_mut();
        if job.scope() != Scope::Open {
            // Tells the other workspaces that the stream is not theirs.
            let any = key(Scope::Any, attempt_id);
            origins.record(any, origin.clone(), &candidate.target, now);
        }
        let own = key(job.scope(), attempt_id);
        origins.record(own, origin, &candidate.target, now);
    }

    /// Adds the time to a first event to the fitted speed of the model and the target. A stream that
    /// goes on with an earlier one, or that was sent before, does not count.
    fn observe_speed(&self, job: &Job, candidate: &Candidate, sent_at: Instant) {
        // With a backlog, the time also depends on requests of other entries that are not known
        // exactly.
        let first = job.sent.get() <= 1 && job.request.last_event_id.is_none();
        if candidate.backlog_tokens > 0 || !first {
            return;
        }
        let sample = Sample {
            tokens: candidate.uncached_tokens,
            running: candidate.basis.running,
            time: sent_at.elapsed(),
        };
        let model = job.request.model.as_deref().unwrap_or_default();
        let mut table = self.topology.table.borrow_mut();
        let now = Instant::now();
        table.observe_first_event(&job.service, model, &candidate.target, &sample, now);
    }
}

/// Returns whether the caller can tell a streamed response that breaks off from a complete one. In
/// HTTP/1.0 a body without a length ends with its connection.
fn can_receive_chunks(job: &Job) -> bool {
    job.http_head.version >= Version::HTTP_11
}
