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
    /// The stream ended normally with these bytes after the last whole event.
    Remainder(Event),
    /// The stream ended normally after a whole event.
    End,
    /// The connection failed before the stream ended, or an event was too large.
    Broken,
    /// No whole event was received before the deadline.
    TimedOut,
}

/// A streamed response that is being read.
#[derive(Debug)]
pub struct EventStream {
    /// The response and its connection.
    pub response: PendingResponse,
    splitter: Splitter,
    ended: bool,
}

impl EventStream {
    /// Returns a reader for the body of `response`.
    #[must_use]
    pub fn new(response: PendingResponse) -> Self {
        Self {
            response,
            splitter: Splitter::default(),
            ended: false,
        }
    }

    /// Waits for the next event until `deadline`.
    pub async fn next(&mut self, deadline: Instant) -> Next {
        loop {
            if let Some(event) = self.splitter.next() {
                return Next::Event(event);
            }
            if self.ended {
                return self.remainder();
            }
            if self.splitter.is_oversized() {
                return Next::Broken;
            }
            let frame = timeout_at(deadline.into(), self.response.body.frame());
            match frame.await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                Ok(Some(Err(_))) => return Next::Broken,
                Ok(None) => self.ended = true,
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

    fn remainder(&mut self) -> Next {
        match self.splitter.take_remainder() {
            Some(remainder) => Next::Remainder(remainder),
            None => Next::End,
        }
    }
}
