//! HTTP/1 server with connection limits and graceful shutdown.

use std::{io, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use rustix::io::Errno;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    body::Body,
    caller_stream::CallerStream,
    connections::{Connections, OpenConnection, ResponseBody},
};

/// Delay after a failed accept, which avoids a busy loop if file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Minimum buffer size that hyper accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Default of [`ServeOptions::linger`].
pub const LINGER: Duration = Duration::from_millis(500);

/// Limits of one connection, fixed when it is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum time that a connection may be idle, or that its peer may read nothing of a response.
    pub idle_timeout: Duration,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Maximum size of a request head, bytes.
    pub head_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(10),
            head_bytes: 64 * 1024,
        }
    }
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Name of the listener in logs and metrics.
    pub name: &'static str,
    /// Maximum open connections. For a further one the connection is closed that has rested for longest.
    pub connections: usize,
    /// Limits of each connection; [`serve_limited`] does not use them.
    pub limits: ConnectionLimits,
    /// Time after the start of a shutdown during which connections and requests are still accepted, so
    /// that the handler can refuse them and callers retry elsewhere. Closing idle connections
    /// immediately could cut off a request that is just being written.
    pub linger: Duration,
    /// Maximum time after `linger` for open requests to complete.
    pub drain: Duration,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            name: "http",
            connections: 10_000,
            limits: ConnectionLimits::default(),
            linger: LINGER,
            drain: Duration::from_secs(30),
        }
    }
}

/// Serves until `shutdown`, then drains open requests. Returns true if all of them completed in time.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: ServeOptions,
    shutdown: CancellationToken,
    handler: H,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let limits = move || options.limits;
    serve_limited(listener, options, limits, shutdown, handler).await
}

/// Like [`serve`], but calls `limits` for the limits of each new connection.
pub async fn serve_limited<H, F>(
    listener: TcpListener,
    options: ServeOptions,
    limits: impl Fn() -> ConnectionLimits,
    shutdown: CancellationToken,
    handler: H,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let connections = Connections::new(options.name, options.connections);
    let closing = CancellationToken::new();
    let linger_elapsed = linger(&shutdown, options.linger);
    tokio::pin!(linger_elapsed);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut linger_elapsed => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("connection not accepted", kv: {
                    listener = options.name,
                    cause = error.to_string(),
                });
                if is_out_of_descriptors(&error) {
                    connections.displace();
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(connection) = connections.admit() else {
            continue;
        };
        let caller = Caller {
            stream,
            connection: Arc::new(connection),
            limits: limits(),
            closing: closing.clone(),
            shutdown: shutdown.clone(),
        };
        tokio::spawn(caller.serve(graceful.watcher(), handler.clone()));
        if connections.is_full() {
            // Requests that have arrived are read before the next connection displaces one.
            tokio::task::yield_now().await;
        }
    }
    drop(listener);
    closing.cancel();
    timeout(options.drain, graceful.shutdown()).await.is_ok()
}

/// Whether the process, or the system, has no descriptor left.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = Errno::from_io_error(error);
    matches!(code, Some(Errno::MFILE | Errno::NFILE))
}

/// The connection gave way to another before its request began.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection gave way to another")]
struct ConnectionDisplaced;

/// An accepted connection.
struct Caller {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
    limits: ConnectionLimits,
    /// Cancelled when connections without a request are closed.
    closing: CancellationToken,
    shutdown: CancellationToken,
}

impl Caller {
    /// Serves the requests of the connection, until it is closed or gives way to another.
    async fn serve<H, F>(self, watcher: Watcher, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let connection = Arc::clone(&self.connection);
        tokio::select! {
            biased;
            () = connection.displaced() => {}
            () = self.serve_requests(watcher, handler) => {}
        }
    }

    async fn serve_requests<H, F>(self, watcher: Watcher, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        if !self.awaits_first_bytes().await {
            return;
        }
        // Ignored: without the option, only latency increases.
        let _ = self.stream.set_nodelay(true);
        let Self {
            stream,
            connection,
            limits,
            shutdown,
            ..
        } = self;
        let requests = Arc::clone(&connection);
        let service = service_fn(move |request| {
            let begun = requests
                .begin_request()
                .map(|busy| (busy, handler(request)));
            let shutdown = shutdown.clone();
            async move {
                let (busy, response) = begun.ok_or(ConnectionDisplaced)?;
                let response = with_close_on_shutdown(&shutdown, response.await);
                Ok::<_, ConnectionDisplaced>(response.map(|body| ResponseBody::new(body, busy)))
            }
        });
        let (head_timeout, idle_timeout) = (limits.head_timeout, limits.idle_timeout);
        let stream = CallerStream::new(stream, connection, head_timeout, idle_timeout);
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        // Connection errors are ignored: the peer may disconnect at any time.
        let _ = watcher.watch(served).await;
    }

    /// Waits for the first bytes of a connection, which needs no buffers before. Returns whether they came.
    async fn awaits_first_bytes(&self) -> bool {
        let readable = timeout(self.limits.idle_timeout, self.stream.readable());
        tokio::select! {
            biased;
            readable = readable => matches!(readable, Ok(Ok(()))),
            () = self.closing.cancelled() => false,
        }
    }
}

async fn linger(shutdown: &CancellationToken, time: Duration) {
    shutdown.cancelled().await;
    tokio::time::sleep(time).await;
}

/// Adds `Connection: close` to the response if the server is shutting down.
fn with_close_on_shutdown(
    shutdown: &CancellationToken,
    mut response: Response<Body>,
) -> Response<Body> {
    if shutdown.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
