//! Chooses a target and sends a request to it.

use super::Proxy;
use super::crash::Progress;
use super::forward::Reply;
use super::job::{AttemptError, Job};
use super::load_guard::LoadGuard;
use crate::body::Body;
use crate::choice::{self, Candidate, Choice};
use crate::exchange::{self, Expected, Failure, PendingResponse};
use crate::isolation::{self, Success};
use crate::wire::{Attempt, AttemptId, Cause, Pause, Rejection, ResponseHead};
use flamingo_wire::status;
use http::{Request, Response, Uri};
use http_body_util::Full;
use slog::info;
use std::rc::Rc;
use std::time::Instant;

impl Proxy {
    /// Chooses a target, sends the request to it and returns its response. With `resend_to`, sends the
    /// request to that target again, after its adapter has been loaded there.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        job: &Rc<Job>,
        resend_to: Option<Candidate>,
    ) -> Result<Response<Body>, AttemptError> {
        let candidate = match resend_to {
            Some(candidate) => candidate,
            None => self.find_target(job).await?,
        };
        match self.ask_or_replace(job, candidate).await? {
            Reply::Answered(answered) => self.forward(job, answered).await,
            Reply::Begun(begun) => self.stream_response(job, begun).await,
        }
    }

    /// Chooses a target, and waits for a load of the model that is under way if the request has the time.
    /// A request that goes on with a stream waits for the targets of its version.
    pub(super) async fn find_target(&self, job: &Job) -> Result<Candidate, AttemptError> {
        loop {
            match self.choose_target(job, Instant::now()) {
                Choice::Send(candidate) => {
                    self.admit_by_share(job, &candidate)?;
                    return Ok(candidate);
                }
                Choice::Loading(_) | Choice::NoModel if job.goes_on() => {
                    self.wait_for_version(job, Cause::NoModel).await?;
                }
                Choice::NoTarget if job.goes_on() => {
                    self.wait_for_version(job, Cause::NoTarget).await?;
                }
                Choice::Loading(ready_at) => self.wait_for_model(job, ready_at).await?,
                Choice::QueueTooLong(delay) => return Err(AttemptError::QueueTooLong(delay)),
                Choice::Paused(_) => return Err(AttemptError::NoAlternative(Cause::Paused)),
                Choice::NoTarget => return Err(AttemptError::NoAlternative(Cause::NoTarget)),
                Choice::NoModel => return Err(AttemptError::NoAlternative(Cause::NoModel)),
            }
        }
    }

    /// Counts a request in the load of the chosen target, and has its adapter loaded there if that is
    /// needed.
    pub(super) async fn prepare(
        self: &Rc<Self>,
        job: &Job,
        candidate: &Candidate,
    ) -> Result<LoadGuard, AttemptError> {
        let load_guard = LoadGuard::new(&self.topology, candidate, job);
        if candidate.needs_adapter_load {
            self.load_adapter(job, candidate).await?;
        }
        Ok(load_guard)
    }

    /// Sends a request to the chosen target and waits for the head of a final response. `last_event_id`
    /// is the last event that the caller has received, if the request resumes a stream.
    pub(super) async fn send(
        self: &Rc<Self>,
        job: &Job,
        candidate: &Candidate,
        last_event_id: Option<u64>,
    ) -> Result<PendingResponse, AttemptError> {
        self.take_room(job, candidate).await?;
        self.take_permit(job, candidate).await?;
        self.renew_quota(job).await?;
        let now = Instant::now();
        if self
            .quarantined_until(&job.service, &job.identities())
            .is_some()
        {
            return Err(AttemptError::NoAlternative(Cause::Quarantined));
        }
        let address = {
            let mut table = self.topology.table.borrow_mut();
            let Some(target) = table.get_mut(&candidate.target).filter(|target| {
                target.accepts_requests()
                    && target.availability.paused_until(now).is_none()
                    && target.registration.incarnation == candidate.incarnation
                    && target.registration.software == candidate.software
            }) else {
                job.exclude(candidate);
                return Err(AttemptError::NotRun(Cause::NoTarget));
            };
            target.record_prompt(
                choice::cache_key(&job.request),
                &job.request.prompt_parts,
                candidate.uncached_tokens,
            );
            target.registration.address
        };
        let expected = job.must_check_incarnation().then(|| Expected {
            question: self.codec.incarnation_request(&candidate.target),
            incarnation: candidate.incarnation,
            memory: self.memory.clone(),
        });
        let attempt = Attempt {
            target: &candidate.target,
            deadline: job.deadline,
            now,
            rank: job.request.model.is_some().then_some(candidate.rank),
            last_event_id,
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.http_head.method.clone();
        *request.uri_mut() = origin_form(&job.http_head.uri);
        *request.headers_mut() = self.codec.request_headers(&job.http_head, &attempt);
        let attempt_id = job.request.attempt_id.as_deref();
        let pooled = {
            let mut pool = self.topology.pool.borrow_mut();
            pool.take_for(&candidate.target, attempt_id, now)
        };
        let how = if pooled.is_some() {
            "used_again"
        } else {
            "dialled"
        };
        self.metrics.connections.with_label_values(&[how]).inc();
        let codec = self.codec.as_ref();
        job.begin_sending(candidate);
        self.record_departure(job, candidate);
        self.record_late(job, candidate);
        let result = exchange::send(
            pooled,
            address,
            request,
            expected.as_ref(),
            attempt_id,
            codec,
            job.deadline,
        )
        .await;
        match result {
            Ok(response) => {
                job.caller_head.take();
                self.metrics.sendings.with_label_values(&["answered"]).inc();
                if !status::is_final(response.head.status.as_u16()) {
                    let request = job.request.attempt_id.as_ref();
                    self.record_broken_answer(request, &candidate.target, "status");
                    return Err(AttemptError::MayHaveRun(Cause::Broken));
                }
                let mut table = self.topology.table.borrow_mut();
                table.record_sign_of_life(&candidate.target);
                if let Some(load) = response.parsed.load {
                    table.record_load(&candidate.target, load, Instant::now());
                }
                drop(table);
                self.record_connection(candidate, &response.connection, now);
                let success = if response.connection.newly_dialled {
                    Success::Connected
                } else {
                    Success::Answered
                };
                self.record_reached(&candidate.target, success, now);
                self.record_statements(job, candidate, &response.parsed);
                Ok(response)
            }
            Err(failure) => Err(self.handle_failure(job, candidate, failure, now)),
        }
    }

    /// Logs and counts a request that is sent to be answered late.
    fn record_late(&self, job: &Job, candidate: &Candidate) {
        if !candidate.is_late(job.route.rank) {
            return;
        }
        info!(self.log, "request sent late"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "rank" => candidate.rank,
            "wait_ms" => candidate.first_event_delay.as_millis());
        self.metrics.record_late(&job.route.name);
    }

    /// Records what a target says of itself in a response.
    fn record_statements(self: &Rc<Self>, job: &Job, candidate: &Candidate, parsed: &ResponseHead) {
        self.record_availability(job, candidate, parsed);
        if parsed.rejection == Some(Rejection::Full) {
            self.record_rejection_for_room(job, candidate);
        }
    }

    /// Records what a target says in a response about further requests.
    fn record_availability(&self, job: &Job, candidate: &Candidate, parsed: &ResponseHead) {
        let target = &candidate.target;
        let incarnation = candidate.incarnation;
        let mut table = self.topology.table.borrow_mut();
        if parsed.leaving && table.record_leaving(target, incarnation) {
            info!(self.log, "target leaving"; "request" => &job.request.attempt_id,
                "target" => target, "incarnation" => incarnation);
        }
        if table.record_limit(target, incarnation, parsed.limit) {
            let limit = parsed.limit.map(|limit| format!("{limit:?}"));
            info!(self.log, "target limit"; "request" => &job.request.attempt_id,
                "target" => target, "incarnation" => incarnation, "limit" => limit);
        }
        let now = Instant::now();
        if table.record_tolerance(target, incarnation, parsed.tolerance, now) {
            let tolerance = parsed.tolerance.map(|tolerance| format!("{tolerance:?}"));
            info!(self.log, "target brittle"; "request" => &job.request.attempt_id,
                "target" => target, "incarnation" => incarnation, "bears" => tolerance);
        }
        let Some(pause) = parsed.pause else {
            return;
        };
        if let Some(until) = table.record_pause(target, incarnation, pause, now) {
            info!(self.log, "target paused"; "request" => &job.request.attempt_id,
                "target" => target, "readable" => pause != Pause::Unreadable,
                "for_ms" => until.saturating_duration_since(now).as_millis());
        }
    }

    /// Logs and counts an attempt without a response head, and returns whether the request may
    /// have run.
    fn handle_failure(
        self: &Rc<Self>,
        job: &Job,
        candidate: &Candidate,
        failure: Failure,
        sent_at: Instant,
    ) -> AttemptError {
        let now = Instant::now();
        let name: &str = failure.into();
        self.metrics.sendings.with_label_values(&[name]).inc();
        info!(self.log, "sending failed"; "request" => &job.request.attempt_id,
            "target" => &candidate.target, "failure" => name,
            "parts" => job.request.part_names(),
            "fingerprint" => format!("{:016x}", job.fingerprint));
        if failure != Failure::Late {
            job.record_lost(candidate);
        }
        self.record_reach_of_failure(job, candidate, failure, now);
        match failure {
            Failure::Restarted => {
                // It is not known yet what it is now: it can't be chosen before it has registered.
                self.record_failure(&candidate.target, now);
                job.record_unsent();
                AttemptError::NotRun(Cause::NoTarget)
            }
            Failure::Unreached | Failure::Unsent => {
                if failure == Failure::Unreached {
                    self.record_unreached(candidate, now);
                }
                self.record_failure(&candidate.target, now);
                job.record_unsent();
                AttemptError::NotRun(Cause::NoTarget)
            }
            Failure::Late => AttemptError::MayHaveRun(Cause::Late),
            Failure::Broken | Failure::Foreign | Failure::Flooded => {
                if failure != Failure::Broken {
                    self.distrust(job, &candidate.target, now);
                }
                if failure == Failure::Broken {
                    self.record_break(job, candidate, sent_at, Progress::Nothing);
                }
                self.record_failure(&candidate.target, now);
                AttemptError::MayHaveRun(Cause::Broken)
            }
        }
    }

    /// Records what a failed attempt says of the reach of this entry. A connection that the deadline of
    /// the request cut short says nothing.
    fn record_reach_of_failure(
        &self,
        job: &Job,
        candidate: &Candidate,
        failure: Failure,
        now: Instant,
    ) {
        let failure = match failure {
            Failure::Unreached if now < job.deadline => isolation::Failure::Unreached,
            Failure::Unsent | Failure::Broken | Failure::Late => isolation::Failure::Unanswered,
            Failure::Unreached | Failure::Restarted | Failure::Foreign | Failure::Flooded => return,
        };
        self.record_out_of_reach(&candidate.target, failure);
    }

    /// Gives a target a connection for each request for a time, since the answers on a kept one may
    /// belong to earlier requests.
    fn distrust(&self, job: &Job, target: &str, now: Instant) {
        if self.topology.pool.borrow_mut().distrust(target, now) {
            info!(self.log, "target distrusted"; "request" => &job.request.attempt_id,
                "target" => target);
        }
    }

    /// Records that a target could not be reached, disconnected, or sent a broken response.
    pub(super) fn record_failure(&self, target: &str, now: Instant) {
        self.topology.table.borrow_mut().record_failure(target, now);
    }

    /// Records that a target has sent a response that is no answer: `part` is what is wrong with it.
    pub(super) fn record_broken_answer(
        &self,
        request: Option<&AttemptId>,
        target: &str,
        part: &str,
    ) {
        info!(self.log, "answer broken"; "request" => request, "target" => target, "part" => part);
        self.record_failure(target, Instant::now());
    }

    /// Records that a target has given a whole response or the first event of a stream.
    pub(super) fn record_response(&self, target: &str) {
        self.topology.table.borrow_mut().record_response(target);
    }
}

/// Returns a request target in origin form: path and query only (RFC 9112, section 3.2.1).
pub(super) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}
