//! Tables of the index and their row types.

use redb::{ReadableTable, TableDefinition};

use crate::{BlobId, record::record_bytes, segment::SegmentNumber};

/// Stored form of [`Entry`].
pub(crate) type EntryRow = (u64, u32, u32, u32, u32, u64);
/// Stored form of [`QuarantinedBlob`].
pub(crate) type QuarantineRow = (u64, u64);
/// Stored form of [`SegmentStat`].
pub(crate) type SegmentRow = (u64, u64, u64, u64, u64);
/// Stored form of [`Totals`].
pub(crate) type TotalsRow = (u64, u64, u64, u64, u32, u64);

pub(crate) const BLOBS: TableDefinition<&str, EntryRow> =
    TableDefinition::new("blobs");
pub(crate) const QUARANTINE: TableDefinition<&str, QuarantineRow> =
    TableDefinition::new("quarantine");
pub(crate) const SEGMENTS: TableDefinition<u32, SegmentRow> =
    TableDefinition::new("segments");
pub(crate) const TOTALS: TableDefinition<(), TotalsRow> =
    TableDefinition::new("totals");
pub(crate) const CURSOR: TableDefinition<(), &str> =
    TableDefinition::new("scrub_cursor");

/// Creates the error that marks the index as damaged.
pub(crate) fn corrupted(text: &str) -> redb::Error {
    redb::Error::Corrupted(text.to_owned())
}

/// Parses an id from a table; an invalid id indicates damage.
pub(crate) fn parse_id(id: &str) -> Result<BlobId, redb::Error> {
    id.parse()
        .map_err(|error| corrupted(&format!("key {id:?}: {error}")))
}

/// Position and properties of one blob.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) seq: u64,
    pub(crate) segment: SegmentNumber,
    pub(crate) offset: u32,
    pub(crate) payload_bytes: u32,
    pub(crate) payload_crc: u32,
    pub(crate) stored_at_ms: u64,
}

impl Entry {
    pub(crate) fn from_row(row: EntryRow) -> Self {
        Self {
            seq: row.0,
            segment: row.1,
            offset: row.2,
            payload_bytes: row.3,
            payload_crc: row.4,
            stored_at_ms: row.5,
        }
    }

    pub(crate) fn to_row(self) -> EntryRow {
        (
            self.seq,
            self.segment,
            self.offset,
            self.payload_bytes,
            self.payload_crc,
            self.stored_at_ms,
        )
    }

    pub(crate) fn record_bytes(&self, id: &BlobId) -> u64 {
        record_bytes(id, self.payload_bytes)
    }

    /// Reports whether both entries refer to the same record in the log.
    pub(crate) fn is_same_record(&self, other: &Self) -> bool {
        (self.seq, self.segment, self.offset)
            == (other.seq, other.segment, other.offset)
    }
}

/// A quarantined blob.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct QuarantinedBlob {
    pub(crate) seq: u64,
    pub(crate) stored_at_ms: u64,
}

impl QuarantinedBlob {
    pub(crate) fn from_row((seq, stored_at_ms): QuarantineRow) -> Self {
        Self { seq, stored_at_ms }
    }

    pub(crate) fn to_row(self) -> QuarantineRow {
        (self.seq, self.stored_at_ms)
    }
}

/// Statistics of one segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SegmentStat {
    /// File length up to the end of the last complete batch.
    pub(crate) file_bytes: u64,
    /// Bytes of the records that the index points to.
    pub(crate) live_bytes: u64,
    /// Bytes of removal records.
    pub(crate) removal_bytes: u64,
    /// Lowest sequence number of the put records, live or not.
    pub(crate) min_put_seq: u64,
    /// Highest sequence number of the removal records.
    pub(crate) max_removal_seq: u64,
}

impl SegmentStat {
    pub(crate) const EMPTY: Self = Self {
        file_bytes: 0,
        live_bytes: 0,
        removal_bytes: 0,
        min_put_seq: u64::MAX,
        max_removal_seq: 0,
    };

    pub(crate) fn from_row(row: SegmentRow) -> Self {
        Self {
            file_bytes: row.0,
            live_bytes: row.1,
            removal_bytes: row.2,
            min_put_seq: row.3,
            max_removal_seq: row.4,
        }
    }

    pub(crate) fn to_row(self) -> SegmentRow {
        (
            self.file_bytes,
            self.live_bytes,
            self.removal_bytes,
            self.min_put_seq,
            self.max_removal_seq,
        )
    }
}

/// Totals over the store, and the log position up to which the index is
/// complete.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Totals {
    pub(crate) blobs: u64,
    pub(crate) payload_bytes: u64,
    pub(crate) quarantined: u64,
    pub(crate) next_seq: u64,
    pub(crate) covered_segment: SegmentNumber,
    pub(crate) covered_offset: u64,
}

impl Totals {
    /// Reads the totals; returns `None` if no transaction has been committed
    /// yet.
    pub(crate) fn load(
        table: &impl ReadableTable<(), TotalsRow>,
    ) -> Result<Option<Self>, redb::Error> {
        let Some(row) = table.get(())? else {
            return Ok(None);
        };
        let row = row.value();
        Ok(Some(Self {
            blobs: row.0,
            payload_bytes: row.1,
            quarantined: row.2,
            next_seq: row.3,
            covered_segment: row.4,
            covered_offset: row.5,
        }))
    }

    pub(crate) fn to_row(self) -> TotalsRow {
        (
            self.blobs,
            self.payload_bytes,
            self.quarantined,
            self.next_seq,
            self.covered_segment,
            self.covered_offset,
        )
    }
}
