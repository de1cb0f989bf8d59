//! Reads the log into the index.
//!
//! Batches are written one after the other, each only after the one before
//! it was synced. So only the last batch of the log can be torn by a crash:
//! whatever is wrong in an earlier one is damage to acknowledged blobs.

use std::collections::BTreeMap;

use error_stack::Report;

use crate::{
    BlobId,
    apply::Change,
    index::{INDEX_NAME, Index, IndexError},
    layer::FileLayer,
    put::BATCH_MAX_BYTES,
    record::{HEADER_MAX_BYTES, Header, Kind, Record},
    scan::{Item, Scanner},
    segment::{SegmentNumber, Segments},
    store::BLOB_MAX_BYTES,
    writer::header_change,
};

/// Changes that are committed together.
const CHUNK_CHANGES: usize = 32 << 10;

/// A crash cannot tear more than one batch; more than this is damage.
const TORN_MAX_BYTES: u64 =
    (BATCH_MAX_BYTES + BLOB_MAX_BYTES + HEADER_MAX_BYTES) as u64;

/// When the log is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// At a start, when the last batch may be torn.
    Start {
        /// Bytes of payloads to verify besides those of the last batch.
        verify_bytes: u64,
    },
    /// While the store runs, when every batch is whole.
    Running,
}

/// What reading the log found.
#[derive(Debug, Default)]
pub(crate) struct Replayed {
    pub(crate) records: u64,
    pub(crate) next_seq: u64,
    /// Where the torn batch begins; the segment ends there.
    pub(crate) cut: Option<(SegmentNumber, u64)>,
    pub(crate) torn_bytes: u64,
    /// Blobs of the torn batch that are not whole.
    pub(crate) torn: Vec<BlobId>,
    /// Whole records of the torn batch that the cut takes away.
    pub(crate) rescued: Vec<Record>,
    pub(crate) corrupt: Vec<BlobId>,
    /// Segment, start and end of unreadable bytes.
    pub(crate) damaged: Vec<(SegmentNumber, u64, u64)>,
    pub(crate) scanned: BTreeMap<SegmentNumber, Scanned>,
}

/// What reading one segment found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scanned {
    /// Length without a torn batch.
    pub(crate) bytes: u64,
    /// Tells whether there is a record in it.
    pub(crate) has_records: bool,
    /// Tells whether the file could be opened.
    pub(crate) is_open: bool,
}

#[derive(Debug)]
struct Found {
    segment: SegmentNumber,
    offset: u64,
    header: Header,
}

impl Found {
    fn end(&self) -> u64 {
        self.offset + self.header.record_bytes()
    }
}

struct Replayer<'a> {
    segments: &'a Segments,
    index: &'a Index,
    verify_left: u64,
    last_batch: u64,
    /// Records and damage since the last batch began.
    zone: Vec<Found>,
    zone_damage: Vec<(SegmentNumber, u64, u64)>,
    changes: Vec<Change>,
    out: Replayed,
}

/// Applies the log from a place on to the index.
pub(crate) fn replay(
    segments: &Segments,
    index: &Index,
    from: (SegmentNumber, u64),
    mode: Mode,
) -> Result<Replayed, Report<IndexError>> {
    let verify_left = match mode {
        Mode::Start { verify_bytes } => verify_bytes,
        Mode::Running => 0,
    };
    let mut replayer = Replayer {
        segments,
        index,
        verify_left,
        last_batch: 0,
        zone: Vec::new(),
        zone_damage: Vec::new(),
        changes: Vec::new(),
        out: Replayed::default(),
    };
    for (number, _) in segments.all() {
        if number < from.0 {
            continue;
        }
        let start = if number == from.0 { from.1 } else { 0 };
        replayer.segment(number, start)?;
    }
    if mode != Mode::Running {
        replayer.cut_torn_batch();
    }
    replayer.flush_zone()?;
    replayer.finish()
}

/// Builds the index from the whole log in place of the one on the disk.
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

/// Removes the file of the index, if there is one.
///
/// It is removed rather than emptied: a reader may still have it open.
pub(crate) fn discard_index(layer: &dyn FileLayer) {
    if layer.remove(INDEX_NAME).is_err() {
        // Perhaps it is a folder; it only has to be out of the way. If it
        // cannot be, creating the new one fails and says so.
        let aside = format!("{INDEX_NAME}.broken");
        layer.rename(INDEX_NAME, &aside).ok();
    }
}

