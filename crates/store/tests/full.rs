//! Quotas, full disks and failing syncs.
//!
//! Guards against a rejected put whose blob exists later although the error
//! said that nothing was stored, and against acknowledged blobs that are lost
//! because another put found the disk full. The disk fills up or a sync fails
//! at some point of a put. A failure means that a failed batch was not rolled
//! back, or that the index was lost for lack of space.

mod common;

use pomeloslip_store::{PutOutcome, Store, StoreError, sim::SimDisk};
use yare::parameterized;

use crate::common::{body, get, id, open, options, put, reopen};

fn quota_store(disk: &SimDisk, quota_bytes: u64) -> Store {
    let options = options(disk).quota_bytes(quota_bytes);
    Store::open(options).expect("opens").0
}

#[test]
fn a_put_over_the_quota_stores_nothing() {
    let disk = SimDisk::new(1);
    let store = quota_store(&disk, 20_000);
    let content = body("x", 900);
    let mut stored = 0;
    while put(&store, &format!("a/{stored:02}"), &content).is_ok() {
        stored += 1;
    }
    assert_eq!(stored, 21, "21 records of 948 bytes fit");
    let refused = format!("a/{stored:02}");
    let again = put(&store, &refused, &content);
    assert_eq!(again, Err(StoreError::QuotaExceeded));
    assert!(store.stat().expect("a sum").disk_bytes <= 20_000);
    // Blobs that are already stored need no space.
    assert_eq!(put(&store, "a/00", &content), Ok(PutOutcome::AlreadySame));
    assert_eq!(get(&store, &refused), Ok(None));
    disk.crash();
    let (store, report) = reopen(&disk);
    assert_eq!((report.blobs, get(&store, &refused)), (21, Ok(None)));
}

#[test]
fn a_batch_is_stored_as_far_as_the_quota_reaches() {
    let disk = SimDisk::new(1);
    let store = quota_store(&disk, 2_000);
    let content = body("x", 900);
    let crc32 = crc32fast::hash(&content);
    let blobs = ["a", "b", "c", "a"];
    let blobs = blobs.map(|n| (id(n), content.clone().into(), crc32));
    let results: Vec<_> = store
        .put_all(blobs)
        .into_iter()
        .map(|result| result.map_err(|e| *e.current_context()))
        .collect();
    let full = Err(StoreError::QuotaExceeded);
    let expected = [Ok(PutOutcome::Stored), Ok(PutOutcome::Stored), full];
    assert_eq!(results[..3], expected);
    assert_eq!(results[3], Ok(PutOutcome::AlreadySame));
}

#[test]
fn removed_blobs_make_room_under_the_quota() {
    let disk = SimDisk::new(1);
    let quota_bytes = 40_000;
    let store = quota_store(&disk, quota_bytes);
    let content = body("x", 900);
    // Far more bytes than the quota are written in total, while every fourth
    // blob is kept for a while between the others.
    for n in 0..400 {
        let name = format!("{}/{n:03}", n % 4);
        assert_eq!(
            put(&store, &name, &content),
            Ok(PutOutcome::Stored),
            "{name}"
        );
        if n >= 4 {
            let old = n - if n % 4 == 0 { 40 } else { 4 };
            if old >= 0 {
                let old = format!("{}/{old:03}", n % 4);
                assert_eq!(store.remove(&id(&old)).ok(), Some(true));
            }
        }
        let stat = store.stat().expect("a sum");
        assert!(stat.disk_bytes <= quota_bytes + 4_096, "{stat:?}");
    }
    drop(store);
    disk.set_content("index.redb", vec![]);
    let (store, report) = reopen(&disk);
    assert_eq!(report.blobs, 10 + 3);
    assert_eq!(store.list("0/", None, 99).expect("a list").len(), 10);
}

/// Runs with a range of remaining disk capacities.
#[parameterized(
    small = { 100, 4_400, 61 },
    large = { 9_000, 40_000, 997 },
)]
fn a_full_disk_loses_and_doubles_nothing(
    bytes: usize,
    max_free_bytes: usize,
    step: usize,
) {
    for free_bytes in (0..max_free_bytes).step_by(step) {
        let disk = SimDisk::new(free_bytes as u64);
        let store = open(&disk);
        for n in 0..40 {
            let name = format!("old/{n:02}");
            put(&store, &name, &body(&name, 300)).expect("stored");
        }
        let capacity = disk.used_bytes() + free_bytes as u64;
        disk.set_capacity_bytes(Some(capacity));
        let mut stored = Vec::new();
        let mut refused = Vec::new();
        for n in 0..30 {
            let name = format!("new/{n:02}");
            match put(&store, &name, &body(&name, bytes)) {
                Ok(_) => stored.push(name),
                Err(error) => {
                    let full = error == StoreError::DiskFull;
                    assert!(
                        full || error == StoreError::NotApplied,
                        "{error}"
                    );
                    refused.push(name);
                }
            }
        }
        assert!(
            !refused.is_empty(),
            "{free_bytes}: the disk never filled up"
        );
        // With free space again, either the same store continues or it is
        // reopened after a crash.
        disk.set_capacity_bytes(None);
        let store = if free_bytes % 2 == 0 {
            store
        } else {
            disk.crash();
            open(&disk)
        };
        for name in &stored {
            let content = Some(body(name, bytes));
            assert_eq!(get(&store, name), Ok(content), "{free_bytes}: {name}");
        }
        for name in &refused {
            assert_eq!(get(&store, name), Ok(None), "{free_bytes}: {name}");
            put(&store, name, &body(name, bytes)).expect("stored");
        }
        for n in 0..40 {
            let name = format!("old/{n:02}");
            let content = Some(body(&name, 300));
            assert_eq!(
                get(&store, &name),
                Ok(content),
                "{free_bytes}: {name}"
            );
        }
    }
}

#[test]
fn a_store_starts_on_a_full_disk() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    for n in 0..100 {
        put(&store, &format!("a/{n}"), b"x").expect("stored");
    }
    // Without a clean shutdown the index is behind the log and has to grow.
    disk.crash();
    drop(store);
    disk.set_capacity_bytes(Some(disk.used_bytes()));
    let (store, report) = reopen(&disk);
    assert_eq!(report.blobs, 100);
    assert_eq!(get(&store, "a/99"), Ok(Some(b"x".to_vec())));
}

#[test]
fn a_failed_sync_is_not_an_acknowledgement() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    put(&store, "first", b"1").expect("stored");
    disk.fail_syncs(1);
    let failed = put(&store, "second", b"2");
    assert_eq!(failed, Err(StoreError::NotApplied));
    assert_eq!(get(&store, "second"), Ok(None));
    disk.fail_syncs(2);
    let unknown = put(&store, "second", b"2");
    assert_eq!(unknown, Err(StoreError::OutcomeUnknown));
    assert_eq!(put(&store, "second", b"2"), Ok(PutOutcome::Stored));
    disk.crash();
    let store = open(&disk);
    assert_eq!(get(&store, "first"), Ok(Some(b"1".to_vec())));
    assert_eq!(get(&store, "second"), Ok(Some(b"2".to_vec())));
}

#[test]
fn a_batch_costs_one_sync_and_few_writes() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    put(&store, "first", b"1").expect("stored");
    let before = disk.syncs();
    let blobs = (0..64).map(|n| (id(&format!("a/{n}")), "".into(), 0));
    assert!(
        store
            .put_all(blobs)
            .into_iter()
            .all(|result| result.is_ok())
    );
    assert_eq!(disk.syncs() - before, 1);
}
