//! Ends connections whose peer takes nothing of what is written to it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Longest time for which a peer may take nothing.
const MAX_STALL: Duration = Duration::from_secs(30);

/// A connection whose writes fail once the peer has taken nothing for `MAX_STALL`.
#[derive(Debug)]
pub struct Guarded<T> {
    inner: T,
    /// Ends when the peer has taken nothing for too long; `None` while it takes what is written.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<T> Guarded<T> {
    /// Returns a connection whose writes are guarded.
    pub fn new(inner: T) -> Self {
        Self {
            inner,
            stalled: None,
        }
    }

    /// Returns the result of a write, or an error if it has been waiting for too long.
    fn guard<R>(
        &mut self,
        written: Poll<io::Result<R>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<R>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(sleep(MAX_STALL)));
        let ended = stalled.as_mut().poll(context);
        ended.map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Guarded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Guarded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.guard(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.guard(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
