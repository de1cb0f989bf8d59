//! Index of the log positions of all blobs: a redb file that is only a cache
//! of the log.
//!
//! Everything in the index can be restored from the segments. It is therefore
//! committed without a sync, made durable only at intervals, and discarded
//! when it shows any damage. It also records up to which log position it is
//! complete, so that opening the store replays only the rest of the log.
//!
//! redb may panic on a file that is corrupted while in use, so every call is
//! wrapped in [`catch_panic`], and a panic counts as damage.

use std::{
    fmt,
    ops::Bound,
    panic::{AssertUnwindSafe, catch_unwind},
};

use error_stack::Report;
use redb::{
    Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable,
};

use crate::{
    BlobId,
    apply::{Change, Tables},
    blocks::BlockFile,
    error::is_full,
    layer::{FileLayer, LayerFile},
    rows::{
        BLOBS, CURSOR, Entry, QUARANTINE, QuarantinedBlob, SEGMENTS,
        SegmentStat, TOTALS, Totals, parse_id,
    },
    segment::SegmentNumber,
};

/// File name of the index.
pub(crate) const INDEX_NAME: &str = "index.redb";

/// Why a call to the index failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IndexError {
    /// There is no disk space for the index to grow.
    Full,
    /// The index is damaged and must be rebuilt.
    Damaged,
}

impl fmt::Display for IndexError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IndexError::Full => "no disk space is left for the index",
            IndexError::Damaged => "the index is damaged",
        })
    }
}

impl std::error::Error for IndexError {}

/// Calls redb and converts errors and panics into [`IndexError`].
fn catch_panic<T>(
    operation: impl FnOnce() -> Result<T, redb::Error>,
) -> Result<T, Report<IndexError>> {
    match catch_unwind(AssertUnwindSafe(operation)) {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(redb::Error::Io(error))) if is_full(&error) => {
            Err(Report::new(error).change_context(IndexError::Full))
        }
        Ok(Err(error)) => {
            Err(Report::new(error).change_context(IndexError::Damaged))
        }
        Err(_) => {
            Err(Report::new(IndexError::Damaged).attach("redb panicked"))
        }
    }
}

/// Result of looking up an id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Lookup {
    Absent,
    Present(Entry),
    Quarantined,
}

/// The open index.
#[derive(Debug)]
pub(crate) struct Index {
    /// `None` only while the index is being dropped.
    db: Option<Database>,
}

impl Drop for Index {
    fn drop(&mut self) {
        let db = self.db.take();
        // Closing a damaged file may panic, as any other call may.
        if catch_unwind(AssertUnwindSafe(|| drop(db))).is_err() {
            log::warn!("redb panicked while closing a damaged index");
        }
    }
}

impl Index {
    /// Opens the existing index and verifies all of its pages.
    pub(crate) fn open(
        layer: &dyn FileLayer,
        cache_bytes: usize,
    ) -> Result<Self, Report<IndexError>> {
        let file = catch_panic(|| Ok(layer.open(INDEX_NAME)?))?;
        Self::with_file(file, cache_bytes)
    }

    /// Creates an empty index, replacing any existing one.
    pub(crate) fn create(
        layer: &dyn FileLayer,
        cache_bytes: usize,
    ) -> Result<Self, Report<IndexError>> {
        let file = catch_panic(|| {
            let file = layer.create(INDEX_NAME)?;
            layer.sync_folder()?;
            Ok(file)
        })?;
        Self::with_file(file, cache_bytes)
    }

    fn with_file(
        file: Box<dyn LayerFile>,
        cache_bytes: usize,
    ) -> Result<Self, Report<IndexError>> {
        catch_panic(|| {
            let db = Database::builder()
                .set_cache_size(cache_bytes)
                .set_check_integrity_on_open(true)
                .create_with_backend(BlockFile::new(file))?;
            Ok(Self { db: Some(db) })
        })
    }

    fn db(&self) -> Result<&Database, redb::Error> {
        self.db.as_ref().ok_or(redb::Error::DatabaseClosed)
    }

    /// Applies changes in order in one transaction.
    pub(crate) fn apply(
        &self,
        changes: &[Change],
        durable: bool,
    ) -> Result<(), Report<IndexError>> {
        catch_panic(|| {
            let mut txn = self.db()?.begin_write()?;
            txn.set_durability(if durable {
                Durability::Immediate
            } else {
                Durability::None
            })?;
            let mut tables = Tables::open(&txn)?;
            for change in changes {
                tables.apply(change)?;
            }
            tables.finish()?;
            txn.commit()?;
            Ok(())
        })
    }

