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
const MAX_CACHED_CHUNKS: usize = 48;

/// Maximum number of cached records of input files.
const MAX_CACHED_FILES: usize = 1_024;

/// An LRU cache whose values are read once; concurrent readers of a key wait
/// for the first.
struct LruCache<K, V> {
    cells: Mutex<IndexMap<K, Arc<OnceCell<V>>>>,
    capacity: usize,
}

impl<K: Hash + Eq + Clone, V> LruCache<K, V> {
    fn new(capacity: usize) -> Self {
        Self {
            cells: Mutex::default(),
            capacity,
        }
    }

    fn cell(&self, key: &K) -> Arc<OnceCell<V>> {
        let cells = self.cells.lock();
        let mut cells = cells.unwrap_or_else(PoisonError::into_inner);
        let cell = cells.shift_remove(key).unwrap_or_default();
        cells.insert(key.clone(), cell.clone());
        if cells.len() > self.capacity {
            cells.shift_remove_index(0);
        }
        cell
    }
}

/// Reads the items of input files.
pub(super) struct InputReader {
    kv: Arc<dyn Kv>,
    keys: Keys,
    blobs: Arc<Blobs>,
    files: LruCache<(Customer, FileId), Arc<FileRecord>>,
    chunks: LruCache<String, Arc<Vec<Bytes>>>,
}

impl InputReader {
    pub(super) fn new(kv: Arc<dyn Kv>, keys: Keys, blobs: Arc<Blobs>) -> Self {
        Self {
            kv,
            keys,
            blobs,
            files: LruCache::new(MAX_CACHED_FILES),
            chunks: LruCache::new(MAX_CACHED_CHUNKS),
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
                let lines = self.chunk_lines(chunk).await?;
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

    async fn chunk_lines(
        &self,
        chunk: &Chunk,
    ) -> Result<Arc<Vec<Bytes>>, Report<EntryError>> {
        let cell = self.chunks.cell(&chunk.blob);
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
