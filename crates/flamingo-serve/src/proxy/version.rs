//! Requests that go on with a stream while no target of its software version can take them: they wait
//! for a load or a return that is predicted to come before their caller leaves, or are refused at once.
//!
//! The leader is told which model is missing at which version; demand for the model alone would not
//! bring it there while targets of another version have it.

use super::Proxy;
use super::crash::PROBE_DURATION;
use super::job::{AttemptError, Job};
use super::loading::{Guard, Key, LATE_LOAD_TIMEOUT};
use crate::outlook::{Outlook, Stream};
use crate::wire::Cause;
use slog::info;
use std::cmp::Reverse;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Time for which a stream waits for a target of its version that has not registered yet or can't be
/// reached: more than the interval between two heartbeats of a target.
const TARGET_RETURN_WAIT: Duration = Duration::from_millis(1_500);
/// Time from a question to the leader until it has ordered a load: a report of this entry and a round of
/// planning.
const ORDER_DELAY: Duration = Duration::from_millis(250);
/// Percentage of the time until its caller leaves within which the model of a waiting stream must be
/// there; the rest is for its prompt.
const MAX_PATIENCE_PERCENT: u32 = 80;

impl Proxy {
    /// Waits until what is known of the targets changes, if a target of the stream's version is predicted
    /// to take the request in time. Asks the leader for the model where none of them has it.
    ///
    /// # Errors
    ///
    /// Returns `cause` if the request can't wait.
    pub(super) async fn wait_for_version(
        &self,
        job: &Job,
        cause: Cause,
    ) -> Result<(), AttemptError> {
        let now = Instant::now();
        let outlook = self.outlook(job, now);
        let until = match outlook {
            Some(Outlook::Unheard | Outlook::Unreached) => Some(return_deadline(job)),
            Some(Outlook::Loading(Reverse(ready_at))) => load_deadline(job, ready_at),
            Some(Outlook::NoModel) => self.ask_for_load(job, now),
            Some(Outlook::BrokenOff) => probe_deadline(job),
            Some(Outlook::Left | Outlook::Serving) | None => None,
        };
        let Some(until) = until.filter(|until| now < *until) else {
            return Err(AttemptError::NoAlternative(cause));
        };
        if !job.waits.replace(true) {
            let outlook: Option<&str> = outlook.map(Into::into);
            info!(self.log, "waits for version"; "request" => &job.request.attempt_id,
                "model" => &job.request.model, "software" => &*job.software.borrow(),
                "outlook" => outlook, "wait_ms" => (until - now).as_millis());
        }
        let changed = self.topology.models_changed.notified();
        let _guard =
            waiting_for(job).map(|key| Guard::new(&self.waiting, key, job.request.prompt_tokens));
        // Whether a target has changed or the time is over, the next choice finds out.
        let _ = timeout_at(until.into(), changed).await;
        Ok(())
    }

    /// Returns what the targets of the stream's version offer; `None` for a request that goes on with
    /// no stream.
    pub(super) fn outlook(&self, job: &Job, now: Instant) -> Option<Outlook> {
        let software = job.software.borrow();
        let service = job.routes.service(&job.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let stream = Stream {
            service: &job.service,
            software: software.as_deref()?,
            model: job.request.model.as_deref().filter(|_| is_engine),
            lost: &job.lost.borrow(),
        };
        Some(Outlook::of(&self.topology.table.borrow(), &stream, now))
    }

    /// Tells the leader that the stream's version lacks the model. Returns until when the request may
    /// wait for the load; `None` if it would take too long.
    fn ask_for_load(&self, job: &Job, now: Instant) -> Option<Instant> {
        if let Some(software) = &*job.software.borrow() {
            self.demand
                .record_stranded(&job.service, &job.request, software);
        }
        if self.topology.peers.borrow().leader.is_none() {
            return Some(return_deadline(job));
        }
        let asked_at = job.stranded_since.get().unwrap_or(now);
        job.stranded_since.set(Some(asked_at));
        load_deadline(job, asked_at + ORDER_DELAY + self.load_time(job)?)
    }
}

/// Returns until when a request may wait for a load that is expected to end at `ready_at`; `None` if
/// its caller would leave before the request can go on.
fn load_deadline(job: &Job, ready_at: Instant) -> Option<Instant> {
    let patience_end = job.patience_end();
    let patience = patience_end.saturating_duration_since(job.progress_at.get());
    let latest = job.progress_at.get() + patience * MAX_PATIENCE_PERCENT / 100;
    (ready_at <= latest).then(|| latest.min(ready_at + LATE_LOAD_TIMEOUT))
}

/// Returns until when it is known whether a target that broke off has crashed, and may return.
fn probe_deadline(job: &Job) -> Option<Instant> {
    let until = job.lost_at.get()? + PROBE_DURATION;
    Some(until.min(job.patience_end()))
}

/// Returns until when a request may wait for a target that registers or returns.
fn return_deadline(job: &Job) -> Instant {
    let until = job.progress_at.get() + TARGET_RETURN_WAIT;
    until.min(job.patience_end())
}

/// Returns the model for which a request waits.
fn waiting_for(job: &Job) -> Option<Key> {
    let model = job.request.model.clone()?;
    Some((job.service.clone(), model))
}
