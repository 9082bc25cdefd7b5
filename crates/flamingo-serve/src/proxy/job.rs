//! State of a caller's request while it is being handled.

use super::share;
use crate::admission::LATE_RANK;
use crate::choice::Candidate;
use crate::limit::Limit;
use crate::server::Guard;
use crate::topology::Routes;
use crate::wire::{Cause, RequestHead};
use bytes::Bytes;
use flamingo_guard::observer::Life;
use flamingo_guard::quota::account::Ticket;
use flamingo_wire::fingerprint::{Fingerprint, fingerprint};
use flamingo_wire::id;
use flamingo_wire::prompt::Parts;
use flamingo_wire::route::{Rank, Route};
use flamingo_wire::stream::Scope;
use flamingo_wire::workspace::Workspace;
use http::uri::PathAndQuery;
use http::{HeaderValue, request};
use smallvec::SmallVec;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Gap in a stream after which callers leave, at least.
const MIN_CALLER_GAP: Duration = Duration::from_secs(2);
/// The same, in objectives of the route.
const CALLER_GAP_OBJECTIVES: u64 = 4;
/// The same, in longest pauses of the route.
const CALLER_GAP_PAUSES: u64 = 8;

/// A caller's request with the state of its attempts.
pub struct Job {
    /// HTTP head as received from the caller, without its key where keys are known.
    pub http_head: request::Parts,
    /// HTTP head as received, with the caller's key; `None` where the request may not be passed on: another
    /// entry has passed it on, or a target has answered. So keys are not held as long as streams last.
    pub caller_head: RefCell<Option<request::Parts>>,
    /// Complete request body.
    pub body: Bytes,
    /// The head as parsed by the codec.
    pub request: RequestHead,
    /// Parts of the prompt that others may contain as well.
    pub parts: Parts,
    /// Identity of the whole request, which its repeats share.
    pub fingerprint: Fingerprint,
    /// Route of the request, with the rank of the workspace where that has one.
    pub route: Route,
    /// Workspace of the caller; `None` for a caller without one, and where requests need no key.
    pub workspace: Option<Arc<Workspace>>,
    /// Service that was chosen by the shares of the route.
    pub service: id::Service,
    /// Routes that were current when the request arrived.
    pub routes: Rc<Routes>,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time that the caller has spent on earlier tries.
    pub earlier_wait: Duration,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Version of the software at which the stream began; `None` before its first event.
    pub software: RefCell<Option<id::Software>>,
    /// Content type of the response that began the stream, if it states one; empty before.
    pub content_type: OnceCell<Option<HeaderValue>>,
    /// Whether a target has said that the stream has no further event.
    pub said_to_end: Cell<bool>,
    /// Incarnations of targets that are not chosen again for this request.
    pub tried: RefCell<SmallVec<[Life; 2]>>,
    /// Incarnations of targets that broke off under this request or could not be reached.
    pub lost: RefCell<SmallVec<[Life; 2]>>,
    /// When a target last broke off under this request or could not be reached; `None` if none has.
    pub lost_at: Cell<Option<Instant>>,
    /// When the caller last got something, or came.
    pub progress_at: Cell<Instant>,
    /// Whether the log says that the request waits for a target of its version.
    pub waits: Cell<bool>,
    /// Since when the leader is asked for the model at the version of the stream.
    pub stranded_since: Cell<Option<Instant>>,
    /// Whether the request was sent again to a target that lacked its adapter.
    pub resent: Cell<bool>,
    /// Number of attempts that a target may have read or may be reading.
    pub sent: Cell<u32>,
    /// Whether the request was sent to be answered late.
    pub late: Cell<bool>,
    /// Number of targets that could not be reached or could not take the request.
    pub unreachable: Cell<usize>,
    /// Whether a target may have run the request.
    pub may_have_run: Cell<bool>,
    /// Whether a target has turned the request away as it was full.
    pub turned_away: Cell<bool>,
    /// What the request has taken of its workspace's quota; `None` if there is none.
    pub ticket: RefCell<Option<Ticket>>,
    /// What was counted of the request for the shares of workspaces.
    pub share: share::Progress,
    /// Counts the request as in flight.
    #[allow(dead_code, reason = "held for its drop")]
    pub guard: Guard,
}

