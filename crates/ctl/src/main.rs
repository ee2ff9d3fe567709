//! `railtackctl`: operates railtack.

use std::process::ExitCode;

fn main() -> ExitCode {
    railtack_ctl::cli::run(std::env::args_os())
}
