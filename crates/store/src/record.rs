//! Format of a record in a segment: a header with its own checksum, the id and
//! the content of the blob.
//!
//! ```text
//!  0 magic u32 | 4 kind u8 | 5 id length u8 | 6 zero u16
//!  8 payload length u32 | 12 payload crc32 u32
//! 16 seq u64 | 24 batch u64 | 32 stored at, ms since 1970 u64
//! 40 crc32 of salt, bytes 0..40 and id u32
//! 44 id, then payload
//! ```
//!
//! All numbers are little-endian. The salt is random per segment and appears
//! only in the name of the segment file. It protects against a blob whose
//! content looks like records: if the record before it were damaged, the
//! search for the next record would otherwise accept these as the store's own.

use base::UnixMillis;
use bytes::Bytes;
use crc32fast::Hasher;

use crate::{BlobId, id::MAX_ID_BYTES, store::MAX_BLOB_BYTES};

/// Magic number at the start of each record.
pub(crate) const MAGIC: [u8; 4] = *b"pBr1";
/// Length of the header before the id.
pub(crate) const HEADER_BYTES: usize = 44;
/// Maximum length of a header with its id.
pub(crate) const MAX_HEADER_BYTES: usize = HEADER_BYTES + MAX_ID_BYTES;

const HEADER_CRC_OFFSET: usize = 40;

/// Type of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// Stores a blob.
    Put,
    /// Removes all earlier blobs with this id (tombstone).
    Removal,
}

impl Kind {
    fn to_byte(self) -> u8 {
        match self {
            Kind::Put => 1,
            Kind::Removal => 2,
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Kind::Put),
            2 => Some(Kind::Removal),
            _ => None,
        }
    }
}

/// A record without its payload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Header {
    pub(crate) kind: Kind,
    pub(crate) id: BlobId,
    pub(crate) payload_bytes: u32,
    pub(crate) payload_crc: u32,
    /// Sequence number that orders puts and removals; kept when a record is
    /// copied.
    pub(crate) seq: u64,
    /// Sequence number of the group commit that wrote the record; replaced
    /// when the record is copied.
    pub(crate) batch: u64,
    pub(crate) stored_at: UnixMillis,
}

impl Header {
    /// Returns the length of header and id, which is the offset of the
    /// payload.
    pub(crate) fn prefix_bytes(&self) -> usize {
        HEADER_BYTES + self.id.as_str().len()
    }

    /// Returns the length of the whole record.
    pub(crate) fn record_bytes(&self) -> u64 {
        record_bytes(&self.id, self.payload_bytes)
    }

    /// Appends the encoded header and id to a buffer.
    pub(crate) fn encode(&self, salt: u64, out: &mut Vec<u8>) {
        let start = out.len();
        let id = self.id.as_str().as_bytes();
        out.extend_from_slice(&MAGIC);
        // `BlobId` limits the length, so that it fits a byte.
        out.extend_from_slice(&[self.kind.to_byte(), id.len() as u8, 0, 0]);
        out.extend_from_slice(&self.payload_bytes.to_le_bytes());
        out.extend_from_slice(&self.payload_crc.to_le_bytes());
        out.extend_from_slice(&self.seq.to_le_bytes());
        out.extend_from_slice(&self.batch.to_le_bytes());
        out.extend_from_slice(&self.stored_at.as_ms().to_le_bytes());
        let crc = header_crc(salt, &out[start..], id);
        out.extend_from_slice(&crc.to_le_bytes());
        out.extend_from_slice(id);
    }

    /// Decodes the header and id at the start of `bytes`; returns `None` if
    /// they are truncated or invalid.
    pub(crate) fn decode(salt: u64, bytes: &[u8]) -> Option<Self> {
        let (head, rest) = bytes.split_at_checked(HEADER_BYTES)?;
        let (fields, crc) = head.split_at_checked(HEADER_CRC_OFFSET)?;
        let id = rest.get(..usize::from(fields[5]))?;
        let crc = u32::from_le_bytes(crc.try_into().ok()?);
        if fields[..4] != MAGIC || crc != header_crc(salt, fields, id) {
            return None;
        }
        let header = Self {
            kind: Kind::from_byte(fields[4])?,
            id: std::str::from_utf8(id).ok()?.parse().ok()?,
            payload_bytes: u32_at(fields, 8)?,
            payload_crc: u32_at(fields, 12)?,
            seq: u64_at(fields, 16)?,
            batch: u64_at(fields, 24)?,
            stored_at: UnixMillis::new(u64_at(fields, 32)?),
        };
        let is_valid = header.payload_bytes as usize <= MAX_BLOB_BYTES;
        is_valid.then_some(header)
    }
}

/// Returns the length of a whole record.
pub(crate) fn record_bytes(id: &BlobId, payload_bytes: u32) -> u64 {
    (HEADER_BYTES + id.as_str().len()) as u64 + u64::from(payload_bytes)
}

fn header_crc(salt: u64, fields: &[u8], id: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(fields);
    hasher.update(id);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    field.try_into().ok().map(u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    let field = bytes.get(at..at + 8)?;
    field.try_into().ok().map(u64::from_le_bytes)
}

/// A record with its payload.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) header: Header,
    pub(crate) payload: Bytes,
}
