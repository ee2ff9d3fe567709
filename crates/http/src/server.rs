//! HTTP/1 server with connection limits and graceful shutdown.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::Semaphore, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::body::Body;

/// Delay after a failed accept, which avoids a busy loop if file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Minimum buffer size that hyper accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Default of [`ServeOptions::linger`].
pub const LINGER: Duration = Duration::from_millis(500);

/// Limits of one connection, fixed when it is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Timeout for receiving a request head, which also limits how long a connection may be idle.
    pub head_timeout: Duration,
    /// Maximum size of a request head, bytes.
    pub head_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            head_bytes: 64 * 1024,
        }
    }
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Maximum open connections; further ones are closed immediately.
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
    let connection_permits = Arc::new(Semaphore::new(options.connections));
    let linger_elapsed = linger(&shutdown, options.linger);
    tokio::pin!(linger_elapsed);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut linger_elapsed => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            continue;
        };
        // Ignored: without the option, only latency increases.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let shutdown = shutdown.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            let shutdown = shutdown.clone();
            async move { Ok::<_, Infallible>(with_close_on_shutdown(&shutdown, response.await)) }
        });
        let limits = limits();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // Connection errors are ignored: the peer may disconnect at any time.
            let _ = watched.await;
            drop(permit);
        });
    }
    drop(listener);
    timeout(options.drain, graceful.shutdown()).await.is_ok()
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
