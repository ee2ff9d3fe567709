//! Stand-ins for the platform: model engines, services and the machine list.
//!
//! The engine's batching and cache are a pure model in [`engine`], stepped in virtual time by the
//! simulator and in real time by [`engine_server`].

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

/// A stand-in that runs a request with this text ends, as a back end does under a request that it
/// cannot bear.
pub const CRASH_TRIGGER: &str = "emulator: end the process that runs this";
/// Exit code of a stand-in that ended under a request.
const CRASH_EXIT_CODE: i32 = 70;

/// Ends the process if a request that it is to run holds [`CRASH_TRIGGER`].
fn crash_if_triggered(content: &[u8]) {
    if contains_text(content, CRASH_TRIGGER) {
        eprintln!("ends under a request");
        std::process::exit(CRASH_EXIT_CODE);
    }
}

/// Whether a request has a stand-in do something, as a text in it says.
fn contains_text(content: &[u8], text: &str) -> bool {
    let mut windows = content.windows(text.len());
    windows.any(|window| window == text.as_bytes())
}
