//! The level of max-min fairness and the buckets that it is computed from.

use pomeloslip_share::UseHistogram;
use yare::parameterized;

fn histogram(customers: &[(u32, u32)]) -> UseHistogram {
    let mut all = UseHistogram::default();
    for (slots, weight) in customers {
        all.add(*slots, *weight);
    }
    all
}

/// Returns the level of single customers, without buckets.
fn exact_level(customers: &[(u32, u32)], slots: f64) -> f64 {
    let ratio = |c: &(u32, u32)| f64::from(c.0) / f64::from(c.1);
    let mut sorted = customers.to_vec();
    sorted.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut left = slots;
    let mut weight: f64 = sorted.iter().map(|c| f64::from(c.1)).sum();
    for customer in &sorted {
        if ratio(customer) > left / weight {
            return left / weight;
        }
        left -= f64::from(customer.0);
        weight -= f64::from(customer.1);
    }
    f64::INFINITY
}

/// Guards against a refusal of a customer although the slots suffice.
#[parameterized(
    nobody = { &[], 0 },
    exactly_all = { &[(5, 1), (3, 1)], 8 },
    fewer = { &[(5, 1), (3, 1)], 20 },
    no_use = { &[(0, 1), (0, 7)], 0 },
)]
fn no_level_while_slots_suffice(customers: &[(u32, u32)], slots: u64) {
    assert_eq!(histogram(customers).level(slots), None);
}

#[parameterized(
    equal = { &[(10, 1), (10, 1), (10, 1)], 15, 5.0 },
    one_large = { &[(30, 1), (2, 1), (2, 1)], 14, 10.0 },
    by_weight = { &[(60, 3), (20, 1)], 40, 10.0 },
    below_one_slot = { &[(1, 4), (1, 4)], 1, 0.125 },
)]
fn the_level_is_max_min_fair(
    customers: &[(u32, u32)],
    slots: u64,
    level: f64,
) {
    let found = histogram(customers).level(slots).expect("a level");
    assert!((found.slots_per_weight() - level).abs() < 1e-9, "{found:?}");
}

/// Guards against a level that is far from that of single customers because
/// customers with different ratios share a bucket.
#[test]
fn the_level_is_near_that_of_single_customers() {
    let mut widest: f64 = 1.0;
    for seed in 1..=300_u64 {
        let random = |n: u64| base::mix(seed * 1_000 + n);
        let count = 1 + random(0) % 100;
        let customers: Vec<(u32, u32)> = (0..count)
            .map(|n| {
                let slots = 1 + random(n * 2 + 1) % 64;
                (slots as u32, 1 + (random(n * 2 + 2) % 10) as u32)
            })
            .collect();
        let all: u32 = customers.iter().map(|c| c.0).sum();
        let slots = u64::from(all) * (30 + random(999) % 65) / 100;
        let exact = exact_level(&customers, slots as f64);
        let level = histogram(&customers).level(slots).expect("a level");
        let ratio = level.slots_per_weight() / exact;
        widest = widest.max(ratio).max(1.0 / ratio);
    }
    println!("widest ratio to the exact level: {widest}");
    assert!(widest < 2.0, "{widest}");
}

/// Guards against sums that drift when customers come and go.
#[test]
fn removed_customers_leave_nothing() {
    let mut all = UseHistogram::default();
    let customers = [(1, 1), (1, 8), (1_000_000, 1), (7, 3)];
    for (slots, weight) in customers {
        all.add(slots, weight);
    }
    all.add_rest(90, 7);
    for (slots, weight) in customers {
        all.remove(slots, weight);
    }
    all.remove_rest(90, 7);
    assert_eq!(all, UseHistogram::default());
}
