use std::{fmt, sync::Arc};

use base::UnixMillis;
use bytes::Bytes;
use error_stack::Report;

use crate::{
    Blob, BlobId, BlobInfo, OpenReport, PutOutcome, Reclaimed, ScrubReport,
    StoreError, StoreOptions, StoreStat,
    apply::Change,
    group::Group,
    index::{Index, Lookup},
    put::{MAX_BATCH_BLOBS, MAX_BATCH_BYTES, PutRequest, PutResult},
    reclaim::ReclaimThreshold,
    record::Record,
    recover,
    rows::Entry,
    segment::ReadError,
    writer::Core,
};

/// Maximum size of a blob, in bytes.
pub const MAX_BLOB_BYTES: usize = 4 << 20;

/// Lookups per read, since a blob may be moved between the lookup and the
/// read.
const READ_ATTEMPTS: usize = 3;

/// A store of write-once blobs in one folder.
///
/// All calls block on disk I/O; use `spawn_blocking` from async code. Clones
/// share one store; the folder is unlocked when the last clone is dropped.
///
/// # Example
///
/// ```
/// use bytes::Bytes;
/// use pomeloslip_store::{PutOutcome, Store, StoreOptions, sim::SimDisk};
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let options = StoreOptions::with_layer(SimDisk::new(1));
/// let (store, report) = Store::open(options)?;
/// assert_eq!(report.blobs, 0);
///
/// let id = "job-1/in/0".parse()?;
/// let lines = Bytes::from_static(b"{}\n");
/// let crc32 = crc32fast::hash(&lines);
/// assert_eq!(store.put(&id, lines.clone(), crc32)?, PutOutcome::Stored);
/// assert_eq!(store.put(&id, lines.clone(), crc32)?, PutOutcome::AlreadySame);
/// assert_eq!(store.get(&id)?.map(|blob| blob.bytes), Some(lines));
/// # Ok(())
/// # }
/// ```
#[derive(Clone)]
pub struct Store(Arc<Shared>);

struct Shared {
    core: Arc<Core>,
    puts: Group<PutRequest, PutResult>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.core.close();
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}

