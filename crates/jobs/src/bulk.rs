use std::{
    collections::VecDeque,
    future::{Future, ready},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{JobKey, JobManifest};

/// A value of inputs or results; copies share the bytes.
pub type BulkValue = Arc<Vec<u8>>;

/// The response of a peer that may have a value.
pub type BulkFuture = Pin<Box<dyn Future<Output = Option<BulkValue>> + Send>>;

/// Reads inputs and results of jobs from peers.
///
/// Each of these values is written once under its own key and never changes,
/// so that any node's copy is valid. A failed request costs one extra call to
/// the key-value service.
pub trait BulkPeers: Send + Sync + 'static {
    /// Requests a value from the node that is most likely to have it.
    fn read(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
        key: &str,
    ) -> BulkFuture;
}

/// A [`BulkPeers`] without any peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl BulkPeers for NoPeers {
    fn read(&self, _: &JobKey, _: &JobManifest, _: &str) -> BulkFuture {
        Box::pin(ready(None))
    }
}

/// Capacity of the cache in bytes. The results of a job are read within
/// seconds of each other, so that space for a few jobs is enough.
const MAX_CACHE_BYTES: usize = 2 * 1024 * 1024;

/// Caches the inputs and results that this node wrote or read last.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use pomeloslip_jobs::BulkCache;
///
/// let cache = BulkCache::default();
/// cache.insert("bulk/out/a", &Arc::new(vec![1, 2]));
/// assert_eq!(cache.get("bulk/out/a").as_deref(), Some(&vec![1, 2]));
/// assert_eq!(cache.get("bulk/out/b"), None);
/// ```
#[derive(Debug, Default)]
pub struct BulkCache(Mutex<CacheEntries>);

#[derive(Debug, Default)]
struct CacheEntries {
    values: VecDeque<(String, BulkValue)>,
    bytes: usize,
}

impl BulkCache {
    /// Returns a value if it is cached.
    pub fn get(&self, key: &str) -> Option<BulkValue> {
        let entries = self.lock();
        let mut values = entries.values.iter();
        let found = values.find(|(cached_key, _)| cached_key == key)?;
        Some(found.1.clone())
    }

    /// Caches a value and evicts the oldest values if the capacity is
    /// exceeded.
    pub fn insert(&self, key: &str, value: &BulkValue) {
        let mut entries = self.lock();
        if entries
            .values
            .iter()
            .any(|(cached_key, _)| cached_key == key)
        {
            return;
        }
        entries.bytes += value.len();
        entries.values.push_back((key.to_owned(), value.clone()));
        while entries.bytes > MAX_CACHE_BYTES {
            let Some((_, evicted)) = entries.values.pop_front() else {
                break;
            };
            entries.bytes -= evicted.len();
        }
    }

    fn lock(&self) -> MutexGuard<'_, CacheEntries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
