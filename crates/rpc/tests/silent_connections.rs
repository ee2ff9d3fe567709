//! A connection that falls silent for good, without a reset, while new ones work.

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

/// A peer that accepts connections and never answers on any; counts them.
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
async fn a_call_after_one_without_an_answer_goes_over_a_new_connection() {
    let (address, accepted) = silent_peer().await;
    let connection = ControlConnection::new(address, LIMIT);
    for call in 1..=3 {
        let answer = connection
            .call(|client| async move { client.identify(call_context(LIMIT)).await })
            .await;
        assert!(answer.is_err());
        assert_eq!(accepted.load(Ordering::SeqCst), call);
    }
}
