//! Compares range sets with `BTreeSet` and checks their deserialization.

use std::collections::BTreeSet;

use pomeloslip_ledger::RangeSet;
use proptest::{prelude::*, test_runner::RngSeed};

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

fn item() -> impl Strategy<Value = u32> {
    prop_oneof![4 => 0..60_u32, 1 => 0..54_000_u32, 1 => 9_999_000..10_000_000_u32]
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn range_set_behaves_like_btree_set(
        items in prop::collection::vec(item(), 0..120),
        queried in prop::collection::vec(item(), 20),
    ) {
        let mut set = RangeSet::default();
        let mut plain = BTreeSet::new();
        for item in items {
            prop_assert_eq!(set.insert(item), plain.insert(item));
        }
        prop_assert_eq!(set.len() as usize, plain.len());
        prop_assert_eq!(set.is_empty(), plain.is_empty());
        prop_assert!(set.iter().eq(plain.iter().copied()));
        for item in queried {
            prop_assert_eq!(set.contains(item), plain.contains(&item));
        }
        // Ranges are separated and not empty.
        for pair in set.ranges().windows(2) {
            prop_assert!(pair[0].1 < pair[1].0);
        }
        prop_assert!(set.ranges().iter().all(|(from, to)| from < to));
        let text = serde_json::to_string(&set).expect("a list");
        let back: RangeSet = serde_json::from_str(&text).expect("the set");
        prop_assert_eq!(back, set);
    }

    /// Guards against counting items as complete that never ran: a damaged
    /// record is read back, and a list is accepted that no set serializes to.
    #[test]
    fn only_canonical_lists_are_accepted(
        gaps in prop::collection::vec(
            prop_oneof![0..5_u32, any::<u32>()], 0..8,
        ),
    ) {
        let text = serde_json::to_string(&gaps).expect("a list");
        if let Ok(set) = serde_json::from_str::<RangeSet>(&text) {
            let again = serde_json::to_string(&set).expect("a list");
            prop_assert_eq!(again, text);
            let sum: u64 = gaps.iter().skip(1).step_by(2)
                .map(|length| u64::from(*length)).sum();
            prop_assert_eq!(u64::from(set.len()), sum);
        }
    }
}
