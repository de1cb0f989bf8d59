use std::{path::PathBuf, sync::Arc};

use base::{Clock, SystemClock};

use crate::layer::FileLayer;

const DEFAULT_QUOTA_BYTES: u64 = 8 << 30;
const DEFAULT_SEGMENT_BYTES: u64 = 64 << 20;
const DEFAULT_CHECKPOINT_BYTES: u64 = 32 << 20;
const DEFAULT_INDEX_CACHE_BYTES: usize = 2 << 20;
/// The index stores offsets as 32-bit integers, and the last batch of a
/// segment may extend past this limit.
const MAX_SEGMENT_BYTES: u64 = 1 << 30;

/// Where the store keeps its files.
#[derive(Clone, Debug)]
pub(crate) enum Location {
    Dir(PathBuf),
    Layer(Arc<dyn FileLayer>),
}

/// Configuration of a [`Store`](crate::Store).
///
/// # Example
///
/// ```
/// use pomeloslip_store::{StoreOptions, sim::SimDisk};
///
/// let options = StoreOptions::with_layer(SimDisk::new(1))
///     .quota_bytes(1 << 20)
///     .segment_bytes(64 << 10);
/// assert_eq!(options.get_quota_bytes(), 1 << 20);
/// ```
#[derive(Clone)]
pub struct StoreOptions {
    pub(crate) location: Location,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) limits: Limits,
}

/// The numeric options.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) quota_bytes: u64,
    pub(crate) segment_bytes: u64,
    pub(crate) checkpoint_bytes: u64,
    pub(crate) index_cache_bytes: usize,
}

impl StoreOptions {
    /// Creates options for a store in a folder, which is created if it is
    /// missing.
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self::with_location(Location::Dir(dir.into()))
    }

    /// Creates options for a store on a caller-supplied file layer.
    pub fn with_layer(layer: impl FileLayer) -> Self {
        Self::with_location(Location::Layer(Arc::new(layer)))
    }

    fn with_location(location: Location) -> Self {
        Self {
            location,
            clock: Arc::new(SystemClock::new()),
            limits: Limits {
                quota_bytes: DEFAULT_QUOTA_BYTES,
                segment_bytes: DEFAULT_SEGMENT_BYTES,
                checkpoint_bytes: DEFAULT_CHECKPOINT_BYTES,
                index_cache_bytes: DEFAULT_INDEX_CACHE_BYTES,
            },
        }
    }

    /// Limits the size of the log files; 8 GiB by default.
    ///
    /// The space of removed blobs counts until it is reclaimed. The index is
    /// not included; docs/design/store.md gives its size.
    pub fn quota_bytes(mut self, bytes: u64) -> Self {
        self.limits.quota_bytes = bytes;
        self
    }

    /// Returns the quota in bytes.
    #[inline]
    pub fn get_quota_bytes(&self) -> u64 {
        self.limits.quota_bytes
    }

    /// Sets the size at which a new log segment is started; 64 MiB by default,
    /// at most 1 GiB.
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.limits.segment_bytes = bytes.clamp(1, MAX_SEGMENT_BYTES);
        self
    }

    /// Sets how many bytes of log are written between durable commits of the
    /// index; 32 MiB by default. Opening the store replays at most this much
    /// of the log.
    pub fn checkpoint_bytes(mut self, bytes: u64) -> Self {
        self.limits.checkpoint_bytes = bytes;
        self
    }

    /// Limits the page cache of the index; 2 MiB by default.
    pub fn index_cache_bytes(mut self, bytes: usize) -> Self {
        self.limits.index_cache_bytes = bytes;
        self
    }

    /// Sets the clock that timestamps stored blobs.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }
}
