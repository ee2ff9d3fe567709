//! Startup errors of the router.

use std::net::SocketAddr;

use thiserror::Error;

/// Error that prevents the router from starting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouterError {
    /// The settings are invalid.
    #[error("invalid settings")]
    Settings,
    /// A listener cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// Configured listen address.
        address: SocketAddr,
    },
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime")]
    Runtime,
}
