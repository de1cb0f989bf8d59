//! Files of the log: their names, reading one record, appending a batch.

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

/// Payloads from this size on are written from where they are; smaller ones
/// are gathered, as a system call costs more than copying them.
const GATHER_MAX_BYTES: usize = 64 << 10;

const NAME_START: &str = "seg-";
const NAME_END: &str = ".log";
const NUMBER_DIGITS: usize = 8;
const SALT_DIGITS: usize = 16;

/// Number of a segment, in the order of writing.
pub(crate) type SegmentNumber = u32;

/// Returns the file name of a segment.
pub(crate) fn segment_name(number: SegmentNumber, salt: u64) -> String {
    format!("{NAME_START}{number:08x}-{salt:016x}{NAME_END}")
}

/// Returns number and salt from a file name; `None` for other files.
pub(crate) fn parse_segment_name(name: &str) -> Option<(SegmentNumber, u64)> {
    let middle = name.strip_prefix(NAME_START)?.strip_suffix(NAME_END)?;
    let (number, salt) = middle.split_once('-')?;
    if number.len() != NUMBER_DIGITS || salt.len() != SALT_DIGITS {
        return None;
    }
    let number = SegmentNumber::from_str_radix(number, 16).ok()?;
    Some((number, u64::from_str_radix(salt, 16).ok()?))
}

/// Why a record could not be read.
#[derive(Debug)]
pub(crate) enum ReadFault {
    /// The segment does not exist (any more).
    Gone,
    /// What stands there is not the whole record.
    Damaged,
    /// The operating system failed otherwise.
    Failed(io::Error),
}

/// The segments that exist, with their salts.
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

    /// Returns numbers and salts in the order of writing.
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

    pub(crate) fn forget(&self, number: SegmentNumber) {
        let mut salts =
            self.salts.write().unwrap_or_else(PoisonError::into_inner);
        salts.remove(&number);
    }

    fn insert(&self, number: SegmentNumber, salt: u64) {
        let mut salts =
            self.salts.write().unwrap_or_else(PoisonError::into_inner);
        salts.insert(number, salt);
    }

    /// Deletes a segment's file for good.
    pub(crate) fn delete(&self, number: SegmentNumber) -> io::Result<()> {
        let Some(salt) = self.salt(number) else {
            return Ok(());
        };
        self.layer.remove(&segment_name(number, salt))?;
        self.forget(number);
        self.layer.sync_folder()
    }

    /// Opens a segment's file.
    pub(crate) fn open(
        &self,
        number: SegmentNumber,
    ) -> Result<(Box<dyn LayerFile>, u64), ReadFault> {
        let salt = self.salt(number).ok_or(ReadFault::Gone)?;
        match self.layer.open(&segment_name(number, salt)) {
            Ok(file) => Ok((file, salt)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                Err(ReadFault::Gone)
            }
            Err(error) => Err(ReadFault::Failed(error)),
        }
    }

    /// Reads a blob where the index says that it is, and checks everything.
    ///
    /// The file is opened for each read. Open files would have to be bounded
    /// and closed when their segment is deleted, for some microseconds less.
    pub(crate) fn read(
        &self,
        id: &BlobId,
        entry: &Entry,
    ) -> Result<Record, ReadFault> {
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
) -> Result<Record, ReadFault> {
    let bytes = entry.record_bytes(id);
    let offset = u64::from(entry.offset);
    // A damaged index may name any length; it must not become the size of a
    // buffer.
    let file_bytes = file.len().map_err(ReadFault::Failed)?;
    if offset + bytes > file_bytes {
        return Err(ReadFault::Damaged);
    }
    let mut buffer = vec![0; bytes as usize];
    if let Err(error) = file.read_exact_at(&mut buffer, offset) {
        return Err(match error.kind() {
            io::ErrorKind::UnexpectedEof => ReadFault::Damaged,
            _ => ReadFault::Failed(error),
        });
    }
    let header = Header::decode(salt, &buffer).ok_or(ReadFault::Damaged)?;
    let payload = Bytes::from(buffer).slice(header.prefix_bytes()..);
    let expected = header.kind == Kind::Put
        && header.id == *id
        && header.seq == entry.seq
        && header.payload_bytes as usize == payload.len()
        && header.payload_crc == crc32fast::hash(&payload);
    if !expected {
        return Err(ReadFault::Damaged);
    }
    Ok(Record { header, payload })
}

/// What became of a batch that could not be written.
#[derive(Debug)]
pub(crate) enum AppendFault {
    /// The segment is as before and can be used further.
    Undone(io::Error),
    /// No byte of the batch stays, but the segment must not be used further.
    UndoneAndFailed(io::Error),
    /// Some of the batch may appear after a restart.
    Unknown(io::Error),
}

/// The segment that batches are appended to.
#[derive(Debug)]
pub(crate) struct ActiveSegment {
    pub(crate) number: SegmentNumber,
    pub(crate) end: u64,
    salt: u64,
    file: Box<dyn LayerFile>,
}

impl ActiveSegment {
    /// Creates a segment whose name outlasts a power failure.
    pub(crate) fn create(
        segments: &Segments,
        number: SegmentNumber,
    ) -> io::Result<Self> {
        // The hasher's keys are random, and no other source of randomness
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

    /// Writes and syncs a batch, and returns the offset of each record.
    ///
    /// # Errors
    ///
    /// The batch is undone if the disk still permits it.
    pub(crate) fn append(
        &mut self,
        records: &[Record],
    ) -> Result<Vec<u64>, AppendFault> {
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
        if let Err(undo) = self.undo_to(start) {
            log::error!("segment {}: undo failed: {undo}", self.number);
            return Err(AppendFault::Unknown(error));
        }
        // After a failed sync the system may hold pages as clean that never
        // reached the disk; nothing more is trusted to this file.
        Err(if sync_failed {
            AppendFault::UndoneAndFailed(error)
        } else {
            AppendFault::Undone(error)
        })
    }

    /// Takes back everything from an offset on.
    pub(crate) fn undo_to(&mut self, end: u64) -> io::Result<()> {
        self.end = end;
        self.file.set_len(end)?;
        self.file.sync()
    }

    fn write(&mut self, records: &[Record]) -> io::Result<Vec<u64>> {
        let mut offsets = Vec::with_capacity(records.len());
        let mut gathered = Vec::new();
        for record in records {
            offsets.push(self.end + gathered.len() as u64);
            record.header.encode(self.salt, &mut gathered);
            if record.payload.len() < GATHER_MAX_BYTES {
                gathered.extend_from_slice(&record.payload);
            } else {
                self.write_part(&gathered)?;
                gathered.clear();
                self.write_part(&record.payload)?;
            }
        }
        self.write_part(&gathered)?;
        Ok(offsets)
    }

    fn write_part(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, self.end)?;
        self.end += bytes.len() as u64;
        Ok(())
    }
}
