//! Updates of the index, applied in log order.
//!
//! Applying a record twice, or after a newer record of the same id, has no
//! effect because sequence numbers are compared. Opening a store may therefore
//! replay records that the index already contains.

use std::collections::BTreeMap;

use redb::{ReadableTable, ReadableTableMetadata, Table, WriteTransaction};

use crate::{
    BlobId,
    record::record_bytes,
    rows::{
        BLOBS, CURSOR, Entry, EntryRow, QUARANTINE, QuarantineRow,
        QuarantinedBlob, SEGMENTS, SegmentRow, SegmentStat, TOTALS, Totals,
        TotalsRow, corrupted,
    },
    segment::SegmentNumber,
};

/// One update within an index transaction.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// The log contains a put record.
    Put { id: BlobId, entry: Entry },
    /// The log contains a removal record.
    Removal {
        id: BlobId,
        seq: u64,
        segment: SegmentNumber,
    },
    /// The blob at this position is damaged.
    Quarantine { id: BlobId, entry: Entry },
    /// The index is complete up to this log position.
    Covered {
        segment: SegmentNumber,
        offset: u64,
        next_seq: u64,
    },
    /// The length of a segment has changed.
    SegmentBytes { segment: SegmentNumber, bytes: u64 },
    /// A segment is removed from the index because its file is about to be
    /// deleted.
    Drop { segment: SegmentNumber },
    /// A scrub has verified the blobs up to this id; `None` starts over.
    ScrubCursor(Option<BlobId>),
}

/// The tables of one write transaction.
pub(crate) struct Tables<'t> {
    blobs: Table<'t, &'static str, EntryRow>,
    quarantine: Table<'t, &'static str, QuarantineRow>,
    segments: Table<'t, u32, SegmentRow>,
    totals_table: Table<'t, (), TotalsRow>,
    cursor: Table<'t, (), &'static str>,
    totals: Totals,
    /// Statistics of the segments that the transaction has modified.
    modified_segments: BTreeMap<SegmentNumber, SegmentStat>,
}

impl<'t> Tables<'t> {
    pub(crate) fn open(
        txn: &'t WriteTransaction,
    ) -> Result<Self, redb::Error> {
        let segments = txn.open_table(SEGMENTS)?;
        let totals_table = txn.open_table(TOTALS)?;
        let totals = match Totals::load(&totals_table)? {
            Some(totals) => totals,
            None if segments.is_empty()? => Totals::default(),
            None => return Err(corrupted("the totals are missing")),
        };
        Ok(Self {
            blobs: txn.open_table(BLOBS)?,
            quarantine: txn.open_table(QUARANTINE)?,
            segments,
            totals_table,
            cursor: txn.open_table(CURSOR)?,
            totals,
            modified_segments: BTreeMap::new(),
        })
    }

    pub(crate) fn apply(
        &mut self,
        change: &Change,
    ) -> Result<(), redb::Error> {
        match change {
            Change::Put { id, entry } => self.put(id, *entry),
            Change::Removal { id, seq, segment } => {
                self.remove(id, *seq, *segment)
            }
            Change::Quarantine { id, entry } => self.quarantine(id, entry),
            Change::Covered {
                segment,
                offset,
                next_seq,
            } => {
                self.totals.covered_segment = *segment;
                self.totals.covered_offset = *offset;
                let seq = self.totals.next_seq.max(*next_seq);
                self.totals.next_seq = seq;
                Ok(())
            }
            Change::SegmentBytes { segment, bytes } => {
                self.segment_mut(*segment)?.file_bytes = *bytes;
                Ok(())
            }
            Change::Drop { segment } => {
                self.modified_segments.remove(segment);
                self.segments.remove(*segment)?;
                Ok(())
            }
            Change::ScrubCursor(id) => {
                match id {
                    Some(id) => self.cursor.insert((), id.as_str())?,
                    None => self.cursor.remove(())?,
                };
                Ok(())
            }
        }
    }

    /// Writes the modified statistics and totals.
    pub(crate) fn finish(mut self) -> Result<(), redb::Error> {
        for (number, stat) in &self.modified_segments {
            self.segments.insert(*number, stat.to_row())?;
        }
        self.totals_table.insert((), self.totals.to_row())?;
        Ok(())
    }