impl Store {
    /// Opens the folder and recovers its content.
    ///
    /// A damaged folder is opened with whatever is readable; the report lists
    /// the rest.
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] if another store uses the folder, and
    /// [`StoreError::Folder`] if the folder cannot be read or written at all.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_store::{Store, StoreError, StoreOptions, sim::SimDisk};
    ///
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let disk = SimDisk::new(1);
    /// let (_first, _) = Store::open(StoreOptions::with_layer(disk.clone()))?;
    /// let second = Store::open(StoreOptions::with_layer(disk));
    /// let error = second.unwrap_err();
    /// assert_eq!(*error.current_context(), StoreError::Locked);
    /// # Ok(())
    /// # }
    /// ```
    pub fn open(
        options: StoreOptions,
    ) -> Result<(Self, OpenReport), Report<StoreError>> {
        let (core, report) = recover::open(options)?;
        let puts = Group::new(MAX_BATCH_BYTES, MAX_BATCH_BLOBS);
        Ok((Self(Arc::new(Shared { core, puts })), report))
    }

    pub(crate) fn core(&self) -> &Core {
        &self.0.core
    }

    /// Stores a blob and returns once it is synced to disk.
    ///
    /// Concurrent puts share a sync. A repeated put of the same content reads
    /// the stored copy and compares it; a damaged copy is replaced.
    ///
    /// # Errors
    ///
    /// After [`StoreError::OutcomeUnknown`] the blob may or may not be stored;
    /// retry the put. After any other error this put stored nothing.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{
    /// #     Store, StoreError, StoreOptions, sim::SimDisk,
    /// # };
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// let id = "job-1/in/0".parse()?;
    /// let error = store.put(&id, "abc".into(), 7).unwrap_err();
    /// assert_eq!(*error.current_context(), StoreError::CrcMismatch);
    /// # Ok(())
    /// # }
    /// ```
    pub fn put(
        &self,
        id: &BlobId,
        bytes: Bytes,
        crc32: u32,
    ) -> Result<PutOutcome, Report<StoreError>> {
        let request = validate(id, bytes, crc32)?;
        let size = request.bytes.len();
        let core = self.core();
        self.0
            .puts
            .run(request, size, |batch| core.put_batch(batch))
            .unwrap_or_else(|| Err(Report::new(StoreError::OutcomeUnknown)))
    }

    /// Stores several blobs with as few syncs as their sizes permit.
    ///
    /// Returns one result per blob, in order.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{
    /// #     PutOutcome, Store, StoreOptions, sim::SimDisk,
    /// # };
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// let blobs = [
    ///     ("job-1/in/0".parse()?, "".into(), 0),
    ///     ("job-1/in/1".parse()?, "wrong crc".into(), 0),
    /// ];
    /// let results = store.put_all(blobs);
    /// assert!(matches!(results[0], Ok(PutOutcome::Stored)));
    /// assert!(results[1].is_err());
    /// # Ok(())
    /// # }
    /// ```
    pub fn put_all(
        &self,
        blobs: impl IntoIterator<Item = (BlobId, Bytes, u32)>,
    ) -> Vec<Result<PutOutcome, Report<StoreError>>> {
        let mut results = Vec::new();
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for (id, bytes, crc32) in blobs {
            let request = match validate(&id, bytes, crc32) {
                Ok(request) => request,
                Err(error) => {
                    // The pending batch is stored first so that the results
                    // stay in the order of the blobs.
                    results.append(&mut self.put_now(&mut batch));
                    results.push(Err(error));
                    continue;
                }
            };
            batch_bytes += request.bytes.len();
            if batch_bytes > MAX_BATCH_BYTES || batch.len() == MAX_BATCH_BLOBS
            {
                results.append(&mut self.put_now(&mut batch));
                batch_bytes = request.bytes.len();
            }
            batch.push(request);
        }
        results.append(&mut self.put_now(&mut batch));
        results
    }

    fn put_now(&self, batch: &mut Vec<PutRequest>) -> Vec<PutResult> {
        self.core().put_batch(std::mem::take(batch))
    }

    /// Reads and verifies a blob; returns `None` if there is no blob with this
    /// id.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if the copy is damaged. The blob is then
    /// quarantined: all reads return this error until it is put again or
    /// removed.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// assert_eq!(store.get(&"job-1/in/9".parse()?)?, None);
    /// # Ok(())
    /// # }
    /// ```
    pub fn get(
        &self,
        id: &BlobId,
    ) -> Result<Option<Blob>, Report<StoreError>> {
        let mut last: Option<Entry> = None;
        for _ in 0..READ_ATTEMPTS {
            let found = self.core().with_index(|index| index.get(id))?;
            let entry = match found {
                Lookup::Absent => return Ok(None),
                Lookup::Quarantined => return Err(corrupt(id)),
                Lookup::Present(entry) => entry,
            };
            // The same position was read twice, so the blob was not being
            // moved and is damaged.
            if last.is_some_and(|last| last.is_same_record(&entry)) {
                self.quarantine(id, entry)?;
                return Err(corrupt(id));
            }
            last = Some(entry);
            match self.core().segments.read(id, &entry) {
                Ok(record) => return Ok(Some(blob(record))),
                Err(ReadError::Failed(error)) => {
                    let report = Report::new(error);
                    return Err(report.change_context(StoreError::ReadFailed));
                }
                Err(ReadError::Gone | ReadError::Damaged) => {}
            }
        }
        Err(Report::new(StoreError::ReadFailed)
            .attach("the blob was moved during each attempt"))
    }

    fn quarantine(
        &self,
        id: &BlobId,
        entry: Entry,
    ) -> Result<(), Report<StoreError>> {
        log::error!("blob {id} is damaged and quarantined");
        let change = Change::Quarantine {
            id: id.clone(),
            entry,
        };
        let mut writer = self.core().writer();
        self.core().apply(&mut writer, &[change], false)
    }

    /// Lists at most `limit` blobs whose ids start with `prefix` and sort
    /// after `after`, in order, excluding quarantined blobs.
    ///
    /// # Errors
    ///
    /// [`StoreError::ReadFailed`] if the index cannot be read.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// store.put(&"a/0".parse()?, "".into(), 0)?;
    /// store.put(&"a/1".parse()?, "".into(), 0)?;
    /// let page = store.list("a/", Some(&"a/0".parse()?), 10)?;
    /// assert_eq!(page.len(), 1);
    /// assert_eq!(page[0].id.as_str(), "a/1");
    /// # Ok(())
    /// # }
    /// ```
    pub fn list(
        &self,
        prefix: &str,
        after: Option<&BlobId>,
        limit: usize,
    ) -> Result<Vec<BlobInfo>, Report<StoreError>> {
        let after = after.map(BlobId::as_str);
        let page = self
            .core()
            .with_index(|index| index.list(prefix, after, limit))?;
        Ok(page.into_iter().map(info).collect())
    }

    /// Lists at most `limit` quarantined ids that sort after `after`, in
    /// order.
    ///
    /// # Errors
    ///
    /// [`StoreError::ReadFailed`] if the index cannot be read.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// assert!(store.quarantined(None, 10)?.is_empty());
    /// # Ok(())
    /// # }
    /// ```
    pub fn quarantined(
        &self,
        after: Option<&BlobId>,
        limit: usize,
    ) -> Result<Vec<BlobId>, Report<StoreError>> {
        let after = after.map(BlobId::as_str);
        let page = self
            .core()
            .with_index(|index| index.quarantined("", after, limit))?;
        Ok(page.into_iter().map(|(id, _)| id).collect())
    }

    /// Returns totals over the store.
    ///
    /// # Errors
    ///
    /// [`StoreError::ReadFailed`] if the index cannot be read.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// store.put(&"a/0".parse()?, "".into(), 0)?;
    /// assert_eq!(store.stat()?.blobs, 1);
    /// # Ok(())
    /// # }
    /// ```
    pub fn stat(&self) -> Result<StoreStat, Report<StoreError>> {
        let core = self.core();
        let totals = core.with_index(Index::totals)?;
        Ok(StoreStat {
            blobs: totals.blobs,
            bytes: totals.payload_bytes,
            quarantined: totals.quarantined,
            disk_bytes: core.writer().disk_bytes,
            quota_bytes: core.limits.quota_bytes,
        })
    }

    /// Verifies at least `budget_bytes` of blobs, continuing where the last
    /// call stopped.
    ///
    /// Reading the index for this verifies the index as well.
    ///
    /// Damaged blobs are quarantined; fetch their replicas from another data
    /// VM and put them again. The position is kept across restarts.
    ///
    /// # Errors
    ///
    /// [`StoreError::ReadFailed`] if reading fails for another reason than
    /// damage.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// store.put(&"a/0".parse()?, "".into(), 0)?;
    /// let report = store.scrub(1 << 20)?;
    /// assert!(report.complete);
    /// assert_eq!(report.blobs, 1);
    /// # Ok(())
    /// # }
    /// ```
    pub fn scrub(
        &self,
        budget_bytes: u64,
    ) -> Result<ScrubReport, Report<StoreError>> {
        crate::scrub::scrub(self, self.core(), budget_bytes)
    }

    /// Reclaims the space of removed blobs until about `budget_bytes` of live
    /// records have been copied.
    ///
    /// Segments that contain no record that must be kept are deleted without
    /// this call.
    ///
    /// # Errors
    ///
    /// All blobs stay readable after any error.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// let reclaimed = store.reclaim(1 << 20)?;
    /// assert!(!reclaimed.more);
    /// # Ok(())
    /// # }
    /// ```
    pub fn reclaim(
        &self,
        budget_bytes: u64,
    ) -> Result<Reclaimed, Report<StoreError>> {
        let mut writer = self.core().writer();
        self.core()
            .reclaim(&mut writer, budget_bytes, ReclaimThreshold::Half)
    }
}

/// Validates the size and checksum of a blob.
fn validate(
    id: &BlobId,
    bytes: Bytes,
    crc32: u32,
) -> Result<PutRequest, Report<StoreError>> {
    if bytes.len() > MAX_BLOB_BYTES {
        let size = format!("{} bytes", bytes.len());
        return Err(Report::new(StoreError::TooLarge).attach(size));
    }
    if crc32fast::hash(&bytes) != crc32 {
        return Err(Report::new(StoreError::CrcMismatch));
    }
    Ok(PutRequest {
        id: id.clone(),
        bytes,
        crc32,
    })
}

fn corrupt(id: &BlobId) -> Report<StoreError> {
    Report::new(StoreError::Corrupt).attach(id.to_string())
}

fn blob(record: Record) -> Blob {
    Blob {
        bytes: record.payload,
        crc32: record.header.payload_crc,
        stored_at: record.header.stored_at,
    }
}

fn info((id, entry): (BlobId, Entry)) -> BlobInfo {
    BlobInfo {
        id,
        bytes: u64::from(entry.payload_bytes),
        crc32: entry.payload_crc,
        stored_at: UnixMillis::new(entry.stored_at_ms),
    }
}
