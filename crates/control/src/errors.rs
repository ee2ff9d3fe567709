//! Why a control replica cannot start or go on.

use thiserror::Error;

/// A failure that stops a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The data folder cannot be read or written.
    #[error("the data folder cannot be used")]
    Storage,
    /// A record in the data folder is whole but not of this format.
    #[error("the data folder holds a record of another format")]
    InvalidRecord,
    /// The data folder belongs to another cluster or replica.
    #[error("the data folder belongs to replica {replica} of cluster {cluster:?}")]
    DataFolderMismatch {
        /// Replica that the folder names.
        replica: u32,
        /// Cluster that the folder names.
        cluster: String,
    },
    /// `initialize` was asked for a folder that is in use.
    #[error("the data folder is already initialized")]
    AlreadyInitialized,
    /// A listener cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
    },
    /// The settings were refused.
    #[error("the settings were refused")]
    Settings,
    /// The replica's thread ended.
    #[error("the replica has stopped")]
    Stopped,
}
