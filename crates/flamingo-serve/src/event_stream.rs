//! Reads the streamed response of a target event by event.
//!
//! A stream goes on with the bytes of another target, and a target may write anything into its own
//! stream. So an event of a stream with numbers is returned only if its number proves that it is the
//! next one; status, seal and content type of a response prove nothing about its events.

use crate::events::{Event, Flaw, MAX_EVENT_BYTES, Splitter};
use crate::exchange::{Framing, PendingResponse};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use std::time::Instant;
use strum::IntoStaticStr;
use tokio::time::timeout_at;

/// Result of reading from a stream.
#[derive(Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Next {
    /// A whole event.
    Event(Event),
    /// The stream ended normally after a whole event.
    End,
    /// The stream broke off.
    Broken(Break),
    /// No whole event was received before the deadline.
    TimedOut,
}

/// How a stream broke off.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Break {
    /// The connection failed, or closed before the end that the response states.
    Disconnected,
    /// The body ended inside an event.
    InsideEvent,
    /// The connection closed before the first event, and the response states no other end.
    BeforeFirstEvent,
    /// An event exceeded [`MAX_EVENT_BYTES`].
    Oversized,
    /// An event has fields and no number, in a stream whose events have numbers.
    Unnumbered,
    /// The number of an event is not the next one.
    OutOfSequence,
    /// A numbered event has lines that belong to no event.
    Malformed,
}

impl Break {
    /// Returns whether the connection is sound, and what was received on it is not the stream.
    #[must_use]
    pub fn is_flaw(self) -> bool {
        matches!(
            self,
            Self::Unnumbered | Self::OutOfSequence | Self::Malformed
        )
    }
}

impl From<Flaw> for Break {
    fn from(flaw: Flaw) -> Self {
        match flaw {
            Flaw::Unnumbered => Self::Unnumbered,
            Flaw::OutOfSequence => Self::OutOfSequence,
            Flaw::Malformed => Self::Malformed,
        }
    }
}

/// A streamed response that is being read.
#[derive(Debug)]
pub struct EventStream {
    /// The response and its connection.
    pub response: PendingResponse,
    splitter: Splitter,
    /// Number of the last event of the stream, of this target or of the one before; `None` if no
    /// event had a number.
    last: Option<u64>,
    any_event: bool,
    /// What precedes the first proved event of a stream that goes on.
    held: BytesMut,
    /// Whether the body has ended normally.
    ended: bool,
}

impl EventStream {
    /// Returns a reader for the body of `response`, which goes on after the event `last` if there is
    /// one.
    #[must_use]
    pub fn new(response: PendingResponse, last: Option<u64>) -> Self {
        Self {
            response,
            splitter: Splitter::default(),
            last,
            any_event: false,
            held: BytesMut::new(),
            ended: false,
        }
    }

    /// Waits until `deadline` for the next event that is proved to be one of the stream.
    pub async fn next(&mut self, deadline: Instant) -> Next {
        loop {
            if let Some(event) = self.splitter.next() {
                match self.judge(event) {
                    Some(next) => return next,
                    None => continue,
                }
            }
            if self.ended {
                return Next::End;
            }
            if self.splitter.is_oversized() || self.held.len() > MAX_EVENT_BYTES {
                return Next::Broken(Break::Oversized);
            }
            let frame = timeout_at(deadline.into(), self.response.body.frame());
            match frame.await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                Ok(Some(Err(_))) => return Next::Broken(Break::Disconnected),
                Ok(None) => return self.end(),
                Err(_) => return Next::TimedOut,
            }
        }
    }

    /// Returns how the response states where its body ends.
    #[must_use]
    pub fn framing(&self) -> Framing {
        Framing::of(&self.response.head)
    }

    /// Returns the number of bytes that were received after the last whole event.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.splitter.buffered_bytes()
    }

    /// Returns an event that is proved to be the next one, or its flaw. Holds back what precedes the
    /// first event of a stream that goes on.
    fn judge(&mut self, event: Event) -> Option<Next> {
        if let Some(flaw) = event.flaw(self.last) {
            return Some(Next::Broken(flaw.into()));
        }
        if self.last.is_some() && event.id.is_none() && !self.any_event {
            self.held.extend_from_slice(&event.bytes);
            return None;
        }
        self.any_event = true;
        self.last = event.id.or(self.last);
        let bytes = self.take_held(event.bytes);
        Some(Next::Event(Event { bytes, ..event }))
    }

    /// Returns what was held back, followed by `bytes`.
    fn take_held(&mut self, bytes: Bytes) -> Bytes {
        if self.held.is_empty() {
            return bytes;
        }
        self.held.extend_from_slice(&bytes);
        self.held.split().freeze()
    }

    /// Returns what the end of the body means. Blank lines after the last event count as one more
    /// event, so that the caller gets the whole body.
    fn end(&mut self) -> Next {
        if self.splitter.is_inside_event() {
            return Next::Broken(Break::InsideEvent);
        }
        if !self.any_event && self.framing() == Framing::Connection {
            return Next::Broken(Break::BeforeFirstEvent);
        }
        self.ended = true;
        let blank = self.splitter.take_blank_lines();
        let bytes = self.take_held(blank.map(|event| event.bytes).unwrap_or_default());
        if bytes.is_empty() {
            return Next::End;
        }
        Next::Event(Event { bytes, id: None })
    }
}
