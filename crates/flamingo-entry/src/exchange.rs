//! Sends a request to a target and receives the response, on a connection used only once.
//!
//! Each exchange opens and closes its own connection. A late, early or duplicate response can then
//! never be taken for the response to another request.

use crate::handle::Handle;
use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientBuilder, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use flamingo_route::action::{Dispatch, Failure};
use flamingo_wire::engine::Lora;
use flamingo_wire::fingerprint::{Fingerprint, fingerprint};
use flamingo_wire::{Verdict, id, status};
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// Longest time that connecting to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of connections from one worker to targets.
const MAX_CONNECTIONS: usize = 16_384;
/// Upper bound on the Retry-After time of a target; a longer time is cut to this one.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);
/// Retry-After time of a target whose own can't be read.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Header with the id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that a target that leaves sets to 1 in all its responses.
pub const LEAVING: HeaderName = HeaderName::from_static("x-flamingo-leaving");
/// Header by which a target states that the request that it rejects did not run.
pub const VERDICT: HeaderName = HeaderName::from_static("x-flamingo-verdict");
/// Header with the rank of the request in the engine's queue.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-flamingo-priority");
/// Header with the name of the workspace that the request belongs to.
pub const WORKSPACE: HeaderName = HeaderName::from_static("x-flamingo-workspace");
/// Header that asks an engine to resume a stream after this number of events.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-flamingo-resume-from");
/// Header by which an engine states the number of events after which it resumes a stream.
pub const RESUMED_FROM: HeaderName = HeaderName::from_static("x-flamingo-resumed-from");
/// Header by which an engine states that the stream can be resumed.
pub const RESUMABLE: HeaderName = HeaderName::from_static("x-flamingo-resumable");
/// Header by which an engine states the version of its software.
pub const SOFTWARE: HeaderName = HeaderName::from_static("x-flamingo-software");

/// Builds the HTTP client of one worker.
#[must_use]
pub fn client() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(MAX_CONNECTIONS);
    let client = ClientBuilder::new().connector(connector);
    // Following a redirect would send the request twice.
    client.disable_timeout().disable_redirects().finish()
}

/// Request as sent to a target.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Id of the request.
    pub request: String,
    /// HTTP method.
    pub method: Method,
    /// Workspace that the request belongs to, if any.
    pub workspace: Option<id::Workspace>,
    /// Path and query at the target.
    pub path: String,
    /// Headers of the caller that are forwarded.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

impl Outgoing {
    /// Returns the identity of the request at a service or model, which its repeats share.
    #[must_use]
    pub fn fingerprint(&self, service: &str) -> Fingerprint {
        let key = self.headers.get(header::AUTHORIZATION);
        let workspace = self.workspace.as_deref().map(str::as_bytes);
        let caller = workspace.or_else(|| key.map(HeaderValue::as_bytes));
        fingerprint(&[
            service.as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            caller.unwrap_or_default(),
            &self.body,
        ])
    }
}

/// Loads the adapter that an attempt needs on the attempt's target.
///
/// # Errors
///
/// Returns a failure with the verdict "not run", since the request itself was not sent.
pub async fn load_adapter(
    client: &Client,
    dispatch: &Dispatch,
    lora: &Lora,
) -> Result<(), Failure> {
    let url = format!("http://{}/v1/load_lora_adapter", dispatch.address);
    let sent = client.post(url).force_close().send_json(lora);
    let response = tokio::time::timeout_at(dispatch.first_byte_deadline.into(), sent).await;
    let problem = match response {
        Ok(Ok(response)) if response.status().is_success() => return Ok(()),
        Ok(Ok(response)) => format!("responded with {}", response.status()),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no response before the deadline".to_owned(),
    };
    let message = format!("target '{}': adapter load: {problem}", dispatch.target);
    Err(failure(dispatch, Verdict::NotRun, message))
}

