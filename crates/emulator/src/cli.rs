//! Command line of `railtack-emulator`.

use std::{ffi::OsString, net::SocketAddr, process::ExitCode, time::Duration};

use crate::{
    EmulatorError, engine_server::EngineServer, platform_server::PlatformServer,
    service_server::ServiceServer,
};
use clap::{Arg, Command, value_parser};
use error_stack::{Report, ResultExt};
use railtack_http::{ServeOptions, serve, signals::cancel_on_terminate};
use railtack_settings::{
    daemon,
    emulator::{EmulatorRole, EmulatorSettings},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

fn command() -> Command {
    daemon::command(
        "railtack-emulator",
        "A stand-in for an engine, a service or the platform",
        env!("CARGO_PKG_VERSION"),
    )
    .arg(
        Arg::new("platform")
            .long("platform")
            .value_name("ADDRESS")
            .value_parser(value_parser!(SocketAddr))
            .help("The platform, from whose weight store an engine reads"),
    )
}

/// Runs the program. The first argument is the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    railtack_telemetry::initialize();
    match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Report<EmulatorError>> {
    let matches = command().get_matches_from(arguments);
    let settings: EmulatorSettings =
        daemon::settings(&matches).change_context(EmulatorError::Settings)?;
    if daemon::is_check(&matches) {
        return Ok(());
    }
    let platform = matches.get_one::<SocketAddr>("platform").copied();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .change_context(EmulatorError::Runtime)?;
    runtime.block_on(serve_role(settings, platform))
}

async fn serve_role(
    settings: EmulatorSettings,
    platform: Option<SocketAddr>,
) -> Result<(), Report<EmulatorError>> {
    let address = settings.listen;
    let listener = TcpListener::bind(address)
        .await
        .change_context(EmulatorError::Listen { address })?;
    let shutdown = CancellationToken::new();
    tokio::spawn(cancel_on_terminate(shutdown.clone()));
    let options = ServeOptions::default();
    match settings.role {
        EmulatorRole::Engine(engine) => {
            let engine = EngineServer::new(engine, platform);
            tokio::spawn(engine.clone().run());
            tokio::spawn(drain_on_shutdown(shutdown.clone(), engine.clone()));
            let handler = move |request| engine.clone().handle(request);
            serve(listener, options, shutdown, handler).await;
        }
        EmulatorRole::Service { service, answer_ms } => {
            let service = ServiceServer::new(service, Duration::from_millis(answer_ms));
            let handler = move |request| service.clone().handle(request);
            serve(listener, options, shutdown, handler).await;
        }
        EmulatorRole::Platform {
            lag_ms,
            weight_bytes_per_second,
        } => {
            let platform =
                PlatformServer::new(Duration::from_millis(lag_ms), weight_bytes_per_second);
            let handler = move |request| platform.clone().handle(request);
            serve(listener, options, shutdown, handler).await;
        }
    }
    Ok(())
}

/// Drains the engine on shutdown: it refuses new requests and completes the running ones.
async fn drain_on_shutdown(shutdown: CancellationToken, engine: EngineServer) {
    shutdown.cancelled().await;
    engine.begin_drain();
}
