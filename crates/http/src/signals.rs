//! Planned stops by signal.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

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
