//! Limit on the bytes that a server may send before the head of its response is complete, and on how they begin.
//!
//! Interim responses (`100 Continue`) are skipped by the HTTP library, however many there are, and so are empty lines
//! before a head.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of the head of a response with its interim responses, bytes. The first bytes of a body may be read
/// together with the head.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// First byte of every response.
const FIRST_BYTE: u8 = b'H';
/// Bytes left while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// The limit of one connection, which applies while a head is awaited.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    bytes_left: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            bytes_left: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl HeadLimit {
    /// Starts to count: a request is sent.
    pub fn await_head(&self) {
        self.bytes_left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit: the head was received.
    pub fn head_received(&self) {
        self.bytes_left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    fn consume(&self, bytes: &[u8]) -> io::Result<()> {
        let left = self.bytes_left.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        let begins = left == MAX_HEAD_BYTES;
        if begins && bytes.first().is_some_and(|first| *first != FIRST_BYTE) {
            return Err(invalid("the response does not begin with a version"));
        }
        let Some(left) = left.checked_sub(bytes.len()) else {
            return Err(invalid("the head of the response is too large"));
        };
        self.bytes_left.store(left, Ordering::Relaxed);
        Ok(())
    }
}

fn invalid(cause: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

/// A connection to a server with a [`HeadLimit`].
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> HeadLimitedStream<S> {
    /// Applies `limit` to `stream`.
    pub fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.limit.consume(&buffer.filled()[before..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
