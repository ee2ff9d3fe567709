//! Command line of `railtack-control`.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use crate::{ControlError, server};
use clap::{Arg, ArgAction, Command, value_parser};
use error_stack::{Report, ResultExt};
use railtack_settings::{ControlSettings, load_settings, logging, overrides};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

fn command() -> Command {
    Command::new("railtack-control")
        .about("One replica of railtack's control state")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML)"),
        )
        .arg(overrides::argument())
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .subcommand(
            Command::new("initialize")
                .about("Make the empty data folder the first replica of a new cluster, and exit"),
        )
}

/// Runs the program with the given arguments, the first of which is its name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    logging::initialize();
    match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Report<ControlError>> {
    let matches = command().get_matches_from(arguments);
    let file = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let settings: ControlSettings =
        load_settings(&file, &overrides::given(&matches)).change_context(ControlError::Settings)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    if matches.subcommand_matches("initialize").is_some() {
        return server::initialize(&settings);
    }
    let runtime = tokio::runtime::Runtime::new().change_context(ControlError::Stopped)?;
    runtime.block_on(async {
        let shutdown = CancellationToken::new();
        tokio::spawn(stop_on_signal(shutdown.clone()));
        server::run(settings, shutdown).await
    })
}

async fn stop_on_signal(shutdown: CancellationToken) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    terminate.recv().await;
    shutdown.cancel();
}
