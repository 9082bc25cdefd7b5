//! Serves calls to plain services.
//!
//! A call whose path is not listed as idempotent is not sent again once it may have run. With an
//! idempotency key, the ledger of the control instances grants the dispatch and records the
//! response, and a resend by the caller gets the recorded response.

use crate::body;
use crate::completion::{invalid, profile};
use crate::dispatcher::Command;
use crate::exchange::{self, Outgoing, REQUEST_ID};
use crate::handle::Handle;
use crate::http::{AppState, request_id};
use crate::path;
use crate::worker_state::Config;
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

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Largest response body that is recorded for resends, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Longest time without data of a response, after which the attempt fails.
const RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which sending the outcome of a call to the ledger is retried.
const RECORD_TIMEOUT: Duration = Duration::from_mins(5);
/// Time between two of these retries.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 10] = [
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

/// A target's complete response.
#[derive(Debug)]
struct ServiceResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// One call in progress.
struct ServiceCall {
    shared: Data<AppState>,
    client: Data<Client>,
    /// Name of the service.
    service: id::Service,
    /// Request as sent to the target.
    outgoing: Outgoing,
    /// Idempotency key, if the caller sent one for a call that is not idempotent.
    key: Option<id::Key>,
    /// Whether the ledger has granted the dispatch.
    granted: bool,
}

/// Handles a call to a plain service.
pub async fn serve(
    shared: Data<AppState>,
    client: Data<Client>,
    request: HttpRequest,
    service: Path<(String, String)>,
    payload: Payload,
) -> HttpResponse {
    let id = request_id();
    let service = service.into_inner().0;
    let config = shared.worker_state.config();
    let known = config.snapshot.set.service(&service);
    let anonymous = known.is_some_and(|service| service.anonymous);
    let workspace = match shared.authenticate(&config, &request, anonymous) {
        Ok(workspace) => workspace,
        Err(fault) => return shared.refuse_key(&config, &fault, &id),
    };
    let name = workspace.as_ref().map(|workspace| workspace.name.clone());
    match prepare(&shared, &config, &request, (&service, name), payload, &id).await {
        Err(fault) => answer::refuse(&fault, &id),
        Ok((outgoing, idempotent, key)) => {
            let routed = flamingo_route::Request {
                id,
                pool: Pool::Service(service.clone()),
                profile: profile(&request),
                rank: workspace.and_then(|workspace| workspace.rank),
                prefixes: flamingo_route::request::Prefixes::new(),
                fingerprint: outgoing.fingerprint(&service),
                idempotent,
            };
            let call = ServiceCall {
                shared: shared.clone(),
                client,
                service,
                outgoing,
                key,
                granted: false,
            };
            let handle = Handle::new(shared.dispatcher.clone(), routed);
            if idempotent {
                return call.run(handle).await;
            }
            // The call runs in a task of its own: if the caller disconnects, the call still runs to its
            // end and its response is recorded.
            let task = actix_rt::spawn(call.run(handle));
            task.await.unwrap_or_else(|error| {
                let message = format!("the call's task failed: {error}");
                let help = "the call may have run; resend it with the same key";
                let fault = Fault::not_run(Reason::Target, message, help);
                answer::refuse(&fault.verdict(Verdict::MayHaveRun), "")
            })
        }
    }
}

/// Reads and checks a call. Returns the request to send, whether the call is idempotent, and the
/// idempotency key of a call that is not.
async fn prepare(
    shared: &AppState,
    config: &Config,
    request: &HttpRequest,
    (service, workspace): (&str, Option<id::Workspace>),
    payload: Payload,
    id: &str,
) -> Result<(Outgoing, bool, Option<id::Key>), Fault> {
    let Some(service_path) = path::service_path(request.path()) else {
        let message = "the path can be read in two ways";
        return Err(invalid(message, "leave out '.', '..', ';' and empty parts"));
    };
    let service = config.snapshot.set.service(service);
    // A call of an unknown service counts as not idempotent.
    let idempotent = service.is_some_and(|service| path::is_idempotent(service, service_path));
    let key = if idempotent {
        None
    } else {
        idempotency_key(request)?
    };
    let query = request.uri().query();
    let path = query.map_or_else(
        || service_path.to_owned(),
        |query| format!("{service_path}?{query}"),
    );
    let headers = request.headers().iter();
    let guarded = shared.guarded || config.keys.is_some();
    let is_secret = |name: &HeaderName| guarded && name == header::AUTHORIZATION;
    let headers = headers.filter(|(name, _)| is_forwarded(name) && !is_secret(name));
    let headers = headers.map(|(name, value)| (name.clone(), value.clone()));
    let outgoing = Outgoing {
        request: id.to_owned(),
        workspace,
        method: request.method().clone(),
        path,
        headers: headers.collect(),
        body: body::read(request, payload, shared.serve.body).await?,
    };
    Ok((outgoing, idempotent, key))
}