impl Replayer<'_> {
    fn segment(
        &mut self,
        number: SegmentNumber,
        start: u64,
    ) -> Result<(), Report<IndexError>> {
        let segments = self.segments;
        let opened = segments.open(number).ok();
        let len = opened.as_ref().and_then(|(file, _)| file.len().ok());
        let (Some((file, salt)), Some(len)) = (opened, len) else {
            self.zone_damage.push((number, start, start));
            self.scanned(number, 0, false, false);
            return Ok(());
        };
        let mut has_records = start > 0;
        let mut scanner = Scanner::new(file.as_ref(), salt, start, len);
        loop {
            match scanner.next() {
                Ok(Some(Item::Record { offset, header })) => {
                    has_records = true;
                    self.found(Found {
                        segment: number,
                        offset,
                        header,
                    })?;
                }
                Ok(Some(Item::Damage { from, to })) => {
                    self.zone_damage.push((number, from, to));
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("segment {number}: {error}");
                    let from = scanner.position();
                    self.zone_damage.push((number, from, len));
                    break;
                }
            }
        }
        self.scanned(number, len, has_records, true);
        Ok(())
    }

    fn scanned(
        &mut self,
        number: SegmentNumber,
        bytes: u64,
        has_records: bool,
        is_open: bool,
    ) {
        let scanned = Scanned {
            bytes,
            has_records,
            is_open,
        };
        self.out.scanned.insert(number, scanned);
    }

    fn found(&mut self, found: Found) -> Result<(), Report<IndexError>> {
        let header = &found.header;
        let after = header.seq.max(header.batch) + 1;
        self.out.next_seq = self.out.next_seq.max(after);
        self.out.records += 1;
        if header.batch > self.last_batch {
            self.flush_zone()?;
            self.last_batch = found.header.batch;
        }
        self.zone.push(found);
        Ok(())
    }

    /// Takes the batch read so far as acknowledged.
    fn flush_zone(&mut self) -> Result<(), Report<IndexError>> {
        self.out.damaged.append(&mut self.zone_damage);
        for found in std::mem::take(&mut self.zone) {
            let change =
                header_change(&found.header, found.segment, found.offset);
            let bytes = found.header.record_bytes();
            let check = self.verify_left >= bytes;
            self.verify_left -= if check { bytes } else { 0 };
            let damaged = check && self.read(&found).is_none();
            if let Change::Put { id, entry } = &change
                && damaged
            {
                let (id, entry) = (id.clone(), *entry);
                self.out.corrupt.push(id.clone());
                self.changes.push(change);
                self.changes.push(Change::Quarantine { id, entry });
            } else {
                self.changes.push(change);
            }
            if self.changes.len() >= CHUNK_CHANGES {
                let (segment, offset) = (found.segment, found.end());
                self.commit(segment, offset)?;
            }
        }
        Ok(())
    }

    /// Finds where the last batch is torn and keeps the rest of it.
    ///
    /// It stands in the last segment: a new one is begun only when all
    /// before it are synced.
    fn cut_torn_batch(&mut self) {
        let scanned = self.out.scanned.iter();
        let Some((&last, &Scanned { bytes: len, .. })) =
            scanned.rev().find(|(_, scanned)| scanned.bytes > 0)
        else {
            return;
        };
        let mut cut = len;
        let mut records = Vec::new();
        for found in &self.zone {
            let record = self.read(found);
            if record.is_none() && found.segment == last {
                cut = cut.min(found.offset);
            }
            records.push(record);
        }
        for (segment, from, _) in &self.zone_damage {
            if *segment == last {
                cut = cut.min(*from);
            }
        }
        if cut == len || len - cut > TORN_MAX_BYTES {
            return;
        }
        let is_cut = |segment: SegmentNumber, offset: u64| {
            segment == last && offset >= cut
        };
        self.zone_damage
            .retain(|(segment, from, _)| !is_cut(*segment, *from));
        let zone = std::mem::take(&mut self.zone);
        for (found, record) in zone.into_iter().zip(records) {
            if !is_cut(found.segment, found.offset) {
                self.zone.push(found);
            } else if let Some(record) = record {
                self.out.rescued.push(record);
            } else {
                self.out.torn.push(found.header.id);
            }
        }
        if let Some(scanned) = self.out.scanned.get_mut(&last) {
            scanned.bytes = cut;
        }
        self.out.torn_bytes = len - cut;
        self.out.cut = Some((last, cut));
    }

    /// Reads a record, or returns `None` if it is damaged.
    fn read(&self, found: &Found) -> Option<Record> {
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
            next_seq: self.out.next_seq,
        });
        self.index.apply(&self.changes, true)?;
        self.changes.clear();
        Ok(())
    }

    fn finish(mut self) -> Result<Replayed, Report<IndexError>> {
        let mut last = None;
        for (&segment, scanned) in &self.out.scanned {
            let bytes = scanned.bytes;
            self.changes.push(Change::SegmentBytes { segment, bytes });
            last = Some((segment, bytes));
        }
        if let Some((segment, bytes)) = last {
            self.commit(segment, bytes)?;
        }
        Ok(self.out)
    }
}
