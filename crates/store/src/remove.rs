use base::UnixMillis;
use bytes::Bytes;
use error_stack::{Report, ResultExt};

use crate::{
    BlobId, Removed, Store, StoreError,
    index::Lookup,
    record::{Header, Kind, Record},
};

/// Number of blobs that are listed or removed at a time.
const PAGE_BLOBS: usize = 512;

/// Removal of blobs.
impl Store {
    /// Removes a blob and returns whether it existed, damaged or not.
    ///
    /// # Errors
    ///
    /// After [`StoreError::OutcomeUnknown`] the blob may or may not be
    /// removed.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// assert!(!store.remove(&"job-1/in/9".parse()?)?);
    /// # Ok(())
    /// # }
    /// ```
    pub fn remove(&self, id: &BlobId) -> Result<bool, Report<StoreError>> {
        let removed = self.remove_ids(std::slice::from_ref(id))?;
        Ok(removed.blobs > 0)
    }

    /// Removes all blobs whose ids start with a prefix, which must end with
    /// `/`.
    ///
    /// Blobs that are put concurrently may remain. After an error some of the
    /// blobs may have been removed.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidPrefix`] if the prefix does not end with `/`:
    /// `job-1` would also remove `job-10`.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let options = StoreOptions::with_layer(SimDisk::new(1));
    /// # let (store, _) = Store::open(options)?;
    /// store.put(&"job-1/in/0".parse()?, "".into(), 0)?;
    /// store.put(&"job-10/in/0".parse()?, "".into(), 0)?;
    /// assert_eq!(store.remove_prefix("job-1/")?.blobs, 1);
    /// assert!(store.remove_prefix("job-1").is_err());
    /// # Ok(())
    /// # }
    /// ```
    pub fn remove_prefix(
        &self,
        prefix: &str,
    ) -> Result<Removed, Report<StoreError>> {
        if !prefix.ends_with('/') {
            return Err(Report::new(StoreError::InvalidPrefix));
        }
        self.remove_where(prefix, |_| true)
    }

    /// Removes the blobs that were stored more than `max_age_ms` before `now`,
    /// including damaged ones.
    ///
    /// This scans the whole index, so call it rarely.
    ///
    /// # Errors
    ///
    /// After an error some of the blobs may have been removed.
    ///
    /// # Example
    ///
    /// ```
    /// # use pomeloslip_store::{Store, StoreOptions, sim::SimDisk};
    /// use std::sync::Arc;
    ///
    /// use base::{SteppedClock, UnixMillis};
    ///
    /// # fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let options = StoreOptions::with_layer(SimDisk::new(1))
    ///     .clock(Arc::new(SteppedClock::default()));
    /// let (store, _) = Store::open(options)?;
    /// store.put(&"job-1/in/0".parse()?, "".into(), 0)?;
    /// let day_ms = 86_400_000;
    /// let now = UnixMillis::new(day_ms);
    /// assert_eq!(store.remove_older_than(now, day_ms)?.blobs, 0);
    /// let now = UnixMillis::new(day_ms + 1);
    /// assert_eq!(store.remove_older_than(now, day_ms)?.blobs, 1);
    /// # Ok(())
    /// # }
    /// ```
    pub fn remove_older_than(
        &self,
        now: UnixMillis,
        max_age_ms: u64,
    ) -> Result<Removed, Report<StoreError>> {
        self.remove_where("", |stored_at_ms| {
            let stored_at = UnixMillis::new(stored_at_ms);
            now.saturating_ms_since(stored_at) > max_age_ms
        })
    }

    fn remove_where(
        &self,
        prefix: &str,
        is_due: impl Fn(u64) -> bool,
    ) -> Result<Removed, Report<StoreError>> {
        let mut sum = Removed::default();
        for quarantined in [false, true] {
            let mut after: Option<String> = None;
            loop {
                let page = self.page(prefix, after.as_deref(), quarantined)?;
                let Some((last, _)) = page.last() else {
                    break;
                };
                after = Some(last.as_str().to_owned());
                let due: Vec<BlobId> = page
                    .into_iter()
                    .filter(|(_, stored_at_ms)| is_due(*stored_at_ms))
                    .map(|(id, _)| id)
                    .collect();
                let removed = self.remove_ids(&due)?;
                sum.blobs += removed.blobs;
                sum.bytes += removed.bytes;
            }
        }
        Ok(sum)
    }

    /// Returns a page of ids with the times at which their blobs were stored.
    fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        quarantined: bool,
    ) -> Result<Vec<(BlobId, u64)>, Report<StoreError>> {
        self.core().with_index(|index| {
            if quarantined {
                return index.quarantined(prefix, after, PAGE_BLOBS);
            }
            let page = index.list(prefix, after, PAGE_BLOBS)?;
            let stored = page.into_iter().map(|(id, e)| (id, e.stored_at_ms));
            Ok(stored.collect())
        })
    }

    fn remove_ids(
        &self,
        ids: &[BlobId],
    ) -> Result<Removed, Report<StoreError>> {
        let mut removed = Removed::default();
        if ids.is_empty() {
            return Ok(removed);
        }
        let core = self.core();
        let writer = &mut *core.writer();
        let wanted: Vec<&BlobId> = ids.iter().collect();
        let found = core
            .with_index_locked(writer, |index| index.lookup(&wanted))
            .change_context(StoreError::NotApplied)?;
        let stored_at = core.clock.unix();
        let mut records = Vec::new();
        for (id, found) in ids.iter().zip(found) {
            match found {
                Lookup::Absent => continue,
                Lookup::Quarantined => {}
                Lookup::Present(entry) => {
                    removed.bytes += u64::from(entry.payload_bytes);
                }
            }
            removed.blobs += 1;
            records.push(removal(id, stored_at));
        }
        if removed.blobs > 0 {
            writer.commit(core, records)?;
            // The removal has succeeded even if freeing the space fails.
            if let Err(error) = core.delete_dead_segments(writer) {
                log::warn!("cannot delete unused segments: {error:#}");
            }
        }
        Ok(removed)
    }
}

fn removal(id: &BlobId, stored_at: UnixMillis) -> Record {
    Record {
        header: Header {
            kind: Kind::Removal,
            id: id.clone(),
            payload_bytes: 0,
            payload_crc: 0,
            seq: 0,
            batch: 0,
            stored_at,
        },
        payload: Bytes::new(),
    }
}