/// Sends a request and waits for the response head. With `resume_from` above 0, asks the target to
/// resume a stream after this number of events. Tells the router if the response says that the target
/// leaves.
///
/// # Errors
///
/// Returns a failure. Its verdict is "not run" only if no byte of the request can have reached a
/// handler, or if the target states that the request did not run.
pub async fn send(
    client: &Client,
    handle: &Handle,
    dispatch: &Dispatch,
    outgoing: &Outgoing,
    resume_from: u64,
) -> Result<ClientResponse, Failure> {
    let url = format!("http://{}{}", dispatch.address, outgoing.path);
    let mut request = client
        .request(outgoing.method.clone(), url)
        .force_close()
        .no_decompress();
    for (name, value) in &outgoing.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    request = request
        .insert_header((REQUEST_ID, outgoing.request.as_str()))
        .insert_header((PRIORITY, HeaderValue::from(u16::from(dispatch.rank))));
    if let Some(workspace) = &outgoing.workspace {
        request = request.insert_header((WORKSPACE, workspace.as_str()));
    }
    if resume_from > 0 {
        request = request.insert_header((RESUME_FROM, HeaderValue::from(resume_from)));
    }
    let sent = request.send_body(outgoing.body.clone());
    let response = tokio::time::timeout_at(dispatch.first_byte_deadline.into(), sent).await;
    let name = &dispatch.target;
    match response {
        Ok(Ok(response)) if !status::is_final(response.status().as_u16()) => {
            let status = response.status().as_u16();
            let message = format!("target '{name}' sent {status}, the status of no final response");
            Err(failure(dispatch, Verdict::MayHaveRun, message))
        }
        Ok(Ok(response)) => {
            let leaving = response.headers().get(LEAVING);
            if leaving.is_some_and(|leaving| leaving == "1") {
                handle.leaving(dispatch.attempt);
            }
            check_response(dispatch, outgoing, response)
        }
        Ok(Err(error)) => {
            let message = format!("target '{name}': {error}");
            Err(failure(dispatch, verdict(&error), message))
        }
        Err(_) => {
            let message = format!("target '{name}' did not begin to respond before the deadline");
            Err(failure(dispatch, Verdict::MayHaveRun, message))
        }
    }
}

/// Returns whether a request may have run, given the error of sending it.
fn verdict(error: &SendRequestError) -> Verdict {
    match error {
        // The client reports a connection that closed after the request was sent as `Disconnected`.
        SendRequestError::Connect(ConnectError::Disconnected) => Verdict::MayHaveRun,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

/// Rejects the response to another request, and a response by which the target states that the
/// request did not run.
fn check_response(
    dispatch: &Dispatch,
    outgoing: &Outgoing,
    response: ClientResponse,
) -> Result<ClientResponse, Failure> {
    let name = &dispatch.target;
    let id = response.headers().get(REQUEST_ID);
    if id.is_some_and(|id| id.as_bytes() != outgoing.request.as_bytes()) {
        let message = format!("target '{name}' sent the response to another request");
        return Err(failure(dispatch, Verdict::MayHaveRun, message));
    }
    let verdict = response.headers().get(VERDICT);
    if verdict.is_some_and(|verdict| verdict == "not-run") && !response.status().is_success() {
        let message = format!(
            "target '{name}' rejected the request with {}",
            response.status()
        );
        let mut failure = failure(dispatch, Verdict::NotRun, message);
        failure.target_at_fault = false;
        failure.retry_after = retry_after(&response);
        return Err(failure);
    }
    Ok(response)
}

/// Returns the time until the target accepts requests again, from the Retry-After header, which may
/// have a fraction: at most `RETRY_AFTER_MAX`, and `RETRY_AFTER_DEFAULT` if it is not a number of
/// seconds. Returns `None` if the header is missing.
#[must_use]
pub fn retry_after(response: &ClientResponse) -> Option<Duration> {
    let value = response.headers().get(header::RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let time = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some(time.unwrap_or(RETRY_AFTER_DEFAULT).min(RETRY_AFTER_MAX))
}

/// Reads the complete body of a response.
///
/// # Errors
///
/// Returns a message if the body breaks off, is larger than `limit` bytes, sends nothing for
/// `idle_timeout`, or if its end can't be determined.
pub async fn read_body(
    method: &Method,
    response: &mut ClientResponse,
    limit: usize,
    idle_timeout: Duration,
) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        let deadline = Instant::now() + idle_timeout;
        let chunk = tokio::time::timeout_at(deadline.into(), response.next()).await;
        match chunk {
            Err(_) => return Err("the response sent no data within the idle timeout".to_owned()),
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(format!("reading the response failed: {error}")),
            Ok(Some(Ok(chunk))) if body.len() + chunk.len() > limit => {
                return Err(format!("the response is larger than {limit} bytes"));
            }
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
        }
    }
    let body = body.freeze();
    if is_complete(method, response, &body) {
        Ok(body)
    } else {
        Err("the response was truncated, or its end can't be determined".to_owned())
    }
}

/// Returns whether `body` is the complete body of a response.
///
/// The client library treats a closed connection as the end of a body. A body without a length
/// therefore counts as complete only if it is a complete JSON object or array.
fn is_complete(method: &Method, response: &ClientResponse, body: &[u8]) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if *method == Method::HEAD || bodiless.contains(&response.status()) {
        return true;
    }
    let length = response.headers().get(header::CONTENT_LENGTH);
    if let Some(length) = length {
        let length = length.to_str().ok().and_then(|length| length.parse().ok());
        return length == Some(body.len());
    }
    let is_container = matches!(body.first(), Some(b'{' | b'['));
    is_container && serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

/// Builds the failure of an attempt for which the target is at fault.
#[must_use]
pub fn failure(dispatch: &Dispatch, verdict: Verdict, message: String) -> Failure {
    Failure {
        attempt: dispatch.attempt,
        verdict,
        target_at_fault: true,
        retry_after: None,
        resumable: true,
        message,
    }
}
