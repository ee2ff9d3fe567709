//! Startup errors.

use std::net::SocketAddr;

use thiserror::Error;

/// Startup error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EmulatorError {
    /// The settings are not valid.
    #[error("invalid settings")]
    Settings,
    /// The listen address cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// Listen address.
        address: SocketAddr,
    },
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime")]
    Runtime,
}
