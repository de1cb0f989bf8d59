//! Behavior of a store without faults.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use base::{SteppedClock, UnixMillis};
use pomeloslip_store::{
    BlobId, BlobIdError, IndexOrigin, MAX_BLOB_BYTES, PutOutcome, Store,
    StoreError, StoreOptions, sim::SimDisk,
};
use yare::parameterized;

use crate::common::{body, get, id, open, put};

#[parameterized(
    empty = { "", BlobIdError::EmptySegment },
    leading = { "/a", BlobIdError::EmptySegment },
    trailing = { "a/", BlobIdError::EmptySegment },
    parent = { "a/../b", BlobIdError::DoubleDot },
    space = { "a b", BlobIdError::InvalidCharacter(' ') },
    nul = { "a\0", BlobIdError::InvalidCharacter('\0') },
    letter = { "ä", BlobIdError::InvalidCharacter('ä') },
)]
fn bad_ids_are_refused(text: &str, error: BlobIdError) {
    assert_eq!(text.parse::<BlobId>(), Err(error));
}

#[test]
fn ids_are_bounded() {
    assert!("a".repeat(200).parse::<BlobId>().is_ok());
    let long = "a".repeat(201).parse::<BlobId>();
    assert_eq!(long, Err(BlobIdError::TooLong(201)));
}

#[test]
fn puts_are_idempotent_and_write_once() {
    let store = open(&SimDisk::new(1));
    assert_eq!(put(&store, "a", b"one"), Ok(PutOutcome::Stored));
    assert_eq!(put(&store, "a", b"one"), Ok(PutOutcome::AlreadySame));
    let other = put(&store, "a", b"two");
    assert_eq!(other, Err(StoreError::ContentMismatch));
    assert_eq!(get(&store, "a").unwrap().unwrap(), b"one");
    assert_eq!(get(&store, "b"), Ok(None));
}

#[test]
fn puts_are_validated() {
    let store = open(&SimDisk::new(1));
    let wrong = store.put(&id("a"), "abc".into(), 1).unwrap_err();
    assert_eq!(*wrong.current_context(), StoreError::CrcMismatch);
    let large = vec![7; MAX_BLOB_BYTES + 1];
    assert_eq!(put(&store, "a", &large), Err(StoreError::TooLarge));
    assert_eq!(store.stat().unwrap().blobs, 0);
    assert_eq!(put(&store, "a", &large[1..]), Ok(PutOutcome::Stored));
    assert_eq!(get(&store, "a").unwrap().unwrap(), &large[1..]);
}

#[test]
fn blobs_outlast_a_restart() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    for n in 0..50 {
        let text = format!("job/{n:02}");
        put(&store, &text, text.repeat(40).as_bytes()).unwrap();
    }
    store.remove(&id("job/07")).unwrap();
    let before = store.stat().unwrap();
    drop(store);
    let options = StoreOptions::with_layer(disk);
    let (store, report) = Store::open(options).unwrap();
    assert_eq!(report.index, IndexOrigin::Intact);
    assert_eq!(report.replayed_records, 0);
    assert!(!report.needs_repair());
    assert_eq!(store.stat().unwrap().blobs, before.blobs);
    assert_eq!(store.stat().unwrap().disk_bytes, before.disk_bytes);
    assert_eq!(get(&store, "job/07"), Ok(None));
    assert_eq!(get(&store, "job/49").unwrap().unwrap().len(), 240);
}

#[test]
fn listings_are_ordered_pages() {
    let store = open(&SimDisk::new(1));
    for name in ["b/1", "a/2", "a/1", "a/3", "a-/1"] {
        put(&store, name, name.as_bytes()).unwrap();
    }
    let names = |prefix: &str, after: Option<&str>, limit| {
        let after = after.map(id);
        let page = store.list(prefix, after.as_ref(), limit).unwrap();
        let names = page.iter().map(|info| info.id.to_string());
        names.collect::<Vec<_>>()
    };
    assert_eq!(names("", None, 9), ["a-/1", "a/1", "a/2", "a/3", "b/1"]);
    assert_eq!(names("a/", None, 2), ["a/1", "a/2"]);
    assert_eq!(names("a/", Some("a/2"), 2), ["a/3"]);
    assert_eq!(names("b/", Some("a/2"), 2), ["b/1"]);
    assert!(names("a/", Some("b/1"), 2).is_empty());
    let removed = store.remove_prefix("a/").unwrap();
    assert_eq!((removed.blobs, removed.bytes), (3, 9));
    assert_eq!(names("", None, 9), ["a-/1", "b/1"]);
    let bad = store.remove_prefix("a").unwrap_err();
    assert_eq!(*bad.current_context(), StoreError::InvalidPrefix);
}

