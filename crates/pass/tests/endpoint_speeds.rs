//! Metrics of the speed of endpoints.

use pomeloslip_pass::{Counters, EndpointSpeedRow};

fn row(number: u32) -> EndpointSpeedRow {
    EndpointSpeedRow {
        endpoint: format!("e{number}"),
        interval_us: 1_000 + number,
        age_ms: number.is_multiple_of(2).then_some(7),
    }
}

/// Guards against a list of metrics that grows with the fleet, and against
/// rows of endpoints that are gone.
#[test]
fn the_slowest_endpoints_have_rows() {
    let counters = Counters::default();
    counters
        .endpoint_speeds
        .replace((0..2_200).map(row).collect());
    let text = counters.render();
    let intervals = text.matches("pomeloslip_endpoint_interval_us").count();
    assert_eq!(intervals, 64);
    let ages = text.matches("pomeloslip_endpoint_sample_age_ms").count();
    assert_eq!(ages, 32, "only endpoints with own samples have an age");
    assert!(text.contains("{endpoint=\"e2199\"} 3199\n"));
    counters.endpoint_speeds.replace(vec![row(1)]);
    let text = counters.render();
    let intervals = text.matches("pomeloslip_endpoint_interval_us").count();
    assert_eq!(intervals, 1);
}

/// Guards against an id that breaks the format of the metrics.
#[test]
fn ids_are_escaped() {
    let counters = Counters::default();
    let endpoint = "a\"b\nc".to_owned();
    counters
        .endpoint_speeds
        .replace(vec![EndpointSpeedRow { endpoint, ..row(1) }]);
    let text = counters.render();
    assert!(text.contains("{endpoint=\"a\\\"b\\nc\"} 1001\n"));
}
