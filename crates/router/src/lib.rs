//! The `railtack-router` daemon: HTTP front end, request dispatch and stream relay.
//!
//! [`server`] receives a request, [`api`] defines its body and [`prompt`] renders its prompt.
//! [`completions`] or [`services`] admits it, [`dispatch`] or [`idempotency`] runs it, and
//! [`responses`] writes the response. [`control_link`] and [`engine_link`] update the router's view of
//! the configuration and the engines.

pub mod admin;
pub mod api;
pub mod attempts;
pub mod backend_incarnations;
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
