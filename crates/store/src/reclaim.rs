//! Reclaims the space of removed blobs (log compaction).
//!
//! The live records of a segment are copied to the end of the log, and its
//! file is deleted. A removal record must be kept as long as any other file
//! may contain a put record that it removes: otherwise that blob would
//! reappear if the index were lost and rebuilt.

use error_stack::{Report, ResultExt};

use crate::{
    Reclaimed, StoreError,
    apply::Change,
    index::{Index, Lookup},
    record::{Header, Kind, Record},
    rows::{Entry, SegmentStat},
    scan::{Item, Scanner},
    segment::{ReadError, SegmentNumber},
    writer::{Core, Writer, header_change},
};

/// Bytes that are copied in one batch, during which puts wait.
const COPY_BATCH_BYTES: u64 = 1 << 20;
/// Number of blobs that are listed at a time.
const PAGE_BLOBS: usize = 1024;

/// How much of a segment must be reclaimable for it to be copied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReclaimThreshold {
    /// Everything: the segment contains no record that must be kept.
    All,
    /// At least half of the segment.
    Half,
    /// At least an eighth, for a store that has reached its quota. With a
    /// lower threshold each put would copy a whole file.
    Eighth,
}

impl ReclaimThreshold {
    fn is_met(self, stat: &SegmentStat, garbage: u64) -> bool {
        match self {
            ReclaimThreshold::All => garbage == stat.file_bytes,
            ReclaimThreshold::Half => {
                garbage > 0 && garbage * 2 >= stat.file_bytes
            }
            ReclaimThreshold::Eighth => {
                garbage > 0 && garbage * 8 >= stat.file_bytes
            }
        }
    }
}

/// Progress of copying a segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CopyState {
    segment: SegmentNumber,
    /// Offset of the next record to examine.
    offset: u64,
    /// Whether the removal records can be dropped, since no other segment
    /// contains put records that they remove.
    drops_removals: bool,
}

/// A segment that may be reclaimed.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    copying: CopyState,
    garbage_bytes: u64,
    /// Whether the segment contains no record that must be kept.
    is_dead: bool,
}

impl Core {
    /// Reclaims segments until about `budget_bytes` have been copied.
    pub(crate) fn reclaim(
        &self,
        writer: &mut Writer,
        budget_bytes: u64,
        threshold: ReclaimThreshold,
    ) -> Result<Reclaimed, Report<StoreError>> {
        let mut reclaimed = Reclaimed::default();
        while let Some(copying) =
            self.next_copy(writer, threshold, &mut reclaimed)?
        {
            if reclaimed.copied_bytes >= budget_bytes {
                reclaimed.more = true;
                break;
            }
            self.copy_step(writer, copying, &mut reclaimed)?;
        }
        Ok(reclaimed)
    }

    /// Deletes the segments that contain no record that must be kept.
    pub(crate) fn delete_dead_segments(
        &self,
        writer: &mut Writer,
    ) -> Result<(), Report<StoreError>> {
        while let Some(dead) =
            self.choose_segment(writer, ReclaimThreshold::All)?
        {
            self.delete_segment(writer, dead.copying.segment)?;
        }
        Ok(())
    }

    /// Reclaims segments until a batch fits the quota, if possible.
    pub(crate) fn reclaim_to_fit(
        &self,
        writer: &mut Writer,
        needed_bytes: u64,
    ) -> Result<(), Report<StoreError>> {
        let quota = self.limits.quota_bytes;
        while writer.disk_bytes + needed_bytes > quota {
            if !self.reclaim(writer, 1, ReclaimThreshold::Eighth)?.more {
                break;
            }
        }
        Ok(())
    }

