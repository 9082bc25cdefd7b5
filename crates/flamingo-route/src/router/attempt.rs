//! How attempts go: adapters loaded, first bytes, ends, failures and retries.

use super::Router;
use crate::action::{AttemptId, Choice, Failure};
use crate::budget::Budget;
use crate::request::Stage;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Verdict, id};
use std::time::{Duration, Instant};

/// First wait before a repeated retry; doubles with each attempt.
const BACKOFF: Duration = Duration::from_millis(25);
/// Time in which a broken answer must go on at another target.
const RESUME: Duration = Duration::from_secs(10);

impl Router {
    pub(super) fn loaded(&mut self, now: Instant, attempt: AttemptId) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        if !std::mem::take(&mut flight.loading) {
            return;
        }
        self.loading -= 1;
        let number = flight.number;
        let live = self.admitted.get(&flight.request);
        let adapter = live.and_then(|live| live.adapter.as_ref());
        if let (Some(target), Some(adapter)) = (self.fleet.get_mut(number), adapter) {
            target.loaded(adapter, now);
        }
        self.fill(now, number);
    }

    pub(super) fn begun(&mut self, now: Instant, attempt: AttemptId) {
        let Some(flight) = self.flights.get(&attempt) else {
            return;
        };
        let Some(live) = self.admitted.get_mut(&flight.request) else {
            return;
        };
        live.stage = Stage::Answering(attempt);
        self.timers.remove(&(live.give_up, flight.request.clone()));
        if now <= live.promise {
            self.paces.entry(live.pool.clone()).or_default().met();
        }
    }

    pub(super) fn ended(&mut self, now: Instant, attempt: AttemptId) {
        let mut held = Duration::ZERO;
        let request = self.land(now, attempt, |health, began| {
            held = now.saturating_duration_since(began);
            health.succeeded(attempt, began);
        });
        let Some(request) = request else {
            return;
        };
        if let Some(live) = self.admitted.remove(&request) {
            let pace = self.paces.entry(live.pool.clone()).or_default();
            pace.held(held);
            self.timers.remove(&(live.give_up, request.clone()));
            self.timers.remove(&(live.promise, request));
        }
    }

    pub(super) fn failed(&mut self, now: Instant, failure: &Failure) {
        let Some(flight) = self.flights.get(&failure.attempt) else {
            return;
        };
        let request = flight.request.clone();
        let target = self.fleet.get(flight.number);
        let target = target.map(|target| target.known.target.clone());
        if let Some(live) = self.admitted.get_mut(&request) {
            live.verdict = live.verdict.worse(failure.verdict);
            live.failed.extend(target);
            if matches!(live.stage, Stage::Answering(_)) {
                // Its patience ended with the first byte; the rest of the answer has its own.
                live.give_up = now + RESUME;
                self.timers.insert((live.give_up, request.clone()));
            }
            // Its slot is about to go: nothing may cancel the attempt any more.
            live.stage = Stage::Delayed(now);
        }
        let limit = self.limit.clone();
        self.land(now, failure.attempt, |health, _| {
            if failure.target_at_fault {
                health.failed(failure.attempt, now, limit.cooldown, limit.cooldown_max);
            } else {
                health.dropped(failure.attempt);
            }
            if let Some(rest) = failure.retry_after {
                health.rest(now, now + rest);
            }
        });
        self.retry(now, &request, failure);
    }

    pub(super) fn retry(&mut self, now: Instant, request: &id::Request, failure: &Failure) {
        let Some(live) = self.admitted.get(request) else {
            return;
        };
        let message = failure.message.as_str();
        let repeatable = live.idempotent || live.verdict == Verdict::NotRun;
        let allowed = repeatable && failure.resumable && live.attempts < self.limit.attempts;
        if !allowed || now >= live.give_up {
            return self.refuse(now, request, Reason::Target, message);
        }
        let attempts = live.attempts;
        let budget = self.budgets.get_mut(&live.pool);
        if !budget.is_some_and(Budget::spend) {
            let message = format!("{message}; the retry budget is spent");
            return self.refuse(now, request, Reason::Target, &message);
        }
        if attempts <= 1 {
            return self.place(now, request);
        }
        let backoff = BACKOFF * (1 << attempts.min(6));
        let part = u32::try_from(self.fleet.random() % 1_000).unwrap_or(0);
        let until = now + backoff / 2 + backoff * part / 2_000;
        if let Some(live) = self.admitted.get_mut(request) {
            live.stage = Stage::Delayed(until);
        }
        self.timers.insert((until, request.clone()));
        self.note(request, Choice::Delay, "backs off before another attempt");
    }
}
