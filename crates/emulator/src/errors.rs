//! Startup errors.

use std::net::SocketAddr;

use thiserror::Error;

/// Startup error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EmulatorError {
    /// The settings are not valid.
    #[error("the settings were refused")]
    Settings,
    /// The listen address cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// Listen address.
        address: SocketAddr,
    },
    /// The async runtime cannot be started.
    #[error("the runtime cannot be started")]
    Runtime,
}
