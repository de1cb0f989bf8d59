//! Where each blob stands: a redb file that is only a cache of the log.
//!
//! Every fact in it can be read again from the segments. It is therefore
//! committed without a sync, made durable now and then, and thrown away when
//! it shows any damage. It also says up to which place of the log it is
//! complete, so that a start reads only what comes after.
//!
//! redb may panic on a file that was damaged under it; each use is guarded
//! ([`guard`]), and a panic counts as damage.

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
        BLOBS, CURSOR, Entry, Held, QUARANTINE, SEGMENTS, SegmentStat, TOTALS,
        Totals, parse_id,
    },
    segment::SegmentNumber,
};

/// File of the index.
pub(crate) const INDEX_NAME: &str = "index.redb";

/// Why a call to the index failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IndexError {
    /// There is no space for it to grow.
    Full,
    /// It must be built again.
    Broken,
}

impl fmt::Display for IndexError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IndexError::Full => "the disk is too full for the index",
            IndexError::Broken => "the index is damaged",
        })
    }
}

impl std::error::Error for IndexError {}

/// Runs a use of redb and turns errors and panics into one type.
fn guard<T>(
    work: impl FnOnce() -> Result<T, redb::Error>,
) -> Result<T, Report<IndexError>> {
    match catch_unwind(AssertUnwindSafe(work)) {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(redb::Error::Io(error))) if is_full(&error) => {
            Err(Report::new(error).change_context(IndexError::Full))
        }
        Ok(Err(error)) => {
            Err(Report::new(error).change_context(IndexError::Broken))
        }
        Err(_) => Err(Report::new(IndexError::Broken).attach("redb panicked")),
    }
}

/// What the index knows of an id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Lookup {
    Absent,
    Present(Entry),
    Quarantined,
}

/// The open index.
#[derive(Debug)]
pub(crate) struct Index {
    /// `None` only while it is dropped.
    db: Option<Database>,
}

impl Drop for Index {
    fn drop(&mut self) {
        let db = self.db.take();
        // Closing a damaged file may panic like any other use.
        if catch_unwind(AssertUnwindSafe(|| drop(db))).is_err() {
            log::warn!("closing a damaged index failed");
        }
    }
}

impl Index {
    /// Opens the existing index and verifies every page of it.
    pub(crate) fn open(
        layer: &dyn FileLayer,
        cache_bytes: usize,
    ) -> Result<Self, Report<IndexError>> {
        let file = guard(|| Ok(layer.open(INDEX_NAME)?))?;
        Self::with_file(file, cache_bytes)
    }

    /// Starts an empty index in place of any other.
    pub(crate) fn create(
        layer: &dyn FileLayer,
        cache_bytes: usize,
    ) -> Result<Self, Report<IndexError>> {
        let file = guard(|| {
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
        guard(|| {
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

    /// Applies changes in order, as one transaction.
    pub(crate) fn apply(
        &self,
        changes: &[Change],
        durable: bool,
    ) -> Result<(), Report<IndexError>> {
        guard(|| {
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
        work: impl FnOnce(&ReadTransaction) -> Result<T, redb::Error>,
        otherwise: T,
    ) -> Result<T, Report<IndexError>> {
        guard(|| {
            let txn = self.db()?.begin_read()?;
            match work(&txn) {
                // Nothing was ever written.
                Err(redb::Error::TableDoesNotExist(_)) => Ok(otherwise),
                other => other,
            }
        })
    }

    /// Looks up many ids in one transaction.
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

    /// Lists blobs with a prefix that come after an id, in order.
    pub(crate) fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(BlobId, Entry)>, Report<IndexError>> {
        let collect = |txn: &ReadTransaction| {
            let table = txn.open_table(BLOBS)?;
            let mut found = Vec::new();
            for row in table.range::<&str>(range(prefix, after))? {
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

    /// Lists quarantined ids after an id, in order, with the time at which
    /// they were stored.
    pub(crate) fn quarantined(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(BlobId, u64)>, Report<IndexError>> {
        let collect = |txn: &ReadTransaction| {
            let table = txn.open_table(QUARANTINE)?;
            let mut found = Vec::new();
            for row in table.range::<&str>(range(prefix, after))? {
                let (id, held) = row?;
                if found.len() == limit || !id.value().starts_with(prefix) {
                    break;
                }
                let id = parse_id(id.value())?;
                let held = Held::from_row(held.value());
                found.push((id, held.stored_at_ms));
            }
            Ok(found)
        };
        self.read(collect, Vec::new())
    }

    /// Returns all segments that the index knows.
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

    /// Returns the id up to which the last scrub came.
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

fn range<'a>(
    prefix: &'a str,
    after: Option<&'a str>,
) -> (Bound<&'a str>, Bound<&'a str>) {
    let start = match after {
        Some(after) if after >= prefix => Bound::Excluded(after),
        _ => Bound::Included(prefix),
    };
    (start, Bound::Unbounded)
}
