//! Streams a target's events to the caller, and resumes the stream at another target if the first
//! one fails.

use super::job::{AttemptError, Job};
use super::load_guard::LoadGuard;
use super::{MAX_UNREACHABLE, Proxy};
use crate::body::Error;
use crate::choice::{Candidate, Choice};
use crate::event_stream::{EventStream, Next};
use crate::events::Event;
use bytes::Bytes;
use flamingo_link::subscription::PushHandler;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Multiple of the route's longest pause between events after which a stream counts as stalled.
const STALL_PAUSES: u32 = 3;
/// Shortest time without an event after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The response stream of a request.
pub struct Stream {
    /// The proxy that handles the request.
    pub proxy: Rc<Proxy>,
    /// The request.
    pub job: Rc<Job>,
    /// The target's stream; `None` after the target was abandoned and before another continues.
    pub source: Option<EventStream>,
    /// Counts the request in the load of its target.
    pub load_guard: LoadGuard,
    /// The target, with the prediction for the request.
    pub candidate: Candidate,
    /// When the target sent its first event; `None` before.
    pub begun_at: Option<Instant>,
    /// When the last event came.
    pub last_event_at: Instant,
    /// The first event, until it is returned.
    pub first: Option<Event>,
    /// Number of the last event that was returned; `None` if no event had a number.
    pub last_event_id: Option<u64>,
    /// Whether the target's stream has ended normally.
    pub done: bool,
    /// Whether the stream has stalled once. A second stall does not lead to another target.
    pub stalled: bool,
}

impl Proxy {
    /// Logs how a target's stream ended, unless `next` is a further event. `last` is the last
    /// event that the caller has received.
    pub(super) fn log_stream_end(
        &self,
        job: &Job,
        target: &str,
        source: &EventStream,
        next: &Next,
        last: Option<u64>,
    ) {
        if matches!(next, Next::Event(_)) {
            return;
        }
        let end: &str = match next {
            Next::Broken(cause) => cause.into(),
            other => other.into(),
        };
        let framing: &str = source.framing().into();
        info!(self.log, "target stream ended"; "request" => &job.request.attempt_id,
            "target" => target, "end" => end, "framing" => framing,
            "version" => ?source.response.head.version, "caller_version" => ?job.http_head.version,
            "last" => last, "incomplete_bytes" => source.incomplete_bytes(),
            "parts" => job.request.part_names());
    }
}

impl Stream {
    /// Returns the next chunk for the caller with the stream that continues after it, or `None`
    /// at the normal end. After an error there is no further stream.
    pub async fn next_chunk(mut self) -> Option<(Result<Bytes, Error>, Option<Self>)> {
        if let Some(first) = self.first.take() {
            self.last_event_id = first.id.or(self.last_event_id);
            return Some((Ok(first.bytes), Some(self)));
        }
        loop {
            if self.done {
                self.finish();
                return None;
            }
            let deadline = self.event_deadline();
            let Some(source) = &mut self.source else {
                return Some(self.abort("no other target accepted the stream"));
            };
            let next = source.next(deadline).await;
            let target = &self.load_guard.target;
            self.proxy
                .log_stream_end(&self.job, target, source, &next, self.last_event_id);
            match next {
                Next::Event(event) => {
                    if !event.follows(self.last_event_id) {
                        return Some(self.abort("an event is out of sequence"));
                    }
                    self.last_event_id = event.id.or(self.last_event_id);
                    self.last_event_at = Instant::now();
                    self.record_event();
                    return Some((Ok(event.bytes), Some(self)));
                }
                Next::End => self.done = true,
                Next::TimedOut if Instant::now() < self.job.deadline => {
                    self.stalled = true;
                    self.abandon_target().await;
                }
                Next::TimedOut => {
                    self.record_outcome("late");
                    return Some((Err(Error::DeadlineExceeded), None));
                }
                Next::Broken(_) => {
                    let proxy = &self.proxy;
                    proxy.record_break(&self.job, &self.candidate, self.begun_at);
                    if !self.resume().await {
                        return Some(self.abort("the target's stream broke off"));
                    }
                }
            }
        }
    }

    /// Counts the request as answered at the first event of each target.
    fn record_event(&mut self) {
        if self.begun_at.is_none() {
            self.begun_at = Some(Instant::now());
            self.proxy.record_answered(&self.job);
        }
    }

