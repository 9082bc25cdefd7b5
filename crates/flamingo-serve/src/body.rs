//! Response bodies, either complete or streamed in chunks.

use crate::wire::Cause;
use bytes::{Bytes, BytesMut};
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

/// Reads a whole body into memory.
///
/// # Errors
///
/// Returns [`Cause::TooLarge`] if the body has more than `max_bytes`, and [`Cause::Unreadable`]
/// if it can't be read to its end.
pub async fn collect(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Cause> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Cause::Unreadable)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > max_bytes {
                return Err(Cause::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Reads all chunks of a streamed body into memory.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the chunks have more than `max_bytes`, or why the body ends early.
pub async fn collect_chunks(chunks: &mut Chunks, max_bytes: usize) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        if bytes.len() + chunk.len() > max_bytes {
            return Err(Error::TooLarge);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}
