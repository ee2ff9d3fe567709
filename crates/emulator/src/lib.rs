//! Emulators of model engines, services and the platform's machine list.
//!
//! [`engine`] models an engine's batching and prefix cache without I/O. The simulator steps the
//! model in virtual time, [`engine_server`] in real time.

pub mod back_off;
pub mod cache;
pub mod cli;
pub mod completion;
pub mod engine;
pub mod engine_server;
pub mod errors;
pub mod event_feed;
pub mod gate;
pub mod limit;
pub mod platform_server;
pub mod service_server;

pub use back_off::{BACK_OFF, BACK_OFF_TRIGGER};
pub use errors::EmulatorError;
pub use limit::LIMIT_TRIGGER;

/// Text in a request that makes an emulated engine or service crash when it runs the request.
pub const CRASH_TRIGGER: &str = "emulator: end the process that runs this";
/// Exit code after a triggered crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Exits the process if the request contains [`CRASH_TRIGGER`].
fn crash_if_triggered(content: &[u8]) {
    if contains_text(content, CRASH_TRIGGER) {
        eprintln!("exiting: the request contains the crash trigger");
        std::process::exit(CRASH_EXIT_CODE);
    }
}

fn contains_text(content: &[u8], text: &str) -> bool {
    let mut windows = content.windows(text.len());
    windows.any(|window| window == text.as_bytes())
}