    /// Logs why the stream fails, and returns the error that ends the response early.
    fn abort(self, why: &str) -> (Result<Bytes, Error>, Option<Self>) {
        info!(self.proxy.log, "stream broken"; "request" => &self.job.request.attempt_id,
            "target" => &self.load_guard.target, "why" => why, "last" => self.last_event_id,
            "silent_ms" => self.last_event_at.elapsed().as_millis(),
            "routes" => self.job.routes.set.version,
            "routes_in_force" => self.proxy.topology.routes_version());
        self.record_outcome("broken");
        (Err(Error::TargetFailed), None)
    }

    /// Returns when the target must have sent the next event. Without the possibility to resume
    /// the stream elsewhere this is the deadline of the request.
    fn event_deadline(&self) -> Instant {
        let stall_timeout = Duration::from_millis(self.job.route.pause_ms) * STALL_PAUSES;
        if self.stalled || !self.resumable() {
            return self.job.deadline;
        }
        let deadline = Instant::now() + stall_timeout.max(MIN_STALL_TIMEOUT);
        deadline.min(self.job.deadline)
    }

    fn resumable(&self) -> bool {
        self.job.route.resumable && self.last_event_id.is_some()
    }

    /// Moves a stalled stream to another target, if there is one and the retry budget allows it.
    /// Otherwise the stream stays at its target.
    async fn abandon_target(&mut self) {
        let now = Instant::now();
        if !matches!(self.proxy.choose_target(&self.job, now), Choice::Send(_)) {
            return;
        }
        if !self.proxy.try_retry(&self.job, now) {
            return;
        }
        info!(self.proxy.log, "stream stalled"; "request" => &self.job.request.attempt_id,
            "target" => &self.load_guard.target, "last" => self.last_event_id,
            "silent_ms" => self.last_event_at.elapsed().as_millis());
        self.proxy.record_failure(&self.load_guard.target, now);
        // Closes the connection, so that the target stops before another one continues.
        self.source = None;
        self.resume_elsewhere().await;
    }

    /// Resumes a broken stream at another target, if the stream is resumable and the retry budget
    /// allows it. Returns whether a target continues the stream.
    async fn resume(&mut self) -> bool {
        if !self.resumable() || !self.proxy.try_retry(&self.job, Instant::now()) {
            return false;
        }
        self.source = None;
        self.resume_elsewhere().await
    }

    /// Requests the events after the last returned one from other targets, until one accepts the
    /// request or may have run it. Returns whether a target continues the stream.
    async fn resume_elsewhere(&mut self) -> bool {
        while self.job.unreachable.get() < MAX_UNREACHABLE {
            let choice = self.proxy.choose_target(&self.job, Instant::now());
            let Choice::Send(candidate) = choice else {
                return false;
            };
            match self.resume_at(&candidate).await {
                Ok(accepted) => return accepted,
                Err(AttemptError::NotRun(_)) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Requests the events after the last returned one from a target. Returns whether the target
    /// continues the stream.
    async fn resume_at(&mut self, candidate: &Candidate) -> Result<bool, AttemptError> {
        let proxy = Rc::clone(&self.proxy);
        let job = Rc::clone(&self.job);
        if candidate.needs_adapter_load {
            proxy.load_adapter(&job, candidate).await?;
        }
        let load_guard = LoadGuard::new(proxy.topology(), candidate, &job);
        let response = proxy.send(&job, candidate, self.last_event_id).await?;
        let accepted = response.head.status.is_success() && response.parsed.sealed;
        if accepted {
            info!(proxy.log, "stream resumed"; "request" => &job.request.attempt_id,
                "target" => &candidate.target, "software" => &candidate.software,
                "after" => self.last_event_id);
            self.source = Some(EventStream::new(response));
            self.load_guard = load_guard;
            self.candidate = candidate.clone();
            self.begun_at = None;
        }
        Ok(accepted)
    }

    fn record_outcome(&self, outcome: &str) {
        self.proxy
            .metrics
            .record_outcome(&self.job.route.name, outcome);
    }

    /// Counts the stream as answered and returns its connection to the pool.
    fn finish(self) {
        self.record_outcome("answered");
        if let Some(EventStream { response, .. }) = self.source {
            let target = &self.load_guard.target;
            self.proxy
                .return_to_pool(target, response.connection, &response.parsed);
        }
    }
}
