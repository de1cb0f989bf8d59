//! Property test of bit rot: any altered or truncated file, then one opening.
//!
//! Guards against a store that returns wrong content or does not report that
//! blobs are gone. Blobs are stored, one file is altered while the store is
//! closed, and the store is opened again. A failure means that something was
//! read from disk without verifying its checksum.

mod common;

use pomeloslip_store::{PutOutcome, Store, StoreError, sim::SimDisk};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};

use crate::common::{body, get, open, options, put, segments};

/// Cases are generated from a fixed seed; `PROPERTY_FACTOR` multiplies their
/// number.
fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPERTY_FACTOR").ok();
    let factor = factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    ProptestConfig {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A kind of damage to a file.
#[derive(Clone, Debug)]
enum Rot {
    Flip(Index, u8),
    Truncate(Index),
    Fill(Index, u8),
}

fn rot() -> impl Strategy<Value = Rot> {
    prop_oneof![
        3 => (any::<Index>(), 1..=255_u8).prop_map(|(at, m)| Rot::Flip(at, m)),
        2 => any::<Index>().prop_map(Rot::Truncate),
        1 => (any::<Index>(), any::<u8>()).prop_map(|(at, b)| Rot::Fill(at, b)),
    ]
}

fn damage(content: &mut Vec<u8>, rot: &Rot) {
    let len = content.len();
    if len == 0 {
        return;
    }
    match rot {
        Rot::Flip(at, mask) => content[at.index(len)] ^= mask,
        Rot::Truncate(at) => content.truncate(at.index(len)),
        Rot::Fill(at, byte) => {
            let from = at.index(len);
            content[from..(from + 200).min(len)].fill(*byte);
        }
    }
}

fn contents() -> Vec<(String, Vec<u8>)> {
    let content = |n: usize| {
        let name = format!("job-{}/{n:02}", n % 3);
        let bytes = body(&name, 30 + n * 37 % 900);
        (name, bytes)
    };
    (0..24).map(content).collect()
}

/// Returns a disk on which all blobs are stored.
fn filled() -> SimDisk {
    let disk = SimDisk::new(1);
    let store = open(&disk);
    for (name, bytes) in contents() {
        assert_eq!(put(&store, &name, &bytes), Ok(PutOutcome::Stored));
    }
    disk
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn wrong_content_is_never_served_and_loss_is_reported(
        file: Index,
        rots in prop::collection::vec(rot(), 1..3),
        without_index: bool,
    ) {
        let disk = filled();
        if without_index {
            disk.set_content("index.redb", vec![]);
        }
        let names = disk.names();
        let name = &names[file.index(names.len())];
        let before = disk.content(name).expect("a file");
        let mut content = before.clone();
        rots.iter().for_each(|rot| damage(&mut content, rot));
        disk.set_content(name, content);

        let (store, report) = match Store::open(options(&disk)) {
            Ok(opened) => opened,
            Err(error) => {
                // `Folder` is the only error that damage may cause.
                prop_assert_eq!(*error.current_context(), StoreError::Folder);
                return Ok(());
            }
        };
        let is_last = Some(name) == segments(&disk).last();
        let mut lost = 0;
        for (name, bytes) in contents() {
            match get(&store, &name) {
                Ok(Some(found)) => prop_assert_eq!(found, bytes),
                Err(StoreError::Corrupt) => {}
                Ok(None) => lost += 1,
                Err(error) => prop_assert!(false, "{name}: {error}"),
            }
        }
        // Without an index, a truncation between two records at the end of the
        // last file is indistinguishable from a log that ended there.
        let undetectable = is_last && without_index;
        let reported = report.needs_repair()
            || report.torn_bytes > 0
            || undetectable;
        prop_assert!(
            lost == 0 || reported,
            "{lost} lost of {name}: {report:?}"
        );
        for (name, bytes) in contents() {
            prop_assert!(put(&store, &name, &bytes).is_ok());
            prop_assert_eq!(get(&store, &name), Ok(Some(bytes)));
        }
    }
}
