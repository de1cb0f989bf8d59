//! Quantiles, windows, the limit on customers and the statsd lines.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, net::UdpSocket, time::Duration};

use base::{Class, Customer, Millis};
use indexmap::IndexMap;
use pomeloslip_obs::{
    Counter, Gauge, Metrics, MetricsSettings, MetricsSnapshot, Scope, Series,
};
use yare::parameterized;

fn customer(name: &str) -> Customer {
    name.parse().unwrap()
}

fn close(found: u64, expected: u64, part: u64) -> bool {
    found.abs_diff(expected) <= expected / part
}

#[parameterized(
    all_customers = { Scope::All, 100 },
    one_customer = { Scope::Customer(customer("alama")), 16 },
)]
fn quantiles_are_within_the_error_bound(scope: Scope, part: u64) {
    let metrics = Metrics::default();
    for value in 1..=10_000 {
        metrics.record(
            Series::TotalMs,
            &customer("alama"),
            Class::Online,
            value,
        );
    }
    let table = metrics.snapshot();
    let row = table
        .histogram(Series::TotalMs, &scope, Class::Online)
        .unwrap();
    assert_eq!(row.window.count, 10_000);
    assert!(close(row.window.p50, 5_000, part), "{row:?}");
    assert!(close(row.window.p95, 9_500, part), "{row:?}");
    assert!(close(row.window.p99, 9_900, part), "{row:?}");
    assert!(close(row.window.p999, 9_990, part), "{row:?}");
    assert!(close(row.window.max, 10_000, part), "{row:?}");
    assert_eq!(row.total.count, 10_000);
    assert_eq!(row.total.sum, 50_005_000);
    assert_eq!(row.total.max, 10_000);
}

#[test]
fn classes_and_customers_are_kept_apart() {
    let metrics = Metrics::default();
    let (a, b) = (customer("a"), customer("b"));
    metrics.record(Series::QueueWaitUs, &a, Class::Online, 1);
    metrics.record(Series::QueueWaitUs, &a, Class::Batch, 2);
    metrics
        .customer(&b)
        .record(Series::QueueWaitUs, Class::Batch, 3);
    metrics.record_all(Series::KvCallUs, Class::Online, 4);
    let table = metrics.snapshot();
    let max = |scope: &Scope, class| {
        table
            .histogram(Series::QueueWaitUs, scope, class)
            .map(|row| row.total.max)
    };
    assert_eq!(max(&Scope::Customer(a.clone()), Class::Online), Some(1));
    assert_eq!(max(&Scope::Customer(a), Class::Batch), Some(2));
    assert_eq!(max(&Scope::Customer(b), Class::Batch), Some(3));
    assert_eq!(max(&Scope::All, Class::Batch), Some(3));
    assert_eq!(max(&Scope::Other, Class::Batch), None);
    assert_eq!(table.histograms.len(), 6);
}

#[test]
fn windows_expire_and_totals_do_not() {
    let settings = MetricsSettings {
        window_ms: 60_000,
        ..MetricsSettings::default()
    };
    let metrics = Metrics::try_new(settings).unwrap();
    let a = customer("a");
    let counts = |metrics: &Metrics| {
        let table = metrics.snapshot();
        let row = table
            .histogram(
                Series::FirstTokenMs,
                &Scope::Customer(a.clone()),
                Class::Online,
            )
            .unwrap();
        (row.window.count, row.total.count)
    };
    let record = || metrics.record(Series::FirstTokenMs, &a, Class::Online, 9);
    record();
    assert_eq!(counts(&metrics), (1, 1));
    metrics.maintain(Millis::new(59_999));
    record();
    assert_eq!(counts(&metrics), (2, 2));
    metrics.maintain(Millis::new(60_000));
    record();
    assert_eq!(counts(&metrics), (3, 3));
    metrics.maintain(Millis::new(120_000));
    assert_eq!(counts(&metrics), (1, 3));
    metrics.maintain(Millis::new(180_000));
    assert_eq!(counts(&metrics), (0, 3));
    record();
    assert_eq!(counts(&metrics), (1, 4));
}

