//! Accepting connections, with limits and a drain that cuts off no open request.

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

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer that hyper takes, bytes.
const SMALLEST_BUFFER: usize = 8 * 1024;

/// Default of [`ServeOptions::linger`].
pub const LINGER: Duration = Duration::from_millis(500);

/// Limits of one connection, as they are when it is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Time for which the connection may rest, and for the head of a request to arrive.
    pub head_timeout: Duration,
    /// Largest head of a request, bytes.
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
    /// Open connections; more are closed at once.
    pub connections: usize,
    /// Limits of each connection, unless they are asked for anew ([`serve_limited`]).
    pub limits: ConnectionLimits,
    /// Time after shutdown is asked for in which connections and requests are still taken, so
    /// that the handler can refuse them and callers learn to go elsewhere. Closing idle
    /// connections at once would cut off a request that is just being written to one.
    pub linger: Duration,
    /// Time for open requests to end after that.
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

/// Serves until `shutdown`, then waits for open requests; true if all ended in time.
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

/// Like [`serve`], with limits that may change: `limits` is asked for each new connection.
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
    let permits = Arc::new(Semaphore::new(options.connections));
    let lingered = linger(&shutdown, options.linger);
    tokio::pin!(lingered);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut lingered => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        // A failure here only costs latency.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let shutdown = shutdown.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            let shutdown = shutdown.clone();
            async move { Ok::<_, Infallible>(closing_if(&shutdown, answer.await)) }
        });
        let limits = limits();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.head_bytes.max(SMALLEST_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // The peer may close at any time; there is nobody left to tell.
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

/// Tells the peer of a stopping server not to use the connection again.
fn closing_if(shutdown: &CancellationToken, mut response: Response<Body>) -> Response<Body> {
    if shutdown.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