    fn read<T>(
        &self,
        operation: impl FnOnce(&ReadTransaction) -> Result<T, redb::Error>,
        default: T,
    ) -> Result<T, Report<IndexError>> {
        catch_panic(|| {
            let txn = self.db()?.begin_read()?;
            match operation(&txn) {
                // Nothing has been written yet.
                Err(redb::Error::TableDoesNotExist(_)) => Ok(default),
                other => other,
            }
        })
    }

    /// Looks up several ids in one transaction.
    pub(crate) fn lookup(
        &self,
        ids: &[&BlobId],
    ) -> Result<Vec<Lookup>, Report<IndexError>> {
        let absent = vec![Lookup::Absent; ids.len()];
        let find = |txn: &ReadTransaction| {
            let blobs = txn.open_table(BLOBS)?;
            let quarantine = txn.open_table(QUARANTINE)?;
            let mut found = Vec::with_capacity(ids.len());
            for id in ids {
                let id = id.as_str();
                found.push(if let Some(row) = blobs.get(id)? {
                    Lookup::Present(Entry::from_row(row.value()))
                } else if quarantine.get(id)?.is_some() {
                    Lookup::Quarantined
                } else {
                    Lookup::Absent
                });
            }
            Ok(found)
        };
        self.read(find, absent)
    }

    /// Looks up one id.
    pub(crate) fn get(
        &self,
        id: &BlobId,
    ) -> Result<Lookup, Report<IndexError>> {
        let found = self.lookup(&[id])?;
        Ok(found.first().copied().unwrap_or(Lookup::Absent))
    }

    /// Lists blobs whose ids start with a prefix and sort after `after`, in
    /// order.
    pub(crate) fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(BlobId, Entry)>, Report<IndexError>> {
        let collect = |txn: &ReadTransaction| {
            let table = txn.open_table(BLOBS)?;
            let mut found = Vec::new();
            for row in table.range::<&str>(range_after(prefix, after))? {
                let (id, entry) = row?;
                if found.len() == limit || !id.value().starts_with(prefix) {
                    break;
                }
                let id = parse_id(id.value())?;
                let entry = Entry::from_row(entry.value());
                found.push((id, entry));
            }
            Ok(found)
        };
        self.read(collect, Vec::new())
    }

    /// Lists quarantined ids that start with a prefix and sort after `after`,
    /// in order, with the times at which their blobs were stored.
    pub(crate) fn quarantined(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(BlobId, u64)>, Report<IndexError>> {
        let collect = |txn: &ReadTransaction| {
            let table = txn.open_table(QUARANTINE)?;
            let mut found = Vec::new();
            for row in table.range::<&str>(range_after(prefix, after))? {
                let (id, quarantined_blob) = row?;
                if found.len() == limit || !id.value().starts_with(prefix) {
                    break;
                }
                let id = parse_id(id.value())?;
                let quarantined_blob =
                    QuarantinedBlob::from_row(quarantined_blob.value());
                found.push((id, quarantined_blob.stored_at_ms));
            }
            Ok(found)
        };
        self.read(collect, Vec::new())
    }

    /// Returns the statistics of all segments in the index.
    pub(crate) fn segments(
        &self,
    ) -> Result<Vec<(SegmentNumber, SegmentStat)>, Report<IndexError>> {
        let collect = |txn: &ReadTransaction| {
            let table = txn.open_table(SEGMENTS)?;
            let mut found = Vec::new();
            for row in table.iter()? {
                let (number, stat) = row?;
                let number = number.value();
                let stat = SegmentStat::from_row(stat.value());
                found.push((number, stat));
            }
            Ok(found)
        };
        self.read(collect, Vec::new())
    }

    /// Returns the totals.
    pub(crate) fn totals(&self) -> Result<Totals, Report<IndexError>> {
        let collect = |txn: &ReadTransaction| {
            let totals = Totals::load(&txn.open_table(TOTALS)?)?;
            Ok(totals.unwrap_or_default())
        };
        self.read(collect, Totals::default())
    }

    /// Returns the id up to which the last scrub has verified the blobs.
    pub(crate) fn scrub_cursor(
        &self,
    ) -> Result<Option<String>, Report<IndexError>> {
        let find = |txn: &ReadTransaction| {
            let table = txn.open_table(CURSOR)?;
            Ok(table.get(())?.map(|id| id.value().to_owned()))
        };
        self.read(find, None)
    }
}

fn range_after<'a>(
    prefix: &'a str,
    after: Option<&'a str>,
) -> (Bound<&'a str>, Bound<&'a str>) {
    let start = match after {
        Some(after) if after >= prefix => Bound::Excluded(after),
        _ => Bound::Included(prefix),
    };
    (start, Bound::Unbounded)
}
