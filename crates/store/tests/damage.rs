//! Bit rot: flipped bits and truncated files.
//!
//! Guards against a store that returns wrong content, does not open, or opens
//! without reporting that blobs are gone. Blobs are stored, a file is altered
//! while the store runs or between two runs, and the blobs are read. A failure
//! means that something was read from disk without verifying its checksum.

mod common;

use std::collections::BTreeMap;

use pomeloslip_store::{
    IndexOrigin, PutOutcome, Store, StoreError, StoreOptions, sim::SimDisk,
};
use yare::parameterized;

use crate::common::{
    Random, body, get, id, open, options, put, reopen, segments,
};

const INDEX: &str = "index.redb";

type Contents = BTreeMap<String, Vec<u8>>;

fn fill(store: &Store, count: usize) -> Contents {
    let mut contents = Contents::new();
    for n in 0..count {
        let name = format!("job-{}/{n:03}", n % 3);
        let content = body(&name, 40 + n * 17 % 900);
        put(store, &name, &content).expect("stored");
        contents.insert(name, content);
    }
    contents
}

fn flip(disk: &SimDisk, name: &str, at: usize, mask: u8) {
    let mut content = disk.content(name).expect("a file");
    content[at] ^= mask;
    disk.set_content(name, content);
}

fn truncate(disk: &SimDisk, name: &str, len: usize) {
    let mut content = disk.content(name).expect("a file");
    content.truncate(len);
    disk.set_content(name, content);
}

/// Returns the segment and offset of a blob's content.
fn find(disk: &SimDisk, bytes: &[u8]) -> (String, usize) {
    for name in segments(disk) {
        let content = disk.content(&name).expect("a file");
        let mut windows = content.windows(bytes.len());
        if let Some(at) = windows.position(|window| window == bytes) {
            return (name, at);
        }
    }
    panic!("the blob is in no segment");
}

/// Checks that every blob is correct, missing or reported as corrupt. Puts
/// missing and corrupt blobs again, as the owner of the other replica would,
/// and returns their number.
fn repair(store: &Store, contents: &Contents) -> usize {
    let mut repaired = 0;
    for (name, content) in contents {
        match get(store, name) {
            Ok(Some(found)) => assert_eq!(found, *content, "{name}"),
            Ok(None) | Err(StoreError::Corrupt) => {
                repaired += 1;
                assert_eq!(put(store, name, content), Ok(PutOutcome::Stored));
            }
            Err(error) => panic!("{name}: {error}"),
        }
    }
    for (name, content) in contents {
        assert_eq!(get(store, name), Ok(Some(content.clone())), "{name}");
    }
    repaired
}

#[test]
fn a_flipped_bit_is_never_served_and_a_new_copy_heals() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 30);
    let (segment, at) = find(&disk, &contents["job-0/012"]);
    flip(&disk, &segment, at + 5, 1);
    assert_eq!(get(&store, "job-0/012"), Err(StoreError::Corrupt));
    assert_eq!(get(&store, "job-0/012"), Err(StoreError::Corrupt));
    let quarantined = store.quarantined(None, 9).expect("a list");
    assert_eq!(quarantined, [id("job-0/012")]);
    let stat = store.stat().expect("a sum");
    assert_eq!((stat.blobs, stat.quarantined), (29, 1));
    drop(store);
    let store = open(&disk);
    assert_eq!(get(&store, "job-0/012"), Err(StoreError::Corrupt));
    assert_eq!(repair(&store, &contents), 1);
    assert_eq!(store.stat().expect("a sum").quarantined, 0);
}

#[test]
fn a_repeated_put_does_not_trust_a_damaged_copy() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 3);
    let (segment, at) = find(&disk, &contents["job-1/001"]);
    flip(&disk, &segment, at, 0x80);
    let again = put(&store, "job-1/001", &contents["job-1/001"]);
    assert_eq!(again, Ok(PutOutcome::Stored));
    assert_eq!(repair(&store, &contents), 0);
}

