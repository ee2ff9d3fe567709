//! Connections to one replica.
//!
//! A connection serves one request at a time. It goes back into the pool only after a whole answer
//! that belongs to the request; dropped in any other state, it is closed at once, which also makes
//! the replica stop working on the request.

use std::{
    io,
    net::SocketAddr,
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
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::{AbortHandle, JoinHandle},
    time::{Instant, timeout},
};

use crate::idle_limit::Rest;

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a connection with unacknowledged bytes counts as broken.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a silent connection is probed, and between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// The limit of open connections is reached.
    Limit,
    /// Nobody listens at the replica's address.
    Refused,
    /// The replica cannot be reached.
    Unreachable,
}

/// What a look at a replica's port shows.
#[derive(Debug)]
pub enum PortState {
    /// Nobody listens there.
    Refuses,
    /// Somebody does.
    Open(OpenPort),
    /// It cannot be told.
    Untold,
}

/// A connection that shows whether a port stays open. No request is sent over it meanwhile: one that may
/// not be repeated would be lost with a replica that is just ending. Nor does it count against the limit of
/// connections, which is one where routers are hundreds: a replica that lives would get no request from this
/// router for up to a second.
#[derive(Debug)]
pub struct OpenPort {
    connection: Connection,
    task: JoinHandle<()>,
}

impl OpenPort {
    /// Ends when the other side closes the connection.
    pub async fn closed(&mut self) {
        // How the connection ended makes no difference.
        let _ = (&mut self.task).await;
    }
}

/// Connections to one replica that rest.
#[derive(Debug, Default)]
pub struct Pool {
    resting: Mutex<Vec<Resting>>,
    open: Arc<AtomicU32>,
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Instant,
}

/// One connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// Sends a request over it.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    open: Arc<AtomicU32>,
    rest: Rest,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// Takes in what the head of an answer says of the connection; false if it is not to be used
    /// again.
    pub fn note_head(&mut self, headers: &HeaderMap, trusts_stated_rest: bool) -> bool {
        if let Some(stated) = Rest::stated(headers) {
            self.rest = if trusts_stated_rest {
                stated
            } else {
                stated.not_trusted_alone()
            };
        }
        let closes = headers
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        !closes
    }
}

impl Pool {
    /// Open connections, resting or in use.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether a request would get a connection.
    pub fn has_room(&self, limit: u32) -> bool {
        self.open_connections() < limit || !self.resting().is_empty()
    }

    /// A connection: a resting one, or a new one if fewer than `limit` are open. A request that
    /// must not be lost (`must_not_be_lost`) is not sent over one that the replica may just be
    /// closing.
    pub async fn take(
        &self,
        address: SocketAddr,
        limit: u32,
        must_not_be_lost: bool,
    ) -> Result<Connection, NoConnection> {
        if let Some(connection) = self.take_resting(must_not_be_lost) {
            return Ok(connection);
        }
        if self.open_connections() >= limit {
            return Err(NoConnection::Limit);
        }
        let (connection, _) = connect(address, &self.open).await?;
        Ok(connection)
    }

    /// Whether somebody listens at the replica's port.
    pub async fn look_at_port(&self, address: SocketAddr) -> PortState {
        let uncounted = Arc::default();
        match connect(address, &uncounted).await {
            Ok((connection, task)) => PortState::Open(OpenPort { connection, task }),
            Err(NoConnection::Refused) => PortState::Refuses,
            Err(NoConnection::Limit | NoConnection::Unreachable) => PortState::Untold,
        }
    }

    /// Keeps a watched connection for requests if fewer than `limit` are open.
    pub fn keep_watched(&self, watched: OpenPort, limit: u32) {
        if self.open_connections() >= limit {
            return;
        }
        let mut connection = watched.connection;
        self.open.fetch_add(1, Ordering::Relaxed);
        let uncounted = std::mem::replace(&mut connection.open, Arc::clone(&self.open));
        uncounted.fetch_sub(1, Ordering::Relaxed);
        self.put_back(connection);
    }

    /// Takes a connection back after a whole answer.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        self.resting().push(Resting {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes connections that have rested for too long.
    pub fn close_old(&self) {
        self.resting()
            .retain(|resting| resting.is_usable(resting.connection.rest.limit(false)));
    }

    fn take_resting(&self, must_not_be_lost: bool) -> Option<Connection> {
        let mut resting = self.resting();
        while let Some(newest) = resting.pop() {
            let rest = newest.connection.rest;
            if newest.is_usable(rest.limit(must_not_be_lost)) {
                return Some(newest.connection);
            }
            if must_not_be_lost && newest.is_usable(rest.limit(false)) {
                // Still good for others.
                resting.push(newest);
                return None;
            }
        }
        None
    }

    fn resting(&self) -> MutexGuard<'_, Vec<Resting>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Resting {
    fn is_usable(&self, rest: Duration) -> bool {
        !self.connection.sender.is_closed() && self.since.elapsed() < rest
    }
}

/// A new connection, and a handle that is done once that is closed. It counts in `open`.
async fn connect(
    address: SocketAddr,
    open: &Arc<AtomicU32>,
) -> Result<(Connection, JoinHandle<()>), NoConnection> {
    open.fetch_add(1, Ordering::Relaxed);
    let counted = OpenCount(Some(Arc::clone(open)));
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| NoConnection::Unreachable)?
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => NoConnection::Refused,
            _ => NoConnection::Unreachable,
        })?;
    set_options(&stream).map_err(|_| NoConnection::Unreachable)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| NoConnection::Unreachable)?;
    let task = tokio::spawn(async move {
        // How it ended shows in the exchange that used it.
        let _ = connection.await;
    });
    let connection = Connection {
        sender,
        task: task.abort_handle(),
        open: counted.handed_on(),
        rest: Rest::UNSTATED,
    };
    Ok((connection, task))
}

/// Counts a connection that is being made, also if its maker is dropped.
struct OpenCount(Option<Arc<AtomicU32>>);

impl OpenCount {
    fn handed_on(mut self) -> Arc<AtomicU32> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME);
    socket.set_tcp_keepalive(&keepalive)
}
