//! Reads and caches the input files of open jobs chunk by chunk.

use std::{
    hash::Hash,
    sync::{Arc, Mutex, PoisonError},
};

use base::{Customer, FileId};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use kv::Kv;
use ledger::Chunk;
use tokio::sync::OnceCell;

use crate::{
    EntryError,
    batch::{
        Blobs, FileRecord, files::platform, input::InputLine, keys::Keys,
    },
};

/// Maximum number of cached chunks; each is about 1 MiB.
const PIECES_KEPT_MAX: usize = 48;

/// Maximum number of cached records of input files.
const FILES_KEPT_MAX: usize = 1_024;

/// An LRU cache whose values are read once; concurrent readers of a key wait
/// for the first.
struct Cache<K, V> {
    cells: Mutex<IndexMap<K, Arc<OnceCell<V>>>>,
    kept_max: usize,
}

impl<K: Hash + Eq + Clone, V> Cache<K, V> {
    fn new(kept_max: usize) -> Self {
        Self {
            cells: Mutex::default(),
            kept_max,
        }
    }

    fn cell(&self, key: &K) -> Arc<OnceCell<V>> {
        let cells = self.cells.lock();
        let mut cells = cells.unwrap_or_else(PoisonError::into_inner);
        let cell = cells.shift_remove(key).unwrap_or_default();
        cells.insert(key.clone(), cell.clone());
        if cells.len() > self.kept_max {
            cells.shift_remove_index(0);
        }
        cell
    }
}

/// Reads the items of input files.
pub(super) struct Pieces {
    kv: Arc<dyn Kv>,
    keys: Keys,
    blobs: Arc<Blobs>,
    files: Cache<(Customer, FileId), Arc<FileRecord>>,
    pieces: Cache<String, Arc<Vec<Bytes>>>,
}

impl Pieces {
    pub(super) fn new(kv: Arc<dyn Kv>, keys: Keys, blobs: Arc<Blobs>) -> Self {
        Self {
            kv,
            keys,
            blobs,
            files: Cache::new(FILES_KEPT_MAX),
            pieces: Cache::new(PIECES_KEPT_MAX),
        }
    }

    /// Returns one item of an input.
    pub(super) async fn line(
        &self,
        customer: &Customer,
        input: &FileId,
        index: u32,
    ) -> Result<InputLine, Report<EntryError>> {
        let file = self.file(customer, input).await?;
        let mut first = 0;
        for chunk in &file.chunks {
            if index < first + chunk.items {
                let lines = self.piece(chunk).await?;
                let line = lines.get((index - first) as usize);
                let line = line.ok_or(EntryError::Storage)?;
                return serde_json::from_slice(line)
                    .change_context(EntryError::Storage);
            }
            first += chunk.items;
        }
        Err(Report::new(EntryError::Storage).attach("no such item"))
    }

    async fn file(
        &self,
        customer: &Customer,
        id: &FileId,
    ) -> Result<Arc<FileRecord>, Report<EntryError>> {
        let key = (customer.clone(), id.clone());
        let cell = self.files.cell(&key);
        let read = || async {
            let key = self.keys.file(customer, id);
            let reply = self.kv.get(&key).await.map_err(platform)?;
            let found = reply.kvs.first().ok_or_else(|| {
                Report::new(EntryError::Platform)
                    .attach(format!("{key} of an accepted job is missing"))
            })?;
            serde_json::from_slice(&found.value)
                .change_context(EntryError::Platform)
                .map(Arc::new)
        };
        cell.get_or_try_init(read).await.cloned()
    }

    async fn piece(
        &self,
        chunk: &Chunk,
    ) -> Result<Arc<Vec<Bytes>>, Report<EntryError>> {
        let cell = self.pieces.cell(&chunk.blob);
        let read = || async {
            let bytes = self.blobs.get(chunk).await?;
            let lines = bytes
                .split(|byte| *byte == b'\n')
                .filter(|line| !line.is_empty())
                .map(|line| bytes.slice_ref(line))
                .collect();
            Ok(Arc::new(lines))
        };
        cell.get_or_try_init(read).await.cloned()
    }
}
