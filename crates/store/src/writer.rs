//! The single writer of the log, which also updates the index.

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
    reclaim::CopyState,
    record::{Kind, Record},
    replay::rebuild_index,
    rows::Entry,
    segment::{ActiveSegment, AppendError, SegmentNumber, Segments},
};

/// Number of records after which the index is made durable, so that opening a
/// store of many small blobs replays few of them.
const CHECKPOINT_RECORDS: usize = 16 << 10;

/// State shared by all clones of a store.
pub(crate) struct Core {
    pub(crate) segments: Segments,
    pub(crate) limits: Limits,
    pub(crate) clock: Arc<dyn Clock>,
    index: RwLock<Option<Arc<Index>>>,
    writer: Mutex<Writer>,
    /// Unlocks the folder after all fields above are dropped.
    _lock: LockGuard,
}

/// State of the end of the log. Only the holder of its lock writes to the log.
pub(crate) struct Writer {
    pub(crate) active: Option<ActiveSegment>,
    pub(crate) next_segment: SegmentNumber,
    pub(crate) next_seq: u64,
    /// Total length of all segments.
    pub(crate) disk_bytes: u64,
    /// Segment that is being copied to reclaim its space.
    pub(crate) copying: Option<CopyState>,
    /// Segments that could not be read when reclaiming their space.
    pub(crate) unreadable: BTreeSet<SegmentNumber>,
    pub(crate) nondurable_bytes: u64,
    pub(crate) nondurable_records: usize,
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

    /// Calls `operation` on the index; if the index is damaged, rebuilds it and
    /// retries once.
    ///
    /// The caller must not hold the lock of the writer.
    pub(crate) fn with_index<T>(
        &self,
        operation: impl Fn(&Index) -> Result<T, Report<IndexError>>,
    ) -> Result<T, Report<StoreError>> {
        let attempted = self.current_index();
        if let Some(index) = &attempted {
            match operation(index) {
                Ok(value) => return Ok(value),
                Err(error) => log::warn!("the index failed: {error:#}"),
            }
        }
        let index = self.replace_index(&mut self.writer(), attempted)?;
        operation(&index).change_context(StoreError::ReadFailed)
    }

    /// Same as [`Core::with_index`] for a caller that holds the lock of the
    /// writer.
    pub(crate) fn with_index_locked<T>(
        &self,
        writer: &mut Writer,
        operation: impl Fn(&Index) -> Result<T, Report<IndexError>>,
    ) -> Result<T, Report<StoreError>> {
        let attempted = self.current_index();
        if let Some(index) = &attempted {
            match operation(index) {
                Ok(value) => return Ok(value),
                Err(error) => log::warn!("the index failed: {error:#}"),
            }
        }
        let index = self.replace_index(writer, attempted)?;
        operation(&index).change_context(StoreError::ReadFailed)
    }

    /// Returns an index other than the one that failed, rebuilding it if
    /// necessary.
    fn replace_index(
        &self,
        writer: &mut Writer,
        failed: Option<Arc<Index>>,
    ) -> Result<Arc<Index>, Report<StoreError>> {
        // Another caller may have rebuilt the index while this one waited.
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
            .change_context(StoreError::ReadFailed)
            .attach("rebuilding the index")?;
        log::warn!("the index was rebuilt from the log");
        writer.mark_durable();
        let index = Arc::new(index);
        *self.index_write() = Some(index.clone());
        Ok(index)
    }

    /// Applies changes to the index that are not derived from new log records.
    pub(crate) fn apply(
        &self,
        writer: &mut Writer,
        changes: &[Change],
        durable: bool,
    ) -> Result<(), Report<StoreError>> {
        self.with_index_locked(writer, |index| index.apply(changes, durable))?;
        if durable {
            writer.mark_durable();
        }
        Ok(())
    }

    /// Makes the index durable, so that the next start has little to replay.
    pub(crate) fn close(&self) {
        let mut writer = self.writer();
        if writer.nondurable_records == 0 {
            return;
        }
        // Nothing is lost if this fails, because the log is complete.
        let Some(index) = self.current_index() else {
            return;
        };
        match index.apply(&[], true) {
            Ok(()) => writer.mark_durable(),
            Err(error) => log::warn!("cannot sync the index: {error:#}"),
        }
    }
}

