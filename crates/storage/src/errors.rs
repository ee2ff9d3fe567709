//! Storage errors.

use thiserror::Error;

/// A storage failure. After a failed write or sync the log rejects all further operations: the
/// operating system may have dropped dirty pages that a repeated sync would report as durable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("{operation} failed on {file}")]
    Io {
        /// Name of the operation.
        operation: &'static str,
        /// File within the data folder.
        file: String,
    },
    /// A record is corrupt that was acknowledged, so it cannot be discarded as a torn tail.
    #[error("{file} is corrupt at byte {offset}, before the end of the acknowledged records")]
    CorruptRecord {
        /// File within the data folder.
        file: String,
        /// Offset of the corrupt record, bytes.
        offset: u64,
    },
    /// The file has a format that this version does not support.
    #[error("{file} was written in a former format that is no longer supported")]
    UnsupportedFormat {
        /// File within the data folder.
        file: String,
    },
    /// The snapshot's checksum does not match.
    #[error("snapshot {file} is corrupt")]
    CorruptSnapshot {
        /// File within the data folder.
        file: String,
    },
    /// An earlier write or sync of this log failed.
    #[error("an earlier write or sync of the log failed")]
    Poisoned,
    /// The record exceeds the maximum size.
    #[error("record of {size} bytes exceeds the limit of {limit} bytes")]
    RecordTooLarge {
        /// Size of the record, bytes.
        size: usize,
        /// Maximum size, bytes.
        limit: usize,
    },
}
