//! Response bodies, either complete or streamed in chunks.

use crate::memory::{Buffer, Memory, Refused};
use crate::wire::Cause;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use std::pin::Pin;
use std::task::{Context, Poll};

quick_error! {
    /// Why a streamed body ends early. The server then closes the connection without the end
    /// marker of the body, so that the caller can't take the response for complete.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The target disconnected or sent an invalid stream, and no other target continued it.
        TargetFailed {
            display("the target did not complete the response")
        }
        /// The deadline of the request has passed.
        DeadlineExceeded {
            display("the deadline of the request has passed")
        }
        /// The stream is larger than the buffer for a caller that can't receive chunks.
        TooLarge {
            display("the response is too large to be sent as a whole")
        }
    }
}

/// The chunks of a streamed body.
pub type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, Error>>>>;

/// The body of a response to a caller.
pub enum Body {
    /// A complete body; `None` once it has been sent, or if it is empty.
    Whole(Option<Bytes>),
    /// A body that is sent chunk by chunk.
    Chunks(Chunks),
}

impl Body {
    /// Returns a complete body.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl std::fmt::Debug for Body {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Whole(bytes) => write!(out, "Whole({:?})", bytes.as_ref().map(Bytes::len)),
            Self::Chunks(_) => write!(out, "Chunks"),
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => {
                let chunk = std::task::ready!(chunks.as_mut().poll_next(context));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

impl From<Refused> for Cause {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::TooLarge => Self::TooLarge,
            Refused::NoRoom => Self::NoMemory,
        }
    }
}

/// What is done with a body while the bodies of the process leave no room for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WhenFull {
    /// It is given up.
    Refuse,
    /// It is not read on until there is room.
    Wait,
}

/// Reads a whole body into memory.
///
/// # Errors
///
/// Returns [`Cause::TooLarge`] if the body is larger than the buffer may be, [`Cause::NoMemory`] if
/// it is given up for lack of memory, and [`Cause::Unreadable`] if it can't be read to its end.
pub async fn collect(
    mut body: Incoming,
    mut buffer: Buffer,
    when_full: WhenFull,
) -> Result<Bytes, Cause> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Cause::Unreadable)?;
        if let Ok(data) = frame.into_data() {
            match when_full {
                WhenFull::Refuse => buffer.push(&data)?,
                WhenFull::Wait => buffer.push_when_free(&data).await?,
            }
        }
    }
    Ok(buffer.freeze())
}

/// Reads a body to its end without keeping it.
///
/// # Errors
///
/// Returns [`Cause::TooLarge`] if the body has more than `max_bytes`, and [`Cause::Unreadable`]
/// if it can't be read to its end.
pub async fn discard(mut body: Incoming, max_bytes: usize) -> Result<(), Cause> {
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Cause::Unreadable)?;
        count += frame.data_ref().map_or(0, Bytes::len);
        if count > max_bytes {
            return Err(Cause::TooLarge);
        }
    }
    Ok(())
}

/// Reads all chunks of a streamed body into memory, once there is room for them.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the chunks have more than `max_bytes`, or why the body ends early.
pub async fn collect_chunks(
    chunks: &mut Chunks,
    max_bytes: usize,
    memory: &Memory,
) -> Result<Bytes, Error> {
    let mut buffer = memory.buffer(max_bytes);
    while let Some(chunk) = chunks.next().await {
        let pushed = buffer.push_when_free(&chunk?).await;
        pushed.map_err(|_| Error::TooLarge)?;
    }
    Ok(buffer.freeze())
}
