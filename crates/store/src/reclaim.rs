//! Reclaims the space of removed blobs.
//!
//! The live records of a segment are copied to the end of the log, and its
//! file is deleted. A removal record must stay as long as a put record that
//! it removes may stand in any other file: if the index were lost, that blob
//! would come back.

use error_stack::{Report, ResultExt};

use crate::{
    Reclaimed, StoreError,
    apply::Change,
    index::{Index, Lookup},
    record::{Header, Kind, Record},
    rows::{Entry, SegmentStat},
    scan::{Item, Scanner},
    segment::{ReadFault, SegmentNumber},
    writer::{Core, Writer, header_change},
};

/// Bytes that are copied in one batch, while puts wait.
const COPY_BATCH_BYTES: u64 = 1 << 20;
/// Blobs that are looked at together.
const PAGE: usize = 1024;

/// Which segments are worth copying.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Worth {
    /// Those without any live record.
    Dead,
    /// Those of which at least half can be reclaimed.
    Half,
    /// Those of which at least an eighth can be reclaimed; for a store that
    /// has reached its quota. With less, each put would copy a whole file.
    Eighth,
}

impl Worth {
    fn admits(self, stat: &SegmentStat, garbage: u64) -> bool {
        match self {
            Worth::Dead => garbage == stat.file_bytes,
            Worth::Half => garbage > 0 && garbage * 2 >= stat.file_bytes,
            Worth::Eighth => garbage > 0 && garbage * 8 >= stat.file_bytes,
        }
    }
}

/// A segment that is being copied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Copying {
    segment: SegmentNumber,
    /// Where the next record to look at starts.
    offset: u64,
    /// Tells that no other file has what its removal records remove.
    drops_removals: bool,
}

/// A segment to reclaim.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    copying: Copying,
    garbage_bytes: u64,
    /// Tells that nothing in it has to be copied.
    is_dead: bool,
}

impl Core {
    /// Reclaims until about `budget_bytes` are copied.
    pub(crate) fn reclaim(
        &self,
        writer: &mut Writer,
        budget_bytes: u64,
        worth: Worth,
    ) -> Result<Reclaimed, Report<StoreError>> {
        let mut done = Reclaimed::default();
        while let Some(copying) =
            self.next_copying(writer, worth, &mut done)?
        {
            if done.copied_bytes >= budget_bytes {
                done.more = true;
                break;
            }
            self.copy_step(writer, copying, &mut done)?;
        }
        Ok(done)
    }

    /// Deletes the segments of which nothing is needed.
    pub(crate) fn delete_dead(
        &self,
        writer: &mut Writer,
    ) -> Result<(), Report<StoreError>> {
        while let Some(dead) = self.choose(writer, Worth::Dead)? {
            self.delete_segment(writer, dead.copying.segment)?;
        }
        Ok(())
    }

    /// Frees space until a batch fits the quota, if that can be done.
    pub(crate) fn make_room(
        &self,
        writer: &mut Writer,
        wanted_bytes: u64,
    ) -> Result<(), Report<StoreError>> {
        let quota = self.limits.quota_bytes;
        while writer.disk_bytes + wanted_bytes > quota {
            if !self.reclaim(writer, 1, Worth::Eighth)?.more {
                break;
            }
        }
        Ok(())
    }

    /// Returns the segment in work, or begins the one with most to gain.
    fn next_copying(
        &self,
        writer: &mut Writer,
        worth: Worth,
        done: &mut Reclaimed,
    ) -> Result<Option<Copying>, Report<StoreError>> {
        if writer.copying.is_some() {
            return Ok(writer.copying);
        }
        while let Some(candidate) = self.choose(writer, worth)? {
            let segment = candidate.copying.segment;
            let active = writer.active.as_ref().map(|a| a.number);
            if active == Some(segment) {
                writer.active = None;
            }
            if !candidate.is_dead {
                writer.copying = Some(candidate.copying);
                return Ok(writer.copying);
            }
            done.freed_bytes += self.delete_segment(writer, segment)?;
        }
        Ok(None)
    }

