//! Why durable state could not be read or written.

use thiserror::Error;

/// A storage failure. After any write failure the log refuses all further work, because the
/// operating system may have dropped the data that a repeated sync would seem to confirm.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StorageError {
    /// The operating system refused an operation.
    #[error("{operation} failed on {file}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// File within the data folder.
        file: String,
    },
    /// A record is damaged although later ones are whole.
    #[error("{file} is damaged at byte {offset}: whole records follow the damage")]
    CorruptRecord {
        /// File within the data folder.
        file: String,
        /// Where the damage begins.
        offset: u64,
    },
    /// The file was written by an earlier build in another format.
    #[error("{file} was written in an earlier format")]
    UnsupportedFormat {
        /// File within the data folder.
        file: String,
    },
    /// The snapshot's checksum does not match.
    #[error("snapshot {file} is damaged")]
    CorruptSnapshot {
        /// File within the data folder.
        file: String,
    },
    /// An earlier write or sync failed.
    #[error("the log refuses work after a failed write")]
    Poisoned,
    /// A record is larger than the format allows.
    #[error("a record of {size} bytes exceeds the limit of {limit}")]
    RecordTooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
}
