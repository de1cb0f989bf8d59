//! The one writer of the log, and the index that follows it.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard,
        RwLockWriteGuard,
    },
};

use base::Clock;
use error_stack::{Report, ResultExt};

use crate::{
    StoreError,
    apply::Change,
    index::{Index, IndexError},
    layer::LockGuard,
    options::Limits,
    reclaim::Copying,
    record::{Kind, Record},
    replay::rebuild_index,
    rows::Entry,
    segment::{ActiveSegment, AppendFault, SegmentNumber, Segments},
};

/// Records after which the index is made durable, so that a start reads few
/// of them again also when all are small.
const CHECKPOINT_RECORDS: usize = 16 << 10;

/// What all clones of a store share.
pub(crate) struct Core {
    pub(crate) segments: Segments,
    pub(crate) limits: Limits,
    pub(crate) clock: Arc<dyn Clock>,
    index: RwLock<Option<Arc<Index>>>,
    writer: Mutex<Writer>,
    /// Frees the folder after everything above is closed.
    _lock: LockGuard,
}

/// State of the log's end. Whoever has its lock is the only one who writes.
pub(crate) struct Writer {
    pub(crate) active: Option<ActiveSegment>,
    pub(crate) next_segment: SegmentNumber,
    pub(crate) next_seq: u64,
    /// Bytes of all segments.
    pub(crate) disk_bytes: u64,
    /// Segment that is being copied to reclaim its space.
    pub(crate) copying: Option<Copying>,
    /// Segments that could not be read when their space was reclaimed.
    pub(crate) unreadable: BTreeSet<SegmentNumber>,
    pub(crate) unsaved_bytes: u64,
    pub(crate) unsaved_records: usize,
}

impl Core {
    pub(crate) fn new(
        segments: Segments,
        index: Index,
        writer: Writer,
        limits: Limits,
        clock: Arc<dyn Clock>,
        lock: LockGuard,
    ) -> Self {
        Self {
            segments,
            limits,
            clock,
            index: RwLock::new(Some(Arc::new(index))),
            writer: Mutex::new(writer),
            _lock: lock,
        }
    }

    pub(crate) fn writer(&self) -> MutexGuard<'_, Writer> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn index_read(&self) -> RwLockReadGuard<'_, Option<Arc<Index>>> {
        self.index.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn index_write(&self) -> RwLockWriteGuard<'_, Option<Arc<Index>>> {
        self.index.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn current_index(&self) -> Option<Arc<Index>> {
        self.index_read().clone()
    }

    /// Uses the index; if it turns out damaged it is built again, once.
    ///
    /// The caller must not have the writer's lock.
    pub(crate) fn with_index<T>(
        &self,
        work: impl Fn(&Index) -> Result<T, Report<IndexError>>,
    ) -> Result<T, Report<StoreError>> {
        let tried = self.current_index();
        if let Some(index) = &tried {
            match work(index) {
                Ok(value) => return Ok(value),
                Err(error) => log::warn!("index: {error:#}"),
            }
        }
        let index = self.usable_index(&mut self.writer(), tried)?;
        work(&index).change_context(StoreError::Read)
    }

    /// Does the same for a caller that has the writer's lock.
    pub(crate) fn with_index_locked<T>(
        &self,
        writer: &mut Writer,
        work: impl Fn(&Index) -> Result<T, Report<IndexError>>,
    ) -> Result<T, Report<StoreError>> {
        let tried = self.current_index();
        if let Some(index) = &tried {
            match work(index) {
                Ok(value) => return Ok(value),
                Err(error) => log::warn!("index: {error:#}"),
            }
        }
        let index = self.usable_index(writer, tried)?;
        work(&index).change_context(StoreError::Read)
    }

    /// Returns an index other than the one that failed.
    fn usable_index(
        &self,
        writer: &mut Writer,
        failed: Option<Arc<Index>>,
    ) -> Result<Arc<Index>, Report<StoreError>> {
        // Another caller may have built it while this one waited.
        let current = self.current_index();
        let other = |index: &Arc<Index>| {
            failed
                .as_ref()
                .is_none_or(|failed| !Arc::ptr_eq(failed, index))
        };
        if let Some(index) = current.filter(other) {
            return Ok(index);
        }
        drop(failed);
        *self.index_write() = None;
        let cache_bytes = self.limits.index_cache_bytes;
        let index = rebuild_index(&self.segments, cache_bytes)
            .change_context(StoreError::Read)
            .attach("building the index again")?;
        log::warn!("the index was built again from the log");
        writer.saved();
        let index = Arc::new(index);
        *self.index_write() = Some(index.clone());
        Ok(index)
    }

    /// Applies changes that the log need not have.
    pub(crate) fn apply(
        &self,
        writer: &mut Writer,
        changes: &[Change],
        durable: bool,
    ) -> Result<(), Report<StoreError>> {
        self.with_index_locked(writer, |index| index.apply(changes, durable))?;
        if durable {
            writer.saved();
        }
        Ok(())
    }

    /// Makes the index durable, so that the next start has little to read.
    pub(crate) fn close(&self) {
        let mut writer = self.writer();
        if writer.unsaved_records == 0 {
            return;
        }
        // Nothing is lost if this fails: the log has it all.
        let Some(index) = self.current_index() else {
            return;
        };
        match index.apply(&[], true) {
            Ok(()) => writer.saved(),
            Err(error) => log::warn!("closing the index: {error:#}"),
        }
    }
}

impl Writer {
    pub(crate) fn saved(&mut self) {
        self.unsaved_bytes = 0;
        self.unsaved_records = 0;
    }