/// Returns the idempotency key of a request, or `None` if the header is missing.
fn idempotency_key(request: &HttpRequest) -> Result<Option<id::Key>, Fault> {
    let mut keys = request.headers().get_all(IDEMPOTENCY_KEY);
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let text = key.to_str().unwrap_or_default().trim();
    let valid = !text.is_empty() && text.len() <= MAX_KEY_BYTES && keys.next().is_none();
    if valid {
        return Ok(Some(text.to_owned()));
    }
    let message = "the Idempotency-Key is invalid";
    Err(invalid(
        message,
        "send one key of 1 to 255 visible ASCII characters",
    ))
}

/// Returns whether a header is forwarded between caller and target: neither hop-by-hop nor one of
/// this system's own headers.
fn is_forwarded(name: &HeaderName) -> bool {
    let own = name.as_str().starts_with("x-flamingo-") || name == REQUEST_ID;
    !own && !HOP_BY_HOP.contains(&name.as_str())
}

impl ServiceCall {
    /// Carries out the router's commands until the call has a final response.
    async fn run(mut self, mut handle: Handle) -> HttpResponse {
        loop {
            let dispatch = match handle.next().await {
                Command::Dispatch(dispatch) => dispatch,
                Command::Refuse(fault) => return self.refused(&handle, &fault).await,
            };
            if let Some(response) = self.request_grant().await {
                // Nothing was sent: dropping the handle frees the slot at the target.
                return response;
            }
            match self.attempt(&handle, &dispatch).await {
                Ok(response) => {
                    self.record_outcome(Verdict::Ran, Some(&response)).await;
                    handle.ended(dispatch.attempt);
                    return self.caller_response(response);
                }
                Err(failure) => handle.failed(failure),
            }
        }
    }

    /// Asks the ledger for permission to dispatch a call with an idempotency key. Returns `None` if
    /// the call may be dispatched, else the response for the caller.
    async fn request_grant(&mut self) -> Option<HttpResponse> {
        let key = self.key.clone()?;
        if self.granted {
            return None;
        }
        let call = Call {
            service: self.ledger_service(),
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
            Reply::Grant(Grant::Answered(earlier)) => return Some(self.replay(earlier)),
            Reply::Grant(Grant::Pending) => Fault::not_run(
                Reason::Conflict,
                pending,
                "resend the call with the same key",
            )
            .verdict(Verdict::MayHaveRun)
            .retry_after(1),
            Reply::Refused(fault) => {
                if is_uncertain(&fault) {
                    self.record_not_dispatched();
                    // Nothing was dispatched, whether or not the ledger has recorded the begin.
                    fault.verdict(Verdict::NotRun)
                } else {
                    fault
                }
            }
            _ => Fault::not_run(
                Reason::Leaderless,
                "the ledger sent an unexpected reply",
                "resend the call with the same key",
            )
            .retry_after(1),
        };
        Some(answer::refuse(&fault, id))
    }

    /// Reports to the ledger that this request will never be dispatched, in case the ledger has
    /// recorded its begin. Otherwise the key would stay pending for good, and a resend by the caller
    /// would never run.
    fn record_not_dispatched(&self) {
        if let Some(key) = self.key.clone() {
            let record = self.record(key, Verdict::NotRun, None);
            actix_rt::spawn(record_with_retries(self.shared.clone(), record));
        }
    }

    /// Returns the service under which the ledger records the call. Each workspace has keys of its own: it
    /// neither gets the answer to another one's call nor blocks a key for others. No service that targets
    /// serve has a line break in its name.
    fn ledger_service(&self) -> id::Service {
        match &self.outgoing.workspace {
            Some(workspace) => format!("{}\n{workspace}", self.service),
            None => self.service.clone(),
        }
    }

    /// Returns the SHA-256 of method, path and body, each prefixed by its length. The ledger uses
    /// the digest to detect a key that is reused for a different call.
    fn digest(&self) -> Vec<u8> {
        let mut digest = Sha256::new();
        let method = self.outgoing.method.as_str().as_bytes();
        for part in [method, self.outgoing.path.as_bytes(), &self.outgoing.body] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.finalize().to_vec()
    }

