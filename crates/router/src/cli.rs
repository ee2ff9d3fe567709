//! Command line of `railtack-router`.

use std::{ffi::OsString, process::ExitCode};

use crate::{RouterError, server::Router};
use clap::Command;
use error_stack::{Report, ResultExt};
use railtack_http::signals::cancel_on_terminate;
use railtack_settings::{RouterSettings, daemon};
use tokio_util::sync::CancellationToken;

fn command() -> Command {
    daemon::command(
        "railtack-router",
        "Routes model traffic to engines",
        env!("CARGO_PKG_VERSION"),
    )
}

/// Runs the daemon with the given arguments, including the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    railtack_telemetry::initialize();
    let outcome = start(arguments);
    spdlog::default_logger().flush();
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            spdlog::warn!("stopped with requests still open");
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: impl IntoIterator<Item = OsString>) -> Result<bool, Report<RouterError>> {
    let matches = command().get_matches_from(arguments);
    let settings: RouterSettings =
        daemon::settings(&matches).change_context(RouterError::Settings)?;
    if daemon::is_check(&matches) {
        return Ok(true);
    }
    railtack_telemetry::set_node(&format!("router-{}", settings.router_id.0));
    let runtime = tokio::runtime::Runtime::new().change_context(RouterError::Runtime)?;
    runtime.block_on(async {
        let shutdown = CancellationToken::new();
        tokio::spawn(cancel_on_terminate(shutdown.clone()));
        let Some(bound) = shutdown.run_until_cancelled(Router::bind(settings)).await else {
            return Ok(true);
        };
        let router = bound?;
        let listen = router.address().map(|address| address.to_string());
        spdlog::info!("started", kv: { listen = listen.unwrap_or_default() });
        Ok(router.run(shutdown).await)
    })
}
