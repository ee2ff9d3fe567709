//! Connection pool of one replica.

use std::net::SocketAddr;

use railtack_proxy::pool::{Pool, PortState};
use tokio::net::TcpListener;

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// In a large fleet a router may open one connection per replica. Guards against a probe blocking
/// requests to a live replica.
#[tokio::test]
async fn a_port_probe_does_not_count_against_the_connection_limit() {
    let (_listener, address) = listener().await;
    let pool = Pool::default();
    let PortState::Open(probe) = pool.probe_port(address).await else {
        panic!("the port is closed");
    };
    assert!(pool.has_capacity(1), "the probe is not counted");
    let acquired = pool.acquire(address, 1, true).await.expect("a connection");
    assert_eq!(pool.open_connections(), 1);
    // The limit was reached in the meantime, so the probe connection is closed.
    pool.adopt(probe, 1);
    assert_eq!(pool.open_connections(), 1);
    drop(acquired);
    assert_eq!(pool.open_connections(), 0);
    let PortState::Open(probe) = pool.probe_port(address).await else {
        panic!("the port is closed");
    };
    pool.adopt(probe, 1);
    assert_eq!(pool.open_connections(), 1);
    assert!(pool.has_capacity(1), "the connection is idle");
}

#[tokio::test]
async fn a_probe_of_a_closed_port_is_refused() {
    let (listener, address) = listener().await;
    drop(listener);
    let state = Pool::default().probe_port(address).await;
    assert!(matches!(state, PortState::Refused), "{state:?}");
}
