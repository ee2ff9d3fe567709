//! Command line shared by all daemons: `--settings FILE`, `--set KEY=VALUE` and `--check`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::{
    load::{SettingsError, Validate, load_settings},
    overrides,
    wait::await_settings,
};

/// Returns the common command line of a daemon, which the caller may extend.
pub fn command(name: &'static str, about: &'static str, version: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(version)
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

/// Loads the settings file given on the command line, with the overrides applied. Waits for a file that is being
/// replaced, unless it is only to be checked.
pub fn settings<T>(matches: &ArgMatches) -> Result<T, Report<SettingsError>>
where
    T: DeserializeOwned + Validate,
{
    let file = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let overrides = overrides::from_matches(matches);
    if is_check(matches) {
        load_settings(&file, &overrides)
    } else {
        await_settings(&file, &overrides)
    }
}

/// Whether `--check` was given: validate the settings and exit.
pub fn is_check(matches: &ArgMatches) -> bool {
    matches.get_flag("check")
}
