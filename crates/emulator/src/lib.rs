//! Stand-ins for the platform: model engines, services and the machine list.
//!
//! The engine's batching and cache are a pure model in [`engine`], stepped in virtual time by the
//! simulator and in real time by [`engine_server`].

pub mod answer;
pub mod cache;
pub mod cli;
pub mod engine;
pub mod engine_server;
pub mod errors;
pub mod event_feed;
pub mod gate;
pub mod platform_server;
pub mod service_server;

pub use errors::EmulatorError;
