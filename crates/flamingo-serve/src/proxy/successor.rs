//! Finds another target that goes on with a stream.

use super::Proxy;
use super::begin::Begun;
use super::job::Job;
use super::proof;
use crate::choice::Candidate;
use crate::pool;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which a silent target must accept a connection to count as running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which a target may work on a stream, after its head and without an event, while a
/// silent target that runs may still work on it.
const OVERLAP_TIMEOUT: Duration = Duration::from_millis(350);

impl Proxy {
    /// Finds another target for the stream of a silent one. If the silent one still accepts
    /// connections, it may be at work, so both may hold the stream for a short time only.
    pub(super) async fn find_successor_of_silent(
        self: &Rc<Self>,
        job: &Rc<Job>,
        silent: &Candidate,
        last_event_id: Option<u64>,
    ) -> Option<Begun> {
        let runs = self.accepts_connection(silent).await;
        let timeout = runs.then_some(OVERLAP_TIMEOUT);
        self.find_successor(job, last_event_id, timeout).await
    }

    /// Returns whether a target accepts a connection, which is kept for the next request.
    async fn accepts_connection(&self, candidate: &Candidate) -> bool {
        let address = {
            let table = self.topology.table.borrow();
            let target = table.get(&candidate.target);
            let target =
                target.filter(|target| target.registration.incarnation == candidate.incarnation);
            target.map(|target| target.registration.address)
        };
        let Some(address) = address else {
            return false;
        };
        let Some(connection) = pool::dial(address, Instant::now() + PROBE_TIMEOUT).await else {
            return false;
        };
        let mut pool = self.topology.pool.borrow_mut();
        pool.put(&candidate.target, connection, None, Instant::now());
        true
    }

    /// Requests the events after `last_event_id` from other targets. Returns the stream of the first
    /// one that sends the next event within `first_event_timeout` after its head; `None` if there is
    /// none.
    pub(super) async fn find_successor(
        self: &Rc<Self>,
        job: &Rc<Job>,
        last_event_id: Option<u64>,
        first_event_timeout: Option<Duration>,
    ) -> Option<Begun> {
        if self.is_origin_uncertain(job) {
            info!(self.log, "stream broken"; "request" => &job.request.attempt_id,
                "why" => "the target had restarted with other software", "last" => last_event_id);
            return None;
        }
        let ask = async |candidate: Candidate| {
            let target = candidate.target.clone();
            let refuse = |why: &str| self.refuse_successor(job, &target, last_event_id, why);
            let answered = self.ask(job, candidate, last_event_id).await?;
            let answered = self.check_answer(job, answered).inspect_err(|_| {
                refuse("failure");
            })?;
            if !answered.response.head.status.is_success() {
                return Err(refuse("failure"));
            }
            let until = first_event_timeout.map(|timeout| Instant::now() + timeout);
            let deadline = until.map_or(job.deadline, |until| until.min(job.deadline));
            let begun = self.first_event(job, answered, last_event_id, deadline);
            let begun = begun.await?;
            match proof::first_number(&begun) {
                Some(_) => Ok(begun),
                None => Err(refuse("no_event")),
            }
        };
        let begun = self.find_other(job, ask).await?;
        info!(self.log, "stream resumed"; "request" => &job.request.attempt_id,
            "target" => &begun.candidate.target, "software" => &begun.candidate.software,
            "after" => last_event_id, "first" => proof::first_number(&begun));
        Some(begun)
    }
}
