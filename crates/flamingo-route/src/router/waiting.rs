//! Queueing and refusal of requests, and their removal from the router.

use super::{Router, min_queueing_delay, position};
use crate::action::{Action, Choice};
use crate::queue::Position;
use crate::request::Stage;
use flamingo_wire::config::LatePolicy;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use std::time::{Duration, Instant};

/// Maximum time after which a refused caller is told to retry, in seconds.
const RETRY_AFTER_MAX: u64 = 60;

impl Router {
    pub(super) fn enqueue(&mut self, now: Instant, request: &id::Request) {
        self.last_id += 1;
        let sequence = self.last_id;
        let Some(admitted) = self.admitted.get(request) else {
            return;
        };
        let position = position(admitted, sequence);
        let queue = self.queues.entry(admitted.pool.clone()).or_default();
        let before = queue.count_before(&position);
        let delay = queue.predict_delay(now, before);
        let delay = delay.max(min_queueing_delay(
            &self.fleet,
            &self.stats,
            &self.limit,
            &admitted.pool,
            before,
        ));
        if self.is_too_late(now + delay, admitted) {
            return self.refuse_late(now, request);
        }
        if !self.make_room(now, request, &position) {
            return;
        }
        let Some(admitted) = self.admitted.get_mut(request) else {
            return;
        };
        admitted.stage = Stage::Queued(sequence);
        let queue = self.queues.entry(admitted.pool.clone()).or_default();
        queue.push(now, position, request.clone());
        self.queued += 1;
        if admitted.late_policy == LatePolicy::Refuse && self.limit.admission {
            self.timers.insert((admitted.objective, request.clone()));
        }
        self.log_decision(
            request,
            Choice::Queue,
            "no free slot, or more urgent requests wait",
        );
    }

    /// Makes room in a full queue by refusing the last in order, which may be `request`
    /// itself; returns whether `request` may be queued.
    pub(super) fn make_room(
        &mut self,
        now: Instant,
        request: &id::Request,
        position: &Position,
    ) -> bool {
        let Some(pool) = self
            .admitted
            .get(request)
            .map(|admitted| admitted.pool.clone())
        else {
            return false;
        };
        let queue = self.queues.entry(pool).or_default();
        if queue.len() < self.limit.max_queued {
            return true;
        }
        let last = queue.last().map(|(last, shed)| (*last, shed.clone()));
        let message = "the queue is full of more urgent requests";
        match last {
            Some((last, shed)) if *position < last => {
                self.refuse(now, &shed, Reason::Overloaded, message);
                true
            }
            _ => {
                self.refuse(now, request, Reason::Overloaded, message);
                false
            }
        }
    }

    pub(super) fn refuse_late(&mut self, now: Instant, request: &id::Request) {
        let message = "the latency objective or maximum wait can't be met";
        self.refuse(now, request, Reason::Late, message);
    }

    /// Refuses a request as its final answer; cancels its attempt if one is in flight.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        request: &id::Request,
        reason: Reason,
        message: &str,
    ) {
        let Some(admitted) = self.admitted.get(request) else {
            return;
        };
        let queue = self.queues.get(&admitted.pool);
        let delay = queue.map_or(Duration::ZERO, |queue| {
            queue.predict_delay(now, queue.len())
        });
        let seconds = delay.as_secs().clamp(1, RETRY_AFTER_MAX);
        let message = format!("{}: {message}", admitted.pool);
        let help = match admitted.verdict {
            Verdict::NotRun => "retry after the given time",
            Verdict::MayHaveRun | Verdict::Ran => {
                "the request may have run; retry it only if it is idempotent"
            }
        };
        let fault = Fault::not_run(reason, message, help).verdict(admitted.verdict);
        let fault = fault.retry_after(u32::try_from(seconds).unwrap_or(1));
        if let Some(stats) = self.stats.get_mut(&admitted.pool) {
            stats.record_refusal();
        }
        self.log_decision(request, Choice::Refuse, "no further attempt is made");
        self.remove(now, request);
        self.actions.push(Action::Refuse {
            request: request.clone(),
            fault,
        });
    }

    /// Removes a request with its timers and queue position, and cancels its attempt if one
    /// is in flight.
    pub(super) fn remove(&mut self, now: Instant, request: &id::Request) {
        let Some(admitted) = self.admitted.remove(request) else {
            return;
        };
        self.timers.remove(&(admitted.deadline, request.clone()));
        self.timers.remove(&(admitted.objective, request.clone()));
        match admitted.stage {
            Stage::Queued(sequence) => {
                if let Some(queue) = self.queues.get_mut(&admitted.pool) {
                    let removed = queue.remove(&position(&admitted, sequence));
                    self.queued -= usize::from(removed.is_some());
                }
            }
            Stage::Delayed(until) => {
                self.timers.remove(&(until, request.clone()));
            }
            Stage::Running(attempt) | Stage::Answering(attempt) => {
                self.actions.push(Action::Cancel {
                    request: request.clone(),
                    attempt,
                });
                self.finish(now, attempt, |health, _| {
                    health.record_inconclusive(attempt);
                });
            }
        }
    }
}
