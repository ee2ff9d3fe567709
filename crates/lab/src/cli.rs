//! Command line of `railtack-lab`.

use std::{ffi::OsString, ops::Range, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};

use crate::{
    LabError, demo,
    experiment::{
        self,
        command::{ExperimentOptions, Variation},
        replay, trace,
    },
    fault::{self, FaultCase},
    fleet::{FleetKind, FleetShape},
    scale::{self, Slope},
    simulate::{self, Mutant, Scenario, command::SimulateOptions},
    soak::{self, command::SoakOptions},
};

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
        .subcommand(simulate_command())
        .subcommand(
            fleet_command(
                "fault",
                "Break real processes under load and check what is promised",
            )
            .arg(
                Arg::new("case")
                    .value_parser(value_parser!(FaultCase))
                    .help("Which run; all, one after another, if absent"),
            ),
        )
        .subcommand(soak_command())
        .subcommand(experiment_command())
        .subcommand(
            Command::new("replay")
                .about("Replay a trace in virtual time and check stated outcomes")
                .arg(path_argument("trace", "TRACE", "Requests, one JSON object a line").index(1))
                .arg(
                    path_argument("expect", "OUTCOMES", "Conditions and outcomes (TOML)")
                        .long("expect"),
                ),
        )
        .subcommand(
            Command::new("draw-trace")
                .about("Write a drawn workload as a trace")
                .arg(
                    Arg::new("fleet")
                        .long("fleet")
                        .value_parser(value_parser!(FleetKind))
                        .default_value("brasov"),
                )
                .arg(
                    Arg::new("variation")
                        .long("variation")
                        .value_parser(value_parser!(Variation))
                        .default_value("ordinary"),
                )
                .arg(seed_argument())
                .arg(number_argument("rate", "30", "Requests per second"))
                .arg(number_argument("seconds", "15", "Length"))
                .arg(path_argument("output", "TRACE", "Where to write").long("output")),
        )
        .subcommand(
            Command::new("scale")
                .about("Measure how costs grow with size, for docs/CAPACITY.md")
                .arg(
                    Arg::new("slope")
                        .value_parser(value_parser!(Slope))
                        .help("Which slope; all if absent"),
                ),
        )
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
        .arg(seed_argument())
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Where settings, logs and data go; a new temporary folder if absent"),
        )
}

fn simulate_command() -> Command {
    Command::new("simulate")
        .about("Run the system in virtual time under faults and check its promises")
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("FIRST..END")
                .value_parser(parse_range)
                .default_value("0..100")
                .help("Seeds to run; the end is not included"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_parser(value_parser!(Scenario))
                .help("What to simulate; everything if absent"),
        )
        .arg(
            Arg::new("mutant")
                .long("mutant")
                .value_parser(value_parser!(Mutant))
                .help("Leave one mechanism out"),
        )
        .arg(
            Arg::new("mutants")
                .long("mutants")
                .action(ArgAction::SetTrue)
                .help("Leave each mechanism out in turn; fail if one is not missed"),
        )
}

fn soak_command() -> Command {
    Command::new("soak")
        .about("Break real processes at random under load and check what is promised")
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("FIRST..END")
                .value_parser(parse_range)
                .default_value("1..2")
                .help("Seeds to run, each on a fleet of its own; the end is not included"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(2..=86_400))
                .default_value("10")
                .help("Length of each run, without start and end"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Where the logs of seeds that fail are kept; a temporary folder if absent"),
        )
        .arg(
            Arg::new("former")
                .long("former")
                .value_name("PATH")
                .value_parser(value_parser!(PathBuf))
                .help("The lab of a former build, with which the fleets begin; what is started again is replaced"),
        )
        .arg(count_argument("routers", 1, 100, "Routers of each fleet"))
        .arg(count_argument("control", 1, 7, "Control replicas of each fleet"))
        .arg(count_argument("engines", 1, 150, "Engines of each fleet"))
}

/// An optional number of processes within limits.
fn count_argument(name: &'static str, least: i64, most: i64, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u32).range(least..=most))
        .help(help)
}

fn soak_shape(matches: &ArgMatches) -> FleetShape {
    let shape = FleetShape::demonstration(FleetKind::Brasov);
    let count = |name: &str, default: u32| matches.get_one(name).copied().unwrap_or(default);
    FleetShape {
        routers: count("routers", shape.routers),
        control: count("control", shape.control),
        engines: count("engines", shape.engines),
        ..shape
    }
}