#[test]
fn old_blobs_are_removed_and_a_name_is_free_again() {
    let clock = Arc::new(SteppedClock::default());
    let options =
        StoreOptions::with_layer(SimDisk::new(1)).clock(clock.clone());
    let (store, _) = Store::open(options).unwrap();
    put(&store, "old", b"1").unwrap();
    clock.step_ms(1_000);
    put(&store, "new", b"2").unwrap();
    let now = UnixMillis::new(1_500);
    assert_eq!(store.remove_older_than(now, 500).unwrap().blobs, 1);
    assert_eq!(get(&store, "old"), Ok(None));
    assert_eq!(get(&store, "new").unwrap().unwrap(), b"2");
    assert_eq!(put(&store, "old", b"other"), Ok(PutOutcome::Stored));
    assert_eq!(get(&store, "old").unwrap().unwrap(), b"other");
}

#[test]
fn space_is_reclaimed_and_other_blobs_are_kept() {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    let body = vec![b'x'; 500];
    for n in 0..100 {
        put(&store, &format!("{}/{n:03}", n % 4), &body).unwrap();
    }
    for gone in ["0/", "1/", "2/"] {
        store.remove_prefix(gone).unwrap();
    }
    let before = store.stat().unwrap().disk_bytes;
    while store.reclaim(1_000).unwrap().more {}
    let stat = store.stat().unwrap();
    assert!(stat.disk_bytes * 2 < before, "{before} -> {stat:?}");
    assert_eq!(stat.blobs, 25);
    drop(store);
    // The removed blobs must not reappear when the index is rebuilt.
    for kept_index in [true, false] {
        if !kept_index {
            disk.set_content("index.redb", Vec::new());
        }
        let store = open(&disk);
        assert_eq!(store.stat().unwrap().blobs, 25);
        for n in 0..100 {
            let name = format!("{}/{n:03}", n % 4);
            assert_eq!(
                get(&store, &name).unwrap().is_some(),
                n % 4 == 3,
                "{name}"
            );
        }
    }
}

#[test]
fn concurrent_puts_to_a_real_folder_are_all_stored() {
    let dir = tempfile::tempdir().unwrap();
    let options = StoreOptions::new(dir.path()).segment_bytes(1 << 20);
    let (store, _) = Store::open(options.clone()).unwrap();
    let second = Store::open(options.clone()).unwrap_err();
    assert_eq!(*second.current_context(), StoreError::Locked);
    thread::scope(|scope| {
        for writer in 0..16 {
            let store = store.clone();
            scope.spawn(move || {
                for n in 0..20 {
                    // Two writers put each blob.
                    let name = format!("{}/{n}", writer / 2);
                    let body = name.repeat(1 + n * 700);
                    put(&store, &name, body.as_bytes()).unwrap();
                }
            });
        }
    });
    assert_eq!(store.stat().unwrap().blobs, 160);
    drop(store);
    let (store, report) = Store::open(options).unwrap();
    assert_eq!((report.blobs, report.needs_repair()), (160, false));
    let scrub = store.scrub(u64::MAX).unwrap();
    assert_eq!((scrub.blobs, scrub.complete), (160, true));
    assert!(scrub.corrupt.is_empty());
    for n in 0..20 {
        let name = format!("5/{n}");
        let body = name.repeat(1 + n * 700);
        assert_eq!(get(&store, &name).unwrap().unwrap(), body.as_bytes());
    }
}

/// Guards against reads that fail or find nothing while space is reclaimed. A
/// reader looks up a blob; its segment is then copied and deleted before the
/// reader opens the file. The reader must look up the blob again.
#[test]
fn blobs_stay_readable_while_they_are_moved() {
    let store = open(&SimDisk::new(1));
    let names: Vec<_> = (0..120).map(|n| format!("{}/{n}", n % 4)).collect();
    for name in &names {
        put(&store, name, &body(name, 300)).unwrap();
    }
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    for name in names.iter().skip(3).step_by(4) {
                        let found = get(&store, name).unwrap();
                        assert_eq!(found, Some(body(name, 300)));
                    }
                }
            });
        }
        for prefix in ["0/", "1/", "2/"] {
            store.remove_prefix(prefix).unwrap();
            while store.reclaim(1).unwrap().more {}
        }
        done.store(true, Ordering::Relaxed);
    });
    assert_eq!(store.quarantined(None, 9).unwrap(), []);
}
