//! `railtack-router`: serves callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    railtack_router::cli::run(std::env::args_os())
}
