//! Tests that a connection on which a call got no response is not reused.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use railtack_rpc::{ControlConnection, call_context};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_millis(100);

/// Starts a peer that accepts and counts connections, but never responds.
async fn silent_peer() -> (std::net::SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let accepted = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&accepted);
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            kept.push(stream);
        }
    });
    (address, accepted)
}

#[tokio::test]
async fn a_call_without_response_is_followed_by_a_new_connection() {
    let (address, accepted) = silent_peer().await;
    let connection = ControlConnection::new(address, LIMIT);
    for call in 1..=3 {
        let response = connection
            .call(|client| async move { client.identify(call_context(LIMIT)).await })
            .await;
        assert!(response.is_err());
        assert_eq!(accepted.load(Ordering::SeqCst), call);
    }
}
