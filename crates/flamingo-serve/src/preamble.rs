//! Bounds what a target may send before the head of its response.
//!
//! A target may send interim responses (RFC 9110, section 15.2) before the head, and the HTTP library
//! reads past them for as long as they come. Each process has one thread, so a target that never stops
//! would keep it from all other callers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes after which no more are read before the end of a response head. The last read may go beyond
/// it by one read buffer.
pub const MAX_PREAMBLE_BYTES: usize = 64 * 1024;
/// Largest number of interim responses to one request.
pub const MAX_INTERIM_RESPONSES: usize = 32;

/// Counts what comes before the head of each response on one connection.
#[derive(Debug, Default)]
pub struct Counter {
    /// Whether a request was sent whose response head has not come.
    awaits_head: AtomicBool,
    bytes: AtomicUsize,
    interim_responses: AtomicUsize,
}

impl Counter {
    /// Starts to count for a request that is about to be sent.
    pub fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.interim_responses.store(0, Ordering::Relaxed);
        self.awaits_head.store(true, Ordering::Relaxed);
    }

    /// Stops to count: the head has come.
    pub fn end(&self) {
        self.awaits_head.store(false, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    pub fn record_bytes(&self, count: usize) {
        self.bytes.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts an interim response.
    pub fn record_interim_response(&self) {
        self.interim_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether nothing more may be read on the connection.
    ///
    /// ```
    /// use flamingo_serve::preamble::{Counter, MAX_PREAMBLE_BYTES};
    ///
    /// let counter = Counter::default();
    /// counter.begin();
    /// counter.record_bytes(MAX_PREAMBLE_BYTES);
    /// assert!(counter.is_exceeded());
    /// counter.end();
    /// assert!(!counter.is_exceeded());
    /// ```
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        let bytes = self.bytes.load(Ordering::Relaxed);
        let interim_responses = self.interim_responses.load(Ordering::Relaxed);
        self.awaits_head.load(Ordering::Relaxed)
            && (bytes >= MAX_PREAMBLE_BYTES || interim_responses > MAX_INTERIM_RESPONSES)
    }
}

/// A connection whose reads fail once its counter is exceeded.
#[derive(Debug)]
pub struct Counted<T> {
    inner: T,
    counter: Arc<Counter>,
}

impl<T> Counted<T> {
    /// Returns a connection that counts its reads in `counter`.
    pub fn new(inner: T, counter: Arc<Counter>) -> Self {
        Self { inner, counter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.counter.is_exceeded() {
            let problem = "too much was sent before the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.counter.record_bytes(buffer.filled().len() - before);
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
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
