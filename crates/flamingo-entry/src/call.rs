//! Calls to plain services, some of which may not be repeated.

use crate::body;
use crate::completion::{invalid, profile};
use crate::desk::Command;
use crate::exchange::{self, Outgoing, REQUEST};
use crate::http::{Shared, request_id};
use crate::path;
use crate::ticket::Ticket;
use actix_web::http::header::{self, HeaderMap, HeaderName};
use actix_web::http::{Method, StatusCode};
use actix_web::web::{Bytes, Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use awc::Client;
use flamingo_daemon::answer;
use flamingo_route::Pool;
use flamingo_route::action::{Dispatch, Failure};
use flamingo_wire::control::{Answer, Call, Grant, Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use sha2::{Digest, Sha256};
use std::time::{Duration, Instant};

/// Header that carries the caller's idempotency key.
pub const KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 255;
/// Largest answer that is recorded for resends, in bytes.
const RECORDED: usize = 64 << 10;
/// Time between two parts of an answer after which the target is given up.
const SILENCE: Duration = Duration::from_secs(30);
/// Time for which the ledger is told that a call was given up on.
const TELL: Duration = Duration::from_mins(5);
/// Time between two tries of that.
const PAUSE: Duration = Duration::from_millis(500);
/// Headers that concern one connection only.
const HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A target's whole answer.
#[derive(Debug)]
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// One call under way.
struct Calling {
    shared: Data<Shared>,
    client: Data<Client>,
    service: id::Service,
    outgoing: Outgoing,
    /// The key of a call that may not be repeated.
    key: Option<id::Key>,
    /// Whether the ledger has granted the dispatch.
    granted: bool,
}

/// Serves a call to a plain service.
pub async fn serve(
    shared: Data<Shared>,
    client: Data<Client>,
    request: HttpRequest,
    service: Path<(String, String)>,
    payload: Payload,
) -> HttpResponse {
    let id = request_id();
    let service = service.into_inner().0;
    match prepare(&shared, &request, &service, payload, &id).await {
        Err(fault) => answer::refuse(&fault, &id),
        Ok((outgoing, idempotent, key)) => {
            let ask = flamingo_route::Request {
                id,
                pool: Pool::Service(service.clone()),
                profile: profile(&request),
                prefixes: flamingo_route::request::Prefixes::new(),
                idempotent,
            };
            let calling = Calling {
                shared: shared.clone(),
                client,
                service,
                outgoing,
                key,
                granted: false,
            };
            let ticket = Ticket::open(shared.desk.clone(), ask);
            if idempotent {
                return calling.run(ticket).await;
            }
            // A caller that goes away must not cut a call that can't be repeated,
            // nor keep its answer from being recorded.
            let task = actix_rt::spawn(calling.run(ticket));
            task.await.unwrap_or_else(|error| {
                let message = format!("the call's task failed: {error}");
                let help = "it may have run; ask with the same key";
                let fault = Fault::not_run(Reason::Target, message, help);
                answer::refuse(&fault.verdict(Verdict::MayHaveRun), "")
            })
        }
    }
}

/// Reads and checks a call; returns what to send, and whether it may be repeated.
async fn prepare(
    shared: &Shared,
    request: &HttpRequest,
    service: &str,
    payload: Payload,
    id: &str,
) -> Result<(Outgoing, bool, Option<id::Key>), Fault> {
    let Some(inner) = path::inner(request.path()) else {
        let message = "the path can be read in two ways";
        return Err(invalid(message, "leave out '.', '..', ';' and empty parts"));
    };
    let config = shared.known.config();
    let known = config.set.service(service);
    // A call of an unknown service may not be repeated.
    let idempotent = known.is_some_and(|known| path::idempotent(known, inner));
    let key = if idempotent { None } else { key(request)? };
    let query = request.uri().query();
    let path = query.map_or_else(|| inner.to_owned(), |query| format!("{inner}?{query}"));
    let headers = request.headers().iter();
    let secret = |name: &HeaderName| shared.guarded && name == header::AUTHORIZATION;
    let headers = headers.filter(|(name, _)| passes(name) && !secret(name));
    let headers = headers.map(|(name, value)| (name.clone(), value.clone()));
    let outgoing = Outgoing {
        request: id.to_owned(),
        method: request.method().clone(),
        path,
        headers: headers.collect(),
        body: body::read(request, payload, shared.serve.body).await?,
    };
    Ok((outgoing, idempotent, key))
}

fn key(request: &HttpRequest) -> Result<Option<id::Key>, Fault> {
    let mut keys = request.headers().get_all(KEY);
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let text = key.to_str().unwrap_or_default().trim();
    let fits = !text.is_empty() && text.len() <= KEY_MAX && keys.next().is_none();
    if fits {
        return Ok(Some(text.to_owned()));
    }
    let message = "the Idempotency-Key can't be used";
    Err(invalid(
        message,
        "send one key of 1 to 255 visible ASCII characters",
    ))
}

fn passes(name: &HeaderName) -> bool {
    let own = name.as_str().starts_with("x-flamingo-") || name == REQUEST;
    !own && !HOP.contains(&name.as_str())
}

impl Calling {
    async fn run(mut self, mut ticket: Ticket) -> HttpResponse {
        loop {
            let dispatch = match ticket.next().await {
                Command::Dispatch(dispatch) => dispatch,
                Command::Refuse(fault) => return self.refused(&ticket, &fault).await,
            };
            if let Some(answer) = self.begin().await {
                // The slot goes back: nothing was sent.
                return answer;
            }
            match self.attempt(&dispatch).await {
                Ok(whole) => {
                    self.finish(Verdict::Ran, Some(&whole)).await;
                    ticket.ended(dispatch.attempt);
                    return self.answer(whole);
                }
                Err(failure) => ticket.failed(failure),
            }
        }
    }

    /// Asks the ledger for the dispatch of a call with a key; returns what stands against it.
    async fn begin(&mut self) -> Option<HttpResponse> {
        let key = self.key.clone()?;
        if self.granted {
            return None;
        }
        let call = Call {
            service: self.service.clone(),
            key,
            digest: self.digest(),
            request: self.outgoing.request.clone(),
        };
        let id = &self.outgoing.request;
        let pending = "an earlier attempt with this key has not ended";
        let fault = match self.shared.link.ask(&Request::Begin(call)).await {
            Reply::Grant(Grant::Dispatch) => {
                self.granted = true;
                return None;
            }
            Reply::Grant(Grant::Answered(earlier)) => return Some(self.repeat(earlier)),
            Reply::Grant(Grant::Pending) => Fault::not_run(Reason::Conflict, pending, "ask again")
                .verdict(Verdict::MayHaveRun)
                .retry_after(1),
            Reply::Refused(fault) => {
                if is_unclear(&fault) {
                    self.give_up();
                    // Nothing was dispatched, whatever becomes of the record.
                    fault.verdict(Verdict::NotRun)
                } else {
                    fault
                }
            }
            _ => Fault::not_run(Reason::Leaderless, "the ledger gave no word", "ask again")
                .retry_after(1),
        };
        Some(answer::refuse(&fault, id))
    }

    /// Tells the ledger that this request will never be dispatched, where its
    /// begin may stand there: else the key would wait for an end that never
    /// comes, and the caller's resend would not run.
    fn give_up(&self) {
        if let Some(key) = self.key.clone() {
            let record = self.record(key, Verdict::NotRun, None);
            actix_rt::spawn(tell(self.shared.clone(), record));
        }
    }

    /// SHA-256 of method, path and body, each with its length before it.
    fn digest(&self) -> Vec<u8> {
        let mut digest = Sha256::new();
        let method = self.outgoing.method.as_str().as_bytes();
        for part in [method, self.outgoing.path.as_bytes(), &self.outgoing.body] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.finalize().to_vec()
    }

    async fn attempt(&self, dispatch: &Dispatch) -> Result<Whole, Failure> {
        let mut answer = exchange::send(&self.client, dispatch, &self.outgoing, 0).await?;
        let method = &self.outgoing.method;
        let limit = self.shared.serve.answer;
        match exchange::whole(method, &mut answer, limit, SILENCE).await {
            Ok(body) => Ok(Whole {
                status: answer.status(),
                headers: answer.headers().clone(),
                body,
            }),
            Err(message) => {
                let message = format!("target '{}': {message}", dispatch.target);
                Err(exchange::failure(dispatch, Verdict::Ran, message))
            }
        }
    }

    /// Records how a granted call ended, before its caller is told.
    async fn finish(&self, verdict: Verdict, whole: Option<&Whole>) {
        let Some(key) = self.key.clone().filter(|_| self.granted) else {
            return;
        };
        let record = self.record(key, verdict, whole);
        // Until this gets through, a resend is told that the call may have run.
        let word = Request::Finish(record.clone());
        if let Reply::Refused(_) = self.shared.link.ask(&word).await {
            actix_rt::spawn(tell(self.shared.clone(), record));
        }
    }

    fn record(&self, key: id::Key, verdict: Verdict, whole: Option<&Whole>) -> Answer {
        let content = whole.and_then(|whole| whole.headers.get(header::CONTENT_TYPE));
        let content = content.and_then(|content| content.to_str().ok());
        let body = whole.map(|whole| whole.body.to_vec());
        Answer {
            service: self.service.clone(),
            key,
            request: self.outgoing.request.clone(),
            verdict,
            status: whole.map_or(0, |whole| whole.status.as_u16()),
            content: content.unwrap_or_default().to_owned(),
            body: body.filter(|body| body.len() <= RECORDED),
        }
    }

    async fn refused(&self, ticket: &Ticket, fault: &Fault) -> HttpResponse {
        self.finish(fault.verdict, None).await;
        answer::refuse(fault, ticket.request())
    }

    /// Gives a resend the answer that was recorded.
    fn repeat(&self, earlier: Answer) -> HttpResponse {
        let id = &self.outgoing.request;
        let status = StatusCode::from_u16(earlier.status);
        let (Some(body), Ok(status)) = (earlier.body, status) else {
            let message = "the call with this key ended, and its answer is not recorded";
            let help = "its verdict is the one given here; it is not run again";
            let fault = Fault::not_run(Reason::Conflict, message, help);
            return answer::refuse(&fault.verdict(earlier.verdict), id);
        };
        let mut reply = HttpResponse::build(status);
        if !earlier.content.is_empty() {
            reply.insert_header((header::CONTENT_TYPE, earlier.content));
        }
        reply.insert_header((REQUEST, id.as_str()));
        reply.insert_header(("x-flamingo-repeated", earlier.request));
        reply.body(body)
    }

    fn answer(&self, whole: Whole) -> HttpResponse {
        let mut reply = HttpResponse::build(whole.status);
        for (name, value) in &whole.headers {
            if passes(name) {
                reply.append_header((name.clone(), value.clone()));
            }
        }
        reply.insert_header((REQUEST, self.outgoing.request.as_str()));
        if self.outgoing.method == Method::HEAD {
            return reply.finish();
        }
        reply.body(whole.body)
    }
}

/// Returns whether a refused begin may stand in the ledger all the same.
fn is_unclear(fault: &Fault) -> bool {
    matches!(
        fault.reason,
        Reason::Leaderless | Reason::Redirect | Reason::Stopping | Reason::Storage
    )
}

/// Tells the ledger how a call ended, until it has noted that or a deadline passes.
async fn tell(shared: Data<Shared>, record: Answer) {
    let deadline = Instant::now() + TELL;
    let request = Request::Finish(record);
    while Instant::now() < deadline {
        match shared.link.ask(&request).await {
            Reply::Refused(fault) if fault.reason == Reason::Leaderless => {
                actix_rt::time::sleep(PAUSE).await;
            }
            _ => return,
        }
    }
}