    /// Sends one attempt and reads the complete response.
    async fn attempt(
        &self,
        handle: &Handle,
        dispatch: &Dispatch,
    ) -> Result<ServiceResponse, Failure> {
        let sent = exchange::send(&self.client, handle, dispatch, &self.outgoing, 0);
        let mut response = sent.await?;
        let method = &self.outgoing.method;
        let limit = self.shared.serve.answer;
        match exchange::read_body(method, &mut response, limit, RESPONSE_IDLE_TIMEOUT).await {
            Ok(body) => Ok(ServiceResponse {
                status: response.status(),
                headers: response.headers().clone(),
                body,
            }),
            Err(message) => {
                let message = format!("target '{}': {message}", dispatch.target);
                Err(exchange::failure(dispatch, Verdict::Ran, message))
            }
        }
    }

    /// Records the outcome of a granted call in the ledger, before the caller gets the response.
    async fn record_outcome(&self, verdict: Verdict, response: Option<&ServiceResponse>) {
        let Some(key) = self.key.clone().filter(|_| self.granted) else {
            return;
        };
        let record = self.record(key, verdict, response);
        // Until the ledger has the record, a resend is answered with "may have run".
        let request = Request::Finish(record.clone());
        if let Reply::Refused(_) = self.shared.link.ask(&request).await {
            actix_rt::spawn(record_with_retries(self.shared.clone(), record));
        }
    }

    fn record(&self, key: id::Key, verdict: Verdict, response: Option<&ServiceResponse>) -> Answer {
        let content_type = response.and_then(|response| response.headers.get(header::CONTENT_TYPE));
        let content_type = content_type.and_then(|content_type| content_type.to_str().ok());
        let body = response.map(|response| response.body.to_vec());
        Answer {
            service: self.ledger_service(),
            key,
            request: self.outgoing.request.clone(),
            verdict,
            status: response.map_or(0, |response| response.status.as_u16()),
            content: content_type.unwrap_or_default().to_owned(),
            body: body.filter(|body| body.len() <= MAX_RECORDED_BYTES),
        }
    }

    /// Records that the call ended without a response, and builds the refusal.
    async fn refused(&self, handle: &Handle, fault: &Fault) -> HttpResponse {
        self.record_outcome(fault.verdict, None).await;
        answer::refuse(fault, handle.request())
    }

    /// Builds the response to a resend from the recorded response.
    fn replay(&self, earlier: Answer) -> HttpResponse {
        let id = &self.outgoing.request;
        let status = StatusCode::from_u16(earlier.status);
        let (Some(body), Ok(status)) = (earlier.body, status) else {
            let message = "the call with this key ended, and its answer is not recorded";
            let help = "the verdict given here is that of the call; it is not run again";
            let fault = Fault::not_run(Reason::Conflict, message, help);
            return answer::refuse(&fault.verdict(earlier.verdict), id);
        };
        let mut reply = HttpResponse::build(status);
        if !earlier.content.is_empty() {
            reply.insert_header((header::CONTENT_TYPE, earlier.content));
        }
        reply.insert_header((REQUEST_ID, id.as_str()));
        reply.insert_header(("x-flamingo-repeated", earlier.request));
        reply.body(body)
    }

    fn caller_response(&self, response: ServiceResponse) -> HttpResponse {
        let mut reply = HttpResponse::build(response.status);
        for (name, value) in &response.headers {
            if is_forwarded(name) {
                reply.append_header((name.clone(), value.clone()));
            }
        }
        reply.insert_header((REQUEST_ID, self.outgoing.request.as_str()));
        if self.outgoing.method == Method::HEAD {
            return reply.finish();
        }
        reply.body(response.body)
    }
}

/// Returns whether the ledger may have recorded a begin although the request was refused.
fn is_uncertain(fault: &Fault) -> bool {
    matches!(
        fault.reason,
        Reason::Leaderless | Reason::Redirect | Reason::Stopping | Reason::Storage
    )
}

/// Sends the outcome of a call to the ledger. Retries while no leader is reachable, for at most
/// `RECORD_TIMEOUT`.
async fn record_with_retries(shared: Data<AppState>, record: Answer) {
    let deadline = Instant::now() + RECORD_TIMEOUT;
    let request = Request::Finish(record);
    while Instant::now() < deadline {
        match shared.link.ask(&request).await {
            Reply::Refused(fault) if fault.reason == Reason::Leaderless => {
                actix_rt::time::sleep(RECORD_RETRY_INTERVAL).await;
            }
            _ => return,
        }
    }
}
