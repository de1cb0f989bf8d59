//! The file under the index, with a checksum for each of its blocks.
//!
//! redb verifies its pages when a file is opened. A page that rots later is
//! read as it is, and once a change has copied it, it has a good checksum
//! again: blobs would be missing, or a segment would seem to hold nothing
//! and be deleted. So every block that is read again must be what was read
//! or written before. The checksums are in memory only, 1 byte for 1 KiB of
//! the file; what stood there before the start is verified by redb.

use std::{
    io,
    sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
};

use redb::StorageBackend;

use crate::layer::LayerFile;

/// Size of redb's pages, so that most accesses are of whole blocks.
const BLOCK_BYTES: usize = 4096;

/// Checksum of each block; `None` if it was not read or written yet.
type Sums = Vec<Option<u32>>;

/// A file whose blocks cannot change behind its user's back.
#[derive(Debug)]
pub(crate) struct BlockFile {
    file: Box<dyn LayerFile>,
    sums: RwLock<Sums>,
}

impl BlockFile {
    pub(crate) fn new(file: Box<dyn LayerFile>) -> Self {
        Self {
            file,
            sums: RwLock::default(),
        }
    }

    fn sums(&self) -> RwLockReadGuard<'_, Sums> {
        self.sums.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn sums_mut(&self) -> RwLockWriteGuard<'_, Sums> {
        self.sums.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the blocks around a range and verifies those that are known.
    ///
    /// Returns them with the place of the first.
    fn read_blocks(
        &self,
        sums: &Sums,
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
            let known = sums.get(first + n).copied().flatten();
            if known.is_some_and(|sum| sum != crc32fast::hash(block)) {
                let text = format!("block {} has changed", first + n);
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            }
        }
        Ok((content, start))
    }

    /// Returns the part of some blocks that a range covers.
    fn part(
        content: &[u8],
        start: u64,
        offset: u64,
        bytes: usize,
    ) -> io::Result<&[u8]> {
        let from = (offset - start) as usize;
        let part = content.get(from..from + bytes);
        part.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Notes what blocks contain from now on.
fn note_written(sums: &mut Sums, start: u64, content: &[u8]) {
    for (sum, block) in slots(sums, start, content) {
        *sum = Some(crc32fast::hash(block));
    }
}

/// Notes what blocks were found to contain. A write since then goes first.
fn note_read(sums: &mut Sums, start: u64, content: &[u8]) {
    for (sum, block) in slots(sums, start, content) {
        sum.get_or_insert_with(|| crc32fast::hash(block));
    }
}

fn slots<'a>(
    sums: &'a mut Sums,
    start: u64,
    content: &'a [u8],
) -> impl Iterator<Item = (&'a mut Option<u32>, &'a [u8])> {
    let blocks = content.chunks(BLOCK_BYTES);
    let first = (start / BLOCK_BYTES as u64) as usize;
    let end = first + blocks.len();
    if sums.len() < end {
        sums.resize(end, None);
    }
    sums[first..end].iter_mut().zip(blocks)
}

impl StorageBackend for BlockFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let sums = self.sums();
        let (content, start) = self.read_blocks(&sums, offset, out.len())?;
        out.copy_from_slice(Self::part(&content, start, offset, out.len())?);
        let first = (start / BLOCK_BYTES as u64) as usize;
        let last = first + content.len().div_ceil(BLOCK_BYTES);
        let known = sums.get(first..last);
        if !known.is_some_and(|sums| sums.iter().all(Option::is_some)) {
            drop(sums);
            note_read(&mut self.sums_mut(), start, &content);
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut sums = self.sums_mut();
        // The last block may end elsewhere than before.
        let whole = len.min(self.file.len()?) / BLOCK_BYTES as u64;
        sums.truncate(whole as usize);
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.file.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut sums = self.sums_mut();
        let block = BLOCK_BYTES as u64;
        let aligned = offset.is_multiple_of(block)
            && data.len().is_multiple_of(BLOCK_BYTES);
        if aligned {
            self.file.write_all_at(data, offset)?;
            note_written(&mut sums, offset, data);
            return Ok(());
        }
        let (mut content, start) =
            self.read_blocks(&sums, offset, data.len())?;
        let from = (offset - start) as usize;
        let end = from + data.len();
        if content.len() < end {
            content.resize(end, 0);
        }
        content[from..end].copy_from_slice(data);
        self.file.write_all_at(data, offset)?;
        note_written(&mut sums, start, &content);
        Ok(())
    }
}
