//! Tests of item sets and of the partition assignment.

use std::collections::BTreeSet;

use pomeloslip_ledger::{RangeSet, assign};
use rand::{Rng, SeedableRng, rngs::StdRng};
use yare::parameterized;

#[test]
fn range_set_matches_btree_set() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..200 {
        let mut ranges = RangeSet::default();
        let mut plain = BTreeSet::new();
        for _ in 0..rng.random_range(0..120) {
            let index = rng.random_range(0..100);
            assert_eq!(ranges.insert(index), plain.insert(index));
        }
        assert!(ranges.iter().eq(plain.iter().copied()));
        assert_eq!(ranges.len() as usize, plain.len());
        let text = serde_json::to_string(&ranges).expect("json");
        let read: RangeSet = serde_json::from_str(&text).expect("a set");
        assert_eq!(read, ranges);
    }
}

#[parameterized(
    odd = { "[1]" },
    empty_range = { "[1,0]" },
    touching = { "[0,1,0,1]" },
    overflow = { "[4294967295,2]" },
)]
fn an_invalid_range_set_is_rejected(text: &str) {
    assert!(serde_json::from_str::<RangeSet>(text).is_err());
}

/// A set of every other item of the largest job must fit into a stored value.
#[test]
fn the_worst_range_set_is_small() {
    let set: RangeSet = (0..54_000).step_by(2).collect();
    let bytes = serde_json::to_string(&set).expect("json").len();
    assert!(bytes <= 108_001, "{bytes} bytes");
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("member-{at}")).collect()
}

fn assign_names(partitions: u32, names: &[String]) -> Vec<String> {
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let assigned_names = assign(partitions, &refs);
    assigned_names
        .into_iter()
        .map(|at| names[at].clone())
        .collect()
}

#[parameterized(
    one = { 32, 1 },
    three = { 32, 3 },
    five = { 64, 5 },
    more_members = { 8, 20 },
)]
fn the_assignment_is_even(partitions: u32, members: usize) {
    let names = names(members);
    let assigned_names = assign_names(partitions, &names);
    let loads: Vec<usize> = names
        .iter()
        .map(|name| assigned_names.iter().filter(|at| *at == name).count())
        .collect();
    let (min, max) = (loads.iter().min(), loads.iter().max());
    assert!(max <= min.map(|min| min + 1).as_ref(), "{loads:?}");
}

#[test]
fn few_partitions_move_when_a_member_is_removed() {
    let names = names(8);
    let before = assign_names(64, &names);
    let mut avoidable = 0;
    for removed in 0..8 {
        let mut remaining = names.clone();
        let removed = remaining.remove(removed);
        let after = assign_names(64, &remaining);
        let moved = before.iter().zip(&after);
        let moved = moved.filter(|(b, a)| b != a && **b != removed);
        avoidable += moved.count();
    }
    // 56 partitions belong to a remaining member; hashing by modulus would
    // move 7 in 8 of them.
    println!("{avoidable} avoidable moves in 8 removals");
    assert!(avoidable <= 8 * 56 / 4, "{avoidable}");
}
