//! Reads the streamed response of a target event by event.

use crate::events::{Event, Splitter};
use crate::exchange::{Framing, PendingResponse};
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
    /// An event exceeded [`MAX_EVENT_BYTES`](crate::events::MAX_EVENT_BYTES).
    Oversized,
}

/// A streamed response that is being read.
#[derive(Debug)]
pub struct EventStream {
    /// The response and its connection.
    pub response: PendingResponse,
    splitter: Splitter,
    any_event: bool,
    /// Whether the body has ended normally.
    ended: bool,
}

impl EventStream {
    /// Returns a reader for the body of `response`.
    #[must_use]
    pub fn new(response: PendingResponse) -> Self {
        Self {
            response,
            splitter: Splitter::default(),
            any_event: false,
            ended: false,
        }
    }

    /// Waits for the next event until `deadline`.
    pub async fn next(&mut self, deadline: Instant) -> Next {
        loop {
            if let Some(event) = self.splitter.next() {
                self.any_event = true;
                return Next::Event(event);
            }
            if self.ended {
                return Next::End;
            }
            if self.splitter.is_oversized() {
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
        match self.splitter.take_blank_lines() {
            Some(blank) => Next::Event(blank),
            None => Next::End,
        }
    }
}
