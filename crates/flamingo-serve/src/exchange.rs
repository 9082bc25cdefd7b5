//! Sends a request to a target and receives the head of its response.

use crate::body::{WhenFull, collect};
use crate::memory::Memory;
use crate::pool::{Connection, dial};
use crate::wire::{Codec, ResponseHead};
use bytes::Bytes;
use flamingo_wire::id;
use http::{Request, Response, header, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;
use tokio::time::timeout_at;

/// Longest time for asking a target for its incarnation.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest response to the question for the incarnation, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// How a response states where its body ends (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By the number of bytes.
    Length,
    /// By a last chunk.
    Chunks,
    /// Not at all: the body ends with its connection.
    Connection,
}

impl Framing {
    /// Returns the framing of a response with this head.
    ///
    /// ```
    /// use flamingo_serve::exchange::Framing;
    ///
    /// let (head, ()) = http::Response::new(()).into_parts();
    /// assert_eq!(Framing::of(&head), Framing::Connection);
    /// ```
    #[must_use]
    pub fn of(head: &response::Parts) -> Self {
        let mut encodings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
        if let Some(last) = encodings.next_back() {
            let last = last.as_bytes().trim_ascii_end().to_ascii_lowercase();
            if last.ends_with(b"chunked") {
                Self::Chunks
            } else {
                Self::Connection
            }
        } else if head.headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }
}

/// A response whose head has been received and whose body has not been read yet.
#[derive(Debug)]
pub struct PendingResponse {
    /// The HTTP head.
    pub head: response::Parts,
    /// The head as parsed by the codec.
    pub parsed: ResponseHead,
    /// The body.
    pub body: Incoming,
    /// The connection on which the body is received.
    pub connection: Connection,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl PendingResponse {
    /// Returns whether this answers the request: it is no rejection and no failure of the target.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        self.parsed.rejection.is_none() && !self.head.status.is_server_error()
    }
}

/// Why no response head was received.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The connection to the target could not be established; nothing was sent.
    Unreached,
    /// The connection ended before anything of the request was sent.
    Unsent,
    /// The target is not in the expected incarnation, or did not state its incarnation; nothing of
    /// the request was sent.
    Restarted,
    /// The connection ended after the target may have read the request.
    Broken,
    /// The received bytes are not HTTP, or it is not certain that they answer this request.
    Foreign,
    /// The target sent more than any head needs, and no head.
    Flooded,
    /// No response head was received before the deadline.
    Late,
}

/// The incarnation in which a target must be to get a request.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Head of the request that asks the target for its incarnation.
    pub question: request::Parts,
    /// The only incarnation that may get the request.
    pub incarnation: id::Incarnation,
    /// Memory for the target's answer.
    pub memory: Memory,
}

/// Sends a request on the pooled connection, or on a new one if there is none or if the pooled
/// one has been closed. If an incarnation is expected, the target is asked for it first, on the
/// same connection: its other end can't change while it is open.
///
/// # Errors
///
/// Returns why no response to this request was received.
pub async fn send(
    pooled: Option<Connection>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    expected: Option<&Expected>,
    attempt_id: Option<&str>,
    codec: &dyn Codec,
    deadline: Instant,
) -> Result<PendingResponse, Failure> {
    let sent_at = Instant::now();
    let mut request = request;
    let mut pooled = pooled;
    loop {
        let mut connection = match pooled.take() {
            Some(connection) => connection,
            None => dial(address, deadline).await.ok_or(Failure::Unreached)?,
        };
        let newly_dialled = connection.newly_dialled;
        if let Some(expected) = expected {
            match check_incarnation(&mut connection, expected, codec, deadline).await {
                Some(true) => {}
                None if !newly_dialled => continue,
                _ => return Err(Failure::Restarted),
            }
        }
        // An answer to the question for the incarnation is no refusal, and has no id.
        let only_asked = expected.is_some() && newly_dialled && attempt_id.is_some();
        let first = connection.begin(attempt_id) || only_asked;
        let answered = timeout_at(deadline.into(), connection.send(request));
        match answered.await {
            Ok(Ok(response)) => {
                let pending = pending(connection, response, codec, sent_at);
                return accept(pending, attempt_id, first);
            }
            Ok(Err(mut error)) => match error.take_message() {
                // A pooled connection was closed before the request was written to it: the
                // request is sent on a new connection.
                Some(unsent) if !newly_dialled => request = unsent,
                Some(_) => return Err(Failure::Unsent),
                None if connection.is_flooded() => return Err(Failure::Flooded),
                None if error.error().is_parse() => return Err(Failure::Foreign),
                None => return Err(Failure::Broken),
            },
            Err(_) => return Err(Failure::Late),
        }
    }
}

/// Asks a target for its incarnation, and returns whether it is the expected one. Returns `None` if
/// the connection fails, or there is no complete answer by `deadline` or within
/// `INCARNATION_TIMEOUT`.
async fn check_incarnation(
    connection: &mut Connection,
    expected: &Expected,
    codec: &dyn Codec,
    deadline: Instant,
) -> Option<bool> {
    let deadline = deadline.min(Instant::now() + INCARNATION_TIMEOUT);
    let question = Request::from_parts(expected.question.clone(), Full::default());
    connection.begin(None);
    let asked = async {
        let response = connection.send(question).await.ok()?;
        let buffer = expected.memory.buffer(MAX_REPORT_BYTES);
        let body = collect(response.into_body(), buffer, WhenFull::Wait);
        let body = body.await.ok()?;
        connection.sender.ready().await.ok()?;
        Some(codec.parse_incarnation(&body) == Some(expected.incarnation))
    };
    timeout_at(deadline.into(), asked).await.ok()?
}

/// Parses the head of a response.
fn pending(
    connection: Connection,
    response: Response<Incoming>,
    codec: &dyn Codec,
    sent_at: Instant,
) -> PendingResponse {
    let (head, body) = response.into_parts();
    PendingResponse {
        parsed: codec.parse_response(&head),
        head,
        body,
        connection,
        sent_at,
    }
}

/// Checks that a response belongs to the request. `first` says that nothing was sent on its connection
/// before the request.
fn accept(
    response: PendingResponse,
    attempt_id: Option<&str>,
    first: bool,
) -> Result<PendingResponse, Failure> {
    let parsed = &response.parsed;
    let belongs = match parsed.attempt_id.as_deref() {
        Some(id) => attempt_id == Some(id),
        // A target may refuse before it has read the id. Without one, only its place on the connection
        // tells whose response this is.
        None => first && (attempt_id.is_none() || parsed.rejection.is_some()),
    };
    belongs.then_some(response).ok_or(Failure::Foreign)
}