    /// Chooses the segment with most to gain.
    fn choose(
        &self,
        writer: &mut Writer,
        worth: Worth,
    ) -> Result<Option<Candidate>, Report<StoreError>> {
        let stats = self.with_index_locked(writer, Index::segments)?;
        // Another segment would take the place of the active one at once.
        let active = writer.active.as_ref().map(|a| a.number);
        let skip = |number: SegmentNumber| {
            writer.unreadable.contains(&number)
                || worth == Worth::Dead && active == Some(number)
        };
        Ok(stats
            .iter()
            .filter(|(number, _)| !skip(*number))
            .map(|(number, stat)| candidate(&stats, *number, stat))
            .zip(&stats)
            .filter(|(candidate, (_, stat))| {
                worth.admits(stat, candidate.garbage_bytes)
            })
            .map(|(candidate, _)| candidate)
            .max_by_key(|candidate| candidate.garbage_bytes))
    }

    /// Copies one batch, and deletes the segment once nothing is left.
    fn copy_step(
        &self,
        writer: &mut Writer,
        mut copying: Copying,
        done: &mut Reclaimed,
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
                // Tried again after a restart; it would be chosen again
                // and again before the others.
                writer.unreadable.insert(copying.segment);
                writer.copying = None;
                return Err(error);
            }
        };
        let copied_bytes: u64 =
            records.iter().map(|r| r.header.record_bytes()).sum();
        writer.commit(self, records)?;
        self.apply(writer, &damaged, false)?;
        done.copied_bytes += copied_bytes;
        writer.copying = Some(copying);
        if is_last {
            writer.copying = None;
            done.freed_bytes +=
                self.delete_segment(writer, copying.segment)?;
        }
        Ok(())
    }

    /// Gathers the next records to copy; returns whether these are the last.
    fn collect(
        &self,
        writer: &mut Writer,
        copying: &mut Copying,
        records: &mut Vec<Record>,
        damaged: &mut Vec<Change>,
    ) -> Result<bool, Report<StoreError>> {
        let (file, salt) = match self.segments.open(copying.segment) {
            Ok(opened) => opened,
            Err(ReadFault::Failed(error)) => {
                return Err(
                    Report::new(error).change_context(StoreError::NotDone)
                );
            }
            Err(_) => return Ok(true),
        };
        let len = file.len().change_context(StoreError::NotDone)?;
        let mut scanner =
            Scanner::new(file.as_ref(), salt, copying.offset, len);
        let mut bytes = 0;
        while bytes < COPY_BATCH_BYTES {
            let next = scanner.next().change_context(StoreError::NotDone)?;
            let Some(item) = next else {
                return Ok(true);
            };
            if let Item::Record { offset, header } = item {
                let record =
                    self.live(writer, copying, offset, header, damaged)?;
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
    fn live(
        &self,
        writer: &mut Writer,
        copying: &Copying,
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
        if !matches!(found, Lookup::Present(e) if e.same_place(&entry)) {
            return Ok(None);
        }
        match self.segments.read(&id, &entry) {
            Ok(record) => Ok(Some(record)),
            Err(ReadFault::Failed(error)) => {
                Err(Report::new(error).change_context(StoreError::NotDone))
            }
            Err(_) => {
                log::error!("blob {id} is damaged");
                damaged.push(Change::Quarantine { id, entry });
                Ok(None)
            }
        }
    }

    /// Deletes a segment of which nothing is needed; returns its bytes.
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
            // The scan did not meet them, as their headers are damaged.
            self.quarantine_segment(writer, segment)?;
        }
        // The index must know on the disk that the file is not needed
        // before it is gone: removal records may go with it.
        let drop = [Change::Drop { segment }];
        self.apply(writer, &drop, true)?;
        writer.disk_bytes = writer.disk_bytes.saturating_sub(stat.file_bytes);
        self.segments
            .delete(segment)
            .change_context(StoreError::NotDone)?;
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
                index.list("", after.as_deref(), PAGE)
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

/// Works out what reclaiming a segment would gain.
fn candidate(
    stats: &[(SegmentNumber, SegmentStat)],
    segment: SegmentNumber,
    stat: &SegmentStat,
) -> Candidate {
    // Tells whether no other file can have a put that the segment's removal
    // records remove.
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
        copying: Copying {
            segment,
            offset: 0,
            drops_removals,
        },
        garbage_bytes: stat.file_bytes.saturating_sub(used),
        is_dead: used == 0,
    }
}
