//! Changes of the index, applied in the order of the log.
//!
//! Applying a record twice, or after a newer one of the same id, changes
//! nothing: the seq decides. A start may therefore read records again that
//! the index had already seen.

use std::collections::BTreeMap;

use redb::{ReadableTable, ReadableTableMetadata, Table, WriteTransaction};

use crate::{
    BlobId,
    record::record_bytes,
    rows::{
        BLOBS, CURSOR, Entry, EntryRow, Held, HeldRow, QUARANTINE, SEGMENTS,
        SegmentRow, SegmentStat, TOTALS, Totals, TotalsRow, corrupted,
    },
    segment::SegmentNumber,
};

/// One step of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// A put record stands in the log.
    Put { id: BlobId, entry: Entry },
    /// A removal record stands in the log.
    Removal {
        id: BlobId,
        seq: u64,
        segment: SegmentNumber,
    },
    /// The blob at this place is damaged.
    Quarantine { id: BlobId, entry: Entry },
    /// The log is covered up to here.
    Covered {
        segment: SegmentNumber,
        offset: u64,
        next_seq: u64,
    },
    /// A segment has this many bytes.
    SegmentBytes { segment: SegmentNumber, bytes: u64 },
    /// A segment no longer counts, as its file is about to be deleted.
    Drop { segment: SegmentNumber },
    /// A scrub has come to this id.
    ScrubCursor(Option<BlobId>),
}

/// The tables of one write transaction.
pub(crate) struct Tables<'t> {
    blobs: Table<'t, &'static str, EntryRow>,
    quarantine: Table<'t, &'static str, HeldRow>,
    segments: Table<'t, u32, SegmentRow>,
    sums: Table<'t, (), TotalsRow>,
    cursor: Table<'t, (), &'static str>,
    totals: Totals,
    /// Segments that the transaction has touched.
    touched: BTreeMap<SegmentNumber, SegmentStat>,
}

impl<'t> Tables<'t> {
    pub(crate) fn open(
        txn: &'t WriteTransaction,
    ) -> Result<Self, redb::Error> {
        let segments = txn.open_table(SEGMENTS)?;
        let sums = txn.open_table(TOTALS)?;
        let totals = match Totals::load(&sums)? {
            Some(totals) => totals,
            None if segments.is_empty()? => Totals::default(),
            None => return Err(corrupted("there are no totals")),
        };
        Ok(Self {
            blobs: txn.open_table(BLOBS)?,
            quarantine: txn.open_table(QUARANTINE)?,
            segments,
            sums,
            cursor: txn.open_table(CURSOR)?,
            totals,
            touched: BTreeMap::new(),
        })
    }

    pub(crate) fn apply(
        &mut self,
        change: &Change,
    ) -> Result<(), redb::Error> {
        match change {
            Change::Put { id, entry } => self.put(id, *entry),
            Change::Removal { id, seq, segment } => {
                self.removal(id, *seq, *segment)
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
                self.segment(*segment)?.file_bytes = *bytes;
                Ok(())
            }
            Change::Drop { segment } => {
                self.touched.remove(segment);
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

    /// Writes what the changes have summed up.
    pub(crate) fn finish(mut self) -> Result<(), redb::Error> {
        for (number, stat) in &self.touched {
            self.segments.insert(*number, stat.to_row())?;
        }
        self.sums.insert((), self.totals.to_row())?;
        Ok(())
    }

    fn put(&mut self, id: &BlobId, entry: Entry) -> Result<(), redb::Error> {
        let bytes = entry.record_bytes(id);
        let stat = self.segment(entry.segment)?;
        stat.min_put_seq = stat.min_put_seq.min(entry.seq);
        let old = self.entry(id)?;
        if old.is_some_and(|old| old.seq > entry.seq) {
            return Ok(());
        }
        if let Some(old) = old {
            self.release(id, &old)?;
        }
        if self.quarantine.remove(id.as_str())?.is_some() {
            self.totals.quarantined = checked_sub(self.totals.quarantined, 1)?;
        }
        self.blobs.insert(id.as_str(), entry.to_row())?;
        self.segment(entry.segment)?.live_bytes += bytes;
        self.totals.blobs += 1;
        self.totals.payload_bytes += u64::from(entry.payload_bytes);
        Ok(())
    }

    fn removal(
        &mut self,
        id: &BlobId,
        seq: u64,
        segment: SegmentNumber,
    ) -> Result<(), redb::Error> {
        let stat = self.segment(segment)?;
        stat.removal_bytes += record_bytes(id, 0);
        stat.max_removal_seq = stat.max_removal_seq.max(seq);
        if let Some(old) = self.entry(id)?
            && old.seq < seq
        {
            self.blobs.remove(id.as_str())?;
            self.release(id, &old)?;
        }
        if let Some(held) = self.held(id)?
            && held.seq < seq
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
        // The blob may have been put again since the damage was seen.
        let same = |old: &Entry| old.same_place(entry);
        let Some(old) = self.entry(id)?.filter(same) else {
            return Ok(());
        };
        self.blobs.remove(id.as_str())?;
        self.release(id, &old)?;
        let held = Held {
            seq: old.seq,
            stored_at_ms: old.stored_at_ms,
        };
        let row = held.to_row();
        if self.quarantine.insert(id.as_str(), row)?.is_none() {
            self.totals.quarantined += 1;
        }
        Ok(())
    }

    fn entry(&self, id: &BlobId) -> Result<Option<Entry>, redb::Error> {
        let row = self.blobs.get(id.as_str())?;
        Ok(row.map(|row| Entry::from_row(row.value())))
    }

    fn held(&self, id: &BlobId) -> Result<Option<Held>, redb::Error> {
        let row = self.quarantine.get(id.as_str())?;
        Ok(row.map(|row| Held::from_row(row.value())))
    }

    /// Takes a blob that is no longer pointed to out of the sums.
    fn release(
        &mut self,
        id: &BlobId,
        old: &Entry,
    ) -> Result<(), redb::Error> {
        let bytes = old.record_bytes(id);
        let stat = self.segment(old.segment)?;
        stat.live_bytes = checked_sub(stat.live_bytes, bytes)?;
        let payload_bytes = u64::from(old.payload_bytes);
        let totals = &mut self.totals;
        totals.blobs = checked_sub(totals.blobs, 1)?;
        totals.payload_bytes =
            checked_sub(totals.payload_bytes, payload_bytes)?;
        Ok(())
    }

    fn segment(
        &mut self,
        number: SegmentNumber,
    ) -> Result<&mut SegmentStat, redb::Error> {
        if !self.touched.contains_key(&number) {
            let stat = match self.segments.get(number)? {
                Some(row) => SegmentStat::from_row(row.value()),
                None => SegmentStat::EMPTY,
            };
            self.touched.insert(number, stat);
        }
        Ok(self.touched.entry(number).or_insert(SegmentStat::EMPTY))
    }
}

/// Subtracts within the sums; a result below 0 shows damage.
fn checked_sub(sum: u64, part: u64) -> Result<u64, redb::Error> {
    sum.checked_sub(part)
        .ok_or_else(|| corrupted("a sum is less than one of its parts"))
}