impl Job {
    /// Returns whose stream the request begins or goes on with.
    pub fn scope(&self) -> Scope<'_> {
        scope(&self.routes, self.workspace.as_deref())
    }

    /// Returns what may be quarantined of the request: the parts of its prompt and itself.
    pub fn identities(&self) -> Parts {
        let parts = self.parts.iter().copied();
        parts.chain([self.fingerprint]).collect()
    }

    /// Counts an attempt, also one that is abandoned before its end, and excludes its target from
    /// further choices.
    pub fn begin_sending(&self, candidate: &Candidate) {
        self.sent.set(self.sent.get() + 1);
        self.late.set(candidate.is_late(self.route.rank));
        self.tried.borrow_mut().push(candidate.life());
    }

    /// Counts the target of an attempt as unreachable in place of the attempt, of which nothing was
    /// sent.
    pub fn record_unsent(&self) {
        self.sent.set(self.sent.get() - 1);
        self.unreachable.set(self.unreachable.get() + 1);
    }

    /// Records how an attempt failed, for the verdict of the request.
    pub fn record_error(&self, error: &AttemptError) {
        match error {
            AttemptError::MayHaveRun(_) => self.may_have_run.set(true),
            AttemptError::NotRun(Cause::NoRoom) => self.turned_away.set(true),
            _ => {}
        }
    }

    /// Returns the limit that decided if the request is given up for `cause`. Targets that were all full
    /// leave no target to choose.
    pub fn limit(&self, cause: Cause) -> Option<Limit> {
        match cause {
            Cause::NoTarget if self.turned_away.get() => Some(Limit::Room),
            cause => Limit::of(cause),
        }
    }

    /// Returns the rank of the next attempt. A late request keeps the last rank until its stream begins.
    pub fn rank(&self) -> Rank {
        if self.late.get() && !self.goes_on() {
            LATE_RANK
        } else {
            self.route.rank
        }
    }

    /// Returns whether the request goes on with a stream that has begun.
    pub fn goes_on(&self) -> bool {
        self.software.borrow().is_some()
    }

    /// Returns when the caller leaves if it gets nothing until then.
    pub fn patience_end(&self) -> Instant {
        let route = &self.route;
        let gap =
            (route.objective_ms * CALLER_GAP_OBJECTIVES).max(route.pause_ms * CALLER_GAP_PAUSES);
        let gap = Duration::from_millis(gap).max(MIN_CALLER_GAP);
        self.deadline.min(self.progress_at.get() + gap)
    }

    /// Returns whether a target must state its incarnation before it gets the request. A stream must
    /// not go on at a target that has restarted, perhaps with other software, since it registered.
    pub fn must_check_incarnation(&self) -> bool {
        let service = self.routes.service(&self.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        is_engine && self.goes_on()
    }

    /// Records that a target broke off or could not be reached.
    pub fn record_lost(&self, candidate: &Candidate) {
        self.lost.borrow_mut().push(candidate.life());
        self.lost_at.set(Some(Instant::now()));
    }

    /// Excludes a target that can't take the request from further choices.
    pub fn exclude(&self, candidate: &Candidate) {
        self.tried.borrow_mut().push(candidate.life());
        self.unreachable.set(self.unreachable.get() + 1);
    }
}

/// Returns whose stream a request begins or goes on with, if the caller was found to be of
/// `workspace`.
pub fn scope<'a>(routes: &Routes, workspace: Option<&'a Workspace>) -> Scope<'a> {
    if routes.keys.is_none() {
        return Scope::Open;
    }
    Scope::Workspace(workspace.map(|workspace| workspace.name.as_str()))
}

/// Returns the identity of a request by its method, host, path, query, caller, model, prompt and body.
pub fn identify(http_head: &request::Parts, request: &RequestHead, body: &[u8]) -> Fingerprint {
    let text = |text: &Option<String>| text.clone().unwrap_or_default().into_bytes();
    let path = http_head.uri.path_and_query();
    let path = path.map_or("", PathAndQuery::as_str);
    let parts = request.prompt_parts.iter();
    let prompt: Vec<u8> = parts.flat_map(|part| part.id.to_be_bytes()).collect();
    // The name of a workspace stays when the caller gets another key.
    let caller = match &request.workspace {
        Some(workspace) => workspace.as_bytes(),
        None => request
            .caller
            .as_ref()
            .map_or(&[][..], |caller| caller.as_bytes()),
    };
    fingerprint(&[
        http_head.method.as_str().as_bytes(),
        request.host.as_bytes(),
        path.as_bytes(),
        caller,
        &text(&request.model),
        &text(&request.adapter),
        &prompt,
        body,
    ])
}

/// Why an attempt has no response for the caller.
pub enum AttemptError {
    /// The request did not run.
    NotRun(Cause),
    /// The target did not run the request, since it does not have the adapter that was to be loaded there.
    AdapterMissing(Box<Candidate>),
    /// The request did not run, and there is no other target for it.
    NoAlternative(Cause),
    /// The request was not sent, since this queueing delay at the best target is too long.
    QueueTooLong(Duration),
    /// The request may have run.
    MayHaveRun(Cause),
}
