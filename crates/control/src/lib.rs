//! Replicated control state and the daemon that serves it.
//!
//! [`replica::Replica`] combines the replicated log, the state machine and the durable store. The
//! daemon runs it with system clock, sockets and files, the simulator with virtual ones.

pub mod claims;
pub mod cli;
pub mod configuration;
pub mod data_folder;
pub mod errors;
pub mod member_changes;
pub mod members;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod pending;
pub mod replica;
pub mod rollout;
pub mod routers;
pub mod server;
pub mod serving;
pub mod serving_state;
pub mod state;
pub mod store;
pub mod view;

pub use errors::ControlError;
pub use replica::{Advance, Replica, ReplicaOptions};
pub use state::ControlState;