    fn put(&mut self, id: &BlobId, entry: Entry) -> Result<(), redb::Error> {
        let bytes = entry.record_bytes(id);
        let stat = self.segment_mut(entry.segment)?;
        stat.min_put_seq = stat.min_put_seq.min(entry.seq);
        let old = self.entry(id)?;
        if old.is_some_and(|old| old.seq > entry.seq) {
            return Ok(());
        }
        if let Some(old) = old {
            self.subtract_blob(id, &old)?;
        }
        if self.quarantine.remove(id.as_str())?.is_some() {
            self.totals.quarantined = checked_sub(self.totals.quarantined, 1)?;
        }
        self.blobs.insert(id.as_str(), entry.to_row())?;
        self.segment_mut(entry.segment)?.live_bytes += bytes;
        self.totals.blobs += 1;
        self.totals.payload_bytes += u64::from(entry.payload_bytes);
        Ok(())
    }

    fn remove(
        &mut self,
        id: &BlobId,
        seq: u64,
        segment: SegmentNumber,
    ) -> Result<(), redb::Error> {
        let stat = self.segment_mut(segment)?;
        stat.removal_bytes += record_bytes(id, 0);
        stat.max_removal_seq = stat.max_removal_seq.max(seq);
        if let Some(old) = self.entry(id)?
            && old.seq < seq
        {
            self.blobs.remove(id.as_str())?;
            self.subtract_blob(id, &old)?;
        }
        if let Some(quarantined_blob) = self.quarantined_blob(id)?
            && quarantined_blob.seq < seq
        {
            self.quarantine.remove(id.as_str())?;
            self.totals.quarantined = checked_sub(self.totals.quarantined, 1)?;
        }
        Ok(())
    }

    fn quarantine(
        &mut self,
        id: &BlobId,
        entry: &Entry,
    ) -> Result<(), redb::Error> {
        // The blob may have been put again since the damage was detected.
        let same = |old: &Entry| old.is_same_record(entry);
        let Some(old) = self.entry(id)?.filter(same) else {
            return Ok(());
        };
        self.blobs.remove(id.as_str())?;
        self.subtract_blob(id, &old)?;
        let quarantined_blob = QuarantinedBlob {
            seq: old.seq,
            stored_at_ms: old.stored_at_ms,
        };
        let row = quarantined_blob.to_row();
        if self.quarantine.insert(id.as_str(), row)?.is_none() {
            self.totals.quarantined += 1;
        }
        Ok(())
    }

    fn entry(&self, id: &BlobId) -> Result<Option<Entry>, redb::Error> {
        let row = self.blobs.get(id.as_str())?;
        Ok(row.map(|row| Entry::from_row(row.value())))
    }

    fn quarantined_blob(
        &self,
        id: &BlobId,
    ) -> Result<Option<QuarantinedBlob>, redb::Error> {
        let row = self.quarantine.get(id.as_str())?;
        Ok(row.map(|row| QuarantinedBlob::from_row(row.value())))
    }

    /// Subtracts a blob that is no longer referenced from the statistics and
    /// totals.
    fn subtract_blob(
        &mut self,
        id: &BlobId,
        old: &Entry,
    ) -> Result<(), redb::Error> {
        let bytes = old.record_bytes(id);
        let stat = self.segment_mut(old.segment)?;
        stat.live_bytes = checked_sub(stat.live_bytes, bytes)?;
        let payload_bytes = u64::from(old.payload_bytes);
        let totals = &mut self.totals;
        totals.blobs = checked_sub(totals.blobs, 1)?;
        totals.payload_bytes =
            checked_sub(totals.payload_bytes, payload_bytes)?;
        Ok(())
    }

    fn segment_mut(
        &mut self,
        number: SegmentNumber,
    ) -> Result<&mut SegmentStat, redb::Error> {
        if !self.modified_segments.contains_key(&number) {
            let stat = match self.segments.get(number)? {
                Some(row) => SegmentStat::from_row(row.value()),
                None => SegmentStat::EMPTY,
            };
            self.modified_segments.insert(number, stat);
        }
        Ok(self
            .modified_segments
            .entry(number)
            .or_insert(SegmentStat::EMPTY))
    }
}

/// Subtracts `part` from `sum`; a negative result indicates damage.
fn checked_sub(sum: u64, part: u64) -> Result<u64, redb::Error> {
    sum.checked_sub(part)
        .ok_or_else(|| corrupted("a total would become negative"))
}
