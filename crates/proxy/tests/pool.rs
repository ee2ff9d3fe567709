//! Connections to one replica.

use std::net::SocketAddr;

use railtack_proxy::pool::{Pool, PortState};
use tokio::net::TcpListener;

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// With hundreds of routers before a replica each may open one connection to it. While that one is watched to
/// see whether the replica has ended, requests were not sent there for up to a second.
#[tokio::test]
async fn a_port_that_is_watched_takes_no_connection_from_requests() {
    let (_listener, address) = listener().await;
    let pool = Pool::default();
    let PortState::Open(probe) = pool.probe_port(address).await else {
        panic!("somebody listens");
    };
    assert!(pool.has_capacity(1), "the only connection is left");
    let taken = pool.acquire(address, 1, true).await.expect("a connection");
    assert_eq!(pool.open_connections(), 1);
    // Others took the last one meanwhile: the watched one is closed.
    pool.adopt(probe, 1);
    assert_eq!(pool.open_connections(), 1);
    drop(taken);
    assert_eq!(pool.open_connections(), 0);
    let PortState::Open(probe) = pool.probe_port(address).await else {
        panic!("somebody listens");
    };
    pool.adopt(probe, 1);
    assert_eq!(pool.open_connections(), 1);
    assert!(pool.has_capacity(1), "it rests");
}

#[tokio::test]
async fn a_port_that_nobody_listens_at_refuses() {
    let (listener, address) = listener().await;
    drop(listener);
    let look = Pool::default().probe_port(address).await;
    assert!(matches!(look, PortState::Refused), "{look:?}");
}
