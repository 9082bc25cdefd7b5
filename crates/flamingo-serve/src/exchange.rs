//! One sending of a request to a target, up to the head of its answer.

use crate::pool::{Connection, dial};
use crate::wire::{Codec, ResponseHead};
use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Instant;
use strum::IntoStaticStr;
use tokio::time::timeout_at;

/// The head of an answer, with the body to come and the connection that brings it.
#[derive(Debug)]
pub struct Begun {
    /// The head.
    pub head: response::Parts,
    /// What it says.
    pub answer: ResponseHead,
    /// The body to come.
    pub body: Incoming,
    /// The connection.
    pub connection: Connection,
}

/// Why there is no head.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The target can't be reached: nothing was sent.
    Unreached,
    /// The connection ended before anything was sent.
    Unsent,
    /// It broke off after the request may have been read.
    Broken,
    /// What came answers another request, or is no answer.
    Foreign,
    /// No answer came in time.
    Late,
}

/// Sends a request on a kept connection, or on one dialled for it.
///
/// # Errors
///
/// Returns why no answer of this request came.
pub async fn send(
    kept: Option<Connection>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    attempt: Option<&str>,
    codec: &dyn Codec,
    deadline: Instant,
) -> Result<Begun, Failure> {
    let mut request = request;
    let mut kept = kept;
    loop {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => dial(address, deadline).await.ok_or(Failure::Unreached)?,
        };
        let fresh = connection.fresh;
        let answered = timeout_at(deadline.into(), connection.sender.try_send_request(request));
        match answered.await {
            Ok(Ok(response)) => return begun(connection, response, attempt, codec),
            Ok(Err(mut error)) => match error.take_message() {
                // A kept connection that has just ended: nothing was written on it.
                Some(unsent) if !fresh => request = unsent,
                Some(_) => return Err(Failure::Unsent),
                None if error.error().is_parse() => return Err(Failure::Foreign),
                None => return Err(Failure::Broken),
            },
            Err(_) => return Err(Failure::Late),
        }
    }
}

fn begun(
    connection: Connection,
    response: Response<Incoming>,
    attempt: Option<&str>,
    codec: &dyn Codec,
) -> Result<Begun, Failure> {
    let (head, body) = response.into_parts();
    let answer = codec.parse_response(&head);
    if answer.attempt_id.as_deref() != attempt {
        return Err(Failure::Foreign);
    }
    Ok(Begun {
        head,
        answer,
        body,
        connection,
    })
}
