//! Server-sent events, cut at their ends.
//!
//! Only whole events are passed on, so that a broken stream can go on at another
//! engine without a torn or repeated event.

use bytes::{Bytes, BytesMut};

/// Largest single event, in bytes.
const EVENT: usize = 1 << 20;
/// The event that makes a stream whole.
const DONE: &[u8] = b"[DONE]";

/// What a chunk completes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Cut {
    /// Whole events, as they came.
    pub pass: Bytes,
    /// Data events among them, without the last one of the stream.
    pub events: u64,
    /// Whether the stream is whole with it.
    pub done: bool,
}

/// Cuts a stream of chunks into whole events.
///
/// ```
/// use bytes::Bytes;
/// use flamingo_entry::sse::Splitter;
///
/// let mut splitter = Splitter::default();
/// let cut = splitter.push(Bytes::from_static(b"data: 1\n\ndata: ")).unwrap();
/// assert_eq!((&cut.pass[..], cut.events, cut.done), (&b"data: 1\n\n"[..], 1, false));
/// let cut = splitter.push(Bytes::from_static(b"[DONE]\n\n")).unwrap();
/// assert!(cut.done);
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    tail: BytesMut,
}

impl Splitter {
    /// Takes a chunk; returns `None` where an event is too large.
    pub fn push(&mut self, chunk: Bytes) -> Option<Cut> {
        let mut whole = if self.tail.is_empty() {
            chunk
        } else {
            self.tail.extend_from_slice(&chunk);
            self.tail.split().freeze()
        };
        let mut cut = Cut::default();
        let mut end = 0;
        while let Some(length) = event(&whole[end..]) {
            let data = data(&whole[end..end + length]);
            end += length;
            if data == Some(DONE) {
                cut.done = true;
                break;
            }
            cut.events += u64::from(data.is_some());
        }
        cut.pass = whole.split_to(end);
        if whole.len() > EVENT {
            return None;
        }
        if !cut.done {
            self.tail.extend_from_slice(&whole);
        }
        Some(cut)
    }
}

/// Returns the length of the first event, with the blank line that ends it.
fn event(bytes: &[u8]) -> Option<usize> {
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

/// Returns the data of an event's first data line.
fn data(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
    Some(data.trim_ascii())
}
