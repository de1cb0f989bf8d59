//! Replays the log into the index.
//!
//! Each batch is written only after the previous one has been synced. A crash
//! can therefore tear only the last batch of the log; any error in an earlier
//! batch is damage to acknowledged blobs.

use std::collections::BTreeMap;

use error_stack::Report;

use crate::{
    BlobId,
    apply::Change,
    index::{INDEX_NAME, Index, IndexError},
    layer::FileLayer,
    put::MAX_BATCH_BYTES,
    record::{Header, Kind, MAX_HEADER_BYTES, Record},
    scan::{Item, Scanner},
    segment::{SegmentNumber, Segments},
    store::MAX_BLOB_BYTES,
    writer::header_change,
};

/// Number of changes in one index transaction.
const TXN_CHANGES: usize = 32 << 10;

/// Maximum length of a torn batch, since a crash can tear only one; a longer
/// invalid region is damage.
const MAX_TORN_BYTES: u64 =
    (MAX_BATCH_BYTES + MAX_BLOB_BYTES + MAX_HEADER_BYTES) as u64;

/// Why the log is replayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// The store is being opened; the last batch may be torn.
    Start {
        /// Bytes of payloads to verify besides those of the last batch.
        verify_bytes: u64,
    },
    /// The store is running; every batch is complete.
    Running,
}

/// Result of replaying the log.
#[derive(Debug, Default)]
pub(crate) struct Replayed {
    pub(crate) records: u64,
    pub(crate) next_seq: u64,
    /// Position of the torn batch, at which the segment is truncated.
    pub(crate) truncate_at: Option<(SegmentNumber, u64)>,
    pub(crate) torn_bytes: u64,
    /// Blobs of the torn batch that are incomplete.
    pub(crate) torn: Vec<BlobId>,
    /// Complete records of the torn batch that are lost by the truncation and
    /// must be written again.
    pub(crate) rescued: Vec<Record>,
    pub(crate) corrupt: Vec<BlobId>,
    /// Segment, start and end of each unreadable region.
    pub(crate) damaged: Vec<(SegmentNumber, u64, u64)>,
    pub(crate) scanned: BTreeMap<SegmentNumber, SegmentScan>,
}

/// Result of scanning one segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentScan {
    /// Length without the torn batch.
    pub(crate) bytes: u64,
    /// Whether the segment contains a valid record.
    pub(crate) has_records: bool,
    /// Whether the file could be opened.
    pub(crate) is_open: bool,
}

#[derive(Debug)]
struct LogRecord {
    segment: SegmentNumber,
    offset: u64,
    header: Header,
}

impl LogRecord {
    fn end(&self) -> u64 {
        self.offset + self.header.record_bytes()
    }
}

struct Replayer<'a> {
    segments: &'a Segments,
    index: &'a Index,
    verify_remaining_bytes: u64,
    last_batch: u64,
    /// Records since the start of the last batch.
    batch_records: Vec<LogRecord>,
    batch_damage: Vec<(SegmentNumber, u64, u64)>,
    changes: Vec<Change>,
    result: Replayed,
}

/// Applies the log from a position onwards to the index.
pub(crate) fn replay(
    segments: &Segments,
    index: &Index,
    from: (SegmentNumber, u64),
    mode: Mode,
) -> Result<Replayed, Report<IndexError>> {
    let verify_remaining_bytes = match mode {
        Mode::Start { verify_bytes } => verify_bytes,
        Mode::Running => 0,
    };
    let mut replayer = Replayer {
        segments,
        index,
        verify_remaining_bytes,
        last_batch: 0,
        batch_records: Vec::new(),
        batch_damage: Vec::new(),
        changes: Vec::new(),
        result: Replayed::default(),
    };
    for (number, _) in segments.all() {
        if number < from.0 {
            continue;
        }
        let start = if number == from.0 { from.1 } else { 0 };
        replayer.scan_segment(number, start)?;
    }
    if mode != Mode::Running {
        replayer.truncate_torn_batch();
    }
    replayer.flush_batch()?;
    replayer.finish()
}

/// Rebuilds the index from the whole log, replacing the one on disk.
pub(crate) fn rebuild_index(
    segments: &Segments,
    cache_bytes: usize,
) -> Result<Index, Report<IndexError>> {
    let layer = segments.layer().as_ref();
    discard_index(layer);
    let build = || {
        let index = Index::create(layer, cache_bytes)?;
        replay(segments, &index, (0, 0), Mode::Running)?;
        Ok(index)
    };
    build().inspect_err(|_| discard_index(layer))
}

/// Removes the index file, if it exists.
///
/// The file is removed rather than truncated because a reader may still have
/// it open.
pub(crate) fn discard_index(layer: &dyn FileLayer) {
    if layer.remove(INDEX_NAME).is_err() {
        // The name may belong to a folder, which only has to be renamed. If
        // that fails too, creating the new index reports the error.
        let aside = format!("{INDEX_NAME}.broken");
        layer.rename(INDEX_NAME, &aside).ok();
    }
}

