//! A simulated folder with crash and fault injection, for simulations and tests.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::media::{Media, SegmentFile};

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    content: Vec<u8>,
    synced: usize,
}

#[derive(Debug, Default)]
struct FolderState {
    files: BTreeMap<String, MemoryFile>,
    /// File names that were synced with the folder and survive a crash.
    durable_names: BTreeMap<String, String>,
    fail_syncs: bool,
    ignore_syncs: bool,
    /// Syncs that still have an effect before the power is lost; `None` while no loss is due.
    syncs_before_loss: Option<u64>,
    /// The files at the moment at which the power was lost.
    files_at_loss: Option<BTreeMap<String, MemoryFile>>,
    sync_count: u64,
}

impl FolderState {
    /// Counts a sync. Returns whether it has an effect.
    fn begin_sync(&mut self) -> bool {
        match &mut self.syncs_before_loss {
            Some(0) => {
                let files = &self.files;
                self.files_at_loss.get_or_insert_with(|| files.clone());
                false
            }
            Some(left) => {
                *left -= 1;
                !self.ignore_syncs
            }
            None => !self.ignore_syncs,
        }
    }
}

/// An in-memory folder that loses unsynced data in a simulated crash. Clones share the files.
#[derive(Clone, Debug, Default)]
pub struct MemoryMedia {
    folder: Arc<Mutex<FolderState>>,
}

impl MemoryMedia {
    /// Simulates a crash: discards unsynced data, except for up to `torn_bytes` of each file's
    /// unsynced tail.
    pub fn crash(&self, torn_bytes: usize) {
        let mut folder = self.lock();
        let surviving = std::mem::take(&mut folder.durable_names);
        let current = std::mem::take(&mut folder.files);
        let mut files = folder.files_at_loss.take().unwrap_or(current);
        for name in surviving.keys() {
            let Some(mut file) = files.remove(name) else {
                continue;
            };
            let kept = file.content.len().min(file.synced + torn_bytes);
            file.content.truncate(kept);
            file.synced = kept;
            folder.files.insert(name.clone(), file);
        }
        folder.durable_names = surviving;
        folder.syncs_before_loss = None;
    }

    /// Removes all files, like a replaced disk.
    pub fn wipe(&self) {
        let mut folder = self.lock();
        folder.files.clear();
        folder.durable_names.clear();
    }

    /// Makes later syncs fail, like a full or broken disk.
    pub fn fail_syncs(&self, fail: bool) {
        self.lock().fail_syncs = fail;
    }

    /// Makes later syncs succeed without effect, to check that simulations detect the data loss.
    pub fn ignore_syncs(&self, ignore: bool) {
        self.lock().ignore_syncs = ignore;
    }

    /// Makes the power end after this number of further syncs. Until [`MemoryMedia::crash`] all operations succeed, but what
    /// happens from the next sync on is lost.
    pub fn lose_power_after_syncs(&self, syncs: u64) {
        self.lock().syncs_before_loss = Some(syncs);
    }

    /// Number of syncs of files.
    pub fn sync_count(&self) -> u64 {
        self.lock().sync_count
    }

    /// Inverts one byte of a file. Does nothing if the file or the offset does not exist.
    pub fn corrupt_byte(&self, name: &str, offset: usize) {
        let mut folder = self.lock();
        let byte = folder
            .files
            .get_mut(name)
            .and_then(|file| file.content.get_mut(offset));
        if let Some(byte) = byte {
            *byte ^= 0xff;
        }
    }

    /// Truncates a file to `length` bytes.
    pub fn truncate_file(&self, name: &str, length: usize) {
        if let Some(file) = self.lock().files.get_mut(name) {
            file.content.truncate(length);
            file.synced = file.synced.min(length);
        }
    }

    fn lock(&self) -> MutexGuard<'_, FolderState> {
        self.folder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Media for MemoryMedia {
    fn create(&self, name: &str) -> io::Result<Box<dyn SegmentFile>> {
        let mut folder = self.lock();
        folder.files.insert(name.to_owned(), MemoryFile::default());
        Ok(Box::new(OpenMemoryFile {
            media: self.clone(),
            name: name.to_owned(),
        }))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let folder = self.lock();
        let file = folder.files.get(name);
        file.map(|file| file.content.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_file(&self, name: &str) -> io::Result<()> {
        let mut folder = self.lock();
        if !folder.begin_sync() {
            return Ok(());
        }
        if let Some(file) = folder.files.get_mut(name) {
            file.synced = file.content.len();
        }
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut folder = self.lock();
        let file = folder
            .files
            .remove(from)
            .ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        folder.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.lock().files.remove(name);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut folder = self.lock();
        if folder.fail_syncs {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if folder.begin_sync() {
            let names = folder.files.keys().map(|name| (name.clone(), name.clone()));
            folder.durable_names = names.collect();
        }
        Ok(())
    }
}

struct OpenMemoryFile {
    media: MemoryMedia,
    name: String,
}

impl SegmentFile for OpenMemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.media.lock();
        let file = folder
            .files
            .get_mut(&self.name)
            .ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        file.content.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut folder = self.media.lock();
        if folder.fail_syncs {
            return Err(io::ErrorKind::StorageFull.into());
        }
        folder.sync_count += 1;
        if !folder.begin_sync() {
            return Ok(());
        }
        if let Some(file) = folder.files.get_mut(&self.name) {
            file.synced = file.content.len();
        }
        Ok(())
    }
}
