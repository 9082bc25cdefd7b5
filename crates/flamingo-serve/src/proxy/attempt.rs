//! Sends a request to a target and returns the target's response to the caller.

use super::Proxy;
use super::job::{AttemptError, Job};
use super::load_guard::LoadGuard;
use super::stream::Stream;
use crate::body::{self, Body, Chunks, Error, collect};
use crate::choice::{self, Candidate, Choice};
use crate::event_stream::{EventStream, Next};
use crate::exchange::{self, Expected, Failure, PendingResponse};
use crate::pool::Connection;
use crate::wire::{Attempt, Cause, Rejection, ResponseHead};
use flamingo_wire::control::{LoadAdapter, Reply, Request as ControlRequest};
use flamingo_wire::fault::Reason;
use flamingo_wire::route::Kind;
use flamingo_wire::stream::{Origin, key};
use futures_util::stream;
use http::{Method, Request, Response, Uri, Version, header, response};
use http_body_util::Full;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Largest response body that is buffered before it is returned, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Largest stream that is buffered for a caller that can't receive chunks, in bytes.
const MAX_BUFFERED_STREAM_BYTES: usize = 1024 * 1024;
/// Time within which the leader must confirm that an adapter has been loaded.
const ADAPTER_LOAD_TIMEOUT: Duration = Duration::from_millis(700);
/// Shortest time beyond the objective after which an attempt without a response head is given up.
const MIN_HEAD_GRACE: Duration = Duration::from_millis(600);
/// Time for reading the rest of a discarded response, so that its connection can be reused.
const CONNECTION_RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt whose response head has been received.
struct Answered {
    candidate: Candidate,
    load_guard: LoadGuard,
    response: PendingResponse,
}

