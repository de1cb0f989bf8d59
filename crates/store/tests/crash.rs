//! Power failures between any two steps.
//!
//! Guards against missing or wrong acknowledged blobs, removed blobs that
//! reappear and half-written blobs that are returned after a restart. The
//! calls are random; the disk fails after a random number of changes, also
//! during recovery; unsynced writes are lost, torn or kept, and sometimes the
//! index is lost too. A failure means that something was acknowledged before
//! it was synced, or that recovery accepted a torn batch.
//!
//! `STORE_SEED=n` runs a single seed.

mod common;

use std::collections::BTreeMap;

use pomeloslip_store::{
    FileLayer, PutOutcome, Store, StoreError, sim::SimDisk,
};
use yare::parameterized;

use crate::common::{Random, body, get, id, put, reopen};

const SEEDS: u64 = 400;
const INCARNATIONS: u64 = 5;

/// Contents that may be stored under one id; `None` means no blob.
type Possible = Vec<Option<Vec<u8>>>;

struct Run {
    random: Random,
    disk: SimDisk,
    expected: BTreeMap<String, Possible>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            disk: SimDisk::new(!seed),
            expected: BTreeMap::new(),
        }
    }

    fn name(&mut self) -> String {
        format!("{}/{}", self.random.below(3), self.random.below(12))
    }

    fn content(&mut self, name: &str) -> Vec<u8> {
        let bytes = match self.random.below(8) {
            0 => 0,
            1 => 9_000,
            _ => self.random.below(1_500),
        };
        let mut content = body(name, bytes as usize);
        content.extend(self.random.below(4).to_le_bytes());
        content
    }

    fn possible(&mut self, name: &str) -> &mut Possible {
        let possible = self.expected.entry(name.to_owned());
        possible.or_insert_with(|| vec![None])
    }

    /// Records the possible effects of a put and checks its result.
    fn record_put(
        &mut self,
        name: &str,
        content: Vec<u8>,
        result: Result<PutOutcome, StoreError>,
    ) {
        let possible = self.possible(name);
        let new = Some(content);
        match result {
            Ok(PutOutcome::Stored) => {
                assert!(possible.contains(&None), "{name} stored twice");
                *possible = vec![new];
            }
            Ok(PutOutcome::AlreadySame) => {
                assert!(possible.contains(&new), "{name} is not the same");
                *possible = vec![new];
            }
            Err(StoreError::ContentMismatch) => {
                possible.retain(|old| old.is_some() && *old != new);
                assert!(!possible.is_empty(), "{name} has no other content");
            }
            Err(StoreError::OutcomeUnknown) => {
                if possible.contains(&None) && !possible.contains(&new) {
                    possible.push(new);
                }
            }
            Err(error) => assert!(error.is_not_applied()),
        }
    }

    fn put_some(&mut self, store: &Store) {
        let count = 1 + self.random.below(4);
        let mut blobs = BTreeMap::new();
        for _ in 0..count {
            let name = self.name();
            let content = self.content(&name);
            blobs.insert(name, content);
        }
        if blobs.len() == 1 {
            for (name, content) in blobs {
                let result = put(store, &name, &content);
                self.record_put(&name, content, result);
            }
            return;
        }
        let results = store.put_all(blobs.iter().map(|(name, content)| {
            (id(name), content.clone().into(), crc32fast::hash(content))
        }));
        for ((name, content), result) in blobs.into_iter().zip(results) {
            let result = result.map_err(|e| *e.current_context());
            self.record_put(&name, content, result);
        }
    }

    fn remove_some(&mut self, store: &Store) {
        let name = self.name();
        let is_single = self.random.below(4) > 0;
        let (names, result) = if !is_single {
            let prefix = format!("{}/", &name[..1]);
            let names = self.expected.keys();
            let names = names.filter(|n| n.starts_with(&prefix)).cloned();
            let names = names.collect();
            (names, store.remove_prefix(&prefix).map(|_| ()))
        } else {
            (vec![name.clone()], store.remove(&id(&name)).map(|_| ()))
        };
        for name in names {
            let possible = self.possible(&name);
            match &result {
                Ok(()) => *possible = vec![None],
                Err(error) if is_single => {
                    if !error.current_context().is_not_applied() {
                        possible.push(None);
                    }
                }
                // Some of the blobs with the prefix may have been removed.
                Err(_) => possible.push(None),
            }
        }
    }

    /// Calls the store until the disk fails or 40 calls are done.
    fn call_randomly(&mut self, store: &Store) {
        for _ in 0..40 {
            match self.random.below(20) {
                0..10 => self.put_some(store),
                10..15 => self.remove_some(store),
                15..18 => {
                    let budget = self.random.below(6_000);
                    store.reclaim(budget).ok();
                }
                18 => {
                    store.scrub(self.random.below(20_000)).ok();
                }
                _ => self.disturb(),
            }
            if self.disk.has_failed() {
                return;
            }
        }
    }

    /// Makes a sync fail, fills the disk or lifts its limit.
    fn disturb(&mut self) {
        match self.random.below(3) {
            0 => self.disk.fail_syncs(1),
            1 => {
                let free_bytes = self.random.below(3_000);
                let capacity = self.disk.used_bytes() + free_bytes;
                self.disk.set_capacity_bytes(Some(capacity));
            }
            _ => self.disk.set_capacity_bytes(None),
        }
    }

    /// Opens the store after a crash; the disk may fail again meanwhile.
    fn recover(&mut self) -> Store {
        while self.random.below(2) == 0 {
            self.disk.fail_after(self.random.below(30));
            let opened = Store::open(common::options(&self.disk));
            drop(opened);
            self.disk.crash();
        }
        if self.random.below(3) == 0 {
            self.disk.set_content("index.redb", b"no index".to_vec());
        }
        let (store, report) = reopen(&self.disk);
        assert!(report.corrupt.is_empty(), "{report:?}");
        assert!(report.damaged.is_empty(), "{report:?}");
        assert!(report.set_aside.is_empty(), "{report:?}");
        store
    }

    fn check(&mut self, store: &Store) {
        let mut blobs = 0;
        let mut bytes = 0;
        for (name, possible) in &mut self.expected {
            let found = get(store, name).expect("readable");
            assert!(
                possible.contains(&found),
                "{name}: {:?} bytes instead of {:?}",
                found.as_ref().map(Vec::len),
                possible
                    .iter()
                    .map(|p| p.as_ref().map(Vec::len))
                    .collect::<Vec<_>>()
            );
            blobs += u64::from(found.is_some());
            bytes += found.as_ref().map_or(0, Vec::len) as u64;
            *possible = vec![found];
        }
        let stat = store.stat().expect("a sum");
        assert_eq!((stat.blobs, stat.bytes), (blobs, bytes));
        assert_eq!(stat.quarantined, 0);
        let list = store.list("", None, usize::MAX).expect("a list");
        assert_eq!(list.len() as u64, blobs);
    }
}

