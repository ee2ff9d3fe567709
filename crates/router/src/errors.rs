//! Why a router cannot start.

use std::net::SocketAddr;

use thiserror::Error;

/// A failure to start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouterError {
    /// The settings were refused.
    #[error("the settings were refused")]
    Settings,
    /// A listener cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The runtime cannot be started.
    #[error("the runtime cannot be started")]
    Runtime,
}
