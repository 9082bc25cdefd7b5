//! Types for the HTTP heads that callers and targets send, and the trait that translates them.
//!
//! The names of headers belong to the users' platform, which implements [`Codec`]. This crate
//! sees only the types of this module.

use flamingo_wire::id;
use flamingo_wire::prompt::{PartId, Parts};
use flamingo_wire::route::Rank;
use flamingo_wire::workspace::KeyDigest;
use http::{request, response};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Identity that a caller assigns to one try of its request.
pub type AttemptId = String;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: PartId,
    /// Number of tokens of the part.
    pub tokens: u32,
}

/// The head of a caller's request, as far as routing needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Host name in lower case, without a port.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Digest of all that the caller states of its identity; `None` if it states nothing.
    pub caller: Option<KeyDigest>,
    /// Digest of the caller's key; `None` if it sends none, or none that can be read.
    pub key: Option<KeyDigest>,
    /// Workspace of the caller, which is set once its key was found; `None` before and without one.
    pub workspace: Option<id::Workspace>,
    /// Version of the configuration that the request came under; 0 at an entry without one.
    pub configuration: id::Version,
    /// Identity of this try, which the target returns in its response; `None` if the caller
    /// sent none.
    pub attempt_id: Option<AttemptId>,
    /// Time that the caller waits for the response, from the arrival of the request; `None` if
    /// the caller states none.
    pub max_wait: Option<Duration>,
    /// Requested model; `None` for a request to a plain service.
    pub model: Option<id::Model>,
    /// Requested adapter of the model; `None` for the model alone.
    pub adapter: Option<id::Adapter>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub max_output_tokens: u32,
    /// Number of output tokens that the caller expects, if it states one.
    pub expected_output_tokens: Option<u32>,
    /// Parts of the prompt, in order.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// Last event that the caller has received, if the request resumes a stream.
    pub last_event_id: Option<u64>,
    /// The caller's try that brought the first event of the stream that the request resumes.
    pub resumes: Option<AttemptId>,
}

impl RequestHead {
    /// Returns the parts that other prompts may contain as well: all but the last, which belongs to
    /// the request or its session.
    ///
    /// ```
    /// use flamingo_serve::wire::{PromptPart, RequestHead};
    ///
    /// let part = |id| PromptPart { id, tokens: 100 };
    /// let prompt_parts = [part(7), part(8), part(9)].into_iter().collect();
    /// let request = RequestHead { prompt_parts, ..RequestHead::default() };
    /// assert_eq!(request.shared_parts().as_slice(), [7, 8]);
    /// ```
    #[must_use]
    pub fn shared_parts(&self) -> Parts {
        let parts = self.prompt_parts.split_last();
        let shared = parts.map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// Returns the identities of the shared parts for the log.
    #[must_use]
    pub fn part_names(&self) -> String {
        let parts = self.shared_parts();
        let names: Vec<_> = parts.iter().map(|part| format!("{part:x}")).collect();
        names.join(",")
    }
}

/// Parameters of sending a request to one target.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Intended target. Another target that now has the same address must reject the request.
    pub target: &'a id::Target,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Time of sending.
    pub now: Instant,
    /// Rank of the request in the target's queue; `None` for a request to a plain service.
    pub rank: Option<Rank>,
    /// Last event that the caller has received, if the request resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Load that a target reports in the head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Largest number of requests that run at the same time.
    pub slots: u32,
    /// How long work takes now, where 1 is as usual; `None` if the target does not tell.
    pub pace: Option<f64>,
}

/// A pause that a target asks for when it turns a request away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pause {
    /// For this time.
    For(Duration),
    /// For a time that can't be read.
    Unreadable,
}

/// The requests a second that a target takes from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// This many, zero or more.
    PerSecond(f64),
    /// A number that can't be read.
    Unreadable,
}

/// The rejections a second, for want of room, that a brittle target bears: with more it falls over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Tolerance {
    /// This many, zero or more.
    PerSecond(f64),
    /// A number that can't be read.
    Unreadable,
}

/// Why a target rejected a request without running it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The target has no capacity, or gives no other reason.
    Full,
    /// The request was meant for another target, or the target does not have the model or the
    /// adapter.
    Misdirected,
}