    /// Returns the segment that is being copied, or starts with the one that
    /// has the most reclaimable bytes.
    fn next_copy(
        &self,
        writer: &mut Writer,
        threshold: ReclaimThreshold,
        reclaimed: &mut Reclaimed,
    ) -> Result<Option<CopyState>, Report<StoreError>> {
        if writer.copying.is_some() {
            return Ok(writer.copying);
        }
        while let Some(candidate) = self.choose_segment(writer, threshold)? {
            let segment = candidate.copying.segment;
            let active = writer.active.as_ref().map(|a| a.number);
            if active == Some(segment) {
                writer.active = None;
            }
            if !candidate.is_dead {
                writer.copying = Some(candidate.copying);
                return Ok(writer.copying);
            }
            reclaimed.freed_bytes += self.delete_segment(writer, segment)?;
        }
        Ok(None)
    }

    /// Chooses the segment with the most reclaimable bytes.
    fn choose_segment(
        &self,
        writer: &mut Writer,
        threshold: ReclaimThreshold,
    ) -> Result<Option<Candidate>, Report<StoreError>> {
        let stats = self.with_index_locked(writer, Index::segments)?;
        // If the active segment were deleted, the next write would create
        // another one at once.
        let active = writer.active.as_ref().map(|a| a.number);
        let skip = |number: SegmentNumber| {
            writer.unreadable.contains(&number)
                || threshold == ReclaimThreshold::All && active == Some(number)
        };
        Ok(stats
            .iter()
            .filter(|(number, _)| !skip(*number))
            .map(|(number, stat)| reclaim_candidate(&stats, *number, stat))
            .zip(&stats)
            .filter(|(candidate, (_, stat))| {
                threshold.is_met(stat, candidate.garbage_bytes)
            })
            .map(|(candidate, _)| candidate)
            .max_by_key(|candidate| candidate.garbage_bytes))
    }

    /// Copies one batch, and deletes the segment after the last one.
    fn copy_step(
        &self,
        writer: &mut Writer,
        mut copying: CopyState,
        reclaimed: &mut Reclaimed,
    ) -> Result<(), Report<StoreError>> {
        let mut records = Vec::new();
        let mut damaged = Vec::new();
        let is_last = match self.collect(
            writer,
            &mut copying,
            &mut records,
            &mut damaged,
        ) {
            Ok(is_last) => is_last,
            Err(error) => {
                // The segment is skipped until the next restart. Otherwise it
                // would be chosen again before all others each time.
                writer.unreadable.insert(copying.segment);
                writer.copying = None;
                return Err(error);
            }
        };
        let copied_bytes: u64 =
            records.iter().map(|r| r.header.record_bytes()).sum();
        writer.commit(self, records)?;
        self.apply(writer, &damaged, false)?;
        reclaimed.copied_bytes += copied_bytes;
        writer.copying = Some(copying);
        if is_last {
            writer.copying = None;
            reclaimed.freed_bytes +=
                self.delete_segment(writer, copying.segment)?;
        }
        Ok(())
    }

    /// Collects the next records to copy; returns whether they are the last.
    fn collect(
        &self,
        writer: &mut Writer,
        copying: &mut CopyState,
        records: &mut Vec<Record>,
        damaged: &mut Vec<Change>,
    ) -> Result<bool, Report<StoreError>> {
        let (file, salt) = match self.segments.open(copying.segment) {
            Ok(opened) => opened,
            Err(ReadError::Failed(error)) => {
                return Err(
                    Report::new(error).change_context(StoreError::NotApplied)
                );
            }
            Err(_) => return Ok(true),
        };
        let len = file.len().change_context(StoreError::NotApplied)?;
        let mut scanner =
            Scanner::new(file.as_ref(), salt, copying.offset, len);
        let mut bytes = 0;
        while bytes < COPY_BATCH_BYTES {
            let next =
                scanner.next().change_context(StoreError::NotApplied)?;
            let Some(item) = next else {
                return Ok(true);
            };
            if let Item::Record { offset, header } = item {
                let record = self
                    .live_record(writer, copying, offset, header, damaged)?;
                if let Some(record) = record {
                    bytes += record.header.record_bytes();
                    records.push(record);
                }
            }
            copying.offset = scanner.position();
        }
        Ok(false)
    }

