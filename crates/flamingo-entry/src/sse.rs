//! Splits a stream of server-sent events at event boundaries.
//!
//! Only complete events are forwarded, so that another engine can resume a broken stream without a
//! partial or duplicated event.

use bytes::{Bytes, BytesMut};

/// Largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// Events that a chunk completes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The complete events, unchanged.
    pub bytes: Bytes,
    /// Number of events with data, without the final `[DONE]`.
    pub data_events: u64,
    /// Whether the stream is complete: the events include the final `[DONE]`.
    pub done: bool,
    /// Whether what follows the events is no event, such as the head of an error that an engine writes
    /// into its stream.
    pub foreign: bool,
}

/// Collects chunks of a stream and returns complete events.
///
/// ```
/// use bytes::Bytes;
/// use flamingo_entry::sse::Splitter;
///
/// let mut splitter = Splitter::default();
/// let complete = splitter.push(Bytes::from_static(b"data: 1\n\ndata: ")).unwrap();
/// assert_eq!((&complete.bytes[..], complete.data_events, complete.done), (&b"data: 1\n\n"[..], 1, false));
/// let complete = splitter.push(Bytes::from_static(b"[DONE]\n\n")).unwrap();
/// assert!(complete.done);
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    /// Start of an event whose end has not arrived.
    tail: BytesMut,
}

impl Splitter {
    /// Adds a chunk and returns the events that it completes, or `None` if an incomplete event is
    /// larger than `MAX_EVENT_BYTES`.
    pub fn push(&mut self, chunk: Bytes) -> Option<Events> {
        let mut pending = if self.tail.is_empty() {
            chunk
        } else {
            self.tail.extend_from_slice(&chunk);
            self.tail.split().freeze()
        };
        let mut complete = Events::default();
        let mut end = 0;
        while let Some(length) = event_length(&pending[end..]) {
            if !is_event(&pending[end..end + length]) {
                complete.foreign = true;
                break;
            }
            let data = event_data(&pending[end..end + length]);
            end += length;
            if data == Some(DONE) {
                complete.done = true;
                break;
            }
            complete.data_events += u64::from(data.is_some());
        }
        complete.bytes = pending.split_to(end);
        if pending.len() > MAX_EVENT_BYTES {
            return None;
        }
        if !complete.done && !complete.foreign {
            self.tail.extend_from_slice(&pending);
        }
        Some(complete)
    }
}

/// Returns the length of the first event with the blank line that ends it, or `None` if no event
/// is complete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(at) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + at + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// Returns whether all lines are comments or fields of an event (HTML Standard, section 9.2.6).
fn is_event(bytes: &[u8]) -> bool {
    let mut names = bytes
        .split(|byte| matches!(byte, b'\r' | b'\n'))
        .filter_map(|line| line.split(|byte| *byte == b':').next());
    names.all(|name| matches!(name, b"" | b"data" | b"event" | b"id" | b"retry"))
}

/// Returns the trimmed data of an event's first data line, or `None` if the event has no data.
fn event_data(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
    Some(data.trim_ascii())
}
