//! At which endpoints of unequal speed items start first.
//!
//! Load: a worker with free endpoints of speeds 0.6, 1, 1 and 1.6, and fewer
//! items than free slots.

use pomeloslip_jobs::{FreeEndpoint, start_order};
use yare::parameterized;

/// Guards against items that miss their deadlines at slow endpoints while fast
/// ones are free.
#[parameterized(
    unequal = { &[Some(1_600), None, Some(1_000), Some(600)], &[3, 1, 2, 0] },
    unknown_counts_as_usual = { &[Some(1_600), None], &[1, 0] },
    equal_speeds_keep_their_order = {
        &[Some(1_000), Some(1_000), None], &[0, 1, 2]
    },
    none_is_free = { &[], &[] },
)]
fn items_start_at_the_fastest_free_endpoint(
    ratios_permille: &[Option<u64>],
    expected: &[usize],
) {
    let free = ratios_permille.iter().enumerate();
    let free: Vec<FreeEndpoint> = free
        .map(|(index, ratio_permille)| FreeEndpoint {
            index,
            ratio_permille: *ratio_permille,
        })
        .collect();
    assert_eq!(start_order(&free), expected);
}