fn run(seed: u64) {
    let mut run = Run::new(seed);
    for _ in 0..INCARNATIONS {
        let store = run.recover();
        run.check(&store);
        let changes = run.random.below(150);
        run.disk.fail_after(changes);
        run.call_randomly(&store);
        if run.random.below(4) == 0 && !run.disk.has_failed() {
            run.check(&store);
        }
        // The process may end before the power failure or with it.
        if run.random.below(2) == 0 {
            drop(store);
            run.disk.crash();
        } else {
            run.disk.crash();
            drop(store);
        }
    }
    let store = run.recover();
    run.check(&store);
}

/// The seeds are split into four tests that run in parallel.
#[parameterized(
    first = { 0 },
    second = { 1 },
    third = { 2 },
    fourth = { 3 },
)]
fn a_crash_at_any_point_loses_nothing_acknowledged(part: u64) {
    if let Ok(seed) = std::env::var("STORE_SEED") {
        return run(seed.parse().expect("a number"));
    }
    for seed in (part..SEEDS).step_by(4) {
        println!("seed {seed}");
        run(seed);
    }
}

/// Guards against removed blobs that reappear. A segment is deleted, a crash
/// undoes the deletion, and the index is lost later. Opening the store must
/// delete a file that the index has dropped, because the removal records of
/// its blobs may already be gone.
#[test]
fn a_deleted_segment_that_a_crash_brings_back_is_deleted_again() {
    let disk = SimDisk::new(1);
    let store = common::open(&disk);
    put(&store, "a/0", &body("a/0", 5_000)).expect("stored");
    put(&store, "b/0", &body("b/0", 100)).expect("stored");
    let first = common::segments(&disk).remove(0);
    let content = disk.content(&first).expect("a file");
    store.remove(&id("a/0")).expect("removed");
    assert!(!disk.names().contains(&first));
    drop(store);
    disk.create(&first).expect("created");
    disk.set_content(&first, content);
    let (store, report) = reopen(&disk);
    assert!(!disk.names().contains(&first), "{report:?}");
    assert_eq!(get(&store, "a/0"), Ok(None));
    assert_eq!(get(&store, "b/0"), Ok(Some(body("b/0", 100))));
}

/// Guards against losing a whole batch because of one damaged blob. A batch is
/// acknowledged, a bit of its first blob flips, and the power fails before the
/// index is durable. Truncating what looks like a torn batch must keep its
/// intact blobs.
#[test]
fn whole_blobs_of_a_damaged_last_batch_are_kept() {
    let disk = SimDisk::new(1);
    let store = common::open(&disk);
    let names = ["a", "b", "c"];
    let blobs = names.map(|name| {
        let content = body(name, 50);
        let crc32 = crc32fast::hash(&content);
        (id(name), content.into(), crc32)
    });
    assert!(store.put_all(blobs).iter().all(Result::is_ok));
    let segment = common::segments(&disk).remove(0);
    let mut content = disk.content(&segment).expect("a file");
    content[60] ^= 1;
    disk.set_content(&segment, content);
    disk.crash();
    drop(store);
    for _ in 0..2 {
        let (store, report) = reopen(&disk);
        assert_eq!(report.blobs, 2, "{report:?}");
        assert_eq!(get(&store, "a"), Ok(None));
        assert_eq!(get(&store, "b"), Ok(Some(body("b", 50))));
        assert_eq!(get(&store, "c"), Ok(Some(body("c", 50))));
        drop(store);
        disk.set_content("index.redb", vec![]);
    }
}
