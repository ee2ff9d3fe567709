//! Why a stand-in cannot start.

use std::net::SocketAddr;

use thiserror::Error;

/// A failure to start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EmulatorError {
    /// The settings were refused.
    #[error("invalid settings")]
    Settings,
    /// The listener cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The runtime cannot be started.
    #[error("cannot start the async runtime")]
    Runtime,
}
