use std::{
    collections::VecDeque,
    future::{Future, ready},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{JobKey, JobManifest};

/// A value as it is passed around; inputs and results are shared, not copied.
pub type BulkValue = Arc<Vec<u8>>;

/// The answer of another node that may have a value.
pub type BulkFuture = Pin<Box<dyn Future<Output = Option<BulkValue>> + Send>>;

/// Asks other nodes for inputs and results of jobs.
///
/// Each of these values is written once under a key of its own and never
/// changes, so that any node's copy is right. A question that fails costs a
/// call to the key-value service, no more.
pub trait BulkPeers: Send + Sync + 'static {
    /// Asks the node that is most likely to have a value.
    fn read(
        &self,
        job: &JobKey,
        manifest: &JobManifest,
        key: &str,
    ) -> BulkFuture;
}

/// Asks nobody.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl BulkPeers for NoPeers {
    fn read(&self, _: &JobKey, _: &JobManifest, _: &str) -> BulkFuture {
        Box::pin(ready(None))
    }
}

/// Bytes of values that a node keeps. A job's results are read within
/// seconds of each other, so that a few jobs' worth is enough.
const CACHE_BYTES: usize = 2 * 1024 * 1024;

/// Keeps the inputs and results that this node wrote or read last.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use pomeloslip_jobs::BulkCache;
///
/// let cache = BulkCache::default();
/// cache.keep("bulk/out/a", &Arc::new(vec![1, 2]));
/// assert_eq!(cache.get("bulk/out/a").as_deref(), Some(&vec![1, 2]));
/// assert_eq!(cache.get("bulk/out/b"), None);
/// ```
#[derive(Debug, Default)]
pub struct BulkCache(Mutex<Kept>);

#[derive(Debug, Default)]
struct Kept {
    values: VecDeque<(String, BulkValue)>,
    bytes: usize,
}

impl BulkCache {
    /// Returns a value if it is kept.
    pub fn get(&self, key: &str) -> Option<BulkValue> {
        let kept = self.lock();
        let mut values = kept.values.iter();
        let found = values.find(|(known, _)| known == key)?;
        Some(found.1.clone())
    }

    /// Keeps a value, in place of the oldest ones if there is no room.
    pub fn keep(&self, key: &str, value: &BulkValue) {
        let mut kept = self.lock();
        if kept.values.iter().any(|(known, _)| known == key) {
            return;
        }
        kept.bytes += value.len();
        kept.values.push_back((key.to_owned(), value.clone()));
        while kept.bytes > CACHE_BYTES {
            let Some((_, old)) = kept.values.pop_front() else {
                break;
            };
            kept.bytes -= old.len();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
