//! Durable state in one data folder: a segmented write-ahead log and snapshots.
//!
//! A record counts only once [`WriteAheadLog::sync`] has returned. Recovery cuts a torn tail and
//! refuses to open a log that is damaged in the middle, because cutting there would silently lose
//! records that were acknowledged.

pub mod errors;
pub mod media;
pub mod memory;
pub mod snapshot;
pub mod wal;

mod record;

pub use errors::StorageError;
pub use media::{FileMedia, Media, SegmentFile};
pub use memory::MemoryMedia;
pub use snapshot::SnapshotStore;
pub use wal::{WalOptions, WriteAheadLog};
