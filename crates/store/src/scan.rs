//! Reads the headers of a segment in order and resynchronizes after damage.

use std::io;

use crate::{
    layer::LayerFile,
    record::{Header, MAGIC, MAX_HEADER_BYTES},
};

/// Bytes read at once. A larger window would read more payload bytes, which
/// are skipped.
const WINDOW_BYTES: usize = 16 << 10;

/// An item found by a scan.
#[derive(Debug)]
pub(crate) enum Item {
    /// A record with a valid header. Its payload has not been verified and may
    /// extend past the end of the file.
    Record {
        /// Offset of the record.
        offset: u64,
        /// Header of the record.
        header: Header,
    },
    /// Bytes that are not a valid record, up to the next record or the end.
    Damage {
        /// Offset at which the damage starts.
        from: u64,
        /// Offset of the next record, or the end of the file.
        to: u64,
    },
}

/// Iterates over the records of one segment.
#[derive(Debug)]
pub(crate) struct Scanner<'a> {
    file: &'a dyn LayerFile,
    salt: u64,
    len: u64,
    next: u64,
    window: Vec<u8>,
    window_offset: u64,
}

impl<'a> Scanner<'a> {
    /// Creates a scanner that starts at a record boundary and ends at `len`.
    pub(crate) fn new(
        file: &'a dyn LayerFile,
        salt: u64,
        from: u64,
        len: u64,
    ) -> Self {
        Self {
            file,
            salt,
            len,
            next: from,
            window: Vec::new(),
            window_offset: 0,
        }
    }

    /// Returns the offset of the next item.
    pub(crate) fn position(&self) -> u64 {
        self.next
    }

    /// Returns the next record or damaged region, or `None` at the end.
    pub(crate) fn next(&mut self) -> io::Result<Option<Item>> {
        if self.next >= self.len {
            return Ok(None);
        }
        let from = self.next;
        if let Some(header) = self.header_at(from)? {
            self.next = from + header.record_bytes();
            return Ok(Some(Item::Record {
                offset: from,
                header,
            }));
        }
        self.next = self.find_record(from + 1)?;
        Ok(Some(Item::Damage {
            from,
            to: self.next,
        }))
    }

    fn header_at(&mut self, offset: u64) -> io::Result<Option<Header>> {
        let salt = self.salt;
        let bytes = self.bytes_at(offset, MAX_HEADER_BYTES)?;
        Ok(Header::decode(salt, bytes))
    }

    /// Returns the offset of the first valid record at or after an offset, or
    /// the end.
    fn find_record(&mut self, mut offset: u64) -> io::Result<u64> {
        while offset < self.len {
            let bytes = self.bytes_at(offset, MAX_HEADER_BYTES)?;
            let found = bytes
                .windows(MAGIC.len())
                .position(|window| *window == MAGIC);
            let Some(at) = found else {
                // The magic number may start in the last bytes of the window.
                let step = bytes.len().saturating_sub(MAGIC.len() - 1);
                offset += step.max(1) as u64;
                continue;
            };
            offset += at as u64;
            if self.header_at(offset)?.is_some() {
                return Ok(offset);
            }
            offset += 1;
        }
        Ok(self.len)
    }

    /// Returns the buffered bytes from an offset: at least `min_bytes` unless
    /// the file ends before.
    fn bytes_at(
        &mut self,
        offset: u64,
        min_bytes: usize,
    ) -> io::Result<&[u8]> {
        let remaining = self.len.saturating_sub(offset);
        let min_bytes = (min_bytes as u64).min(remaining);
        let window_end = self.window_offset + self.window.len() as u64;
        if offset < self.window_offset || offset + min_bytes > window_end {
            let bytes = remaining.min(WINDOW_BYTES as u64) as usize;
            self.window.resize(bytes, 0);
            self.window_offset = offset;
            self.file.read_exact_at(&mut self.window, offset)?;
        }
        let start = (offset - self.window_offset) as usize;
        Ok(&self.window[start..])
    }
}