/// Flips a bit in every third byte of a small log, one at a time.
#[parameterized(
    with_index = { true, false },
    without_index = { false, false },
    rebuilt_at_run_time = { false, true },
)]
fn no_flipped_byte_of_the_log_is_served(keep_index: bool, running: bool) {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 6);
    drop(store);
    let segment = segments(&disk).remove(0);
    let before = disk.content(&segment).expect("a file");
    let index = disk.content(INDEX).expect("a file");
    for at in (0..before.len()).step_by(3) {
        for name in segments(&disk) {
            truncate(&disk, &name, 0);
        }
        disk.set_content(&segment, before.clone());
        let index = index.clone();
        disk.set_content(INDEX, if keep_index { index } else { vec![] });
        let (store, report) = if running {
            let opened = reopen(&disk);
            flip(&disk, &segment, at, 0x10);
            opened
        } else {
            flip(&disk, &segment, at, 0x10);
            reopen(&disk)
        };
        let repaired = repair(&store, &contents);
        assert_eq!(repaired, 1, "byte {at}: {report:?}");
        if !keep_index && !running {
            // Payloads are verified only when they are read.
            let whole = report.blobs == 6;
            assert!(whole || report.needs_repair(), "byte {at}: {report:?}");
        }
    }
}

#[test]
fn a_scrub_names_every_damaged_blob_in_small_steps() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 60);
    let bad = ["job-0/003", "job-1/022", "job-2/059"];
    for (n, name) in bad.into_iter().enumerate() {
        let (segment, at) = find(&disk, &contents[name]);
        // Damages the payload, the id and the header, respectively.
        flip(&disk, &segment, at - n * 10, 4);
    }
    let mut found = Vec::new();
    let mut store = Some(store);
    for step in 0.. {
        // The scrub position is kept across restarts.
        if step % 5 == 0 {
            drop(store.take());
        }
        let open = store.get_or_insert_with(|| open(&disk));
        let report = open.scrub(2_000).expect("a report");
        assert!(report.bytes < 3_000);
        found.extend(report.corrupt);
        if report.complete {
            break;
        }
    }
    assert_eq!(found, bad.map(id));
    let store = unwrap_open(store);
    assert_eq!(repair(&store, &contents), 3);
}

fn unwrap_open(store: Option<Store>) -> Store {
    store.expect("the store is open")
}

#[parameterized(
    emptied = { 0 },
    cut = { 1000 },
)]
fn a_shortened_segment_is_reported(len: usize) {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 60);
    drop(store);
    truncate(&disk, &segments(&disk)[1], len);
    let (store, report) = reopen(&disk);
    assert_eq!(report.index, IndexOrigin::Intact);
    assert_eq!(report.damaged.len(), 1, "{report:?}");
    assert_eq!(report.damaged[0].from, len as u64);
    let scrub = store.scrub(u64::MAX).expect("a report");
    assert!(!scrub.corrupt.is_empty());
    assert_eq!(repair(&store, &contents), scrub.corrupt.len());
}

#[test]
fn reclaiming_keeps_whole_blobs_beside_damaged_ones() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let mut contents = fill(&store, 60);
    for name in ["job-1/004", "job-2/008"] {
        let (segment, at) = find(&disk, &contents[name]);
        flip(&disk, &segment, at - 12, 1);
    }
    store.remove_prefix("job-0/").expect("removed");
    contents.retain(|name, _| !name.starts_with("job-0/"));
    for name in contents.keys().skip(5).step_by(2) {
        let other = name.as_str() != "job-1/004" && name != "job-2/008";
        if other {
            store.remove(&id(name)).expect("removed");
        }
    }
    while store.reclaim(5_000).expect("reclaimed").more {}
    contents.retain(|name, _| get(&store, name) != Ok(None));
    let corrupt: Vec<_> = store.quarantined(None, 9).expect("a list");
    assert_eq!(corrupt, [id("job-1/004"), id("job-2/008")]);
    assert_eq!(repair(&store, &contents), 2);
}

#[test]
fn a_damaged_index_loses_nothing() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 200);
    store.remove(&id("job-0/000")).expect("removed");
    drop(store);
    let names = disk.names();
    let files: Vec<_> = names.iter().map(|n| disk.content(n)).collect();
    let index = disk.content(INDEX).expect("a file");
    let mut random = Random(3);
    let mut rebuilt = 0;
    for round in 0..150 {
        for (name, content) in names.iter().zip(&files) {
            disk.set_content(name, content.clone().expect("a file"));
        }
        let mut bad = index.clone();
        match round % 3 {
            0 => bad.truncate(random.below(index.len() as u64) as usize),
            1 => {
                let at = random.below(index.len() as u64) as usize;
                bad[at] ^= 1 << random.below(8);
            }
            _ => {
                let at = random.below(index.len() as u64) as usize;
                let end = (at + 512).min(index.len());
                bad[at..end].fill(random.below(256) as u8);
            }
        }
        disk.set_content(INDEX, bad);
        let (store, report) = reopen(&disk);
        assert_eq!(report.blobs, 199, "round {round}: {report:?}");
        assert!(!report.needs_repair(), "round {round}: {report:?}");
        let origin = matches!(report.index, IndexOrigin::Rebuilt { .. });
        rebuilt += usize::from(origin);
        if round % 10 == 0 {
            for (name, content) in contents.iter().skip(1) {
                assert_eq!(get(&store, name), Ok(Some(content.clone())));
            }
        }
        assert_eq!(get(&store, "job-0/000"), Ok(None));
    }
    assert!(rebuilt > 50, "only {rebuilt} of 150 were noticed");
}