    /// Appends records as one batch, syncs them and tells the index.
    ///
    /// A record whose seq is 0 gets the next one.
    pub(crate) fn commit(
        &mut self,
        core: &Core,
        mut records: Vec<Record>,
    ) -> Result<(), Report<StoreError>> {
        if records.is_empty() {
            return Ok(());
        }
        self.number(&mut records);
        let segment_start = self.ready_segment(core)?;
        let Some(active) = &mut self.active else {
            return Err(Report::new(StoreError::NotDone));
        };
        let offsets = match active.append(&records) {
            Ok(offsets) => offsets,
            Err(fault) => return Err(self.append_failed(fault)),
        };
        let (segment, end) = (active.number, active.end);
        let mut changes = Vec::with_capacity(records.len() + 2);
        for (record, offset) in records.iter().zip(offsets) {
            changes.push(change_of(record, segment, offset));
        }
        changes.push(Change::SegmentBytes {
            segment,
            bytes: end,
        });
        changes.push(Change::Covered {
            segment,
            offset: end,
            next_seq: self.next_seq,
        });
        self.tell_index(core, &changes, records.len(), segment_start)
    }

    fn number(&mut self, records: &mut [Record]) {
        let batch = self.take_seq();
        for record in records {
            record.header.batch = batch;
            if record.header.seq == 0 {
                record.header.seq = self.take_seq();
            }
        }
    }

    fn take_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        seq
    }

    /// Sees to a segment with room and returns where its next batch starts.
    fn ready_segment(
        &mut self,
        core: &Core,
    ) -> Result<u64, Report<StoreError>> {
        let limit = core.limits.segment_bytes;
        match &self.active {
            Some(active) if active.end < limit => return Ok(active.end),
            _ => self.active = None,
        }
        let number = self.next_segment;
        self.next_segment += 1;
        let active = ActiveSegment::create(&core.segments, number)
            .map_err(|error| {
                let context = StoreError::of_write(&error);
                Report::new(error).change_context(context)
            })
            .attach("beginning a segment")?;
        self.active = Some(active);
        Ok(0)
    }

    fn append_failed(&mut self, fault: AppendFault) -> Report<StoreError> {
        let (error, context) = match fault {
            AppendFault::Undone(error) => {
                let context = StoreError::of_write(&error);
                (error, context)
            }
            AppendFault::UndoneAndFailed(error) => {
                self.active = None;
                let context = StoreError::of_write(&error);
                (error, context)
            }
            AppendFault::Unknown(error) => {
                self.active = None;
                (error, StoreError::Unknown)
            }
        };
        Report::new(error).change_context(context)
    }

    fn tell_index(
        &mut self,
        core: &Core,
        changes: &[Change],
        records: usize,
        segment_start: u64,
    ) -> Result<(), Report<StoreError>> {
        let Some((end, number)) =
            self.active.as_ref().map(|a| (a.end, a.number))
        else {
            return Ok(());
        };
        let batch_bytes = end - segment_start;
        self.unsaved_bytes += batch_bytes;
        self.unsaved_records += records;
        let durable = self.unsaved_bytes >= core.limits.checkpoint_bytes
            || self.unsaved_records >= CHECKPOINT_RECORDS;
        let tried = core.current_index();
        let told = match &tried {
            Some(index) => index.apply(changes, durable),
            None => Err(Report::new(IndexError::Broken)),
        };
        let Err(error) = told else {
            self.disk_bytes += batch_bytes;
            if durable {
                self.saved();
            }
            return Ok(());
        };
        log::warn!("index: {error:#}");
        // The batch is in the log, and a new index will have it. Without an
        // index nobody could read it, so the batch is taken back.
        match core.usable_index(self, tried) {
            Ok(_) => {
                self.disk_bytes += batch_bytes;
                Ok(())
            }
            Err(failure) => {
                Err(self.take_back(failure, number, segment_start))
            }
        }
    }

    fn take_back(
        &mut self,
        failure: Report<StoreError>,
        number: SegmentNumber,
        start: u64,
    ) -> Report<StoreError> {
        let full = failure
            .downcast_ref::<IndexError>()
            .is_some_and(|error| *error == IndexError::Full);
        let undone = self.active.as_mut().map(|a| a.undo_to(start));
        match undone {
            Some(Ok(())) if full => {
                failure.change_context(StoreError::DiskFull)
            }
            Some(Ok(())) => failure.change_context(StoreError::NotDone),
            _ => {
                log::error!("segment {number}: undo failed");
                self.active = None;
                failure.change_context(StoreError::Unknown)
            }
        }
    }
}

/// Returns what a record at a place means for the index.
pub(crate) fn change_of(
    record: &Record,
    segment: SegmentNumber,
    offset: u64,
) -> Change {
    header_change(&record.header, segment, offset)
}

/// Returns what a header at a place means for the index.
pub(crate) fn header_change(
    header: &crate::record::Header,
    segment: SegmentNumber,
    offset: u64,
) -> Change {
    match header.kind {
        Kind::Put => Change::Put {
            id: header.id.clone(),
            entry: Entry {
                seq: header.seq,
                segment,
                // Segments are under 4 GiB.
                offset: offset as u32,
                payload_bytes: header.payload_bytes,
                payload_crc: header.payload_crc,
                stored_at_ms: header.stored_at.as_ms(),
            },
        },
        Kind::Removal => Change::Removal {
            id: header.id.clone(),
            seq: header.seq,
            segment,
        },
    }
}
