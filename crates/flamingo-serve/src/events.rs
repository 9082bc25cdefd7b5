//! Splits the bytes of a server-sent event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted; a stream with a larger one counts as broken.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A whole event, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event as received.
    pub bytes: Bytes,
    /// The value of the event's `id` field; `None` if it has no such field or if the value is
    /// not a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether the event directly follows the event `last`. An event without a number
    /// follows any, and any event follows none.
    ///
    /// ```
    /// use flamingo_serve::events::Splitter;
    ///
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"id: 3\ndata: x\n\n");
    /// let event = splitter.next().unwrap();
    /// assert!(event.follows(Some(2)));
    /// assert!(!event.follows(Some(3)));
    /// ```
    #[must_use]
    pub fn follows(&self, last: Option<u64>) -> bool {
        match (last, self.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }
}

/// Buffers received bytes until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that contain no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
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
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` until more bytes are pushed.
    #[allow(
        clippy::should_implement_trait,
        reason = "more bytes may be pushed after `None`, so this is no iterator"
    )]
    pub fn next(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether an event has begun and not ended. Blank lines between events belong to
    /// none.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        !self.buffer.iter().all(|byte| is_line_end(*byte))
    }

    /// Removes and returns the blank lines after the last event; `None` if there are none. Must not
    /// be called inside an event.
    pub fn take_blank_lines(&mut self) -> Option<Event> {
        self.scanned = 0;
        let bytes = self.buffer.split().freeze();
        (!bytes.is_empty()).then_some(Event { bytes, id: None })
    }

    /// Returns the number of bytes after the last whole event.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer exceeds [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the offset after the first blank line; `None` if there is no blank line yet.
    fn event_end(&mut self) -> Option<usize> {
        let mut offset = self.scanned.saturating_sub(3);
        while let Some(at) = self.buffer[offset..]
            .iter()
            .position(|byte| is_line_end(*byte))
        {
            let line = offset + at;
            let next_line = line + line_end_length(&self.buffer[line..]);
            let blank = line_end_length(&self.buffer[next_line..]);
            if blank > 0 {
                return Some(next_line + blank);
            }
            offset = next_line;
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the length of the line end at the beginning of `bytes`: CRLF, LF or CR (HTML Standard,
/// section 9.2.5). Returns 0 if there is none.
fn line_end_length(bytes: &[u8]) -> usize {
    match bytes {
        [b'\r', b'\n', ..] => 2,
        [b'\r' | b'\n', ..] => 1,
        _ => 0,
    }
}

/// Parses the `id` field of an event.
fn event_id(bytes: &[u8]) -> Option<u64> {
    for line in bytes.split(|byte| is_line_end(*byte)) {
        if let Some(value) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(value).ok()?;
            return text.trim().parse().ok();
        }
    }
    None
}
