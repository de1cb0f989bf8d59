//! Spooled records under power failures and disk faults.

use pomeloslip_store::{Spool, SpoolError, sim::SimDisk};
use yare::parameterized;

/// Guards against acknowledged records that are lost or partially returned
/// after a power failure. The disk fails between any two steps of storing and
/// removing records. A failure means that something was acknowledged before it
/// was synced, or that a torn file was accepted.
#[test]
fn stored_records_survive_a_power_failure_at_any_step() {
    for steps in 0..40 {
        for seed in 0..20 {
            let disk = SimDisk::new(seed);
            let spool = Spool::with_layer(disk.clone(), 10_000);
            let body = |at: u8| vec![at; 300 + usize::from(at)];
            disk.fail_after(steps);
            let mut kept = Vec::new();
            for at in 0..5 {
                if spool.put(&format!("r{at}"), &body(at)).is_ok() {
                    kept.push(at);
                }
            }
            let removed = spool.remove("r0").is_ok();
            disk.crash();
            let names = spool.names().expect("listed");
            for at in kept {
                let name = format!("r{at}");
                if at == 0 {
                    assert!(
                        !removed || !names.contains(&name),
                        "{name} reappeared"
                    );
                    continue;
                }
                assert!(names.contains(&name), "{name} lost at {steps}");
                assert_eq!(spool.read(&name).expect("whole"), body(at));
            }
        }
    }
}

#[test]
fn a_damaged_record_is_never_returned() {
    let disk = SimDisk::new(1);
    let spool = Spool::with_layer(disk.clone(), 1_000);
    spool.put("a", b"content").expect("kept");
    for content in [&b""[..], b"abc", b"\0\0\0\0content"] {
        disk.set_content("a.rec", content.to_vec());
        let error = spool.read("a").expect_err("damaged");
        assert_eq!(*error.current_context(), SpoolError::Damaged);
    }
}

#[test]
fn a_full_spool_keeps_what_it_has() {
    let spool = Spool::with_layer(SimDisk::new(1), 500);
    spool.put("a", &[1; 300]).expect("kept");
    let error = spool.put("b", &[2; 300]).expect_err("full");
    assert_eq!(*error.current_context(), SpoolError::Full);
    assert_eq!(spool.names().expect("listed"), ["a"]);
    assert_eq!(spool.read("a").expect("whole"), [1; 300]);
}

#[test]
fn a_failed_sync_is_an_io_error() {
    let disk = SimDisk::new(1);
    let spool = Spool::with_layer(disk.clone(), 500);
    disk.fail_syncs(1);
    let error = spool.put("a", b"x").expect_err("not kept");
    assert_eq!(*error.current_context(), SpoolError::Io);
}

#[parameterized(
    empty = { "" },
    folder = { "a/b" },
    above = { ".." },
    hidden = { ".a" },
    space = { "a b" },
)]
fn invalid_names_are_rejected(name: &str) {
    let spool = Spool::with_layer(SimDisk::new(1), 500);
    let error = spool.put(name, b"x").expect_err("refused");
    assert_eq!(*error.current_context(), SpoolError::InvalidName);
    assert!(spool.read(name).is_err() && spool.remove(name).is_err());
}

#[test]
fn a_created_folder_can_be_reopened() {
    let dir = tempfile::tempdir().expect("folder");
    let path = dir.path().join("spool");
    Spool::open(&path, 1_000)
        .expect("opened")
        .put("a", b"x")
        .expect("kept");
    let again = Spool::open(&path, 1_000).expect("opened");
    assert_eq!(again.read("a").expect("whole"), b"x");
}
