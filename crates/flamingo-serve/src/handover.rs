//! Passes a caller's request on to another entry, and takes such requests.
//!
//! The request goes over HTTP/1.1 to the inner address of the other entry, with the caller's head and a
//! proof that it comes from this system ([`flamingo_wire::handover`]). The other entry says in its answer
//! whether it has taken the request, so that a refusal of its own can't be mistaken for the answer.

mod receiver;

pub use receiver::Receiver;

use crate::pool::{Connection, dial};
use crate::wire::RequestHead;
use bytes::Bytes;
use flamingo_wire::handover::Identity;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Instant;
use strum::IntoStaticStr;
use tokio::time::timeout_at;

/// Header of the proof in a request that is passed on, and of [`Acceptance`] in its answer.
pub const MARK: HeaderName = HeaderName::from_static("flamingo-handover");

/// What an entry says of a request that was passed on to it.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Acceptance {
    /// This is the answer to the request.
    Taken,
    /// The request is not run here.
    Refused,
}

impl Acceptance {
    /// Returns what the head of an answer says; `None` if it is no answer to a request that was passed on.
    ///
    /// ```
    /// use flamingo_serve::handover::Acceptance;
    /// use http::HeaderMap;
    ///
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(Acceptance::of(&headers), None);
    /// Acceptance::Taken.state(&mut headers);
    /// assert_eq!(Acceptance::of(&headers), Some(Acceptance::Taken));
    /// ```
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(MARK)?.as_bytes();
        let all = [Self::Taken, Self::Refused];
        all.into_iter()
            .find(|acceptance| value == acceptance.text().as_bytes())
    }

    /// Writes this into the head of an answer.
    pub fn state(self, headers: &mut HeaderMap) {
        headers.insert(MARK, HeaderValue::from_static(self.text()));
    }

    fn text(self) -> &'static str {
        self.into()
    }
}

/// Why another entry has not answered a request that was passed on.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The connection could not be established.
    Unreached,
    /// The connection ended before anything of the request was sent.
    Unsent,
    /// The entry does not run the request.
    Refused,
    /// What answered is not an entry that has taken the request.
    Foreign,
    /// The connection ended after the request was sent, or its answer did not end as it should.
    Broken,
    /// There was no answer before the deadline.
    Late,
}

impl Failure {
    /// Returns whether the request may have run.
    ///
    /// ```
    /// use flamingo_serve::handover::Failure;
    ///
    /// assert!(Failure::Broken.may_have_run());
    /// assert!(!Failure::Refused.may_have_run());
    /// ```
    #[must_use]
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Unreached | Self::Unsent | Self::Refused => false,
            Self::Foreign | Self::Broken | Self::Late => true,
        }
    }
}

/// The answer of an entry that has taken a request, whose body has not been read yet.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection on which the body is received. Its drop ends the request.
    pub connection: Connection,
}

/// Returns what identifies a request with this head at the entry `receiver`.
#[must_use]
pub fn identity<'a>(
    receiver: SocketAddr,
    head: &'a request::Parts,
    request: &'a RequestHead,
) -> Identity<'a> {
    Identity {
        receiver,
        attempt: request.attempt_id.as_deref().unwrap_or_default(),
        method: head.method.as_str(),
        host: &request.host,
        path: head
            .uri
            .path_and_query()
            .map_or("", http::uri::PathAndQuery::as_str),
    }
}

/// Sends a request to the entry at `neighbour`, and waits for the head of its answer until `deadline`.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn send(
    neighbour: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Answer, Failure> {
    let connection = dial(neighbour, deadline).await;
    let mut connection = connection.ok_or(Failure::Unreached)?;
    let answered = timeout_at(deadline.into(), connection.send(request)).await;
    let response = answered.map_err(|_| Failure::Late)?;
    let response = response.map_err(|mut error| match error.take_message() {
        Some(_) => Failure::Unsent,
        None => Failure::Broken,
    })?;
    match Acceptance::of(response.headers()) {
        Some(Acceptance::Taken) => {}
        Some(Acceptance::Refused) => return Err(Failure::Refused),
        None => return Err(Failure::Foreign),
    }
    let (mut head, body) = response.into_parts();
    head.headers.remove(MARK);
    Ok(Answer {
        head,
        body,
        connection,
    })
}
