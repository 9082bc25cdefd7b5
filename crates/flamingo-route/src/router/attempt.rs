//! Progress of attempts: adapter loads, first bytes, ends, failures and retries.

use super::Router;
use crate::action::{AttemptId, Choice, Failure};
use crate::budget::Budget;
use crate::request::Stage;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Verdict, id};
use std::time::{Duration, Instant};

/// Base of the exponential back-off from the second retry on; the first retry is immediate.
const BACKOFF_BASE: Duration = Duration::from_millis(25);
/// Time within which an interrupted response must resume at another target.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

impl Router {
    pub(super) fn loaded(&mut self, now: Instant, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get_mut(&attempt) else {
            return;
        };
        if !std::mem::take(&mut in_flight.loading) {
            return;
        }
        self.loading -= 1;
        let index = in_flight.index;
        let admitted = self.admitted.get(&in_flight.request);
        let adapter = admitted.and_then(|admitted| admitted.adapter.as_ref());
        if let (Some(target), Some(adapter)) = (self.fleet.get_mut(index), adapter) {
            target.record_adapter_load(adapter, now);
        }
        self.dispatch_queued(now, index);
    }

    /// Sends the incarnation that an attempt was sent to nothing more, whatever its announcements say.
    pub(super) fn target_leaving(&mut self, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get(&attempt) else {
            return;
        };
        let target = self.fleet.get_mut(in_flight.index);
        if let Some(target) = target
            && target.announcement.incarnation == in_flight.incarnation
        {
            target.said_leaving = true;
        }
    }

    pub(super) fn begun(&mut self, now: Instant, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get_mut(&attempt) else {
            return;
        };
        in_flight.begun_at = Some(now);
        let request = in_flight.request.clone();
        self.record_answered(&request);
        let Some(admitted) = self.admitted.get_mut(&request) else {
            return;
        };
        admitted.stage = Stage::Answering(attempt);
        self.timers.remove(&(admitted.deadline, request));
        if now <= admitted.objective {
            self.stats
                .entry(admitted.pool.clone())
                .or_default()
                .record_objective_met();
        }
    }

    pub(super) fn ended(&mut self, now: Instant, attempt: AttemptId) {
        let mut slot_time = Duration::ZERO;
        let in_flight = self.in_flight.get(&attempt);
        let begun = in_flight.is_some_and(|in_flight| in_flight.begun_at.is_some());
        let request = self.finish(now, attempt, |health, began| {
            slot_time = now.saturating_duration_since(began);
            health.record_success(attempt, began);
        });
        let Some(request) = request else {
            return;
        };
        if !begun {
            self.record_answered(&request);
        }
        if let Some(admitted) = self.admitted.remove(&request) {
            let stats = self.stats.entry(admitted.pool.clone()).or_default();
            stats.record_slot_time(slot_time);
            self.timers.remove(&(admitted.deadline, request.clone()));
            self.timers.remove(&(admitted.objective, request));
        }
    }

    pub(super) fn failed(&mut self, now: Instant, failure: &Failure) {
        let Some(in_flight) = self.in_flight.get(&failure.attempt) else {
            return;
        };
        let request = in_flight.request.clone();
        self.record_break(now, failure);
        let Some(in_flight) = self.in_flight.get(&failure.attempt) else {
            return;
        };
        let target = self.fleet.get(in_flight.index);
        let target = target.map(|target| target.announcement.target.clone());
        if let Some(admitted) = self.admitted.get_mut(&request) {
            admitted.verdict = admitted.verdict.worse(failure.verdict);
            admitted.failed.extend(target);
            if matches!(admitted.stage, Stage::Answering(_)) {
                // The maximum wait covers the first byte only; resuming has its own time-out.
                admitted.deadline = now + RESUME_TIMEOUT;
                self.timers.insert((admitted.deadline, request.clone()));
            }
            // The slot is released below, so the attempt must not be cancelled any more.
            admitted.stage = Stage::Delayed(now);
        }
        let limit = self.limit.clone();
        self.finish(now, failure.attempt, |health, _| {
            if failure.target_at_fault {
                health.record_failure(failure.attempt, now, limit.cooldown, limit.cooldown_max);
            } else {
                health.record_inconclusive(failure.attempt);
            }
            if let Some(retry_after) = failure.retry_after {
                health.back_off(now, now + retry_after);
            }
        });
        self.retry(now, &request, failure);
    }

    pub(super) fn retry(&mut self, now: Instant, request: &id::Request, failure: &Failure) {
        let Some(admitted) = self.admitted.get(request) else {
            return;
        };
        let message = failure.message.as_str();
        let repeatable = admitted.idempotent || admitted.verdict == Verdict::NotRun;
        let allowed =
            repeatable && failure.resumable && admitted.attempts < self.limit.max_attempts;
        if !allowed || now >= admitted.deadline {
            return self.refuse(now, request, Reason::Target, message);
        }
        let attempts = admitted.attempts;
        let budget = self.budgets.get_mut(&admitted.pool);
        if !budget.is_some_and(Budget::try_withdraw) {
            let message = format!("{message}; the retry budget is spent");
            return self.refuse(now, request, Reason::Target, &message);
        }
        if attempts <= 1 {
            return self.route(now, request);
        }
        let backoff = BACKOFF_BASE * (1 << attempts.min(6));
        let part = u32::try_from(self.fleet.next_random() % 1_000).unwrap_or(0);
        let until = now + backoff / 2 + backoff * part / 2_000;
        if let Some(admitted) = self.admitted.get_mut(request) {
            admitted.stage = Stage::Delayed(until);
        }
        self.timers.insert((until, request.clone()));
        self.log_decision(request, Choice::Delay, "backs off before another attempt");
    }
}
