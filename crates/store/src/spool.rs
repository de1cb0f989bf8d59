use std::{fmt, io, path::PathBuf, sync::Arc};

use error_stack::{Report, ResultExt};

use crate::{
    FileLayer,
    layer::{DirLayer, LayerFile},
};

/// What became of a call to a [`Spool`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpoolError {
    /// The folder cannot be used.
    Folder,
    /// The name cannot be that of a file.
    Name,
    /// The record would not fit the bytes that the spool may take.
    Full,
    /// The disk failed. A record that was to be kept may come back after a
    /// restart.
    Disk,
    /// The record is not whole.
    Damaged,
}

impl fmt::Display for SpoolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SpoolError::Folder => "the folder cannot be used",
            SpoolError::Name => "the name cannot be that of a file",
            SpoolError::Full => "the spool is full",
            SpoolError::Disk => "the disk failed",
            SpoolError::Damaged => "the record is not whole",
        })
    }
}

impl std::error::Error for SpoolError {}

/// A few records that wait on disk to be handed on.
///
/// A record is one file, written under another name, synced, and then
/// renamed, so that after a power failure it is there as a whole or not at
/// all. [`Store`](crate::Store) was rejected for this: its log and index
/// serve millions of blobs that stay, and take a hundred times the memory
/// and the start-up of a folder that is empty nearly always.
///
/// # Example
///
/// ```
/// use pomeloslip_store::{Spool, sim::SimDisk};
///
/// let disk = SimDisk::new(1);
/// let spool = Spool::with_layer(disk.clone(), 1_000);
/// spool.keep("a", b"first")?;
/// disk.crash();
/// assert_eq!(spool.names()?, ["a"]);
/// assert_eq!(spool.read("a")?, b"first");
/// spool.remove("a")?;
/// assert!(spool.names()?.is_empty());
/// # Ok::<(), error_stack::Report<pomeloslip_store::SpoolError>>(())
/// ```
#[derive(Clone, Debug)]
pub struct Spool {
    layer: Arc<dyn FileLayer>,
    bytes_most: u64,
}

/// End of the names of whole records.
const WHOLE: &str = ".rec";

/// End of the names of records that are being written.
const PART: &str = ".part";

/// Bytes of the checksum that begins a file.
const CHECKSUM_BYTES: usize = 4;

impl Spool {
    /// Opens a folder, which is created if it is missing, for records of
    /// `bytes_most` together.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Folder`].
    pub fn open(
        dir: impl Into<PathBuf>,
        bytes_most: u64,
    ) -> Result<Self, Report<SpoolError>> {
        let layer = DirLayer::new(dir.into());
        let layer = layer.change_context(SpoolError::Folder)?;
        Ok(Self::with_layer(layer, bytes_most))
    }

    /// Keeps the records in a layer of the caller's.
    pub fn with_layer(layer: impl FileLayer, bytes_most: u64) -> Self {
        Self {
            layer: Arc::new(layer),
            bytes_most,
        }
    }

    /// Keeps a record; when this returns, a power failure does not lose it.
    /// A record of the same name is replaced.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Name`], [`SpoolError::Full`], [`SpoolError::Disk`].
    pub fn keep(
        &self,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), Report<SpoolError>> {
        let name = checked(name)?;
        let used = self.used_bytes()?;
        if used + bytes.len() as u64 > self.bytes_most {
            return Err(Report::new(SpoolError::Full));
        }
        let written = self.write(name, bytes);
        written.change_context(SpoolError::Disk)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let part = format!("{name}{PART}");
        let file = self.layer.create(&part)?;
        let checksum = crc32fast::hash(bytes).to_le_bytes();
        file.write_all_at(&checksum, 0)?;
        file.write_all_at(bytes, CHECKSUM_BYTES as u64)?;
        file.sync()?;
        self.layer.rename(&part, &format!("{name}{WHOLE}"))?;
        self.layer.sync_folder()
    }

    /// Returns the names of all records.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Disk`].
    pub fn names(&self) -> Result<Vec<String>, Report<SpoolError>> {
        let files = self.layer.list().change_context(SpoolError::Disk)?;
        let names = files.iter().filter_map(|name| name.strip_suffix(WHOLE));
        Ok(names.map(str::to_owned).collect())
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Disk`], [`SpoolError::Damaged`].
    pub fn read(&self, name: &str) -> Result<Vec<u8>, Report<SpoolError>> {
        let file = format!("{}{WHOLE}", checked(name)?);
        let file = self.layer.open(&file);
        let file = file.change_context(SpoolError::Disk)?;
        let all = read_all(&*file).change_context(SpoolError::Disk)?;
        let parts = all.split_at_checked(CHECKSUM_BYTES);
        let (checksum, bytes) =
            parts.ok_or_else(|| Report::new(SpoolError::Damaged))?;
        match crc32fast::hash(bytes).to_le_bytes() == *checksum {
            true => Ok(bytes.to_vec()),
            false => Err(Report::new(SpoolError::Damaged)),
        }
    }

    /// Removes a record; one that is not there is no error.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Disk`]; the record may come back after a restart.
    pub fn remove(&self, name: &str) -> Result<(), Report<SpoolError>> {
        let file = format!("{}{WHOLE}", checked(name)?);
        match self.layer.remove(&file) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(error).change_context(SpoolError::Disk)
            }
            _ => self.layer.sync_folder().change_context(SpoolError::Disk),
        }
    }

    fn used_bytes(&self) -> Result<u64, Report<SpoolError>> {
        let mut used = 0;
        for name in self.names()? {
            let file = self.layer.open(&format!("{name}{WHOLE}"));
            let length = file.and_then(|file| file.len());
            used += length.change_context(SpoolError::Disk)?;
        }
        Ok(used)
    }
}

fn read_all(file: &dyn LayerFile) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; file.len()? as usize];
    file.read_exact_at(&mut bytes, 0)?;
    Ok(bytes)
}

fn checked(name: &str) -> Result<&str, Report<SpoolError>> {
    let plain = |byte: u8| {
        byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
    };
    let fits = (1..=128).contains(&name.len()) && !name.starts_with('.');
    match fits && name.bytes().all(plain) {
        true => Ok(name),
        false => Err(Report::new(SpoolError::Name)),
    }
}
