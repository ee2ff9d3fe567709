//! Command line of `railtack-control`.

use std::{ffi::OsString, process::ExitCode};

use crate::{ControlError, server};
use clap::Command;
use error_stack::{Report, ResultExt};
use railtack_http::signals::cancel_on_terminate;
use railtack_settings::{ControlSettings, daemon};
use tokio_util::sync::CancellationToken;

fn command() -> Command {
    daemon::command(
        "railtack-control",
        "One replica of railtack's control state",
        env!("CARGO_PKG_VERSION"),
    )
    .subcommand(
        Command::new("initialize")
            .about("Make the empty data folder the first replica of a new cluster, and exit"),
    )
}

/// Runs the program. The first argument is the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    railtack_telemetry::initialize();
    let outcome = start(arguments);
    spdlog::default_logger().flush();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Report<ControlError>> {
    let matches = command().get_matches_from(arguments);
    let settings: ControlSettings =
        daemon::settings(&matches).change_context(ControlError::Settings)?;
    if daemon::is_check(&matches) {
        return Ok(());
    }
    if matches.subcommand_matches("initialize").is_some() {
        return server::initialize(&settings);
    }
    railtack_telemetry::set_node(&format!("control-{}", settings.replica_id));
    let runtime = tokio::runtime::Runtime::new().change_context(ControlError::Stopped)?;
    runtime.block_on(async {
        let shutdown = CancellationToken::new();
        tokio::spawn(cancel_on_terminate(shutdown.clone()));
        server::run(settings, shutdown).await
    })
}
