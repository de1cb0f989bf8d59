//! Helpers for the tests of the store.

// Not every test file uses every helper.
#![allow(dead_code)]

use bytes::Bytes;
use pomeloslip_store::{
    BlobId, OpenReport, PutOutcome, Store, StoreError, StoreOptions,
    sim::SimDisk,
};

/// Small, so that tests create many segments.
pub(crate) const SEGMENT_BYTES: u64 = 4096;

pub(crate) fn id(text: &str) -> BlobId {
    text.parse().expect("a valid id")
}

pub(crate) fn options(disk: &SimDisk) -> StoreOptions {
    StoreOptions::with_layer(disk.clone())
        .segment_bytes(SEGMENT_BYTES)
        .checkpoint_bytes(3 * SEGMENT_BYTES)
}

pub(crate) fn reopen(disk: &SimDisk) -> (Store, OpenReport) {
    Store::open(options(disk)).expect("the store opens")
}

pub(crate) fn open(disk: &SimDisk) -> Store {
    reopen(disk).0
}

pub(crate) fn put(
    store: &Store,
    name: &str,
    bytes: &[u8],
) -> Result<PutOutcome, StoreError> {
    let crc32 = crc32fast::hash(bytes);
    store
        .put(&id(name), Bytes::copy_from_slice(bytes), crc32)
        .map_err(|error| *error.current_context())
}

pub(crate) fn get(
    store: &Store,
    name: &str,
) -> Result<Option<Vec<u8>>, StoreError> {
    match store.get(&id(name)) {
        Ok(blob) => Ok(blob.map(|blob| blob.bytes.to_vec())),
        Err(error) => Err(*error.current_context()),
    }
}

/// Content derived from the name, so that mixed-up blobs are detected.
pub(crate) fn body(name: &str, bytes: usize) -> Vec<u8> {
    let lines = format!("{{\"id\":\"{name}\"}}\n");
    lines.bytes().cycle().take(bytes).collect()
}

/// Returns the names of the segment files, oldest first.
pub(crate) fn segments(disk: &SimDisk) -> Vec<String> {
    let is_segment = |name: &String| name.ends_with(".log");
    disk.names().into_iter().filter(is_segment).collect()
}

/// Deterministic pseudorandom sequence (SplitMix64).
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}