/// The head of a target's response, as far as routing needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Identity of the try that this response answers.
    pub attempt_id: Option<AttemptId>,
    /// Set if the target guarantees that it has not run the request and will not run it; `None`
    /// if it may have run.
    pub rejection: Option<Rejection>,
    /// Whether the head carries the target's proof that the response comes from the target.
    pub sealed: bool,
    /// Load of the target, if reported.
    pub load: Option<Load>,
    /// Time after which the target closes an idle connection, if stated.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the target leaves and wants no new requests.
    pub leaving: bool,
    /// Pause in which the target wants no requests from this entry; `None` if it asks for none.
    pub pause: Option<Pause>,
    /// Limit of requests that the target states; `None` if it states none.
    pub limit: Option<Limit>,
    /// Rejections that the target bears; `None` if it does not say that it is brittle.
    pub tolerance: Option<Tolerance>,
}

/// Why the entry itself answers a request, or why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The head is malformed, or the body was not received completely.
    Unreadable,
    /// The body exceeds the size limit.
    TooLarge,
    /// The bodies of other requests leave no memory for the body.
    NoMemory,
    /// No route matches the host and path.
    NoRoute,
    /// A newer configuration, of which this entry would not know, may contain a route that matches.
    UnsureRoute,
    /// The route needs a key, and the caller has sent none, or one that no workspace has.
    Unauthenticated,
    /// A newer configuration, of which this entry would not know, may contain the caller's key.
    UnsureKey,
    /// This entry has not received any routes yet.
    NoRoutes,
    /// The service has no target that can take the request.
    NoTarget,
    /// No target has the model resident, or the adapter could not be loaded in time.
    NoModel,
    /// No target has capacity for the request in time.
    NoRoom,
    /// The workspace is above its share of capacity that is short.
    OverShare,
    /// All targets that could take the request have asked for a pause, have got as many requests as they
    /// take, or are brittle and full.
    Paused,
    /// The request goes on with a stream, and the software version that began it is unknown.
    UnknownOrigin,
    /// A part of the prompt has crashed targets and is kept from them.
    Quarantined,
    /// The workspace has used up its quota.
    OverQuota,
    /// Whether the workspace has used up its quota is unknown, as no leader answers.
    QuotaUnknown,
    /// The retry budget is exhausted.
    NoBudget,
    /// A target failed after it may have started the request.
    Broken,
    /// The deadline passed after a target may have started the request.
    Late,
    /// The entry is shutting down.
    Stopping,
}

/// An error response that the entry sends itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request failed.
    pub cause: Cause,
    /// Time after which the caller should retry. `Some` also promises that the request has not
    /// run; `None` for requests that may have run, and for those that a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without a time for a retry.
    #[must_use]
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that has not run and should be retried after this time.
    #[must_use]
    pub fn not_run(cause: Cause, retry_after: Duration) -> Self {
        Self {
            cause,
            retry_after: Some(retry_after),
        }
    }
}

/// Translates between HTTP heads and the types of this module. Makes no routing decisions.
pub trait Codec {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a message that names the header that can't be parsed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, String>;

    /// Replaces what a caller states of its identity, its key included, by the workspace that its key
    /// was found to belong to; by nothing where that is `None`.
    fn replace_identity(&self, head: &mut request::Parts, workspace: Option<&str>);

    /// Returns the headers for sending a caller's request to a target.
    fn request_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> http::HeaderMap;

    /// Returns the headers for passing a caller's request on to another entry, which treats it as the
    /// caller's own. `max_wait` is what is left of the time that the caller has stated.
    fn passed_on_headers(
        &self,
        head: &request::Parts,
        max_wait: Option<Duration>,
    ) -> http::HeaderMap;

    /// Returns the head of a request that asks an engine for its incarnation.
    fn incarnation_request(&self, target: &id::Target) -> request::Parts;

    /// Parses the body of an engine's response to [`Self::incarnation_request`]. Returns `None` if
    /// it states no incarnation.
    fn parse_incarnation(&self, body: &[u8]) -> Option<id::Incarnation>;

    /// Parses the head of a target's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Removes the hop-by-hop headers from a target's response.
    fn strip_hop_by_hop(&self, head: &mut response::Parts);

    /// Returns the head of an error response that the entry sends itself. `request` is `None`
    /// if the head of the request can't be parsed.
    fn refusal_head(&self, refusal: &Refusal, request: Option<&RequestHead>) -> response::Parts;
}