/// Guards against memory that grows with each new customer name. The third
/// customer and all later ones share one row.
#[test]
fn customers_over_the_bound_share_a_row() {
    let settings = MetricsSettings {
        customers_max: 2,
        ..MetricsSettings::default()
    };
    let metrics = Metrics::try_new(settings).unwrap();
    for n in 0..1_000 {
        let name = customer(&format!("t-{n}"));
        metrics.count(Counter::Arrived, &name, Class::Online, 1);
        metrics.record(Series::TotalMs, &name, Class::Online, n);
    }
    let table = metrics.snapshot();
    let scopes: BTreeSet<&str> = table
        .counters
        .iter()
        .map(|row| row.customer.as_str())
        .collect();
    assert_eq!(Vec::from_iter(scopes), ["*", "other", "t-0", "t-1"]);
    let count = |scope| table.counter(Counter::Arrived, &scope, Class::Online);
    assert_eq!(count(Scope::Other), 998);
    assert_eq!(count(Scope::All), 1_000);
}

#[test]
fn a_snapshot_round_trips_through_json() {
    let metrics = Metrics::default();
    metrics.record(Series::TotalMs, &customer("a"), Class::Batch, 7);
    metrics.count(Counter::Tokens, &customer("a"), Class::Batch, 7);
    metrics.set_gauge(Gauge::Revision, 41);
    let table = metrics.snapshot();
    let text = serde_json::to_string(&table).unwrap();
    assert!(
        text.contains(r#""series":"total_ms","tenant":"*""#),
        "{text}"
    );
    let back: MetricsSnapshot = serde_json::from_str(&text).unwrap();
    assert_eq!(back, table);
}

#[test]
fn threads_lose_no_value() {
    let metrics = Metrics::default();
    std::thread::scope(|scope| {
        for n in 0..8_u64 {
            let handle = metrics.customer(&customer(&format!("t-{}", n % 3)));
            scope.spawn(move || {
                for value in 0..5_000 {
                    handle.record(Series::TotalMs, Class::Online, value);
                    handle.count(Counter::Arrived, Class::Online, 1);
                }
            });
        }
    });
    let table = metrics.snapshot();
    let row = table
        .histogram(Series::TotalMs, &Scope::All, Class::Online)
        .unwrap();
    assert_eq!(row.window.count, 40_000);
    assert_eq!(
        table.counter(Counter::Arrived, &Scope::All, Class::Online),
        40_000
    );
}

fn receive(socket: &UdpSocket, lines: usize) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut buffer = [0; 65_536];
    while found.len() < lines {
        let bytes = socket.recv(&mut buffer).unwrap();
        let text = std::str::from_utf8(&buffer[..bytes]).unwrap();
        found.extend(text.lines().map(str::to_owned));
    }
    found
}

#[test]
fn statsd_gets_increments_gauges_and_quantiles() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    let settings = MetricsSettings {
        statsd_addr: Some(server.local_addr().unwrap()),
        tags: IndexMap::from([("vm".to_owned(), "vm-7".to_owned())]),
        ..MetricsSettings::default()
    };
    let metrics = Metrics::try_new(settings).unwrap();
    let a = customer("a");
    metrics.count(Counter::Arrived, &a, Class::Online, 2);
    metrics.count(Counter::Arrived, &a, Class::Online, 1);
    metrics.record(Series::FirstTokenMs, &a, Class::Online, 5);
    metrics.set_gauge(Gauge::EndpointsUp, 20);
    metrics.publish();
    let mut expected =
        vec!["pomeloslip.endpoints_up:20|g|#vm:vm-7".to_owned()];
    for scope in ["*", "a"] {
        let tags = format!("#vm:vm-7,tenant:{scope},class:online");
        expected.push(format!("pomeloslip.arrived:3|c|{tags}"));
        for part in ["p50", "p95", "p99", "max"] {
            let name = format!("pomeloslip.first_token_ms.{part}");
            expected.push(format!("{name}:5|g|{tags}"));
        }
    }
    let expected = BTreeSet::from_iter(expected);
    assert_eq!(receive(&server, expected.len()), expected);

    // Only changes are sent again.
    metrics.count(Counter::Arrived, &a, Class::Online, 4);
    metrics.publish();
    let lines = receive(&server, 3);
    assert!(
        lines.iter().any(|l| l.contains(".arrived:4|c|")),
        "{lines:?}"
    );
    assert_eq!(lines.len(), 3);
}
