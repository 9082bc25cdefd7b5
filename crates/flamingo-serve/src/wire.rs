//! What the wire of callers and targets says, in the project's own words.

use flamingo_wire::id;
use flamingo_wire::route::Rank;
use http::{request, response};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Identity of a part of a prompt; prompts that share it begin alike up to its end.
pub type PartId = u64;
/// Identity that a caller gave to one try of its request.
pub type AttemptId = String;

/// A part of a prompt with its size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The part.
    pub id: PartId,
    /// Its size.
    pub tokens: u32,
}

/// A caller's request as far as routing needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// Identity of this try, which the target echoes.
    pub attempt_id: Option<AttemptId>,
    /// Time for which the caller waits, from the arrival.
    pub max_wait: Option<Duration>,
    /// The model.
    pub model: Option<id::Model>,
    /// The adapter of the model.
    pub adapter: Option<id::Adapter>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that may be written at most.
    pub max_output_tokens: u32,
    /// Tokens that the caller expects to be written.
    pub expected_output_tokens: Option<u32>,
    /// The prompt's parts in order.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// The last event that the caller has, of a stream that goes on.
    pub last_event_id: Option<u64>,
}

/// One sending of a request to a target.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The target; any other that has its address must refuse.
    pub target: &'a id::Target,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Time of sending.
    pub now: Instant,
    /// Rank of the request at the target; absent where it has none.
    pub rank: Option<Rank>,
    /// The last event that the caller has, where a stream goes on.
    pub last_event_id: Option<u64>,
}

/// A target's load as it says itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Why a target turned a request away without running it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// It has no room, or says no more than that it did not run it.
    Full,
    /// It is not the one that was meant, or lacks the model.
    Misdirected,
}

/// The head of a target's answer as far as routing needs it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Identity of the try that it answers.
    pub attempt_id: Option<AttemptId>,
    /// Why the target did not run the request and never will; none where it may have.
    pub rejection: Option<Rejection>,
    /// The target's proof that the answer is its own.
    pub sealed: bool,
    /// Its load.
    pub load: Option<Load>,
    /// Time for which the target keeps the connection idle.
    pub idle_timeout: Option<Duration>,
    /// The target closes the connection after the answer.
    pub closes_connection: bool,
}

/// Why a request gets an answer of the system's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The request can't be read.
    Unreadable,
    /// Its body is too large.
    TooLarge,
    /// No route takes it.
    NoRoute,
    /// No routes are known yet.
    NoRoutes,
    /// No target is known that could take it.
    NoTarget,
    /// No target holds the model, or the adapter can't be brought in time.
    NoModel,
    /// Targets have no room for it in time.
    NoRoom,
    /// No more may be sent again now.
    NoBudget,
    /// A target failed it and it may have run.
    Broken,
    /// Its time is over and it may have run.
    Late,
    /// The entry is about to end.
    Stopping,
}

/// An answer of the system's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Time after which it is worth to come back; only of what did not run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal that names no time to come back.
    #[must_use]
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }
}

/// Translates between the wire and the project's words; decides nothing.
pub trait Codec {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what can't be read.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, String>;

    /// Writes the head of a request to a target.
    fn request_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> http::HeaderMap;

    /// Reads the head of a target's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Takes from a target's answer what concerns its connection alone.
    fn strip_hop_by_hop(&self, head: &mut response::Parts);

    /// Writes the head of an answer of the system's own.
    fn refusal_head(&self, refusal: &Refusal, ask: Option<&RequestHead>) -> response::Parts;
}
