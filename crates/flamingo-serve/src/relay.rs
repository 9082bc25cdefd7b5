//! A target's stream on its way to the caller, event by event.

use crate::events::{Event, Splitter};
use crate::exchange::Begun;
use http_body_util::BodyExt;
use std::time::Instant;
use tokio::time::timeout_at;

/// What comes next on a stream.
#[derive(Debug)]
pub enum Step {
    /// A whole event.
    Event(Event),
    /// Bytes behind the last event, at the orderly end.
    Rest(Event),
    /// The orderly end.
    End,
    /// The target broke off.
    Broken,
    /// The time is over.
    Late,
}

/// A stream that is being read.
#[derive(Debug)]
pub struct Relay {
    /// The answer.
    pub begun: Begun,
    splitter: Splitter,
    ended: bool,
}

impl Relay {
    /// Begins to read.
    #[must_use]
    pub fn new(begun: Begun) -> Self {
        Self {
            begun,
            splitter: Splitter::default(),
            ended: false,
        }
    }

    /// Returns what comes next, until `deadline`.
    pub async fn next(&mut self, deadline: Instant) -> Step {
        loop {
            if let Some(event) = self.splitter.next() {
                return Step::Event(event);
            }
            if self.ended {
                return self.rest();
            }
            if self.splitter.overlong() {
                return Step::Broken;
            }
            let frame = timeout_at(deadline.into(), self.begun.body.frame());
            match frame.await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                Ok(Some(Err(_))) => return Step::Broken,
                Ok(None) => self.ended = true,
                Err(_) => return Step::Late,
            }
        }
    }

    fn rest(&mut self) -> Step {
        match self.splitter.rest() {
            Some(rest) => Step::Rest(rest),
            None => Step::End,
        }
    }
}
