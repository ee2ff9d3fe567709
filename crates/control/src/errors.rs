//! Errors of a control replica.

use thiserror::Error;

/// An error that keeps a control replica from starting or running.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The data folder cannot be read or written.
    #[error("cannot read or write the data folder")]
    Storage,
    /// A record in the data folder is intact but cannot be decoded.
    #[error("the data folder contains a record that cannot be decoded")]
    InvalidRecord,
    /// The data folder belongs to another cluster or replica.
    #[error("the data folder belongs to replica {replica} of cluster {cluster:?}")]
    DataFolderMismatch {
        /// Replica that owns the folder.
        replica: u32,
        /// Cluster of that replica.
        cluster: String,
    },
    /// `initialize` was called for a data folder that is in use.
    #[error("the data folder is already initialized")]
    AlreadyInitialized,
    /// The listening socket cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address of the socket.
        address: std::net::SocketAddr,
    },
    /// The settings are invalid.
    #[error("invalid settings")]
    Settings,
    /// The replica's thread has stopped or rejected a request.
    #[error("the replica has stopped")]
    Stopped,
}
