//! Takes requests that other entries pass on.

use super::{Acceptance, MARK, identity};
use crate::body::Body;
use crate::proxy::Proxy;
use crate::server::{Handler, Stage};
use crate::wire::RequestHead;
use flamingo_wire::frame::Seal;
use flamingo_wire::handover;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode, request};
use hyper::body::Incoming;
use slog::{Logger, info};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;
use strum::IntoStaticStr;

/// Largest number of requests of other entries that are in progress at once. Each holds a connection with
/// its buffers; an entry of the design size has a few hundred callers of its own.
const MAX_IN_PROGRESS: usize = 256;

/// Why a request of another entry is refused.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Reason {
    /// It has no valid proof that an entry of this system sent it.
    Unproved,
    /// This entry reaches no target itself.
    Isolated,
    /// This entry shuts down.
    Stopping,
    /// Too many are in progress.
    Full,
}

/// Handles requests that other entries pass on, as if their callers had come here.
pub struct Receiver {
    proxy: Rc<Proxy>,
    seal: Seal,
    /// Address at which the other entries reach this one.
    address: SocketAddr,
    in_progress: Rc<Cell<usize>>,
    log: Logger,
}

impl std::fmt::Debug for Receiver {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Receiver({})", self.address)
    }
}

impl Handler for Receiver {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move { self.respond(request).await }.boxed_local()
    }
}

impl Receiver {
    /// Returns the handler for the inner `address` of the entry of `proxy`.
    #[must_use]
    pub fn new(proxy: Rc<Proxy>, seal: Seal, address: SocketAddr, log: Logger) -> Rc<Self> {
        Rc::new(Self {
            proxy,
            seal,
            address,
            in_progress: Rc::default(),
            log,
        })
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (mut head, body) = request.into_parts();
        let proofs: Vec<_> = head.headers.get_all(MARK).into_iter().cloned().collect();
        head.headers.remove(MARK);
        let parsed = self.proxy.codec().parse_request(&head).unwrap_or_default();
        let proof = match proofs.as_slice() {
            [proof] => proof.to_str().unwrap_or_default(),
            _ => "",
        };
        if !self.is_proved(proof, &head, &parsed) {
            return self.refuse(Reason::Unproved, &parsed);
        }
        if let Some(reason) = self.obstacle() {
            return self.refuse(reason, &parsed);
        }
        let slot = Slot::take(&self.in_progress);
        self.proxy.metrics().handovers().taken_over.inc();
        let request = Request::from_parts(head, body);
        let response = Rc::clone(&self.proxy).serve_passed_on(request).await;
        let mut response = response.map(|body| hold(slot, body));
        Acceptance::Taken.state(response.headers_mut());
        response
    }

    fn is_proved(&self, proof: &str, head: &request::Parts, request: &RequestHead) -> bool {
        let identity = identity(self.address, head, request);
        handover::is_valid(&self.seal, proof, &identity, SystemTime::now())
    }

    /// Returns why no request of another entry is taken now; `None` if one is.
    fn obstacle(&self) -> Option<Reason> {
        if self.proxy.is_isolated() {
            Some(Reason::Isolated)
        } else if self.proxy.stage() > Stage::Serving {
            Some(Reason::Stopping)
        } else if self.in_progress.get() >= MAX_IN_PROGRESS {
            Some(Reason::Full)
        } else {
            None
        }
    }

    /// Logs a request that is not run here, and returns the refusal. One without a proof is told nothing.
    fn refuse(&self, reason: Reason, request: &RequestHead) -> Response<Body> {
        let why: &str = reason.into();
        info!(self.log, "refused for another entry"; "request" => &request.attempt_id, "why" => why);
        let mut response = Response::new(Body::Whole(None));
        if reason == Reason::Unproved {
            *response.status_mut() = StatusCode::FORBIDDEN;
            return response;
        }
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers: &mut HeaderMap = response.headers_mut();
        Acceptance::Refused.state(headers);
        response
    }
}

/// A request that is in progress until this is dropped.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(in_progress: &Rc<Cell<usize>>) -> Self {
        in_progress.set(in_progress.get() + 1);
        Self(Rc::clone(in_progress))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Keeps the slot of a request until its streamed body has ended.
fn hold(slot: Slot, body: Body) -> Body {
    match body {
        Body::Whole(bytes) => Body::Whole(bytes),
        Body::Chunks(chunks) => {
            let chunks = chunks.inspect(move |_| {
                let _held: &Slot = &slot;
            });
            Body::Chunks(Box::pin(chunks))
        }
    }
}
