//! Handlers for SIGHUP and SIGTERM.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Calls `reload` on each SIGHUP, indefinitely.
pub async fn reload_on_hangup(reload: impl Fn()) {
    // If no handler can be installed, the signal terminates the process by default.
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        spdlog::info!("reloading");
        reload();
    }
}

/// Cancels `shutdown` on SIGTERM.
pub async fn cancel_on_terminate(shutdown: CancellationToken) {
    // If no handler can be installed, the signal terminates the process by default.
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    terminate.recv().await;
    spdlog::info!("stopping");
    shutdown.cancel();
}
