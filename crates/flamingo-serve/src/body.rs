//! Bodies of answers: whole, or a stream of chunks.

use crate::wire::Cause;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use std::pin::Pin;
use std::task::{Context, Poll};

quick_error! {
    /// Why a body ends before its end; the connection is cut, so that it does not look whole.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Broken {
        /// The target broke off.
        Target {
            display("the target broke off")
        }
        /// The time of the request is over.
        Late {
            display("the time of the request is over")
        }
    }
}

/// Chunks of a body.
pub type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// The body of an answer.
pub enum Body {
    /// All of it; taken once it is sent.
    Whole(Option<Bytes>),
    /// Chunk by chunk.
    Chunks(Chunks),
}

impl Body {
    /// Returns a whole body.
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
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
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

/// Gathers a body of `most` bytes at most.
///
/// # Errors
///
/// Returns why it can't be gathered.
pub async fn gather(mut body: Incoming, most: usize) -> Result<Bytes, Cause> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Cause::Unreadable)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > most {
                return Err(Cause::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
