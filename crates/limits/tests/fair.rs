//! Fair queueing over customers.

use pomeloslip_limits::{FairQueue, PushError};
use proptest::{prelude::*, test_runner::RngSeed};
use yare::parameterized;

#[parameterized(
    equal = { 1, 1, 1, 1, 500 },
    three_to_one = { 3, 1, 1, 1, 750 },
    cost_counts = { 1, 1, 3, 1, 250 },
    large_costs = { 1, 1, 3_000, 1_000, 250 },
)]
fn shares(
    weight_a: u32,
    weight_b: u32,
    cost_a: u64,
    cost_b: u64,
    expected: usize,
) {
    let mut queue = FairQueue::new(1_000);
    let a = queue.add_flow(weight_a);
    let b = queue.add_flow(weight_b);
    for _ in 0..1_000 {
        queue.push(a, cost_a, 'a').unwrap();
        queue.push(b, cost_b, 'b').unwrap();
    }
    let popped: Vec<char> = (0..1_000).filter_map(|_| queue.pop()).collect();
    let of_a = popped.iter().filter(|flow| **flow == 'a').count();
    assert!(of_a.abs_diff(expected) <= 1, "{of_a}");
}

/// Guards against a customer with one item that waits behind ten thousand
/// items of another customer, which arrived a moment earlier. A single queue
/// in order of arrival causes this.
#[test]
fn small_flow_does_not_wait_behind_a_bulk_flow() {
    let mut queue = FairQueue::new(10_000);
    let bulk = queue.add_flow(1);
    for _ in 0..10_000 {
        queue.push(bulk, 1, "bulk").unwrap();
    }
    queue.pop();
    let small = queue.add_flow(1);
    queue.push(small, 1, "small").unwrap();
    let position = (0..3).position(|_| queue.pop() == Some("small"));
    assert!(position.is_some());
}

#[test]
fn idle_flow_saves_nothing_up() {
    let mut queue = FairQueue::new(1_000);
    let idle = queue.add_flow(1);
    let busy = queue.add_flow(1);
    queue.push(idle, 1, "idle").unwrap();
    for _ in 0..100 {
        queue.push(busy, 1, "busy").unwrap();
    }
    for _ in 0..51 {
        queue.pop();
    }
    for _ in 0..50 {
        queue.push(idle, 1, "idle").unwrap();
    }
    let next: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
    let of_idle = next.iter().filter(|flow| **flow == "idle").count();
    assert_eq!(of_idle, 10);
}

#[test]
fn full_and_removed_flows() {
    let mut queue = FairQueue::new(2);
    let flow = queue.add_flow(0);
    let other = queue.add_flow(1);
    queue.push(flow, 0, 1).unwrap();
    queue.push(flow, 1, 2).unwrap();
    assert_eq!(queue.push(flow, 1, 3), Err(PushError::Full));
    queue.push(other, 1, 4).unwrap();
    assert_eq!(queue.pop(), Some(1));
    assert_eq!(queue.remove_flow(flow), [2]);
    assert_eq!(queue.push(flow, 1, 5), Err(PushError::NoFlow));
    assert_eq!((queue.len(), queue.pop()), (1, Some(4)));
    assert!(queue.pop().is_none() && queue.is_empty());
}

#[test]
fn costly_item_comes_out_at_once() {
    let mut queue = FairQueue::new(1);
    let flow = queue.add_flow(1);
    queue.push(flow, u64::MAX, "costly").unwrap();
    assert_eq!(queue.pop(), Some("costly"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each item is returned once, and the items of each flow in order.
    #[test]
    fn nothing_is_lost_or_overtaken(
        items in prop::collection::vec((0..4_usize, 0..50_u64), 0..200),
        weights in prop::collection::vec(0..9_u32, 4),
        pops in prop::collection::vec(any::<bool>(), 200),
    ) {
        let mut queue = FairQueue::new(1_000);
        let flows: Vec<_> =
            weights.iter().map(|weight| queue.add_flow(*weight)).collect();
        let mut out = Vec::new();
        for (number, (flow, cost)) in items.iter().enumerate() {
            queue.push(flows[*flow], *cost, (*flow, number)).unwrap();
            if pops[number] {
                out.extend(queue.pop());
            }
        }
        while let Some(item) = queue.pop() {
            out.push(item);
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(out.len(), items.len());
        for flow in 0..4 {
            let of_flow = || out.iter().filter(|item| item.0 == flow);
            prop_assert!(of_flow().map(|item| item.1).is_sorted());
        }
    }
}
