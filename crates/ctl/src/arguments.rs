//! Definition of the command line's subcommands and arguments.

use std::{net::SocketAddr, path::PathBuf};

use railtack_serving::ContentKey;

use clap::{Arg, ArgAction, ArgMatches, Command, error::ErrorKind, value_parser};

/// Returns the definition of all subcommands and arguments.
pub fn command() -> Command {
    Command::new("railtackctl")
        .about("Operates railtack")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS,...")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .help("Internal addresses of control replicas; needed by all commands but explain and outcomes"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("How to print"),
        )
        .subcommand(document_command("template", "Templates"))
        .subcommand(document_command("tenant", "Tenants"))
        .subcommand(document_command("model", "Weights wanted for each model"))
        .subcommand(Command::new("status").about("State of the control replicas and routers"))
        .subcommand(members_command())
        .subcommand(
            Command::new("engines")
                .about("Engines, as the platform lists them")
                .arg(platform_argument()),
        )
        .subcommand(drain_command())
        .subcommand(quarantine_command())
        .subcommand(explain_command())
        .subcommand(outcomes_command())
        .subcommand(Command::new("snapshot").about("Make every control replica write a snapshot"))
}

/// Checks that `--control` is present for every subcommand except `explain` and `outcomes`, which
/// need no control replica.
pub fn validate(matches: &ArgMatches) -> Result<(), clap::Error> {
    let needs_control = !matches!(matches.subcommand_name(), Some("explain" | "outcomes"));
    if needs_control && !matches.contains_id("control") {
        return Err(command().error(
            ErrorKind::MissingRequiredArgument,
            "this command needs --control <ADDRESS,...>",
        ));
    }
    Ok(())
}

fn document_command(name: &'static str, about: &'static str) -> Command {
    let write_command = |verb: &'static str, about: &'static str| {
        Command::new(verb)
            .about(about)
            .arg(file_argument())
            .arg(operation_id_argument())
            .arg(
                Arg::new("expect-revision")
                    .long("expect-revision")
                    .value_name("REVISION")
                    .value_parser(value_parser!(u64))
                    .help("Change only if the document has this revision"),
            )
    };
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .subcommand(write_command("submit", "Store a new document"))
        .subcommand(write_command("revise", "Replace a document"))
        .subcommand(
            Command::new("show")
                .about("Print a document")
                .arg(document_name_argument()),
        )
        .subcommand(Command::new("list").about("List documents"))
        .subcommand(
            Command::new("diff")
                .about("Compare a file with the stored document")
                .arg(file_argument()),
        )
}

fn members_command() -> Command {
    let replica_argument = || {
        Arg::new("replica")
            .value_name("REPLICA")
            .required(true)
            .value_parser(value_parser!(u32))
            .help("The replica's number")
    };
    Command::new("members")
        .about("Control replicas")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the members"))
        .subcommand(
            Command::new("add")
                .about("Add a running replica as a learner and make it a voter once caught up")
                .arg(
                    Arg::new("address")
                        .value_name("ADDRESS")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("The replica's internal address"),
                ),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a replica")
                .arg(replica_argument()),
        )
}

fn drain_command() -> Command {
    Command::new("drain")
        .about("Give an engine no new work")
        .arg(
            Arg::new("engine")
                .value_name("ENGINE")
                .required(true)
                .value_parser(value_parser!(u32))
                .help("The engine's number"),
        )
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Give it work again"),
        )
        .arg(operation_id_argument())
}

fn quarantine_command() -> Command {
    Command::new("quarantine")
        .about("Requests under which back ends ended")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List them, those that are sent nowhere first"))
        .subcommand(
            Command::new("release")
                .about("Forget the ends under a request: it is sent to back ends again")
                .arg(
                    Arg::new("content")
                        .value_name("CONTENT")
                        .required(true)
                        .value_parser(parse_content_key)
                        .help("The request's content, as the list and the logs name it"),
                ),
        )
}

fn parse_content_key(text: &str) -> Result<ContentKey, std::num::ParseIntError> {
    u128::from_str_radix(text, 16).map(ContentKey)
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Why a request went to its engine")
        .arg(
            Arg::new("request")
                .value_name("REQUEST_ID")
                .required(true)
                .help("Value of the answer's x-request-id header"),
        )
        .arg(
            Arg::new("router")
                .long("router")
                .value_name("ADDRESS,...")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .required_unless_present("logs")
                .help("Operators' addresses of the routers to ask"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("router")
                .help("Logs of any processes to read instead; what cannot be read is counted"),
        )
}

fn outcomes_command() -> Command {
    Command::new("outcomes")
        .about("What became of all requests in a set of logs, and what decided it")
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of routers; what cannot be read is counted"),
        )
}

fn platform_argument() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help("The platform's list of machines")
}

fn file_argument() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Document (TOML)")
}

fn document_name_argument() -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("The document's name")
}

fn operation_id_argument() -> Arg {
    Arg::new("operation-id")
        .long("operation-id")
        .value_name("ID")
        .help("Names the change, so that a resend returns the first outcome; drawn and printed if absent")
}