impl Replayer<'_> {
    fn scan_segment(
        &mut self,
        number: SegmentNumber,
        start: u64,
    ) -> Result<(), Report<IndexError>> {
        let segments = self.segments;
        let opened = segments.open(number).ok();
        let len = opened.as_ref().and_then(|(file, _)| file.len().ok());
        let (Some((file, salt)), Some(len)) = (opened, len) else {
            self.batch_damage.push((number, start, start));
            self.record_scan(number, 0, false, false);
            return Ok(());
        };
        let mut has_records = start > 0;
        let mut scanner = Scanner::new(file.as_ref(), salt, start, len);
        loop {
            match scanner.next() {
                Ok(Some(Item::Record { offset, header })) => {
                    has_records = true;
                    self.add(LogRecord {
                        segment: number,
                        offset,
                        header,
                    })?;
                }
                Ok(Some(Item::Damage { from, to })) => {
                    self.batch_damage.push((number, from, to));
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("segment {number}: read failed: {error}");
                    let from = scanner.position();
                    self.batch_damage.push((number, from, len));
                    break;
                }
            }
        }
        self.record_scan(number, len, has_records, true);
        Ok(())
    }

    fn record_scan(
        &mut self,
        number: SegmentNumber,
        bytes: u64,
        has_records: bool,
        is_open: bool,
    ) {
        let scanned = SegmentScan {
            bytes,
            has_records,
            is_open,
        };
        self.result.scanned.insert(number, scanned);
    }

    fn add(&mut self, found: LogRecord) -> Result<(), Report<IndexError>> {
        let header = &found.header;
        let after = header.seq.max(header.batch) + 1;
        self.result.next_seq = self.result.next_seq.max(after);
        self.result.records += 1;
        if header.batch > self.last_batch {
            self.flush_batch()?;
            self.last_batch = found.header.batch;
        }
        self.batch_records.push(found);
        Ok(())
    }

    /// Applies the records of the current batch, which is complete.
    fn flush_batch(&mut self) -> Result<(), Report<IndexError>> {
        self.result.damaged.append(&mut self.batch_damage);
        for found in std::mem::take(&mut self.batch_records) {
            let change =
                header_change(&found.header, found.segment, found.offset);
            let bytes = found.header.record_bytes();
            let check = self.verify_remaining_bytes >= bytes;
            self.verify_remaining_bytes -= if check { bytes } else { 0 };
            let damaged = check && self.read(&found).is_none();
            if let Change::Put { id, entry } = &change
                && damaged
            {
                let (id, entry) = (id.clone(), *entry);
                self.result.corrupt.push(id.clone());
                self.changes.push(change);
                self.changes.push(Change::Quarantine { id, entry });
            } else {
                self.changes.push(change);
            }
            if self.changes.len() >= TXN_CHANGES {
                let (segment, offset) = (found.segment, found.end());
                self.commit(segment, offset)?;
            }
        }
        Ok(())
    }

    /// Finds where the last batch is torn and keeps its complete records.
    ///
    /// The torn batch is in the last segment: a new segment is started only
    /// after all earlier ones are synced.
    fn truncate_torn_batch(&mut self) {
        let scanned = self.result.scanned.iter();
        let Some((&last, &SegmentScan { bytes: len, .. })) =
            scanned.rev().find(|(_, scanned)| scanned.bytes > 0)
        else {
            return;
        };
        let mut truncate_at = len;
        let mut records = Vec::new();
        for found in &self.batch_records {
            let record = self.read(found);
            if record.is_none() && found.segment == last {
                truncate_at = truncate_at.min(found.offset);
            }
            records.push(record);
        }
        for (segment, from, _) in &self.batch_damage {
            if *segment == last {
                truncate_at = truncate_at.min(*from);
            }
        }
        if truncate_at == len || len - truncate_at > MAX_TORN_BYTES {
            return;
        }
        let is_truncated = |segment: SegmentNumber, offset: u64| {
            segment == last && offset >= truncate_at
        };
        self.batch_damage
            .retain(|(segment, from, _)| !is_truncated(*segment, *from));
        let batch_records = std::mem::take(&mut self.batch_records);
        for (found, record) in batch_records.into_iter().zip(records) {
            if !is_truncated(found.segment, found.offset) {
                self.batch_records.push(found);
            } else if let Some(record) = record {
                self.result.rescued.push(record);
            } else {
                self.result.torn.push(found.header.id);
            }
        }
        if let Some(scanned) = self.result.scanned.get_mut(&last) {
            scanned.bytes = truncate_at;
        }
        self.result.torn_bytes = len - truncate_at;
        self.result.truncate_at = Some((last, truncate_at));
    }

    /// Reads and verifies a record; returns `None` if it is damaged.
    fn read(&self, found: &LogRecord) -> Option<Record> {
        let header = &found.header;
        if header.kind == Kind::Removal {
            return Some(Record {
                header: header.clone(),
                payload: Default::default(),
            });
        }
        let change = header_change(header, found.segment, found.offset);
        match change {
            Change::Put { id, entry } => self.segments.read(&id, &entry).ok(),
            _ => None,
        }
    }

    fn commit(
        &mut self,
        segment: SegmentNumber,
        offset: u64,
    ) -> Result<(), Report<IndexError>> {
        self.changes.push(Change::Covered {
            segment,
            offset,
            next_seq: self.result.next_seq,
        });
        self.index.apply(&self.changes, true)?;
        self.changes.clear();
        Ok(())
    }

    fn finish(mut self) -> Result<Replayed, Report<IndexError>> {
        let mut last = None;
        for (&segment, scanned) in &self.result.scanned {
            let bytes = scanned.bytes;
            self.changes.push(Change::SegmentBytes { segment, bytes });
            last = Some((segment, bytes));
        }
        if let Some((segment, bytes)) = last {
            self.commit(segment, bytes)?;
        }
        Ok(self.result)
    }
}
