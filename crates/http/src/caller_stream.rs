//! The byte stream of a caller's connection, with limits on how long the rest of a head and a blocked write may take.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::connections::OpenConnection;

/// A time limit that runs while something is awaited.
#[derive(Debug)]
struct WaitLimit {
    time: Duration,
    running: Option<Pin<Box<Sleep>>>,
}

impl WaitLimit {
    fn new(time: Duration) -> Self {
        Self {
            time,
            running: None,
        }
    }

    /// What was awaited has come.
    fn reset(&mut self) {
        self.running = None;
    }

    /// Returns whether the limit has passed; otherwise the task is woken when it does.
    fn has_passed(&mut self, context: &mut Context<'_>) -> bool {
        let time = self.time;
        let running = self.running.get_or_insert_with(|| Box::pin(sleep(time)));
        running.as_mut().poll(context).is_ready()
    }
}

/// The byte stream of a caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
    head: WaitLimit,
    write: WaitLimit,
}

impl CallerStream {
    /// Applies the limits to `stream`: `head_timeout` from the first byte of a head to its last, `write_timeout` while the
    /// peer takes nothing.
    pub fn new(
        stream: TcpStream,
        connection: Arc<OpenConnection>,
        head_timeout: Duration,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection,
            head: WaitLimit::new(head_timeout),
            write: WaitLimit::new(write_timeout),
        }
    }

    fn check_written(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write.reset();
            self.connection.record_written();
            return written;
        }
        if self.write.has_passed(context) {
            return Poll::Ready(Err(timed_out("the peer reads nothing")));
        }
        Poll::Pending
    }
}

fn timed_out(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, what)
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.connection.awaits_rest_of_head() {
            self.head.reset();
        }
        match read {
            Poll::Ready(read) => {
                if buffer.filled().len() > before {
                    self.connection.record_read();
                }
                Poll::Ready(read)
            }
            Poll::Pending if !self.connection.awaits_rest_of_head() => Poll::Pending,
            Poll::Pending if self.head.has_passed(context) => {
                Poll::Ready(Err(timed_out("the head is not complete")))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_written(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_written(context, written)
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
