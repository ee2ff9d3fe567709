//! Connection pool of one replica.
//!
//! A connection serves one request at a time. It returns to the pool only after a complete response
//! to that request. Dropped in any other state, it is closed immediately, which also makes the
//! replica stop the request.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    client::conn::http1::{self, SendRequest},
    header::CONNECTION,
};
use hyper_util::rt::TokioIo;
use railtack_http::{HeadLimit, HeadLimitedStream};
use tokio::{
    task::{AbortHandle, JoinHandle},
    time::Instant,
};

use crate::{
    dial::{DialError, dial},
    idle_limit::IdleLimit,
    relay::client::ReplicaStream,
};

/// Maximum size of the buffer for reading of one connection, bytes. It also limits the head of a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Reason why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The maximum number of connections is open.
    Limit,
    /// Nothing listens on the replica's port.
    Refused,
    /// The replica cannot be reached.
    Unreachable,
}

impl From<DialError> for ConnectError {
    fn from(error: DialError) -> Self {
        match error {
            DialError::Refused => Self::Refused,
            DialError::Unreachable => Self::Unreachable,
        }
    }
}

/// Result of a port probe.
#[derive(Debug)]
pub enum PortState {
    /// Nothing listens on the port.
    Refused,
    /// The connection was accepted.
    Open(ProbeConnection),
    /// The probe was inconclusive.
    Unknown,
}

/// A connection that shows whether a port stays open. No request is sent over it, because one that
/// must not be repeated could be lost with a crashing replica. It does not count against the
/// connection limit, which may be one: a live replica would get no request from this router during
/// the probe.
#[derive(Debug)]
pub struct ProbeConnection {
    connection: Connection,
    task: JoinHandle<()>,
}

impl ProbeConnection {
    /// Completes when the peer closes the connection.
    pub async fn closed(&mut self) {
        // The result of the connection is irrelevant here.
        let _ = (&mut self.task).await;
    }
}

/// Idle connections to one replica, and the number of open ones.
#[derive(Debug, Default)]
pub struct Pool {
    /// Address from which connections are opened; chosen by the system if there is none.
    source: Option<IpAddr>,
    idle: Mutex<Vec<IdleConnection>>,
    open: Arc<AtomicU32>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// A connection, closed on drop.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests over the connection.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Limit on the head of each response.
    pub head_limit: HeadLimit,
    open: Arc<AtomicU32>,
    idle_limit: IdleLimit,
    is_relayed: bool,
    /// Whether the replica has said over it that it is the incarnation to which the pool belongs.
    pub is_incarnation_confirmed: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// Whether it leads through a peer.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Applies the connection headers of a response; returns false if the connection must not be
    /// reused.
    pub fn update_from_head(&mut self, headers: &HeaderMap, trust_keep_alive: bool) -> bool {
        if let Some(advertised) = IdleLimit::from_headers(headers) {
            self.idle_limit = if trust_keep_alive {
                advertised
            } else {
                advertised.capped_for_non_retryable()
            };
        }
        let closes = headers
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        // A relay judges only the first request on a connection.
        !closes && !self.is_relayed
    }
}

impl Pool {
    /// Creates a pool whose connections are opened from `source`.
    pub fn with_source(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Returns the number of open connections, idle or in use.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether a connection can be acquired.
    pub fn has_capacity(&self, limit: u32) -> bool {
        self.open_connections() < limit || !self.idle().is_empty()
    }

    /// Returns an idle connection, or a new one to `address` if fewer than `limit` are open.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        limit: u32,
        non_retryable: bool,
    ) -> Result<Connection, ConnectError> {
        self.acquire_by(self.dial(address), limit, non_retryable)
            .await
    }

    /// Returns an idle connection, or a new one by `dialed` if fewer than `limit` are open. A `non_retryable`
    /// request does not get a connection that the replica may be about to close.
    pub async fn acquire_by(
        &self,
        dialed: impl Future<Output = Result<ReplicaStream, DialError>>,
        limit: u32,
        non_retryable: bool,
    ) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(non_retryable) {
            return Ok(connection);
        }
        if self.open_connections() >= limit {
            return Err(ConnectError::Limit);
        }
        let (connection, _) = connect(dialed, &self.open).await?;
        Ok(connection)
    }

    /// Checks whether the replica's port accepts connections.
    pub async fn probe_port(&self, address: SocketAddr) -> PortState {
        let uncounted = Arc::default();
        match connect(self.dial(address), &uncounted).await {
            Ok((connection, task)) => PortState::Open(ProbeConnection { connection, task }),
            Err(ConnectError::Refused) => PortState::Refused,
            Err(ConnectError::Limit | ConnectError::Unreachable) => PortState::Unknown,
        }
    }

    /// Adds a probe connection to the pool unless `limit` connections are open.
    pub fn adopt(&self, probe: ProbeConnection, limit: u32) {
        if self.open_connections() >= limit {
            return;
        }
        let mut connection = probe.connection;
        self.open.fetch_add(1, Ordering::Relaxed);
        let uncounted = std::mem::replace(&mut connection.open, Arc::clone(&self.open));
        uncounted.fetch_sub(1, Ordering::Relaxed);
        self.release(connection);
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        self.idle().push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes connections that exceeded their idle limit.
    pub fn close_expired(&self) {
        self.idle()
            .retain(|idle| idle.is_usable(idle.connection.idle_limit.limit(false)));
    }

    async fn dial(&self, address: SocketAddr) -> Result<ReplicaStream, DialError> {
        let dialed = dial(address, self.source).await;
        dialed.map(ReplicaStream::direct)
    }

    fn take_idle(&self, non_retryable: bool) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(newest) = idle.pop() {
            let idle_limit = newest.connection.idle_limit;
            if newest.is_usable(idle_limit.limit(non_retryable)) {
                return Some(newest.connection);
            }
            if non_retryable && newest.is_usable(idle_limit.limit(false)) {
                // Still usable for retryable requests.
                idle.push(newest);
                return None;
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self, idle_limit: Duration) -> bool {
        !self.connection.sender.is_closed() && self.since.elapsed() < idle_limit
    }
}

/// Opens a connection that is counted in `open`. The join handle completes when it is closed.
async fn connect(
    dialed: impl Future<Output = Result<ReplicaStream, DialError>>,
    open: &Arc<AtomicU32>,
) -> Result<(Connection, JoinHandle<()>), ConnectError> {
    open.fetch_add(1, Ordering::Relaxed);
    let counted = OpenGuard(Some(Arc::clone(open)));
    let ReplicaStream { stream, is_relayed } = dialed.await?;
    let head_limit = HeadLimit::default();
    let stream = HeadLimitedStream::new(stream, head_limit.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectError::Unreachable)?;
    let task = tokio::spawn(async move {
        // Errors are reported by the exchange that uses the connection.
        let _ = connection.await;
    });
    let connection = Connection {
        sender,
        task: task.abort_handle(),
        head_limit,
        open: counted.into_counter(),
        idle_limit: IdleLimit::DEFAULT,
        is_relayed,
        is_incarnation_confirmed: false,
    };
    Ok((connection, task))
}

/// Counts a connection while it is being established, even if the future is dropped.
struct OpenGuard(Option<Arc<AtomicU32>>);

impl OpenGuard {
    fn into_counter(mut self) -> Arc<AtomicU32> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
