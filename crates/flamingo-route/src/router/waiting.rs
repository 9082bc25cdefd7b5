//! Queues, refusals and the end of a request's wait.

use super::{Router, place, wait_at_least};
use crate::action::{Action, Choice};
use crate::queue::Place;
use crate::request::Stage;
use flamingo_wire::config::Late;
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use std::time::{Duration, Instant};

/// Longest time that a caller is told to wait, in seconds.
const RETRY_AFTER_MAX: u64 = 60;

impl Router {
    pub(super) fn enqueue(&mut self, now: Instant, request: &id::Request) {
        self.next += 1;
        let turn = self.next;
        let Some(live) = self.admitted.get(request) else {
            return;
        };
        let place = place(live, turn);
        let queue = self.queues.entry(live.pool.clone()).or_default();
        let before = queue.before(&place);
        let wait = queue.wait(now, before);
        let wait = wait.max(wait_at_least(
            &self.fleet,
            &self.paces,
            &self.limit,
            &live.pool,
            before,
        ));
        if self.misses(now + wait, live) {
            return self.refuse_late(now, request);
        }
        if !self.make_room(now, request, &place) {
            return;
        }
        let Some(live) = self.admitted.get_mut(request) else {
            return;
        };
        live.stage = Stage::Queued(turn);
        let queue = self.queues.entry(live.pool.clone()).or_default();
        queue.push(now, place, request.clone());
        self.waiting += 1;
        if live.late == Late::Refuse && self.limit.admission {
            self.timers.insert((live.promise, request.clone()));
        }
        self.note(request, Choice::Queue, "no target has room");
    }

    /// Sheds the last of a full queue; returns whether `request` may join.
    pub(super) fn make_room(&mut self, now: Instant, request: &id::Request, place: &Place) -> bool {
        let Some(pool) = self.admitted.get(request).map(|live| live.pool.clone()) else {
            return false;
        };
        let queue = self.queues.entry(pool).or_default();
        if queue.len() < self.limit.queue {
            return true;
        }
        let last = queue.last().map(|(last, loser)| (*last, loser.clone()));
        let message = "the queue is full of more urgent requests";
        match last {
            Some((last, loser)) if *place < last => {
                self.refuse(now, &loser, Reason::Overloaded, message);
                true
            }
            _ => {
                self.refuse(now, request, Reason::Overloaded, message);
                false
            }
        }
    }

    pub(super) fn refuse_late(&mut self, now: Instant, request: &id::Request) {
        let message = "its promise can't be met now";
        self.refuse(now, request, Reason::Late, message);
    }

    /// Gives the final answer to a request that has no attempt in flight.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        request: &id::Request,
        reason: Reason,
        message: &str,
    ) {
        let Some(live) = self.admitted.get(request) else {
            return;
        };
        let queue = self.queues.get(&live.pool);
        let wait = queue.map_or(Duration::ZERO, |queue| queue.wait(now, queue.len()));
        let seconds = wait.as_secs().clamp(1, RETRY_AFTER_MAX);
        let message = format!("{}: {message}", live.pool);
        let help = match live.verdict {
            Verdict::NotRun => "send it again after the given time",
            Verdict::MayHaveRun | Verdict::Ran => {
                "it may have run; send it again only if it is idempotent"
            }
        };
        let fault = Fault::not_run(reason, message, help).verdict(live.verdict);
        let fault = fault.retry_after(u32::try_from(seconds).unwrap_or(1));
        if let Some(pace) = self.paces.get_mut(&live.pool) {
            pace.refused();
        }
        self.note(request, Choice::Refuse, "no attempt can keep its promise");
        self.forget(now, request);
        self.actions.push(Action::Refuse {
            request: request.clone(),
            fault,
        });
    }

    /// Drops a request with all that it holds.
    pub(super) fn forget(&mut self, now: Instant, request: &id::Request) {
        let Some(live) = self.admitted.remove(request) else {
            return;
        };
        self.timers.remove(&(live.give_up, request.clone()));
        self.timers.remove(&(live.promise, request.clone()));
        match live.stage {
            Stage::Queued(turn) => {
                if let Some(queue) = self.queues.get_mut(&live.pool) {
                    let removed = queue.remove(&place(&live, turn));
                    self.waiting -= usize::from(removed.is_some());
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
                self.land(now, attempt, |health, _| health.dropped(attempt));
            }
        }
    }
}