fn soak_options(matches: &ArgMatches) -> SoakOptions {
    SoakOptions {
        shape: soak_shape(matches),
        seeds: matches
            .get_one::<Range<u64>>("seeds")
            .cloned()
            .unwrap_or_default(),
        length: Duration::from_secs(matches.get_one("seconds").copied().unwrap_or_default()),
        log_folder: matches.get_one::<PathBuf>("keep").cloned(),
        previous_build: matches.get_one::<PathBuf>("former").cloned(),
    }
}

fn path_argument(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn number_argument(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(f64))
        .default_value(default)
        .help(help)
}

fn path_value(matches: &ArgMatches, name: &str) -> PathBuf {
    matches
        .get_one::<PathBuf>(name)
        .cloned()
        .unwrap_or_default()
}

fn draw_trace(matches: &ArgMatches) -> Result<(), Report<LabError>> {
    let number = |name| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let kind = matches.get_one::<FleetKind>("fleet").copied();
    let variation = matches.get_one::<Variation>("variation").copied();
    let (workload, _) = variation.unwrap_or(Variation::Ordinary).setup(
        kind.unwrap_or(FleetKind::Brasov),
        number("rate"),
        number("seconds"),
    );
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    trace::write(&path_value(matches, "output"), &workload.draw(seed))
}

fn experiment_command() -> Command {
    Command::new("experiment")
        .about("Compare routing policies on one workload in virtual time")
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_parser(value_parser!(FleetKind))
                .help("Whose workload; both if absent"),
        )
        .arg(
            Arg::new("variation")
                .long("variation")
                .value_parser(value_parser!(Variation))
                .help("What is varied; everything if absent"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("FIRST..END")
                .value_parser(parse_range)
                .default_value("0..10")
                .help("Seeds to run; the end is not included"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Where JSON and plots go"),
        )
}

fn experiment_options(matches: &ArgMatches) -> ExperimentOptions {
    ExperimentOptions {
        kind: matches.get_one::<FleetKind>("fleet").copied(),
        variation: matches.get_one::<Variation>("variation").copied(),
        seeds: matches
            .get_one::<Range<u64>>("seeds")
            .cloned()
            .unwrap_or_default(),
        output: matches.get_one::<PathBuf>("output").cloned(),
    }
}

/// Error for a range of seeds that is malformed or empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected FIRST..END with FIRST below END")]
pub struct RangeError;

fn parse_range(text: &str) -> Result<Range<u64>, RangeError> {
    let (first, end) = text.split_once("..").ok_or(RangeError)?;
    let first = first.parse().map_err(|_| RangeError)?;
    let end = end.parse().map_err(|_| RangeError)?;
    if first < end {
        Ok(first..end)
    } else {
        Err(RangeError)
    }
}

fn simulate_options(matches: &ArgMatches) -> SimulateOptions {
    SimulateOptions {
        seeds: matches
            .get_one::<Range<u64>>("seeds")
            .cloned()
            .unwrap_or_default(),
        scenario: matches.get_one::<Scenario>("scenario").copied(),
        mutant: matches.get_one::<Mutant>("mutant").copied(),
        all_mutants: matches.get_flag("mutants"),
    }
}

fn seed_argument() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of everything drawn at random")
}

/// Runs the program. The first argument is its name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = command().get_matches_from(arguments);
    if let Some(("process", matches)) = matches.subcommand() {
        return run_process(matches);
    }
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
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
        Some(("demo", matches)) => block_on(demo::run(fleet_options(matches))),
        Some(("up", matches)) => block_on(demo::up(fleet_options(matches))),
        Some(("fault", matches)) => {
            let case = matches.get_one::<FaultCase>("case").copied();
            block_on(fault::command::run(case, fleet_options(matches)))
        }
        Some(("soak", matches)) => block_on(soak::command::run(soak_options(matches))),
        Some(("scale", matches)) => {
            let slope = matches.get_one::<Slope>("slope").copied();
            block_on(scale::command::run(slope))
        }
        Some(("replay", matches)) => replay::command(
            &path_value(matches, "trace"),
            &path_value(matches, "expect"),
        ),
        Some(("draw-trace", matches)) => draw_trace(matches),
        Some(("experiment", matches)) => experiment::command::compare(&experiment_options(matches)),
        Some(("simulate", matches)) => simulate::command::run(&simulate_options(matches)),
        _ => Ok(()),
    }
}

fn block_on(
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
