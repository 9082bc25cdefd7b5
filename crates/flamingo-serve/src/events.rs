//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one is passed on as broken.
pub const MAX: usize = 1024 * 1024;

/// One whole event with its blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its number, where it has one.
    pub id: Option<u64>,
}

/// Gathers bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    /// Bytes of `held` in which no end was found.
    seen: usize,
}

impl Splitter {
    /// Takes bytes.
    ///
    /// ```
    /// use flamingo_serve::events::Splitter;
    ///
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"id: 7\ndata: x\n\nid: 8");
    /// assert_eq!(splitter.next().unwrap().id, Some(7));
    /// assert!(splitter.next().is_none());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    #[allow(
        clippy::should_implement_trait,
        reason = "more may be pushed after a none"
    )]
    pub fn next(&mut self) -> Option<Event> {
        let end = self.end()?;
        self.seen = 0;
        let bytes = self.held.split_to(end).freeze();
        let id = number(&bytes);
        Some(Event { bytes, id })
    }

    /// Takes what is behind the last whole event.
    pub fn rest(&mut self) -> Option<Event> {
        self.seen = 0;
        let bytes = self.held.split().freeze();
        let id = number(&bytes);
        (!bytes.is_empty()).then_some(Event { bytes, id })
    }

    /// Returns whether more is held than an event may have.
    #[must_use]
    pub fn overlong(&self) -> bool {
        self.held.len() > MAX
    }

    /// Returns where the first blank line ends.
    fn end(&mut self) -> Option<usize> {
        let from = self.seen.saturating_sub(3);
        let mut at = from;
        while let Some(found) = self.held[at..].iter().position(|byte| *byte == b'\n') {
            let line = at + found + 1;
            let rest = &self.held[line..];
            if rest.first() == Some(&b'\n') {
                return Some(line + 1);
            }
            if rest.starts_with(b"\r\n") {
                return Some(line + 2);
            }
            at = line;
        }
        self.seen = self.held.len();
        None
    }
}

/// Reads the number of an event.
fn number(bytes: &[u8]) -> Option<u64> {
    for line in bytes.split(|byte| *byte == b'\n') {
        if let Some(rest) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(rest).ok()?;
            return text.trim().parse().ok();
        }
    }
    None
}
