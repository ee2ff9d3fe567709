//! File operations that the log and the snapshots need.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::PathBuf,
};

/// An append-only file.
pub trait SegmentFile: Send {
    /// Appends bytes, which may be lost in a crash until [`SegmentFile::sync`] returns.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all appended bytes durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of files.
pub trait Media: Send {
    /// Creates an empty file, or truncates an existing one, and opens it for appending.
    fn create(&self, name: &str) -> io::Result<Box<dyn SegmentFile>>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes the whole content of a file durable, including what other handles wrote.
    fn sync_file(&self, name: &str) -> io::Result<()>;
    /// Returns the names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Renames a file, replacing any file with the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Deletes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes file creations, renames and deletions durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Clone, Debug)]
pub struct FileMedia {
    folder: PathBuf,
}

impl FileMedia {
    /// Opens the folder; creates it if it does not exist.
    pub fn open(folder: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        Ok(Self { folder })
    }
}

impl Media for FileMedia {
    fn create(&self, name: &str) -> io::Result<Box<dyn SegmentFile>> {
        let mut options = OpenOptions::new();
        let file = options
            .create(true)
            .truncate(true)
            .write(true)
            .open(self.folder.join(name))?;
        Ok(Box::new(OsFile(file)))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn sync_file(&self, name: &str) -> io::Result<()> {
        File::open(self.folder.join(name))?.sync_all()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

struct OsFile(File);

impl SegmentFile for OsFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
