//! Check whether the port of a back end closes.

use std::{net::SocketAddr, time::Duration};

use railtack_proxy::port_probe::PortProbe;
use tokio::{net::TcpListener, time::Instant};

const TIME_LIMIT: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn port_closes_within(address: SocketAddr, time_limit: Duration) -> bool {
    PortProbe::new(address, None)
        .refuses(Instant::now() + time_limit)
        .await
}

/// An exiting process still accepts a connection while it closes its others.
#[tokio::test]
async fn a_port_that_closes_after_a_connection_was_accepted_is_closed() {
    let (listener, address) = listen().await;
    let check = tokio::spawn(port_closes_within(address, TIME_LIMIT));
    let accepted = listener.accept().await.expect("a connection");
    drop(listener);
    drop(accepted);
    assert!(check.await.expect("a result"));
}

#[tokio::test]
async fn a_port_that_refuses_connections_is_closed() {
    let (listener, address) = listen().await;
    drop(listener);
    assert!(port_closes_within(address, TIME_LIMIT).await);
}

#[tokio::test]
async fn a_port_that_stays_open_is_not_closed() {
    let (_listener, address) = listen().await;
    assert!(!port_closes_within(address, Duration::from_millis(50)).await);
}
