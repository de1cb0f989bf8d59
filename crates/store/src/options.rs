use std::{path::PathBuf, sync::Arc};

use base::{Clock, SystemClock};

use crate::layer::FileLayer;

const DEFAULT_QUOTA_BYTES: u64 = 8 << 30;
const DEFAULT_SEGMENT_BYTES: u64 = 64 << 20;
const DEFAULT_CHECKPOINT_BYTES: u64 = 32 << 20;
const DEFAULT_INDEX_CACHE_BYTES: usize = 2 << 20;
/// Offsets are kept in 32 bits, and a batch may reach past the limit.
const SEGMENT_MAX_BYTES: u64 = 1 << 30;

/// Where the files are.
#[derive(Clone, Debug)]
pub(crate) enum Place {
    Dir(PathBuf),
    Layer(Arc<dyn FileLayer>),
}

/// Settings of a store.
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
    pub(crate) place: Place,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) limits: Limits,
}

/// The numbers among the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) quota_bytes: u64,
    pub(crate) segment_bytes: u64,
    pub(crate) checkpoint_bytes: u64,
    pub(crate) index_cache_bytes: usize,
}

impl StoreOptions {
    /// Keeps the files in a folder, which is created if it is missing.
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self::with_place(Place::Dir(dir.into()))
    }

    /// Keeps the files in a layer of the caller's.
    pub fn with_layer(layer: impl FileLayer) -> Self {
        Self::with_place(Place::Layer(Arc::new(layer)))
    }

    fn with_place(place: Place) -> Self {
        Self {
            place,
            clock: Arc::new(SystemClock::new()),
            limits: Limits {
                quota_bytes: DEFAULT_QUOTA_BYTES,
                segment_bytes: DEFAULT_SEGMENT_BYTES,
                checkpoint_bytes: DEFAULT_CHECKPOINT_BYTES,
                index_cache_bytes: DEFAULT_INDEX_CACHE_BYTES,
            },
        }
    }

    /// Bounds the bytes of the log's files; 8 GiB by default.
    ///
    /// Space of removed blobs counts until it is reclaimed. The index comes
    /// on top; docs/design/store.md says how large it is.
    pub fn quota_bytes(mut self, bytes: u64) -> Self {
        self.limits.quota_bytes = bytes;
        self
    }

    /// Returns the quota.
    #[inline]
    pub fn get_quota_bytes(&self) -> u64 {
        self.limits.quota_bytes
    }

    /// Sets after how many bytes a new file of the log is begun; 64 MiB by
    /// default, 1 GiB at most.
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.limits.segment_bytes = bytes.clamp(1, SEGMENT_MAX_BYTES);
        self
    }

    /// Sets after how many bytes of new log the index is made durable; 32
    /// MiB by default. A start reads at most this much of the log.
    pub fn checkpoint_bytes(mut self, bytes: u64) -> Self {
        self.limits.checkpoint_bytes = bytes;
        self
    }

    /// Bounds the memory for pages of the index; 2 MiB by default.
    pub fn index_cache_bytes(mut self, bytes: usize) -> Self {
        self.limits.index_cache_bytes = bytes;
        self
    }

    /// Takes the time at which blobs are stored from another clock.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }
}
