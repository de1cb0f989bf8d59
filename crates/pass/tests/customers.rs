//! Selection of the customers that have their own counters.

use pomeloslip_pass::{CustomerCounters, CustomerOutcome};

fn rendered(counters: &CustomerCounters) -> String {
    let mut text = String::new();
    counters.render(&mut text);
    text
}

/// Guards against a list of metrics with thousands of rows: many customers
/// send one request each, a few send many, and every name keeps a row
/// permanently.
#[test]
fn the_largest_customers_keep_their_rows_and_no_request_is_lost() {
    let counters = CustomerCounters::default();
    for round in 0..20 {
        for large in 0..4 {
            for _ in 0..10 {
                let name = format!("large-{large}");
                counters.count(&name, CustomerOutcome::Admitted);
            }
            let name = format!("large-{large}");
            counters.count(&name, CustomerOutcome::OverLimit);
        }
        for small in 0..50 {
            let name = format!("small-{}", round * 50 + small);
            counters.count(&name, CustomerOutcome::Admitted);
        }
    }
    let text = rendered(&counters);
    for large in 0..4 {
        let row = format!("requests{{customer=\"large-{large}\"}} 220\n");
        assert!(text.contains(&row), "{text}");
        let row = format!("over_limit{{customer=\"large-{large}\"}} 20\n");
        assert!(text.contains(&row), "{text}");
    }
    let lines = text.lines().filter(|line| line.contains("_requests{"));
    let numbers = lines.map(|line| {
        let number = line.rsplit(' ').next().expect("a number");
        number.parse::<u64>().expect("a number")
    });
    let numbers: Vec<u64> = numbers.collect();
    assert_eq!(numbers.len(), 33, "32 rows and one for all others");
    assert_eq!(numbers.iter().sum::<u64>(), 4 * 220 + 1_000);
}
