//! Opens TCP connections to replicas.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a connection with unacknowledged data is considered broken.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Reason why a connection was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// Nothing listens on the port.
    Refused,
    /// The address cannot be reached.
    Unreachable,
}

/// Connects to `address`, from `source` if one is given.
pub async fn dial(address: SocketAddr, source: Option<IpAddr>) -> Result<TcpStream, DialError> {
    let stream = timeout(CONNECT_TIMEOUT, connect(address, source))
        .await
        .map_err(|_| DialError::Unreachable)?
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => DialError::Refused,
            _ => DialError::Unreachable,
        })?;
    set_options(&stream).map_err(|_| DialError::Unreachable)?;
    Ok(stream)
}

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.bind((source, 0).into())?;
    socket.connect(address).await
}

/// Sets the options of a connection between routers and replicas.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // A closed connection is reset, so that nothing of an abandoned request is delivered later.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME);
    socket.set_tcp_keepalive(&keepalive)
}
