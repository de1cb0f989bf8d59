//! Reads the headers of a segment in order and finds its way past damage.

use std::io;

use crate::{
    layer::LayerFile,
    record::{HEADER_MAX_BYTES, Header, MAGIC},
};

/// Bytes read at once. Larger windows would read more of the payloads, which
/// are skipped.
const WINDOW_BYTES: usize = 16 << 10;

/// What stands at a place of a segment.
#[derive(Debug)]
pub(crate) enum Item {
    /// A record with a right header. Its payload is not looked at and may
    /// reach past the end of the file.
    Record {
        /// Where the record starts.
        offset: u64,
        /// The record without its payload.
        header: Header,
    },
    /// Bytes that are no record, up to the next record or the end.
    Damage {
        /// Where the damage starts.
        from: u64,
        /// Where the next record starts, or the end of the file.
        to: u64,
    },
}

/// Walks over one segment.
#[derive(Debug)]
pub(crate) struct Scanner<'a> {
    file: &'a dyn LayerFile,
    salt: u64,
    len: u64,
    next: u64,
    window: Vec<u8>,
    window_at: u64,
}

impl<'a> Scanner<'a> {
    /// Starts at the start of a record and ends at `len`.
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
            window_at: 0,
        }
    }

    /// Returns where the next item starts.
    pub(crate) fn position(&self) -> u64 {
        self.next
    }

    /// Returns the next record or damaged region; `None` at the end.
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
        let bytes = self.bytes_at(offset, HEADER_MAX_BYTES)?;
        Ok(Header::decode(salt, bytes))
    }

    /// Returns where the first record at or after an offset starts.
    fn find_record(&mut self, mut offset: u64) -> io::Result<u64> {
        while offset < self.len {
            let bytes = self.bytes_at(offset, HEADER_MAX_BYTES)?;
            let found = bytes
                .windows(MAGIC.len())
                .position(|window| *window == MAGIC);
            let Some(at) = found else {
                // The magic may begin in the last bytes of the window.
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

    /// Returns what the window has from an offset on: at least `want` bytes
    /// unless the file ends before.
    fn bytes_at(&mut self, offset: u64, want: usize) -> io::Result<&[u8]> {
        let left = self.len.saturating_sub(offset);
        let want = (want as u64).min(left);
        let window_end = self.window_at + self.window.len() as u64;
        if offset < self.window_at || offset + want > window_end {
            let bytes = left.min(WINDOW_BYTES as u64) as usize;
            self.window.resize(bytes, 0);
            self.window_at = offset;
            self.file.read_exact_at(&mut self.window, offset)?;
        }
        let start = (offset - self.window_at) as usize;
        Ok(&self.window[start..])
    }
}
