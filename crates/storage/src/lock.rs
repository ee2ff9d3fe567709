//! Lock of a data folder, which one process holds at a time.

use std::{
    fs::{self, File},
    io,
    path::Path,
};

use rustix::fs::{FlockOperation, flock};

/// A data folder that no other process writes to. Released when it is dropped or the process ends, however it does.
#[derive(Debug)]
pub struct FolderLock {
    /// The system releases the lock with its descriptor.
    _folder: File,
}

impl FolderLock {
    /// Locks a folder, which is created if it does not exist. Returns `None` while another process holds it.
    pub fn try_acquire(folder: &Path) -> io::Result<Option<Self>> {
        fs::create_dir_all(folder)?;
        let file = File::open(folder)?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(Self { _folder: file })),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}
