//! Snapshot file, replaced atomically.

use error_stack::{Report, ResultExt};

use crate::{errors::StorageError, media::Media, record};

const SNAPSHOT_NAME: &str = "snapshot";
const TEMPORARY_NAME: &str = "snapshot.new";

/// Reads and writes the snapshot of a data folder.
pub struct SnapshotStore {
    media: Box<dyn Media>,
}

impl SnapshotStore {
    /// Creates a store in the given folder.
    pub fn new(media: Box<dyn Media>) -> Self {
        Self { media }
    }

    /// Reads the snapshot; `None` if none has been saved.
    pub fn load(&self) -> Result<Option<Vec<u8>>, Report<StorageError>> {
        let names = self.media.list().change_context(io_error("list"))?;
        if !names.iter().any(|name| name == SNAPSHOT_NAME) {
            return Ok(None);
        }
        let bytes = self
            .media
            .read(SNAPSHOT_NAME)
            .change_context(io_error("read"))?;
        let payload = record::decode(&bytes).ok_or_else(|| {
            Report::new(StorageError::CorruptSnapshot {
                file: SNAPSHOT_NAME.to_owned(),
            })
        })?;
        Ok(Some(payload.to_vec()))
    }

    /// Replaces the snapshot. The new one is durable on return; after a crash during the call, either
    /// the old or the new one is present and complete.
    pub fn save(&self, payload: &[u8]) -> Result<(), Report<StorageError>> {
        let mut bytes = Vec::with_capacity(payload.len() + record::HEADER_BYTES);
        record::encode(payload, &mut bytes);
        let mut file = self
            .media
            .create(TEMPORARY_NAME)
            .change_context(io_error("create"))?;
        file.append(&bytes).change_context(io_error("append"))?;
        file.sync().change_context(io_error("sync"))?;
        self.media
            .rename(TEMPORARY_NAME, SNAPSHOT_NAME)
            .change_context(io_error("rename"))?;
        self.media.sync_folder().change_context(io_error("sync"))
    }
}

fn io_error(operation: &'static str) -> StorageError {
    StorageError::Io {
        operation,
        file: SNAPSHOT_NAME.to_owned(),
    }
}
