//! File operations that the store needs, and their implementation on the
//! operating system's file system.
//!
//! Tests use [`SimDisk`](crate::sim::SimDisk), which loses unsynced writes and
//! fails on demand: a full or failing disk cannot be produced at a chosen
//! moment otherwise.

use std::{
    any::Any,
    fmt::Debug,
    fs::{self, File, OpenOptions, TryLockError},
    io,
    os::unix::fs::FileExt,
    path::PathBuf,
};

/// Name of the lock file that marks the folder as in use.
const LOCK_NAME: &str = "LOCK";

/// Holds the lock of a folder until it is dropped.
pub type LockGuard = Box<dyn Any + Send + Sync>;

/// A single folder of files without subfolders.
pub trait FileLayer: Debug + Send + Sync + 'static {
    /// Acquires the lock of the folder.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if the lock is already held.
    fn lock(&self) -> io::Result<LockGuard>;

    /// Lists the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Opens an existing file for reading and writing.
    fn open(&self, name: &str) -> io::Result<Box<dyn LayerFile>>;

    /// Creates an empty file, or truncates an existing one.
    fn create(&self, name: &str) -> io::Result<Box<dyn LayerFile>>;

    /// Renames a file, replacing any file that has the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Deletes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and deleted files durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// One open file.
pub trait LayerFile: Debug + Send + Sync + 'static {
    /// Returns the length in bytes.
    fn len(&self) -> io::Result<u64>;

    /// Reports whether the file is empty.
    fn is_empty(&self) -> io::Result<bool> {
        Ok(self.len()? == 0)
    }

    /// Fills the buffer with the bytes at an offset.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::UnexpectedEof`] if the file is too short.
    fn read_exact_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()>;

    /// Writes all bytes at an offset.
    fn write_all_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Truncates the file, or extends it with zeros.
    fn set_len(&self, len: u64) -> io::Result<()>;

    /// Makes the content and length of the file durable.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the operating system's file system.
#[derive(Debug)]
pub(crate) struct DirLayer {
    dir: PathBuf,
}

impl DirLayer {
    /// Opens a folder, creating it and its parents if it is missing.
    pub(crate) fn new(dir: PathBuf) -> io::Result<Self> {
        if !dir.is_dir() {
            fs::create_dir_all(&dir)?;
            // Without these syncs a power failure could remove the new folder
            // together with everything acknowledged in it.
            for parent in dir.ancestors().skip(1) {
                if let Ok(parent) = File::open(parent) {
                    parent.sync_all()?;
                }
            }
        }
        Ok(Self { dir })
    }
}

impl FileLayer for DirLayer {
    fn lock(&self) -> io::Result<LockGuard> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.dir.join(LOCK_NAME))?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(file)),
            Err(TryLockError::WouldBlock) => {
                Err(io::ErrorKind::WouldBlock.into())
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.dir)? {
            // The store creates no files with names that are not UTF-8.
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn LayerFile>> {
        let path = self.dir.join(name);
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Ok(Box::new(DirFile(file)))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn LayerFile>> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(self.dir.join(name))?;
        Ok(Box::new(DirFile(file)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.dir.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }
}

#[derive(Debug)]
struct DirFile(File);

impl LayerFile for DirFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn read_exact_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()> {
        self.0.read_exact_at(buffer, offset)
    }

    fn write_all_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.0.write_all_at(bytes, offset)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        // `fdatasync` covers the data and a changed length; timestamps are not
        // needed.
        self.0.sync_data()
    }
}
