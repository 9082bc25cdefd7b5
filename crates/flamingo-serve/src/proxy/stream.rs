//! Streams a target's events to the caller, and resumes the stream at another target if the first
//! one fails or is silent.

use super::Proxy;
use super::begin::Begun;
use super::crash::Progress;
use super::job::Job;
use super::load_guard::LoadGuard;
use super::silence::{Winner, race};
use crate::body::Error;
use crate::choice::Candidate;
use crate::event_stream::{Break, EventStream, Next};
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
    /// The target's stream; `None` after it broke off and before another target continues.
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
            self.proxy
                .record_departed_answer(&self.candidate, first.bytes.len());
            self.last_event_id = first.id.or(self.last_event_id);
            return Some((Ok(first.bytes), Some(self)));
        }
        if self.done {
            self.finish();
            return None;
        }
        match self.next_event().await {
            Next::Event(event) => {
                self.proxy
                    .record_departed_answer(&self.candidate, event.bytes.len());
                self.last_event_id = event.id.or(self.last_event_id);
                self.last_event_at = Instant::now();
                self.job.progress_at.set(self.last_event_at);
                Some((Ok(event.bytes), Some(self)))
            }
            Next::End => {
                self.finish();
                None
            }
            Next::TimedOut => {
                self.record_outcome("late");
                Some((Err(Error::DeadlineExceeded), None))
            }
            Next::Broken(cause) if cause.is_flaw() => {
                Some(self.abort("what the target sent is not the next event"))
            }
            Next::Broken(_) => Some(self.abort("the target's stream broke off")),
        }
    }

    /// Returns the next event, or how the stream ends. If the target breaks off or is silent, the event
    /// may come from another one.
    async fn next_event(&mut self) -> Next {
        let mut next = self.receive(self.stall_deadline()).await;
        if matches!(next, Next::TimedOut) && Instant::now() < self.job.deadline {
            self.stalled = true;
            next = self.wait_or_replace().await;
        }
        let Next::Broken(cause) = next else {
            return next;
        };
        let source = self.source.as_ref().filter(|_| !cause.is_flaw());
        if let Some(sent_at) = source.map(|source| source.response.sent_at) {
            let proxy = &self.proxy;
            let progress = self.begun_at.map_or(Progress::Head, Progress::Event);
            proxy.record_break(&self.job, &self.candidate, sent_at, progress);
        }
        self.resume().await.unwrap_or(next)
    }

    /// Returns what the target sends until `deadline`.
    async fn receive(&mut self, deadline: Instant) -> Next {
        let Some(source) = &mut self.source else {
            return Next::Broken(Break::Disconnected);
        };
        let next = source.next(deadline).await;
        let target = &self.load_guard.target;
        self.proxy
            .log_stream_end(&self.job, target, source, &next, self.last_event_id);
        if matches!(next, Next::Broken(cause) if cause.is_flaw()) {
            // Closes the connection, so that the target stops before another one continues.
            self.source = None;
        }
        next
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

    /// Returns when the target must have sent the next event, before another target is asked. Without
    /// the possibility to resume the stream elsewhere this is the deadline of the request.
    fn stall_deadline(&self) -> Instant {
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

    /// Waits for a silent target, and asks others to go on meanwhile if the retry budget allows it.
    /// The silent target is left only once another one has sent an event.
    async fn wait_or_replace(&mut self) -> Next {
        let deadline = self.job.deadline;
        self.proxy.record_silence(&self.load_guard.target);
        info!(self.proxy.log, "stream stalled"; "request" => &self.job.request.attempt_id,
            "target" => &self.load_guard.target, "last" => self.last_event_id,
            "silent_ms" => self.last_event_at.elapsed().as_millis());
        if !self.proxy.may_replace(&self.job) {
            return self.receive(deadline).await;
        }
        let (proxy, job) = (Rc::clone(&self.proxy), Rc::clone(&self.job));
        let candidate = self.candidate.clone();
        let last_event_id = self.last_event_id;
        let silent = async {
            match self.receive(deadline).await {
                broken @ Next::Broken(_) => Err(broken),
                next => Ok(next),
            }
        };
        let successor = proxy.find_successor_of_silent(&job, &candidate, last_event_id);
        match race(silent, Box::pin(successor)).await {
            Winner::Silent(Err(next) | Ok(next @ Next::TimedOut)) => next,
            Winner::Silent(Ok(next)) => {
                info!(proxy.log, "target went on"; "request" => &job.request.attempt_id,
                    "target" => &self.load_guard.target,
                    "silent_ms" => self.last_event_at.elapsed().as_millis());
                proxy.record_sign_of_life(&self.load_guard.target);
                next
            }
            Winner::Other(begun) => self.adopt(begun),
        }
    }

    /// Goes on with a broken stream at another target, if the stream is resumable and the retry budget
    /// allows it. Returns the next event; `None` if no target goes on.
    async fn resume(&mut self) -> Option<Next> {
        if !self.resumable() || !self.proxy.try_retry(&self.job, Instant::now()) {
            return None;
        }
        // Closes the connection, so that the target stops before another one continues.
        self.source = None;
        let proxy = Rc::clone(&self.proxy);
        let begun = proxy
            .find_successor(&self.job, self.last_event_id, None)
            .await?;
        Some(self.adopt(begun))
    }

    /// Goes on with the stream of another target, whose first event it returns. Drops the stream of the
    /// target before, which closes its connection.
    fn adopt(&mut self, begun: Begun) -> Next {
        self.source = Some(begun.source);
        self.load_guard = begun.load_guard;
        self.candidate = begun.candidate;
        self.begun_at = Some(Instant::now());
        begun.first.map_or(Next::End, Next::Event)
    }

    fn record_outcome(&self, outcome: &str) {
        self.proxy
            .metrics
            .record_outcome(&self.job.route.name, outcome);
    }

    /// Counts the stream as answered and returns its connection to the pool.
    fn finish(self) {
        self.proxy.record_served(&self.job);
        if let Some(EventStream { response, .. }) = self.source {
            let target = &self.load_guard.target;
            self.proxy
                .return_to_pool(target, response.connection, &response.parsed);
        }
    }
}
