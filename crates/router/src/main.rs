//! Entry point of `railtack-router`.

use std::process::ExitCode;

fn main() -> ExitCode {
    railtack_router::cli::run(std::env::args_os())
}
