//! Storage backend of the index that keeps a checksum of each block.
//!
//! redb verifies its pages only when a file is opened. A page that is
//! corrupted later is read as it is, and once an update has copied it, the
//! copy has a valid checksum: blobs would be missing, or a segment would seem
//! to contain no live records and be deleted. Therefore every block that is
//! read again must match the content that was last read or written. The
//! checksums are kept in memory only and take 1 byte per KiB of the file; redb
//! verifies the content from before the process started.

use std::{
    io,
    sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
};

use redb::StorageBackend;

use crate::layer::LayerFile;

/// Page size of redb, so that most accesses cover whole blocks.
const BLOCK_BYTES: usize = 4096;

/// Checksum of each block; `None` until the block is first read or written.
type Checksums = Vec<Option<u32>>;

/// A file that detects changes made to its blocks by anything but itself.
#[derive(Debug)]
pub(crate) struct BlockFile {
    file: Box<dyn LayerFile>,
    checksums: RwLock<Checksums>,
}

impl BlockFile {
    pub(crate) fn new(file: Box<dyn LayerFile>) -> Self {
        Self {
            file,
            checksums: RwLock::default(),
        }
    }

    fn checksums(&self) -> RwLockReadGuard<'_, Checksums> {
        self.checksums
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn checksums_mut(&self) -> RwLockWriteGuard<'_, Checksums> {
        self.checksums
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the blocks that cover a range and verifies those with a known
    /// checksum.
    ///
    /// Returns the content and the offset of its first byte.
    fn read_blocks(
        &self,
        checksums: &Checksums,
        offset: u64,
        bytes: usize,
    ) -> io::Result<(Vec<u8>, u64)> {
        let block = BLOCK_BYTES as u64;
        let start = offset - offset % block;
        let end = (offset + bytes as u64).next_multiple_of(block);
        let end = end.min(self.file.len()?);
        let mut content = vec![0; end.saturating_sub(start) as usize];
        self.file.read_exact_at(&mut content, start)?;
        let first = (start / block) as usize;
        for (n, block) in content.chunks(BLOCK_BYTES).enumerate() {
            let known = checksums.get(first + n).copied().flatten();
            if known.is_some_and(|checksum| checksum != crc32fast::hash(block))
            {
                let text = format!("block {} has changed", first + n);
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            }
        }
        Ok((content, start))
    }

    /// Returns the part of the read blocks that a range covers.
    fn slice_of(
        content: &[u8],
        start: u64,
        offset: u64,
        bytes: usize,
    ) -> io::Result<&[u8]> {
        let from = (offset - start) as usize;
        let slice = content.get(from..from + bytes);
        slice.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Records the checksums of written blocks.
fn record_written(checksums: &mut Checksums, start: u64, content: &[u8]) {
    for (checksum, block) in checksum_slots(checksums, start, content) {
        *checksum = Some(crc32fast::hash(block));
    }
}

/// Records the checksums of blocks that were read. A checksum from a write
/// since then takes precedence.
fn record_read(checksums: &mut Checksums, start: u64, content: &[u8]) {
    for (checksum, block) in checksum_slots(checksums, start, content) {
        checksum.get_or_insert_with(|| crc32fast::hash(block));
    }
}

fn checksum_slots<'a>(
    checksums: &'a mut Checksums,
    start: u64,
    content: &'a [u8],
) -> impl Iterator<Item = (&'a mut Option<u32>, &'a [u8])> {
    let blocks = content.chunks(BLOCK_BYTES);
    let first = (start / BLOCK_BYTES as u64) as usize;
    let end = first + blocks.len();
    if checksums.len() < end {
        checksums.resize(end, None);
    }
    checksums[first..end].iter_mut().zip(blocks)
}

impl StorageBackend for BlockFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let checksums = self.checksums();
        let (content, start) =
            self.read_blocks(&checksums, offset, out.len())?;
        out.copy_from_slice(Self::slice_of(
            &content,
            start,
            offset,
            out.len(),
        )?);
        let first = (start / BLOCK_BYTES as u64) as usize;
        let last = first + content.len().div_ceil(BLOCK_BYTES);
        let known = checksums.get(first..last);
        if !known
            .is_some_and(|checksums| checksums.iter().all(Option::is_some))
        {
            drop(checksums);
            record_read(&mut self.checksums_mut(), start, &content);
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut checksums = self.checksums_mut();
        // The last block may be partial before or after the change.
        let whole = len.min(self.file.len()?) / BLOCK_BYTES as u64;
        checksums.truncate(whole as usize);
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.file.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut checksums = self.checksums_mut();
        let block = BLOCK_BYTES as u64;
        let aligned = offset.is_multiple_of(block)
            && data.len().is_multiple_of(BLOCK_BYTES);
        if aligned {
            self.file.write_all_at(data, offset)?;
            record_written(&mut checksums, offset, data);
            return Ok(());
        }
        let (mut content, start) =
            self.read_blocks(&checksums, offset, data.len())?;
        let from = (offset - start) as usize;
        let end = from + data.len();
        if content.len() < end {
            content.resize(end, 0);
        }
        content[from..end].copy_from_slice(data);
        self.file.write_all_at(data, offset)?;
        record_written(&mut checksums, start, &content);
        Ok(())
    }
}
