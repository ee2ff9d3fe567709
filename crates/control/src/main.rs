//! `railtack-control`: one replica of the control state.

use std::process::ExitCode;

fn main() -> ExitCode {
    railtack_control::cli::run(std::env::args_os())
}