impl Writer {
    pub(crate) fn mark_durable(&mut self) {
        self.nondurable_bytes = 0;
        self.nondurable_records = 0;
    }

    /// Appends and syncs records as one batch and updates the index.
    ///
    /// A record with sequence number 0 is assigned the next one.
    pub(crate) fn commit(
        &mut self,
        core: &Core,
        mut records: Vec<Record>,
    ) -> Result<(), Report<StoreError>> {
        if records.is_empty() {
            return Ok(());
        }
        self.assign_sequences(&mut records);
        let segment_start = self.prepare_segment(core)?;
        let Some(active) = &mut self.active else {
            return Err(Report::new(StoreError::NotApplied));
        };
        let offsets = match active.append(&records) {
            Ok(offsets) => offsets,
            Err(fault) => return Err(self.append_failed(fault)),
        };
        let (segment, end) = (active.number, active.end);
        let mut changes = Vec::with_capacity(records.len() + 2);
        for (record, offset) in records.iter().zip(offsets) {
            changes.push(record_change(record, segment, offset));
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
        self.update_index(core, &changes, records.len(), segment_start)
    }

    fn assign_sequences(&mut self, records: &mut [Record]) {
        let batch = self.allocate_seq();
        for record in records {
            record.header.batch = batch;
            if record.header.seq == 0 {
                record.header.seq = self.allocate_seq();
            }
        }
    }

    fn allocate_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        seq
    }

    /// Ensures that the active segment is below its size limit and returns the
    /// offset of the next batch.
    fn prepare_segment(
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
                let context = StoreError::from_write_error(&error);
                Report::new(error).change_context(context)
            })
            .attach("creating a segment")?;
        self.active = Some(active);
        Ok(0)
    }

    fn append_failed(&mut self, fault: AppendError) -> Report<StoreError> {
        let (error, context) = match fault {
            AppendError::RolledBack(error) => {
                let context = StoreError::from_write_error(&error);
                (error, context)
            }
            AppendError::RolledBackUnusable(error) => {
                self.active = None;
                let context = StoreError::from_write_error(&error);
                (error, context)
            }
            AppendError::OutcomeUnknown(error) => {
                self.active = None;
                (error, StoreError::OutcomeUnknown)
            }
        };
        Report::new(error).change_context(context)
    }

    fn update_index(
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
        self.nondurable_bytes += batch_bytes;
        self.nondurable_records += records;
        let durable = self.nondurable_bytes >= core.limits.checkpoint_bytes
            || self.nondurable_records >= CHECKPOINT_RECORDS;
        let attempted = core.current_index();
        let updated = match &attempted {
            Some(index) => index.apply(changes, durable),
            None => Err(Report::new(IndexError::Damaged)),
        };
        let Err(error) = updated else {
            self.disk_bytes += batch_bytes;
            if durable {
                self.mark_durable();
            }
            return Ok(());
        };
        log::warn!("the index failed: {error:#}");
        // The batch is in the log, so a rebuilt index will contain it. Without
        // an index nobody could read it, so the batch is rolled back then.
        match core.replace_index(self, attempted) {
            Ok(_) => {
                self.disk_bytes += batch_bytes;
                Ok(())
            }
            Err(failure) => {
                Err(self.roll_back(failure, number, segment_start))
            }
        }
    }

    fn roll_back(
        &mut self,
        failure: Report<StoreError>,
        number: SegmentNumber,
        start: u64,
    ) -> Report<StoreError> {
        let full = failure
            .downcast_ref::<IndexError>()
            .is_some_and(|error| *error == IndexError::Full);
        let rolled_back = self.active.as_mut().map(|a| a.truncate_to(start));
        match rolled_back {
            Some(Ok(())) if full => {
                failure.change_context(StoreError::DiskFull)
            }
            Some(Ok(())) => failure.change_context(StoreError::NotApplied),
            _ => {
                log::error!("segment {number}: rollback failed");
                self.active = None;
                failure.change_context(StoreError::OutcomeUnknown)
            }
        }
    }
}

/// Returns the index update for a record at a position.
pub(crate) fn record_change(
    record: &Record,
    segment: SegmentNumber,
    offset: u64,
) -> Change {
    header_change(&record.header, segment, offset)
}

/// Returns the index update for a record with this header at a position.
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
                // Segments are smaller than 4 GiB.
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
