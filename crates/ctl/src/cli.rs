//! Command line of `railtackctl`.

use std::{ffi::OsString, net::SocketAddr, process::ExitCode};

use clap::ArgMatches;
use error_stack::{Report, ResultExt};

use crate::{
    arguments,
    client::ControlClient,
    commands,
    documents::{self, DocumentKind},
    errors::CtlError,
    output::OutputFormat,
    quarantine,
};

/// Runs the program. The first argument is the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = arguments::command().get_matches_from(arguments);
    if let Err(error) = arguments::validate(&matches) {
        error.exit();
    }
    match start(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let error = report.current_context();
            eprintln!("railtackctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn start(matches: &ArgMatches) -> Result<(), Report<CtlError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(CtlError::Runtime)?;
    runtime.block_on(dispatch(matches))
}

async fn dispatch(matches: &ArgMatches) -> Result<(), Report<CtlError>> {
    let addresses = matches
        .get_many::<SocketAddr>("control")
        .unwrap_or_default();
    let client = ControlClient::new(addresses.copied());
    let is_json = matches
        .get_one::<String>("output")
        .is_some_and(|format| format == "json");
    let format = if is_json {
        OutputFormat::Json
    } else {
        OutputFormat::Table
    };
    match matches.subcommand() {
        Some(("template", matches)) => {
            documents::run(&client, format, DocumentKind::Template, matches).await
        }
        Some(("tenant", matches)) => {
            documents::run(&client, format, DocumentKind::Tenant, matches).await
        }
        Some(("model", matches)) => {
            documents::run(&client, format, DocumentKind::Model, matches).await
        }
        Some(("status", _)) => commands::status(&client, format).await,
        Some(("members", matches)) => commands::members(&client, format, matches).await,
        Some(("engines", matches)) => commands::engines(&client, format, matches).await,
        Some(("drain", matches)) => commands::drain(&client, matches).await,
        Some(("quarantine", matches)) => quarantine::run(&client, format, matches).await,
        Some(("explain", matches)) => commands::explain(format, matches).await,
        Some(("outcomes", matches)) => commands::outcomes(format, matches),
        Some(("snapshot", _)) => commands::snapshot(&client, format).await,
        _ => Ok(()),
    }
}
