//! Planned stops by signal.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Calls `reload` whenever SIGHUP arrives, for as long as the process runs.
pub async fn reload_on_hangup(reload: impl Fn()) {
    // Without a handler the signal ends the process, which is its default.
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        spdlog::info!("reloading");
        reload();
    }
}

/// Cancels a token when SIGTERM arrives.
pub async fn cancel_on_terminate(shutdown: CancellationToken) {
    // Without a handler the signal ends the process at once, which is its default.
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    terminate.recv().await;
    spdlog::info!("stopping");
    shutdown.cancel();
}
