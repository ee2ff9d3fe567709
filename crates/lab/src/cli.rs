//! Command line of `railtack-lab`.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};

use crate::{LabError, demo, fleet::FleetKind};

fn command() -> Command {
    Command::new("railtack-lab")
        .about("A whole fleet on one machine: load, faults, simulation, experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(fleet_command(
            "demo",
            "Start a fleet, put load on it, and check every answer",
        ))
        .subcommand(fleet_command("up", "Start a fleet and keep it running"))
        .subcommand(
            Command::new("process")
                .about("Run one program of a fleet")
                .hide(true)
                .arg(Arg::new("program").required(true))
                .arg(
                    Arg::new("arguments")
                        .num_args(0..)
                        .trailing_var_arg(true)
                        .allow_hyphen_values(true)
                        .value_parser(value_parser!(OsString)),
                ),
        )
}

fn fleet_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_parser(value_parser!(FleetKind))
                .default_value("brasov")
                .help("Whose fleet to imitate"),
        )
        .arg(seed())
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Where settings, logs and data go; a new temporary folder if absent"),
        )
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of everything drawn at random")
}

/// Runs the program with the given arguments, the first of which is its name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = command().get_matches_from(arguments);
    if let Some(("process", matches)) = matches.subcommand() {
        return run_process(matches);
    }
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run_process(matches: &ArgMatches) -> ExitCode {
    let program = matches
        .get_one::<String>("program")
        .map_or("", String::as_str);
    let rest = matches
        .get_many::<OsString>("arguments")
        .unwrap_or_default()
        .cloned();
    let arguments = std::iter::once(OsString::from(program)).chain(rest);
    match program {
        "router" => railtack_router::cli::run(arguments),
        "control" => railtack_control::cli::run(arguments),
        "emulator" => railtack_emulator::cli::run(arguments),
        "ctl" => railtack_ctl::cli::run(arguments),
        _ => ExitCode::FAILURE,
    }
}

fn dispatch(matches: &ArgMatches) -> Result<(), Report<LabError>> {
    match matches.subcommand() {
        Some(("demo", matches)) => asynchronous(demo::run(fleet_options(matches))),
        Some(("up", matches)) => asynchronous(demo::up(fleet_options(matches))),
        _ => Ok(()),
    }
}

fn asynchronous(
    work: impl Future<Output = Result<(), Report<LabError>>>,
) -> Result<(), Report<LabError>> {
    let runtime = tokio::runtime::Runtime::new().change_context(LabError::Runtime)?;
    runtime.block_on(work)
}

fn fleet_options(matches: &ArgMatches) -> demo::FleetOptions {
    let kind = matches.get_one::<FleetKind>("fleet").copied();
    demo::FleetOptions {
        kind: kind.unwrap_or(FleetKind::Brasov),
        seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
        folder: matches.get_one::<PathBuf>("data").cloned(),
    }
}
