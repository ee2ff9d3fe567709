//! Proof that a replica has crashed.

use tokio::time::Instant;

use super::{CLOSE_TIMEOUT, CrashCheckHost, CrashProof};
use crate::{port_probe::PortProbe, state::lock};

/// Looks for proof that a replica crashed whose connection broke at `broken_at`.
pub(super) async fn find_proof<H: CrashCheckHost>(
    host: &H,
    replica: &H::Replica,
    broken_at: Instant,
) -> Option<CrashProof> {
    let checks = host.crash_checks();
    let mut port = PortProbe::new(H::address(replica)?, host.source_address());
    let refuses = port.refuses(broken_at + H::BLOCKING_CLOSE_TIMEOUT).await;
    if refuses && is_refusal_proof(host, replica).await {
        return Some(CrashProof::PortRefuses);
    }
    lock(&checks.tracker).stop_blocking(H::id(replica));
    checks.progress.notify_waiters();
    let port_refuses = async move {
        let refuses = port.refuses(broken_at + CLOSE_TIMEOUT).await;
        if let Some(connection) = port.into_connection() {
            host.adopt_connection(replica, connection);
        }
        refuses && is_refusal_proof(host, replica).await
    };
    tokio::select! {
        biased;
        true = port_refuses => Some(CrashProof::PortRefuses),
        is_succeeded = host.wait_for_successor(replica, broken_at) => {
            is_succeeded.then_some(CrashProof::Succeeded)
        }
    }
}

/// Whether the port refuses others than this router too.
async fn is_refusal_proof<H: CrashCheckHost>(host: &H, replica: &H::Replica) -> bool {
    let (is_witness, is_reached_elsewhere) =
        tokio::join!(host.is_witness(replica), host.is_reached_elsewhere(replica));
    is_witness && !is_reached_elsewhere
}
