//! Checks that the response of another target goes on with a stream.
//!
//! The proof is the number of its first event, which must be the next one. Without an event there is
//! none: an end proves nothing about the events before it. An entry joins nothing without a proof; the
//! stream breaks off, and the caller may ask for the rest itself. That there is nothing more is then
//! believed if a second target says so as well, and its whole answer is passed on with its seal.

use super::Proxy;
use super::begin::Begun;
use super::job::{AttemptError, Job};
use crate::events::Event;
use crate::wire::Cause;
use http::{HeaderValue, header, response};
use slog::info;

/// Content type of a stream of events (HTML Standard, section 9.2.5).
const EVENT_STREAM: &str = "text/event-stream";

impl Proxy {
    /// Returns the error of an attempt whose response is not taken for the next piece of a stream, and
    /// logs why if the stream goes on after the event `last`.
    pub(super) fn refuse_successor(
        &self,
        job: &Job,
        target: &str,
        last: Option<u64>,
        why: &str,
    ) -> AttemptError {
        if last.is_some() {
            info!(self.log, "successor refused"; "request" => &job.request.attempt_id,
                "target" => target, "after" => last, "why" => why);
        }
        AttemptError::MayHaveRun(Cause::Broken)
    }
}

/// Returns whether a target ends a stream that goes on without a further event, and no other target has
/// done so for this request. Records that one has.
pub(super) fn is_first_unproved_end(job: &Job, first: Option<&Event>) -> bool {
    let is_end = first.is_none_or(|event| event.id.is_none());
    is_end && !job.said_to_end.replace(true)
}

/// Returns the number of the event with which a target goes on; `None` if its stream ended without one.
pub(super) fn first_number(begun: &Begun) -> Option<u64> {
    begun.first.as_ref().and_then(|event| event.id)
}

/// Returns whether a response has the content type of the stream with which it goes on. Where the
/// stream began with another request, it may state that of events, or none.
pub(super) fn has_type_of_stream(job: &Job, head: &response::Parts) -> bool {
    let found = head.headers.get(header::CONTENT_TYPE);
    match job.content_type.get() {
        Some(begun) => found.map(media_type) == begun.as_ref().map(media_type),
        None => found.is_none_or(|found| media_type(found) == EVENT_STREAM),
    }
}

/// Returns a content type without its parameters, in lower case.
fn media_type(value: &HeaderValue) -> String {
    let text = String::from_utf8_lossy(value.as_bytes());
    let name = text.split(';').next().unwrap_or_default();
    name.trim().to_ascii_lowercase()
}
