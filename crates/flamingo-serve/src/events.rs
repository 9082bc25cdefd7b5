//! Splits the bytes of a server-sent event stream into whole events.

use bytes::{Bytes, BytesMut};
use strum::IntoStaticStr;

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

/// Why an event is not proved to be the next one of a stream of numbered events.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Flaw {
    /// It has fields, but no number.
    Unnumbered,
    /// Its number is not the next one.
    OutOfSequence,
    /// It has a number, and lines that belong to no event.
    Malformed,
}

impl Event {
    /// Returns whether the event consists of comments and blank lines only. A receiver ignores it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        lines(&self.bytes).all(is_ignored)
    }

    /// Returns why the event does not prove that it follows the event `last`; `None` if it does. In
    /// a stream without a number so far, `last` is `None`, and any event may follow that has no number
    /// or is well-formed. An empty event breaks no sequence.
    ///
    /// ```
    /// use flamingo_serve::events::{Flaw, Splitter};
    ///
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"id: 3\ndata: x\n\ndata: failed\n\n");
    /// let event = splitter.next().unwrap();
    /// assert_eq!(event.flaw(Some(2)), None);
    /// assert_eq!(event.flaw(Some(3)), Some(Flaw::OutOfSequence));
    /// let event = splitter.next().unwrap();
    /// assert_eq!(event.flaw(Some(3)), Some(Flaw::Unnumbered));
    /// ```
    #[must_use]
    pub fn flaw(&self, last: Option<u64>) -> Option<Flaw> {
        if self.is_empty() {
            return None;
        }
        let Some(id) = self.id else {
            return last.is_some().then_some(Flaw::Unnumbered);
        };
        if last.is_some_and(|last| last.checked_add(1) != Some(id)) {
            return Some(Flaw::OutOfSequence);
        }
        (!self.is_well_formed()).then_some(Flaw::Malformed)
    }

    /// Returns whether the event has one `id` and only fields of the HTML Standard, section 9.2.6. Its
    /// first field may be a further one that has a number.
    fn is_well_formed(&self) -> bool {
        let mut ids = 0;
        let fields = lines(&self.bytes).filter(|line| !is_ignored(line));
        fields.enumerate().all(|(index, line)| {
            let (name, value) = field(line);
            ids += usize::from(name == b"id");
            let known = matches!(name, b"id" | b"data" | b"event" | b"retry");
            let extra = index == 0 && is_lower_case(name) && is_number(value);
            ids <= 1 && (known || extra)
        })
    }
}

/// Returns the lines of an event, of which those between the two bytes of a line end are empty.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| is_line_end(*byte))
}

/// Returns whether a line is blank or a comment.
fn is_ignored(line: &[u8]) -> bool {
    matches!(line, [] | [b':', ..])
}

/// Returns the name and the value of a field.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let colon = line.iter().position(|byte| *byte == b':');
    colon.map_or((line, &[][..]), |at| (&line[..at], &line[at + 1..]))
}

fn is_lower_case(name: &[u8]) -> bool {
    name.iter()
        .all(|byte| matches!(byte, b'a'..=b'z' | b'-' | b'_'))
}

fn is_number(value: &[u8]) -> bool {
    let value = value.trim_ascii();
    !value.is_empty() && value.iter().all(u8::is_ascii_digit)
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
    for line in lines(bytes) {
        if let Some(value) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(value).ok()?;
            return text.trim().parse().ok();
        }
    }
    None
}
