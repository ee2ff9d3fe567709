//! Connection pool of one replica.

use std::{io::ErrorKind, net::SocketAddr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use railtack_proxy::pool::{Pool, PortState};
use tokio::{io::AsyncReadExt, net::TcpListener};

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

/// Guards against abandoned retries that reach a replica seconds later, all at once: closed in the ordinary way, a
/// connection delivers what the kernel still holds for a partitioned replica.
#[tokio::test]
async fn an_abandoned_request_is_reset() {
    let (listener, address) = listener().await;
    let pool = Pool::default();
    let mut connection = pool.acquire(address, 1, true).await.expect("a connection");
    let (mut replica, _) = listener.accept().await.expect("a connection");
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let response = tokio::spawn(connection.sender.send_request(request));
    replica.readable().await.expect("a request");
    response.abort();
    drop(connection);
    let mut received = Vec::new();
    let end = replica.read_to_end(&mut received).await;
    let reset = end.expect_err("the connection was closed in the ordinary way");
    assert_eq!(reset.kind(), ErrorKind::ConnectionReset);
}
