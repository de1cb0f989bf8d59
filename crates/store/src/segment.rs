//! Segment files of the log: naming, reading a record, appending a batch.

use std::{
    collections::BTreeMap,
    hash::{BuildHasher, Hasher, RandomState},
    io,
    sync::{Arc, PoisonError, RwLock},
};

use bytes::Bytes;

use crate::{
    BlobId,
    layer::{FileLayer, LayerFile},
    record::{Header, Kind, Record},
    rows::Entry,
};

/// Smaller payloads are copied into one buffer, since that is cheaper than a
/// system call for each; larger ones are written directly.
const COALESCE_THRESHOLD_BYTES: usize = 64 << 10;

const NAME_PREFIX: &str = "seg-";
const NAME_SUFFIX: &str = ".log";
const NUMBER_DIGITS: usize = 8;
const SALT_DIGITS: usize = 16;

/// Number of a segment; segments are numbered in the order of writing.
pub(crate) type SegmentNumber = u32;

/// Returns the file name of a segment.
pub(crate) fn segment_name(number: SegmentNumber, salt: u64) -> String {
    format!("{NAME_PREFIX}{number:08x}-{salt:016x}{NAME_SUFFIX}")
}

/// Parses number and salt from a file name; returns `None` for other files.
pub(crate) fn parse_segment_name(name: &str) -> Option<(SegmentNumber, u64)> {
    let middle = name.strip_prefix(NAME_PREFIX)?.strip_suffix(NAME_SUFFIX)?;
    let (number, salt) = middle.split_once('-')?;
    if number.len() != NUMBER_DIGITS || salt.len() != SALT_DIGITS {
        return None;
    }
    let number = SegmentNumber::from_str_radix(number, 16).ok()?;
    Some((number, u64::from_str_radix(salt, 16).ok()?))
}

/// Why a record could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The segment does not exist or has been deleted.
    Gone,
    /// The bytes at this position are not the complete, valid record.
    Damaged,
    /// Another I/O error occurred.
    Failed(io::Error),
}

/// The existing segments with their salts.
#[derive(Debug)]
pub(crate) struct Segments {
    layer: Arc<dyn FileLayer>,
    salts: RwLock<BTreeMap<SegmentNumber, u64>>,
}

impl Segments {
    pub(crate) fn new(
        layer: Arc<dyn FileLayer>,
        salts: BTreeMap<SegmentNumber, u64>,
    ) -> Self {
        Self {
            layer,
            salts: RwLock::new(salts),
        }
    }

    pub(crate) fn layer(&self) -> &Arc<dyn FileLayer> {
        &self.layer
    }

    /// Returns the numbers and salts of all segments in the order of writing.
    pub(crate) fn all(&self) -> Vec<(SegmentNumber, u64)> {
        let salts = self.salts.read().unwrap_or_else(PoisonError::into_inner);
        salts
            .iter()
            .map(|(number, salt)| (*number, *salt))
            .collect()
    }

    pub(crate) fn salt(&self, number: SegmentNumber) -> Option<u64> {
        let salts = self.salts.read().unwrap_or_else(PoisonError::into_inner);
        salts.get(&number).copied()
    }

    pub(crate) fn unregister(&self, number: SegmentNumber) {
        let mut salts =
            self.salts.write().unwrap_or_else(PoisonError::into_inner);
        salts.remove(&number);
    }

    fn insert(&self, number: SegmentNumber, salt: u64) {
        let mut salts =
            self.salts.write().unwrap_or_else(PoisonError::into_inner);
        salts.insert(number, salt);
    }

    /// Deletes a segment file durably.
    pub(crate) fn delete(&self, number: SegmentNumber) -> io::Result<()> {
        let Some(salt) = self.salt(number) else {
            return Ok(());
        };
        self.layer.remove(&segment_name(number, salt))?;
        self.unregister(number);
        self.layer.sync_folder()
    }

    /// Opens a segment's file.
    pub(crate) fn open(
        &self,
        number: SegmentNumber,
    ) -> Result<(Box<dyn LayerFile>, u64), ReadError> {
        let salt = self.salt(number).ok_or(ReadError::Gone)?;
        match self.layer.open(&segment_name(number, salt)) {
            Ok(file) => Ok((file, salt)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                Err(ReadError::Gone)
            }
            Err(error) => Err(ReadError::Failed(error)),
        }
    }

    /// Reads a blob at the position given by the index and verifies it.
    ///
    /// The file is opened for each read. Caching open files would save some
    /// microseconds, but the cache would have to be bounded and its files
    /// closed when their segment is deleted.
    pub(crate) fn read(
        &self,
        id: &BlobId,
        entry: &Entry,
    ) -> Result<Record, ReadError> {
        let (file, salt) = self.open(entry.segment)?;
        read_record(file.as_ref(), salt, id, entry)
    }
}

