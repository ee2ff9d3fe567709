//! `railtack-emulator`: emulates an engine, a service or the platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    railtack_emulator::cli::run(std::env::args_os())
}