/// The index file is corrupted while the store runs without a page cache.
#[test]
fn an_index_damaged_while_in_use_loses_nothing() {
    let mut random = Random(4);
    for round in 0..25 {
        let disk = SimDisk::new(round);
        let (store, _) =
            Store::open(options(&disk).index_cache_bytes(0)).expect("opens");
        let contents = fill(&store, 150);
        for _ in 0..20 {
            let len = disk.content(INDEX).expect("a file").len();
            let at = random.below(len as u64) as usize;
            flip(&disk, INDEX, at, 1 << random.below(8));
        }
        for n in 0..20 {
            put(&store, &format!("new/{n}"), b"x").expect("stored");
            store.remove(&id(&format!("new/{n}"))).expect("removed");
        }
        assert_eq!(repair(&store, &contents), 0, "round {round}");
        store.scrub(u64::MAX).expect("a report");
        assert_eq!(store.stat().expect("a sum").blobs, 150);
    }
}

#[parameterized(
    zeros = { vec![0; 70_000] },
    noise = { (0..70_000_u32).map(|n| (n.wrapping_mul(n) >> 7) as u8).collect() },
    text = { b"pBr1".repeat(9_000) },
)]
fn a_folder_of_damaged_files_opens_empty_and_is_reported(noise: Vec<u8>) {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let contents = fill(&store, 60);
    drop(store);
    for name in disk.names() {
        disk.set_content(&name, noise.clone());
    }
    let count = segments(&disk).len();
    let (store, report) = reopen(&disk);
    assert_eq!(report.blobs, 0);
    assert!(matches!(report.index, IndexOrigin::Rebuilt { .. }));
    // The last segment may be the torn remainder of a first batch.
    assert_eq!(report.set_aside.len(), count - 1, "{report:?}");
    assert_eq!(report.torn_bytes, noise.len() as u64);
    assert!(report.needs_repair());
    assert_eq!(store.stat().expect("a sum").disk_bytes, 0);
    assert_eq!(repair(&store, &contents), 60);
}

#[test]
fn more_damage_than_a_crash_can_do_is_set_aside() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    put(&store, "a", b"1").expect("stored");
    drop(store);
    let segment = segments(&disk).remove(0);
    disk.set_content(&segment, vec![0; 25 << 20]);
    disk.set_content(INDEX, vec![]);
    let (_, report) = reopen(&disk);
    assert_eq!((report.torn_bytes, report.set_aside), (0, vec![segment]));
}

/// A blob whose content looks like records must not become part of the log.
#[test]
fn records_inside_a_blob_are_not_parsed_as_the_log() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    put(&store, "victim", b"right").expect("stored");
    let segment = segments(&disk).remove(0);
    let forged = disk.content(&segment).expect("a file");
    let other = SimDisk::new(2);
    let other_store = open(&other);
    put(&other_store, "victim", b"wrong").expect("stored");
    let foreign = other.content(&segments(&other)[0]).expect("a file");
    put(&store, "outer", &foreign.repeat(20)).expect("stored");
    drop(store);
    flip(&disk, &segment, forged.len() + 9, 1);
    disk.set_content(INDEX, vec![]);
    let (store, report) = reopen(&disk);
    assert!(report.needs_repair());
    assert_eq!(get(&store, "victim"), Ok(Some(b"right".to_vec())));
}

#[test]
fn a_folder_that_cannot_be_created_is_rejected() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("file");
    std::fs::write(&file, "in the way").expect("written");
    let error = Store::open(StoreOptions::new(file.join("data")));
    let error = error.expect_err("no folder");
    assert_eq!(*error.current_context(), StoreError::Folder);
}