/// Reads one record with its payload.
pub(crate) fn read_record(
    file: &dyn LayerFile,
    salt: u64,
    id: &BlobId,
    entry: &Entry,
) -> Result<Record, ReadError> {
    let bytes = entry.record_bytes(id);
    let offset = u64::from(entry.offset);
    // A damaged index may contain any length, which must not determine the
    // size of a buffer.
    let file_bytes = file.len().map_err(ReadError::Failed)?;
    if offset + bytes > file_bytes {
        return Err(ReadError::Damaged);
    }
    let mut buffer = vec![0; bytes as usize];
    if let Err(error) = file.read_exact_at(&mut buffer, offset) {
        return Err(match error.kind() {
            io::ErrorKind::UnexpectedEof => ReadError::Damaged,
            _ => ReadError::Failed(error),
        });
    }
    let header = Header::decode(salt, &buffer).ok_or(ReadError::Damaged)?;
    let payload = Bytes::from(buffer).slice(header.prefix_bytes()..);
    let expected = header.kind == Kind::Put
        && header.id == *id
        && header.seq == entry.seq
        && header.payload_bytes as usize == payload.len()
        && header.payload_crc == crc32fast::hash(&payload);
    if !expected {
        return Err(ReadError::Damaged);
    }
    Ok(Record { header, payload })
}

/// Why a batch could not be appended.
#[derive(Debug)]
pub(crate) enum AppendError {
    /// The batch was rolled back and the segment can still be used.
    RolledBack(io::Error),
    /// The batch was rolled back, but the segment must not be used any more.
    RolledBackUnusable(io::Error),
    /// The rollback failed: parts of the batch may reappear after a restart.
    OutcomeUnknown(io::Error),
}

/// The segment to which batches are appended.
#[derive(Debug)]
pub(crate) struct ActiveSegment {
    pub(crate) number: SegmentNumber,
    pub(crate) end: u64,
    salt: u64,
    file: Box<dyn LayerFile>,
}

impl ActiveSegment {
    /// Creates a segment whose file survives a power failure.
    pub(crate) fn create(
        segments: &Segments,
        number: SegmentNumber,
    ) -> io::Result<Self> {
        // The keys of the hasher are random, so no other source of randomness
        // is needed.
        let mut hasher = RandomState::new().build_hasher();
        hasher.write_u32(number);
        let salt = hasher.finish();
        let layer = segments.layer();
        let file = layer.create(&segment_name(number, salt))?;
        layer.sync_folder()?;
        segments.insert(number, salt);
        Ok(Self {
            number,
            end: 0,
            salt,
            file,
        })
    }

    /// Writes and syncs a batch and returns the offset of each record.
    ///
    /// # Errors
    ///
    /// The batch is rolled back unless the rollback fails too
    /// ([`AppendError::OutcomeUnknown`]).
    pub(crate) fn append(
        &mut self,
        records: &[Record],
    ) -> Result<Vec<u64>, AppendError> {
        let start = self.end;
        let written = self.write(records).map_err(|error| (error, false));
        let synced = written.and_then(|offsets| {
            self.file.sync().map_err(|error| (error, true))?;
            Ok(offsets)
        });
        let (error, sync_failed) = match synced {
            Ok(offsets) => return Ok(offsets),
            Err(failure) => failure,
        };
        self.end = start;
        if let Err(rollback_error) = self.truncate_to(start) {
            log::error!(
                "segment {}: rollback failed: {rollback_error}",
                self.number
            );
            return Err(AppendError::OutcomeUnknown(error));
        }
        // After a failed sync the operating system may mark pages as clean
        // that never reached the disk, so nothing more is written to this
        // file.
        Err(if sync_failed {
            AppendError::RolledBackUnusable(error)
        } else {
            AppendError::RolledBack(error)
        })
    }

    /// Truncates the segment to an offset.
    pub(crate) fn truncate_to(&mut self, end: u64) -> io::Result<()> {
        self.end = end;
        self.file.set_len(end)?;
        self.file.sync()
    }

    fn write(&mut self, records: &[Record]) -> io::Result<Vec<u64>> {
        let mut offsets = Vec::with_capacity(records.len());
        let mut buffer = Vec::new();
        for record in records {
            offsets.push(self.end + buffer.len() as u64);
            record.header.encode(self.salt, &mut buffer);
            if record.payload.len() < COALESCE_THRESHOLD_BYTES {
                buffer.extend_from_slice(&record.payload);
            } else {
                self.write_at_end(&buffer)?;
                buffer.clear();
                self.write_at_end(&record.payload)?;
            }
        }
        self.write_at_end(&buffer)?;
        Ok(offsets)
    }

    fn write_at_end(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, self.end)?;
        self.end += bytes.len() as u64;
        Ok(())
    }
}