    /// Returns the record if it must be kept.
    fn live_record(
        &self,
        writer: &mut Writer,
        copying: &CopyState,
        offset: u64,
        header: Header,
        damaged: &mut Vec<Change>,
    ) -> Result<Option<Record>, Report<StoreError>> {
        if header.kind == Kind::Removal {
            let keep = !copying.drops_removals;
            return Ok(keep.then(|| Record {
                header,
                payload: Default::default(),
            }));
        }
        let change = header_change(&header, copying.segment, offset);
        let Change::Put { id, entry } = change else {
            return Ok(None);
        };
        let found = self.with_index_locked(writer, |i| i.get(&id))?;
        if !matches!(found, Lookup::Present(e) if e.is_same_record(&entry)) {
            return Ok(None);
        }
        match self.segments.read(&id, &entry) {
            Ok(record) => Ok(Some(record)),
            Err(ReadError::Failed(error)) => {
                Err(Report::new(error).change_context(StoreError::NotApplied))
            }
            Err(_) => {
                log::error!("blob {id} is damaged");
                damaged.push(Change::Quarantine { id, entry });
                Ok(None)
            }
        }
    }

    /// Deletes a segment that contains no record that must be kept; returns
    /// its length in bytes.
    fn delete_segment(
        &self,
        writer: &mut Writer,
        segment: SegmentNumber,
    ) -> Result<u64, Report<StoreError>> {
        let stats = self.with_index_locked(writer, Index::segments)?;
        let found = stats.iter().find(|(number, _)| *number == segment);
        let Some((_, stat)) = found else {
            return Ok(0);
        };
        if stat.live_bytes > 0 {
            // Live records with damaged headers, which the scan cannot find.
            self.quarantine_segment(writer, segment)?;
        }
        // The index must have dropped the segment durably before the file is
        // deleted, because removal records may be deleted with it.
        let drop = [Change::Drop { segment }];
        self.apply(writer, &drop, true)?;
        writer.disk_bytes = writer.disk_bytes.saturating_sub(stat.file_bytes);
        self.segments
            .delete(segment)
            .change_context(StoreError::NotApplied)?;
        Ok(stat.file_bytes)
    }

    fn quarantine_segment(
        &self,
        writer: &mut Writer,
        segment: SegmentNumber,
    ) -> Result<(), Report<StoreError>> {
        let mut after: Option<String> = None;
        loop {
            let page = self.with_index_locked(writer, |index| {
                index.list("", after.as_deref(), PAGE_BLOBS)
            })?;
            let Some((last, _)) = page.last() else {
                return Ok(());
            };
            after = Some(last.as_str().to_owned());
            let inside = |(_, entry): &(_, Entry)| entry.segment == segment;
            let changes: Vec<Change> = page
                .into_iter()
                .filter(inside)
                .map(|(id, entry)| Change::Quarantine { id, entry })
                .collect();
            if !changes.is_empty() {
                self.apply(writer, &changes, false)?;
            }
        }
    }
}

/// Calculates how much space reclaiming a segment would free.
fn reclaim_candidate(
    stats: &[(SegmentNumber, SegmentStat)],
    segment: SegmentNumber,
    stat: &SegmentStat,
) -> Candidate {
    // Whether no other segment can contain a put record that the segment's
    // removal records remove.
    let drops_removals = stats
        .iter()
        .filter(|(number, _)| *number != segment)
        .all(|(_, other)| other.min_put_seq > stat.max_removal_seq);
    let kept = if drops_removals {
        0
    } else {
        stat.removal_bytes
    };
    let used = stat.live_bytes + kept;
    Candidate {
        copying: CopyState {
            segment,
            offset: 0,
            drops_removals,
        },
        garbage_bytes: stat.file_bytes.saturating_sub(used),
        is_dead: used == 0,
    }
}
