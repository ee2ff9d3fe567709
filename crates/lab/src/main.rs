//! `railtack-lab`: runs a fleet on one machine.

use std::process::ExitCode;

fn main() -> ExitCode {
    railtack_lab::cli::run(std::env::args_os())
}
