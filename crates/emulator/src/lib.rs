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
const FATAL_EXIT: i32 = 70;

/// Ends the process if a request that it is to run holds [`CRASH_TRIGGER`].
fn end_under(content: &[u8]) {
    if holds(content, CRASH_TRIGGER) {
        eprintln!("ends under a request");
        std::process::exit(FATAL_EXIT);
    }
}

/// Whether a request has a stand-in do something, as a text in it says.
fn holds(content: &[u8], text: &str) -> bool {
    let mut places = content.windows(text.len());
    places.any(|place| place == text.as_bytes())
}
