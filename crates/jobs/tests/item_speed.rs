//! Which items start at endpoints of unequal speed.
//!
//! Load: a worker with four free endpoints, of speeds 0.6, 1, 1 and 1.6, and
//! up to three items.

use pomeloslip_jobs::{FreeEndpoint, ItemFilter, start_order};
use yare::parameterized;

/// Remaining time of an item at usual speed, and time until its deadline.
type Item = (u64, u64);

const RATIOS_PERMILLE: [Option<u64>; 4] =
    [Some(1_600), None, Some(1_000), Some(600)];

/// Starts each item once and returns the endpoint of each.
fn started(items: &[Item], starts: u32) -> Vec<Option<usize>> {
    let free: Vec<FreeEndpoint> = (0..)
        .zip(RATIOS_PERMILLE)
        .map(|(index, ratio_permille)| FreeEndpoint {
            index,
            starts,
            ratio_permille,
        })
        .collect();
    let mut slots = [starts; RATIOS_PERMILLE.len()];
    let mut endpoints = vec![None; items.len()];
    for (index, filter) in start_order(&free) {
        let waiting = items.iter().zip(&mut endpoints);
        for ((remaining_ms, left_ms), endpoint) in waiting {
            let permits = filter.permits(*remaining_ms, *left_ms);
            if endpoint.is_none() && permits && slots[index] > 0 {
                slots[index] -= 1;
                *endpoint = Some(index);
            }
        }
    }
    endpoints
}

/// Guards against items that miss their deadlines at slow endpoints while
/// others, which could wait, occupy the fast ones.
#[parameterized(
    much_time = { &[(1_000, 60_000)], &[Some(0)] },
    would_miss = { &[(1_000, 1_200)], &[Some(3)] },
    both = { &[(1_000, 60_000), (1_000, 1_200)], &[Some(0), Some(3)] },
    late = { &[(1_000, 0)], &[Some(3)] },
    nothing_known = { &[(0, 1_000)], &[Some(0)] },
    several_urgent = {
        &[(1_000, 1_200), (1_000, 1_300), (1_000, 1_400)],
        &[Some(3), Some(1), Some(2)]
    },
)]
fn urgent_items_start_at_fast_endpoints(
    items: &[Item],
    expected: &[Option<usize>],
) {
    assert_eq!(started(items, 1), expected);
}

/// Guards against items that no step starts although slots are free.
#[test]
fn all_items_start_while_slots_are_free() {
    let items: Vec<Item> = (0..8).map(|n| (1_000, n * 800)).collect();
    let endpoints = started(&items, 2);
    assert!(endpoints.iter().all(Option::is_some), "{endpoints:?}");
}

#[parameterized(
    half = { ItemFilter::MuchTime(1_000), 500, 1_000, true },
    more_than_half = { ItemFilter::MuchTime(1_000), 501, 1_000, false },
    slower = { ItemFilter::MuchTime(2_500), 500, 1_000, false },
    the_rest = { ItemFilter::LittleTime(2_500), 500, 1_000, true },
    any = { ItemFilter::All, u64::MAX, 0, true },
    no_overflow = { ItemFilter::LittleTime(u64::MAX), u64::MAX, 0, true },
)]
fn an_item_has_much_time_up_to_half_of_what_is_left(
    filter: ItemFilter,
    remaining_ms: u64,
    left_ms: u64,
    expected: bool,
) {
    assert_eq!(filter.permits(remaining_ms, left_ms), expected);
}
