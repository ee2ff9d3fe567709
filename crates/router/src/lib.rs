//! The data-plane daemon: callers' HTTP, dispatch and stream relay.
//!
//! A request passes these modules in order: [`server`] accepts it, [`api`] and [`prompt`] check and
//! render it, [`completions`] or [`services`] admit it, [`dispatch`] or [`idempotency`] run it, and
//! [`responses`] writes what the caller sees. [`control_link`] and [`engine_link`] keep the router's
//! view of configuration and engines current.

pub mod admin;
pub mod api;
pub mod attempts;
pub mod cli;
pub mod completions;
pub mod control_link;
pub mod decisions;
pub mod dispatch;
pub mod engine_link;
pub mod errors;
pub mod idempotency;
pub mod lease;
pub mod limits;
pub mod metrics;
pub mod prompt;
pub mod proposal;
pub mod quarantine;
pub mod refusal;
pub mod relay;
pub mod request_log;
pub mod resolved;
pub mod responses;
pub mod server;
pub mod services;
pub mod state;

pub use errors::RouterError;
pub use refusal::Refusal;
