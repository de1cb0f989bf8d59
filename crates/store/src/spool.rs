use std::{fmt, io, path::PathBuf, sync::Arc};

use error_stack::{Report, ResultExt};

use crate::{
    FileLayer,
    layer::{DirLayer, LayerFile},
};

/// Why a call to a [`Spool`] failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpoolError {
    /// The folder cannot be created.
    Folder,
    /// The name is not a valid file name.
    InvalidName,
    /// The record would exceed the size limit of the spool.
    Full,
    /// An I/O error occurred. A record whose write failed may still exist
    /// after a restart.
    Io,
    /// The record is truncated or its checksum does not match.
    Damaged,
}

impl fmt::Display for SpoolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SpoolError::Folder => "the folder cannot be used",
            SpoolError::InvalidName => "the name is not a valid file name",
            SpoolError::Full => "the spool is full",
            SpoolError::Io => "an I/O error occurred",
            SpoolError::Damaged => "the record is damaged",
        })
    }
}

impl std::error::Error for SpoolError {}

/// A small on-disk queue of records that are to be delivered elsewhere.
///
/// A record is one file. It is written under a temporary name, synced and then
/// renamed, so that after a power failure it exists completely or not at all.
/// [`Store`](crate::Store) was rejected for this purpose: its log and index
/// are built for millions of long-lived blobs and need a hundred times the
/// memory and start-up time of a folder that is almost always empty.
///
/// # Example
///
/// ```
/// use pomeloslip_store::{Spool, sim::SimDisk};
///
/// let disk = SimDisk::new(1);
/// let spool = Spool::with_layer(disk.clone(), 1_000);
/// spool.put("a", b"first")?;
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
    max_bytes: u64,
}

/// File name suffix of complete records.
const RECORD_SUFFIX: &str = ".rec";

/// File name suffix of records that are being written.
const TEMP_SUFFIX: &str = ".part";

/// Name of the file that tells a folder that has been used from a new one.
const IN_USE_NAME: &str = "in-use";

/// Length of the checksum at the start of a file.
const CHECKSUM_BYTES: usize = 4;

impl Spool {
    /// Opens a spool in a folder, which is created if it is missing.
    ///
    /// The records may take up to `max_bytes` in total.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Folder`].
    pub fn open(
        dir: impl Into<PathBuf>,
        max_bytes: u64,
    ) -> Result<Self, Report<SpoolError>> {
        let layer = DirLayer::new(dir.into());
        let layer = layer.change_context(SpoolError::Folder)?;
        Ok(Self::with_layer(layer, max_bytes))
    }

    /// Creates a spool on a caller-supplied file layer.
    pub fn with_layer(layer: impl FileLayer, max_bytes: u64) -> Self {
        Self {
            layer: Arc::new(layer),
            max_bytes,
        }
    }

    /// Stores a record, replacing any record of the same name.
    ///
    /// Once this returns `Ok`, the record survives a power failure.
    ///
    /// # Errors
    ///
    /// [`SpoolError::InvalidName`], [`SpoolError::Full`], [`SpoolError::Io`].
    pub fn put(
        &self,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), Report<SpoolError>> {
        let name = validate_name(name)?;
        let used = self.used_bytes()?;
        if used + bytes.len() as u64 > self.max_bytes {
            return Err(Report::new(SpoolError::Full));
        }
        let written = self.write(name, bytes);
        written.change_context(SpoolError::Io)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temp_name = format!("{name}{TEMP_SUFFIX}");
        let file = self.layer.create(&temp_name)?;
        let checksum = crc32fast::hash(bytes).to_le_bytes();
        file.write_all_at(&checksum, 0)?;
        file.write_all_at(bytes, CHECKSUM_BYTES as u64)?;
        file.sync()?;
        self.layer
            .rename(&temp_name, &format!("{name}{RECORD_SUFFIX}"))?;
        self.layer.sync_folder()
    }

    /// Returns the names of all records.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    pub fn names(&self) -> Result<Vec<String>, Report<SpoolError>> {
        let files = self.layer.list().change_context(SpoolError::Io)?;
        let names = files
            .iter()
            .filter_map(|name| name.strip_suffix(RECORD_SUFFIX));
        Ok(names.map(str::to_owned).collect())
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`], [`SpoolError::Damaged`].
    pub fn read(&self, name: &str) -> Result<Vec<u8>, Report<SpoolError>> {
        let file = format!("{}{RECORD_SUFFIX}", validate_name(name)?);
        let file = self.layer.open(&file);
        let file = file.change_context(SpoolError::Io)?;
        let all = read_all(&*file).change_context(SpoolError::Io)?;
        let parts = all.split_at_checked(CHECKSUM_BYTES);
        let (checksum, bytes) =
            parts.ok_or_else(|| Report::new(SpoolError::Damaged))?;
        match crc32fast::hash(bytes).to_le_bytes() == *checksum {
            true => Ok(bytes.to_vec()),
            false => Err(Report::new(SpoolError::Damaged)),
        }
    }

    /// Removes a record; a missing record is not an error.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`], after which the record may reappear on restart.
    pub fn remove(&self, name: &str) -> Result<(), Report<SpoolError>> {
        let file = format!("{}{RECORD_SUFFIX}", validate_name(name)?);
        match self.layer.remove(&file) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(error).change_context(SpoolError::Io)
            }
            _ => self.layer.sync_folder().change_context(SpoolError::Io),
        }
    }

    /// Reports whether the folder was marked as used, which a replaced disk is
    /// not.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_store::{Spool, sim::SimDisk};
    ///
    /// let disk = SimDisk::new(1);
    /// let spool = Spool::with_layer(disk.clone(), 1_000);
    /// assert!(!spool.is_in_use()?);
    /// spool.mark_in_use()?;
    /// disk.crash();
    /// assert!(spool.is_in_use()?);
    /// # Ok::<(), error_stack::Report<pomeloslip_store::SpoolError>>(())
    /// ```
    pub fn is_in_use(&self) -> Result<bool, Report<SpoolError>> {
        let files = self.layer.list().change_context(SpoolError::Io)?;
        Ok(files.iter().any(|name| name == IN_USE_NAME))
    }

    /// Marks the folder as used. Once this returns `Ok`, the mark survives a
    /// power failure.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    pub fn mark_in_use(&self) -> Result<(), Report<SpoolError>> {
        let created = self.layer.create(IN_USE_NAME);
        let synced = created.and_then(|file| file.sync());
        let synced = synced.and_then(|()| self.layer.sync_folder());
        synced.change_context(SpoolError::Io)
    }

    fn used_bytes(&self) -> Result<u64, Report<SpoolError>> {
        let mut used = 0;
        for name in self.names()? {
            let file = self.layer.open(&format!("{name}{RECORD_SUFFIX}"));
            let length = file.and_then(|file| file.len());
            used += length.change_context(SpoolError::Io)?;
        }
        Ok(used)
    }
}

fn read_all(file: &dyn LayerFile) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; file.len()? as usize];
    file.read_exact_at(&mut bytes, 0)?;
    Ok(bytes)
}

fn validate_name(name: &str) -> Result<&str, Report<SpoolError>> {
    let is_allowed = |byte: u8| {
        byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
    };
    let is_length_valid =
        (1..=128).contains(&name.len()) && !name.starts_with('.');
    match is_length_valid && name.bytes().all(is_allowed) {
        true => Ok(name),
        false => Err(Report::new(SpoolError::InvalidName)),
    }
}
