//! Command line of `railtack-router`.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use crate::{RouterError, server::Router};
use clap::{Arg, ArgAction, Command, value_parser};
use error_stack::{Report, ResultExt};
use railtack_settings::{RouterSettings, load_settings, logging, overrides};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

fn command() -> Command {
    Command::new("railtack-router")
        .about("Routes model traffic to engines")
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
}

/// Runs the program with the given arguments, the first of which is its name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    logging::initialize();
    match start(arguments) {
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
    let file = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let settings: RouterSettings =
        load_settings(&file, &overrides::given(&matches)).change_context(RouterError::Settings)?;
    if matches.get_flag("check") {
        return Ok(true);
    }
    let runtime = tokio::runtime::Runtime::new().change_context(RouterError::Runtime)?;
    runtime.block_on(async {
        let router = Router::bind(settings).await?;
        let listen = router.address().map(|address| address.to_string());
        spdlog::info!("started", kv: { listen = listen.unwrap_or_default() });
        let shutdown = CancellationToken::new();
        tokio::spawn(stop_on_signal(shutdown.clone()));
        Ok(router.run(shutdown).await)
    })
}

async fn stop_on_signal(shutdown: CancellationToken) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    terminate.recv().await;
    spdlog::info!("stopping");
    shutdown.cancel();
}
