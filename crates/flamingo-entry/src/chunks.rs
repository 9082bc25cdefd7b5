//! Channel for the chunks of a streamed response, from its producer to the body of the response.
//!
//! A producer that goes away without saying that the response is finished leaves a body that ends
//! with an error. The server then closes the connection without the last chunk, so that the caller
//! can't take the response for complete.

use bytes::Bytes;
use futures_util::Stream;
use quick_error::quick_error;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::sync::mpsc;

quick_error! {
    /// The producer went away before it finished the response.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// No further chunk comes, and the response is incomplete.
        Unfinished {
            display("the response was not finished")
        }
    }
}

impl actix_web::ResponseError for Error {}

/// The producer's end of the channel.
#[derive(Debug)]
pub struct Sender {
    chunks: mpsc::Sender<Bytes>,
    finished: Rc<Cell<bool>>,
}

/// The chunks of a response, as a stream for its body.
#[derive(Debug)]
pub struct Receiver {
    chunks: mpsc::Receiver<Bytes>,
    finished: Rc<Cell<bool>>,
    /// Whether the end of the stream has been returned.
    ended: bool,
}

/// Returns a channel that buffers up to `capacity` chunks.
///
/// ```
/// use bytes::Bytes;
/// use flamingo_entry::chunks::{Error, channel};
/// use futures_util::StreamExt;
/// use std::time::{Duration, Instant};
///
/// actix_rt::System::new().block_on(async {
///     let deadline = Instant::now() + Duration::from_secs(1);
///     let (sender, receiver) = channel(1);
///     assert!(sender.send(Bytes::from_static(b"data: 1\n\n"), deadline).await);
///     drop(sender);
///     let received: Vec<_> = receiver.collect().await;
///     assert_eq!(received[1], Err(Error::Unfinished));
/// });
/// ```
#[must_use]
pub fn channel(capacity: usize) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::channel(capacity);
    let finished = Rc::new(Cell::new(false));
    let sender = Sender {
        chunks: sender,
        finished: Rc::clone(&finished),
    };
    let receiver = Receiver {
        chunks: receiver,
        finished,
        ended: false,
    };
    (sender, receiver)
}

impl Sender {
    /// Sends a chunk. Returns false if the receiver is gone, or takes no chunk until `deadline`.
    pub async fn send(&self, chunk: Bytes, deadline: Instant) -> bool {
        match self.chunks.try_send(chunk) {
            Ok(()) => true,
            Err(error) => {
                let sent = self.chunks.send(error.into_inner());
                let sent = tokio::time::timeout_at(deadline.into(), sent).await;
                matches!(sent, Ok(Ok(())))
            }
        }
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Says that the chunks that were sent are the complete response.
    pub fn finish(self) {
        self.finished.set(true);
    }
}

impl Stream for Receiver {
    type Item = Result<Bytes, Error>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(chunk) = ready!(self.chunks.poll_recv(context)) {
            return Poll::Ready(Some(Ok(chunk)));
        }
        self.ended = true;
        let finished = self.finished.get();
        Poll::Ready((!finished).then_some(Err(Error::Unfinished)))
    }
}
