//! A request on its way, and how one sending of it fails.

use crate::server::Guard;
use crate::topology::Routes;
use crate::wire::{Cause, RequestHead};
use bytes::Bytes;
use flamingo_wire::id;
use flamingo_wire::route::Route;
use http::request;
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request with what was decided of it once.
pub struct Job {
    /// The head, as the caller sent it.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// What the head says.
    pub ask: RequestHead,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: id::Service,
    /// The routes that were in force.
    pub routes: Rc<Routes>,
    /// When it arrived.
    pub arrived: Instant,
    /// Time for which its caller waited in earlier tries.
    pub elapsed: Duration,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Targets that it was meant for.
    pub tried: RefCell<SmallVec<[id::Target; 2]>>,
    /// Times that it was sent.
    pub sent: Cell<u32>,
    /// When it was last sent.
    pub sent_at: Cell<Instant>,
    /// Targets that could not be reached.
    pub unreached: Cell<usize>,
    /// Whether it may have run.
    pub ran: Cell<bool>,
    /// Counter it as being answered.
    #[allow(dead_code, reason = "held for its drop")]
    pub guard: Guard,
}

impl Job {
    /// Counter a sending that a target may have read.
    pub fn count(&self) {
        self.sent.set(self.sent.get() + 1);
    }

    /// Notes that a target can't take it; it is not chosen for it again.
    pub fn pass_over(&self, target: &str) {
        self.tried.borrow_mut().push(target.to_owned());
        self.unreached.set(self.unreached.get() + 1);
    }
}

/// How one sending ended without an answer for the caller.
pub enum Setback {
    /// It did not run.
    NotRun(Cause),
    /// It did not run, and there is no other target to send it to.
    Stuck(Cause),
    /// It did not run, and would wait so long at the best target.
    Full(Duration),
    /// It may have run.
    MayHaveRun(Cause),
}