impl Proxy {
    /// Chooses a target, sends the request to it and returns its response.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        job: &Rc<Job>,
    ) -> Result<Response<Body>, AttemptError> {
        let candidate = match self.choose_target(job, Instant::now()) {
            Choice::Send(candidate) => candidate,
            Choice::QueueTooLong(delay) => return Err(AttemptError::QueueTooLong(delay)),
            Choice::NoTarget => return Err(AttemptError::NoAlternative(Cause::NoTarget)),
            Choice::NoModel => return Err(AttemptError::NoAlternative(Cause::NoModel)),
        };
        let load_guard = LoadGuard::new(&self.topology, &candidate, job);
        if candidate.needs_adapter_load {
            self.load_adapter(job, &candidate).await?;
        }
        let response = self
            .send(job, &candidate, job.request.last_event_id)
            .await?;
        self.forward(
            job,
            Answered {
                candidate,
                load_guard,
                response,
            },
        )
        .await
    }

    /// Requests the leader to load the adapter of a request on the chosen target, and waits until
    /// it is loaded.
    pub(super) async fn load_adapter(
        &self,
        job: &Job,
        candidate: &Candidate,
    ) -> Result<(), AttemptError> {
        let (Some(model), Some(adapter)) = (job.request.model.clone(), job.request.adapter.clone())
        else {
            return Ok(());
        };
        let known = self.topology.peers.borrow().leader;
        let Some(leader) = known else {
            return Err(self.adapter_not_loaded(job, candidate, "no leader is known"));
        };
        let incarnation = {
            let table = self.topology.table.borrow();
            let target = table.get(&candidate.target);
            target.map(|target| target.registration.incarnation)
        };
        let Some(incarnation) = incarnation else {
            return Err(self.adapter_not_loaded(
                job,
                candidate,
                "the target is no longer registered",
            ));
        };
        let request = ControlRequest::LoadAdapter(LoadAdapter {
            target: candidate.target.clone(),
            incarnation,
            model: model.clone(),
            adapter: adapter.clone(),
        });
        let deadline = job.deadline.min(Instant::now() + ADAPTER_LOAD_TIMEOUT);
        match self.control_client.ask(leader, &request, deadline).await {
            Reply::Acknowledged => {
                let mut table = self.topology.table.borrow_mut();
                table.record_adapter(&candidate.target, &model, &adapter);
                Ok(())
            }
            Reply::Refused(fault) => {
                if fault.reason == Reason::Leaderless {
                    // No request is sent to this instance until a control instance names a
                    // leader again, which may be the same one.
                    self.topology.peers.borrow_mut().remove_leader(leader);
                }
                Err(self.adapter_not_loaded(job, candidate, &fault.message))
            }
            other => Err(self.adapter_not_loaded(job, candidate, &format!("{other:?}"))),
        }
    }

    /// Logs that an adapter could not be loaded, and excludes the target for this request.
    fn adapter_not_loaded(&self, job: &Job, candidate: &Candidate, why: &str) -> AttemptError {
        info!(self.log, "adapter not brought"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "why" => why);
        job.exclude(&candidate.target);
        AttemptError::NotRun(Cause::NoModel)
    }

    /// Sends a request to the chosen target and waits for the response head. `last_event_id` is
    /// the last event that the caller has received, if the request resumes a stream.
    pub(super) async fn send(
        &self,
        job: &Job,
        candidate: &Candidate,
        last_event_id: Option<u64>,
    ) -> Result<PendingResponse, AttemptError> {
        let now = Instant::now();
        let (address, incarnation) = {
            let mut table = self.topology.table.borrow_mut();
            let Some(target) = table.get_mut(&candidate.target).filter(|target| {
                target.accepts_requests() && target.registration.software == candidate.software
            }) else {
                job.exclude(&candidate.target);
                return Err(AttemptError::NotRun(Cause::NoTarget));
            };
            target.record_prompt(
                choice::cache_key(&job.request),
                &job.request.prompt_parts,
                candidate.uncached_tokens,
            );
            (target.registration.address, target.registration.incarnation)
        };
        let expected = job.must_check_incarnation().then(|| Expected {
            question: self.codec.incarnation_request(&candidate.target),
            incarnation,
        });
        let attempt = Attempt {
            target: &candidate.target,
            deadline: job.deadline,
            now,
            rank: job.request.model.is_some().then_some(job.route.rank),
            last_event_id,
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.http_head.method.clone();
        *request.uri_mut() = origin_form(&job.http_head.uri);
        *request.headers_mut() = self.codec.request_headers(&job.http_head, &attempt);
        let pooled = self.topology.pool.borrow_mut().take(&candidate.target, now);
        let how = if pooled.is_some() {
            "used_again"
        } else {
            "dialled"
        };
        self.metrics.connections.with_label_values(&[how]).inc();
        let attempt_id = job.request.attempt_id.as_deref();
        let codec = self.codec.as_ref();
        let head_deadline = job.deadline.min(now + Self::head_timeout(job, candidate));
        job.last_sent_at.set(Instant::now());
        let result = exchange::send(
            pooled,
            address,
            request,
            expected.as_ref(),
            attempt_id,
            codec,
            head_deadline,
        )
        .await;
        job.tried.borrow_mut().push(candidate.target.clone());
        match result {
            Ok(response) => {
                job.count_sent();
                let mut table = self.topology.table.borrow_mut();
                self.metrics.sendings.with_label_values(&["answered"]).inc();
                table.record_response(&candidate.target);
                if let Some(load) = response.parsed.load {
                    table.record_load(&candidate.target, load);
                }
                drop(table);
                Ok(response)
            }
            Err(failure) => Err(self.handle_failure(job, candidate, failure)),
        }
    }

    /// Returns the time within which a target must send the response head before another target
    /// is tried. This is all the time of the request if it may not run twice, has no attempts
    /// left or goes to a plain service.
    fn head_timeout(job: &Job, candidate: &Candidate) -> Duration {
        let attempts_left = job.sent.get() + 1 < job.route.attempts;
        if job.request.model.is_none() || !job.route.repeatable() || !attempts_left {
            return job.deadline.saturating_duration_since(job.arrived_at);
        }
        let objective = Duration::from_millis(job.route.objective_ms);
        objective + candidate.first_event_delay.max(MIN_HEAD_GRACE)
    }

    /// Logs and counts an attempt without a response head, and returns whether the request may
    /// have run.
    fn handle_failure(&self, job: &Job, candidate: &Candidate, failure: Failure) -> AttemptError {
        let now = Instant::now();
        let name: &str = failure.into();
        self.metrics.sendings.with_label_values(&[name]).inc();
        info!(self.log, "sending failed"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "failure" => name);
        match failure {
            Failure::Restarted => {
                job.unreachable.set(job.unreachable.get() + 1);
                AttemptError::NotRun(Cause::NoTarget)
            }
            Failure::Unreached | Failure::Unsent => {
                self.record_failure(&candidate.target, now);
                job.unreachable.set(job.unreachable.get() + 1);
                AttemptError::NotRun(Cause::NoTarget)
            }
            Failure::Late if now >= job.deadline => {
                job.count_sent();
                AttemptError::MayHaveRun(Cause::Late)
            }
            // A target that is late before the deadline of the request is unresponsive, or has
            // far more load than was reported.
            Failure::Broken | Failure::Foreign | Failure::Late => {
                self.record_failure(&candidate.target, now);
                job.count_sent();
                AttemptError::MayHaveRun(Cause::Broken)
            }
        }
    }

    /// Returns the target's response to the caller, or an error if the target rejected the
    /// request or the response can't be trusted.
    async fn forward(
        self: &Rc<Self>,
        job: &Rc<Job>,
        answered: Answered,
    ) -> Result<Response<Body>, AttemptError> {
        let parsed = &answered.response.parsed;
        let status = answered.response.head.status;
        if parsed.rejection.is_some() {
            self.record_rejection(job, &answered);
            self.discard(&answered.load_guard.target, answered.response);
            return Err(AttemptError::NotRun(Cause::NoRoom));
        }
        if !parsed.sealed && status.is_success() {
            return Err(AttemptError::MayHaveRun(Cause::Broken));
        }
        if job.route.kind == Kind::Stream && status.is_success() {
            return self.forward_stream(job, answered).await;
        }
        self.forward_whole(job, answered).await
    }

    /// Records that a target could not be reached, disconnected or did not respond in time.
    pub(super) fn record_failure(&self, target: &str, now: Instant) {
        self.topology.table.borrow_mut().record_failure(target, now);
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
        let load_guard = answered.load_guard;
        let PendingResponse {
            head,
            parsed,
            body,
            connection,
        } = answered.response;
        let collected = timeout_at(job.deadline.into(), collect(body, MAX_BUFFERED_BYTES)).await;
        let bytes = match collected {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return Err(AttemptError::MayHaveRun(Cause::Broken)),
            Err(_) => return Err(AttemptError::MayHaveRun(Cause::Late)),
        };
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

    /// Waits for the first event of a stream, and returns a response that streams the events to
    /// the caller.
    async fn forward_stream(
        self: &Rc<Self>,
        job: &Rc<Job>,
        answered: Answered,
    ) -> Result<Response<Body>, AttemptError> {
        let Answered {
            candidate,
            load_guard,
            response,
        } = answered;
        let head = self.caller_head(job, &response.head);
        let mut source = EventStream::new(response);
        let next = source.next(job.deadline).await;
        let target = &load_guard.target;
        self.log_stream_end(job, target, &source, &next, job.request.last_event_id);
        let (first, done) = match next {
            Next::Event(event) => (Some(event), false),
            Next::End => (None, true),
            Next::Broken(_) => return Err(AttemptError::MayHaveRun(Cause::Broken)),
            Next::TimedOut => return Err(AttemptError::MayHaveRun(Cause::Late)),
        };
        load_guard.finish_prefill();
        self.begin_stream(job, &candidate);
        let rate = self.observe_prefill(job, &candidate);
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
    fn observe_prefill(&self, job: &Job, candidate: &Candidate) -> f64 {
        let time = job.last_sent_at.get().elapsed();
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

/// Returns a request target in origin form: path and query only (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
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
