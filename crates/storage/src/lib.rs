//! Durable state in a data folder: a segmented write-ahead log and snapshots.
//!
//! A record is durable once [`WriteAheadLog::sync`] has returned. Recovery discards a torn tail and
//! rejects a log that is corrupt before its tail, because discarding records there would silently
//! lose acknowledged ones.

pub mod errors;
pub mod lock;
pub mod media;
pub mod memory;
pub mod snapshot;
pub mod wal;

mod record;

pub use errors::StorageError;
pub use lock::FolderLock;
pub use media::{FileMedia, Media, SegmentFile};
pub use memory::MemoryMedia;
pub use snapshot::SnapshotStore;
pub use wal::{WalOptions, WriteAheadLog};
