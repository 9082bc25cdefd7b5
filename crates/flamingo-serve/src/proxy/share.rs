//! Limits the queueing delay of requests from workspaces that exceed their fair share.

use super::Proxy;
use super::job::{AttemptError, Job};
use crate::admission::Timing;
use crate::choice::Candidate;
use crate::limit::Limit;
use crate::wire::Cause;
use flamingo_guard::share::tally::Event;
use flamingo_guard::share::{Pool, Standing, is_pressed};
use slog::info;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// What was counted of a request.
#[derive(Debug)]
pub struct Progress {
    /// Number from 0 to 1 that is evenly distributed over requests: which part of its workspace's work
    /// the request belongs to.
    draw: f64,
    /// Whether it was counted as let in.
    admitted: Cell<bool>,
    /// Whether it was counted as lacking room after it had been let in.
    pressed: Cell<bool>,
    /// Whether it was counted as begun.
    begun: Cell<bool>,
}

impl Progress {
    /// Returns the progress of a request that arrives now, after `count` choices of targets.
    pub fn new(count: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        Instant::now().hash(&mut hasher);
        count.hash(&mut hasher);
        let bits = u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX);
        Self {
            draw: f64::from(bits) / f64::from(u32::MAX),
            admitted: Cell::new(false),
            pressed: Cell::new(false),
            begun: Cell::new(false),
        }
    }
}

impl Proxy {
    /// Returns how a request stands to the share of its workspace. Once it was let in, or goes on with a
    /// stream, it is not limited any more.
    pub(super) fn standing(&self, job: &Job, now: Instant) -> Standing {
        if job.sent.get() > 0 || job.goes_on() || job.share.admitted.get() {
            return Standing::Unlimited;
        }
        let Some(workspace) = sharer(job) else {
            return Standing::Unlimited;
        };
        let shares = self.topology.shares.borrow();
        shares.standing(&pool(job), workspace, job.share.draw, now)
    }

    /// Counts a request that is about to be sent for the first time. A request to a plain service, which
    /// joins any queue otherwise, is refused if the queue is too long for its share.
    pub(super) fn admit_by_share(
        &self,
        job: &Job,
        candidate: &Candidate,
    ) -> Result<(), AttemptError> {
        if sharer(job).is_none() || job.sent.get() > 0 || job.goes_on() || job.share.admitted.get()
        {
            return Ok(());
        }
        let objective = objective(job);
        let is_plain = job.request.model.is_none();
        let delay = if is_plain {
            candidate.first_event_delay
        } else {
            candidate.queueing_delay
        };
        let standing = self.standing(job, Instant::now());
        if is_plain && !standing.admits(delay, objective) {
            return Err(AttemptError::QueueTooLong(delay));
        }
        let is_pressed = candidate.is_late(job.rank()) || is_pressed(delay, objective);
        let event = if is_pressed {
            Event::Pressed
        } else {
            Event::Admitted
        };
        job.share.admitted.set(true);
        job.share.pressed.set(is_pressed);
        self.record_share(job, event);
        Ok(())
    }

    /// Logs and counts a request that finds too long a queue, and returns the cause: its share, if it
    /// had been let in without that.
    pub(super) fn record_no_room(&self, job: &Job, delay: Duration, now: Instant) -> Cause {
        let standing = self.standing(job, now);
        if !job.share.admitted.get() {
            self.record_share(job, Event::Refused);
        }
        let request = &job.request;
        if standing == Standing::Unlimited || !self.is_room_without_share(job, delay, now) {
            info!(self.log, "no room"; "request" => &request.attempt_id,
                "workspace" => &request.workspace, "limit" => Limit::name(Cause::NoRoom),
                "version" => request.configuration, "wait_ms" => delay.as_millis());
            return Cause::NoRoom;
        }
        let name: &str = standing.into();
        info!(self.log, "above its share"; "request" => &request.attempt_id,
            "workspace" => sharer(job), "limit" => Limit::name(Cause::OverShare), "standing" => name,
            "service" => &job.service, "model" => &request.model, "wait_ms" => delay.as_millis(),
            "version" => request.configuration);
        let workspaces = self.metrics.workspaces();
        workspaces.record_share(sharer(job).unwrap_or_default(), name);
        Cause::OverShare
    }

    /// Counts a request that a target has begun to answer: from these, the leader knows the capacity.
    pub(super) fn record_share_begun(&self, job: &Job) {
        if job.share.admitted.get() && !job.share.begun.replace(true) {
            self.record_share(job, Event::Begun);
        }
    }

    /// Counts a request that was let in and that targets have turned away.
    pub(super) fn record_turned_away(&self, job: &Job) {
        if job.share.admitted.get() && !job.share.pressed.replace(true) {
            self.record_share(job, Event::TurnedAway);
        }
    }

    /// Returns when the queue of a request that its share refuses will be short enough, if no others
    /// join it; `None` if the share does not refuse it.
    pub(super) fn share_reopens(
        &self,
        job: &Job,
        delay: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let max_queue = self.standing(job, now).max_queue(objective(job))?;
        Some(now + delay.saturating_sub(max_queue))
    }

    /// Returns whether a request that finds this queue would be let in if there were no shares.
    fn is_room_without_share(&self, job: &Job, delay: Duration, now: Instant) -> bool {
        let timing = self.timing(job, now).map(|timing| Timing {
            standing: Standing::Unlimited,
            queueing_delay: delay,
            ..timing
        });
        timing.is_none_or(|timing| timing.admitted())
    }

    fn record_share(&self, job: &Job, event: Event) {
        if let Some(workspace) = sharer(job) {
            let ratio = self.work_ratio(job);
            let request = &job.request;
            self.demand
                .record_share(&pool(job), workspace, request, ratio, event);
        }
    }
}

/// Returns the name by which a request counts: that of its workspace, or an empty one for all callers
/// without a workspace; `None` where requests need no key.
fn sharer(job: &Job) -> Option<&str> {
    job.routes.keys.as_ref()?;
    let workspace = job.workspace.as_ref();
    Some(workspace.map_or("", |workspace| &workspace.name))
}

/// Returns the capacity that a request needs.
fn pool(job: &Job) -> Pool {
    Pool {
        service: job.service.clone(),
        model: job.request.model.clone(),
        rank: job.route.rank,
    }
}

fn objective(job: &Job) -> Duration {
    Duration::from_millis(job.route.objective_ms)
}
