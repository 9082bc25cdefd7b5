//! A stream on its way to the caller, and how it goes on where its target breaks off.

use super::Proxy;
use super::job::Job;
use super::slot::Slot;
use crate::body::Broken;
use crate::choice::Choice;
use crate::events::Event;
use crate::relay::{Relay, Step};
use bytes::Bytes;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest pauses of a prompt stream after which a silent target is left.
const PAUSES: u32 = 3;
/// Shortest silence after which a target is left.
const SILENCE: Duration = Duration::from_millis(1_200);

/// The stream of a job on its way to the caller.
pub struct Stream {
    /// The proxy.
    pub proxy: Rc<Proxy>,
    /// The job.
    pub job: Rc<Job>,
    /// What is left to be read; none while it goes on elsewhere.
    pub relay: Option<Relay>,
    /// Its place at the target.
    pub slot: Slot,
    /// The first event, until it is passed on.
    pub first: Option<Event>,
    /// The number of the last event that was passed on.
    pub last: Option<u64>,
    /// Nothing follows.
    pub done: bool,
    /// It was once found silent: it is not left a second time.
    pub stalled: bool,
}

impl Stream {
    /// Returns the next chunk for the caller.
    pub async fn step(mut self) -> Option<(Result<Bytes, Broken>, Option<Self>)> {
        if let Some(first) = self.first.take() {
            self.last = first.id.or(self.last);
            return Some((Ok(first.bytes), Some(self)));
        }
        loop {
            if self.done {
                self.end();
                return None;
            }
            let deadline = self.patience();
            let Some(relay) = &mut self.relay else {
                return Some(self.broken("no other target took it"));
            };
            match relay.next(deadline).await {
                Step::Event(event) => {
                    if !self.follows(&event) {
                        return Some(self.broken("an event out of order"));
                    }
                    self.last = event.id.or(self.last);
                    return Some((Ok(event.bytes), Some(self)));
                }
                Step::Rest(event) => {
                    self.done = true;
                    return Some((Ok(event.bytes), Some(self)));
                }
                Step::End => self.done = true,
                Step::Late if Instant::now() < self.job.deadline => {
                    self.stalled = true;
                    self.leave().await;
                }
                Step::Late => {
                    self.ended("late");
                    return Some((Err(Broken::Late), None));
                }
                Step::Broken => {
                    if !self.resume().await {
                        return Some(self.broken("the target broke off"));
                    }
                }
            }
        }
    }

    /// Returns whether an event comes right after the last one.
    fn follows(&self, event: &Event) -> bool {
        match (self.last, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }

    /// Ends the answer so that it does not look whole.
    fn broken(self, why: &str) -> (Result<Bytes, Broken>, Option<Self>) {
        info!(self.proxy.log, "stream broken"; "request" => &self.job.ask.attempt_id,
            "target" => &self.slot.target, "why" => why, "last" => self.last);
        self.ended("broken");
        (Err(Broken::Target), None)
    }

    /// Returns until when the target may be silent.
    fn patience(&self) -> Instant {
        let pause = Duration::from_millis(self.job.route.pause_ms) * PAUSES;
        if self.stalled || !self.resumable() {
            return self.job.deadline;
        }
        let limit = Instant::now() + pause.max(SILENCE);
        limit.min(self.job.deadline)
    }

    fn resumable(&self) -> bool {
        self.job.route.resumable && self.last.is_some()
    }

    /// Leaves a target that has been silent for long, where another could take the stream.
    async fn leave(&mut self) {
        let now = Instant::now();
        if !matches!(self.proxy.choose(&self.job, now), Choice::Send(_)) {
            return;
        }
        if !self.proxy.again(&self.job, now) {
            return;
        }
        info!(self.proxy.log, "stream stalled"; "request" => &self.job.ask.attempt_id,
            "target" => &self.slot.target, "last" => self.last);
        self.proxy.shun(&self.slot.target, now);
        // The target must stop before another goes on.
        self.relay = None;
        self.go_on().await;
    }

    /// Goes on at another target where the budget allows it; returns whether one took it.
    async fn resume(&mut self) -> bool {
        if !self.resumable() || !self.proxy.again(&self.job, Instant::now()) {
            return false;
        }
        self.relay = None;
        self.go_on().await
    }

    /// Goes on at another target, after the last event that was passed on.
    async fn go_on(&mut self) -> bool {
        let proxy = Rc::clone(&self.proxy);
        let job = Rc::clone(&self.job);
        let Choice::Send(pick) = proxy.choose(&job, Instant::now()) else {
            return false;
        };
        if pick.bare && proxy.adapt(&job, &pick).await.is_err() {
            return false;
        }
        let slot = Slot::take(proxy.topology(), &pick, &job);
        let Ok(begun) = proxy.send(&job, &pick, self.last).await else {
            return false;
        };
        let good = begun.head.status.is_success() && begun.answer.sealed;
        if good {
            info!(proxy.log, "stream resumed"; "request" => &job.ask.attempt_id,
                "target" => &pick.target, "after" => self.last);
            self.relay = Some(Relay::new(begun));
            self.slot = slot;
        }
        good
    }

    fn ended(&self, outcome: &str) {
        self.proxy.metrics.ended(&self.job.route.name, outcome);
    }

    /// Keeps the connection of a stream that has ended in order.
    fn end(self) {
        self.ended("answered");
        if let Some(Relay { begun, .. }) = self.relay {
            let target = &self.slot.target;
            self.proxy.reuse(target, begun.connection, &begun.answer);
        }
    }
}
