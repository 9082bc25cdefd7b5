//! One exchange with a target, on a connection of its own.
//!
//! Each exchange opens a connection and closes it: an answer that comes late,
//! early or twice can then never be read as the answer to another request.

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientBuilder, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use flamingo_route::action::{Dispatch, Failure};
use flamingo_wire::Verdict;
use flamingo_wire::engine::Lora;
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// Time in which a target must take a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Connections that one worker holds to targets.
const CONNECTIONS: usize = 16_384;
/// Longest time that a target's wish to be left alone is obeyed.
const REST_MAX: Duration = Duration::from_mins(1);

/// Header that carries the request's identity.
pub const REQUEST: HeaderName = HeaderName::from_static("x-request-id");
/// Header by which a target says that a refused request did not run.
pub const VERDICT: HeaderName = HeaderName::from_static("x-flamingo-verdict");
/// Header that carries the rank for the engine's queue.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-flamingo-priority");
/// Header that asks an engine to go on after this many events.
pub const RESUME: HeaderName = HeaderName::from_static("x-flamingo-resume-from");
/// Header by which an engine says after how many events it goes on.
pub const RESUMED: HeaderName = HeaderName::from_static("x-flamingo-resumed-from");
/// Header by which an engine says that its streams can be resumed.
pub const RESUMABLE: HeaderName = HeaderName::from_static("x-flamingo-resumable");

/// Builds the client of one worker.
#[must_use]
pub fn client() -> Client {
    let connector = Connector::new().timeout(CONNECT).limit(CONNECTIONS);
    let client = ClientBuilder::new().connector(connector);
    // A redirect that is followed would send the request twice.
    client.disable_timeout().disable_redirects().finish()
}

/// What is sent to a target.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Identity of the request.
    pub request: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that go on to the target.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Loads the adapter that an attempt needs.
///
/// # Errors
///
/// Returns a failure of an attempt that did not run.
pub async fn load(client: &Client, dispatch: &Dispatch, lora: &Lora) -> Result<(), Failure> {
    let url = format!("http://{}/v1/load_lora_adapter", dispatch.address);
    let sent = client.post(url).force_close().send_json(lora);
    let answer = tokio::time::timeout_at(dispatch.first_byte_deadline.into(), sent).await;
    let seen = match answer {
        Ok(Ok(answer)) if answer.status().is_success() => return Ok(()),
        Ok(Ok(answer)) => format!("answered {}", answer.status()),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "did not answer in time".to_owned(),
    };
    let message = format!("target '{}': adapter load: {seen}", dispatch.target);
    Err(failure(dispatch, Verdict::NotRun, message))
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// Returns a failure whose verdict is "not run" only where no byte of the request
/// can have reached a handler, or the target itself said so.
pub async fn send(
    client: &Client,
    dispatch: &Dispatch,
    outgoing: &Outgoing,
    resume: u64,
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
        .insert_header((REQUEST, outgoing.request.as_str()))
        .insert_header((PRIORITY, HeaderValue::from(u16::from(dispatch.rank))));
    if resume > 0 {
        request = request.insert_header((RESUME, HeaderValue::from(resume)));
    }
    let sent = request.send_body(outgoing.body.clone());
    let answer = tokio::time::timeout_at(dispatch.first_byte_deadline.into(), sent).await;
    let name = &dispatch.target;
    match answer {
        Ok(Ok(answer)) => judge(dispatch, outgoing, answer),
        Ok(Err(error)) => {
            let message = format!("target '{name}': {error}");
            Err(failure(dispatch, verdict(&error), message))
        }
        Err(_) => {
            let message = format!("target '{name}' did not begin to answer in time");
            Err(failure(dispatch, Verdict::MayHaveRun, message))
        }
    }
}

/// Returns whether a request may have run although `error` was seen.
fn verdict(error: &SendRequestError) -> Verdict {
    match error {
        // The client says so of a connection that ended after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => Verdict::MayHaveRun,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

fn judge(
    dispatch: &Dispatch,
    outgoing: &Outgoing,
    answer: ClientResponse,
) -> Result<ClientResponse, Failure> {
    let name = &dispatch.target;
    let own = answer.headers().get(REQUEST);
    if own.is_some_and(|own| own.as_bytes() != outgoing.request.as_bytes()) {
        let message = format!("target '{name}' gave the answer to another request");
        return Err(failure(dispatch, Verdict::MayHaveRun, message));
    }
    let not_run = answer.headers().get(VERDICT);
    if not_run.is_some_and(|verdict| verdict == "not-run") && !answer.status().is_success() {
        let message = format!("target '{name}' refused with {}", answer.status());
        let mut failure = failure(dispatch, Verdict::NotRun, message);
        failure.target_at_fault = false;
        failure.retry_after = rest(&answer);
        return Err(failure);
    }
    Ok(answer)
}

/// Returns for how long a target wants to be left alone.
#[must_use]
pub fn rest(answer: &ClientResponse) -> Option<Duration> {
    let seconds = answer.headers().get(header::RETRY_AFTER)?;
    let seconds = seconds.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds).min(REST_MAX))
}

/// Reads an answer to its end, which must be seen.
///
/// # Errors
///
/// Returns what is wrong with an answer that is cut short, too large or silent,
/// or whose end can't be told.
pub async fn whole(
    method: &Method,
    answer: &mut ClientResponse,
    limit: usize,
    silence: Duration,
) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        let deadline = Instant::now() + silence;
        let chunk = tokio::time::timeout_at(deadline.into(), answer.next()).await;
        match chunk {
            Err(_) => return Err("the answer fell silent".to_owned()),
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(format!("the answer broke: {error}")),
            Ok(Some(Ok(chunk))) if body.len() + chunk.len() > limit => {
                return Err(format!("the answer is larger than {limit} bytes"));
            }
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
        }
    }
    let body = body.freeze();
    if ends(method, answer, &body) {
        Ok(body)
    } else {
        Err("the answer was cut short, or its end can't be told".to_owned())
    }
}

/// Returns whether `body` is the whole of an answer.
///
/// The client library takes a closed connection for the end of a body, so that a
/// body without a length is held whole only if it is whole as JSON.
fn ends(method: &Method, answer: &ClientResponse, body: &[u8]) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if *method == Method::HEAD || bodiless.contains(&answer.status()) {
        return true;
    }
    let length = answer.headers().get(header::CONTENT_LENGTH);
    if let Some(length) = length {
        let length = length.to_str().ok().and_then(|length| length.parse().ok());
        return length == Some(body.len());
    }
    let closed = matches!(body.first(), Some(b'{' | b'['));
    closed && serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

/// Builds the failure of an attempt.
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
