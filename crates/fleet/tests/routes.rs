//! The route of a request.

use pomeloslip_fleet::{Destination, Route, RouteKind, RouteTable};
use yare::parameterized;

fn table() -> RouteTable {
    RouteTable::new(vec![
        Route::new("root", "a.example", "/", "plain"),
        Route::new("deep", "a.example", "/x/y/", "deep"),
        Route::new("middle", "a.example", "/x/", "middle"),
        Route::new("other", "b.example", "/x/", "other"),
    ])
}

#[parameterized(
    root = { "a.example", "/", Some("root") },
    longest_prefix_wins = { "a.example", "/x/y/z", Some("deep") },
    shorter_prefix = { "a.example", "/x/z", Some("middle") },
    prefix_without_its_slash = { "a.example", "/x", Some("root") },
    other_host = { "b.example", "/x/1", Some("other") },
    host_with_port = { "b.example:8080", "/x/1", Some("other") },
    host_in_capitals = { "B.Example", "/x/1", Some("other") },
    no_prefix_fits = { "b.example", "/y/1", None },
    unknown_host = { "c.example", "/x/1", None },
    no_host = { "", "/x/1", None },
)]
fn finds_by_host_and_longest_prefix(
    host: &str,
    path: &str,
    expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name());
    assert_eq!(found, expected);
}

#[test]
fn shares_of_a_split_route_are_kept() {
    let to = [("a", 90), ("b", 10), ("never", 0)];
    let to = to.map(|(service, weight)| Destination {
        service: service.to_owned(),
        weight,
    });
    let route = Route::new("r", "h", "/", "a").with_destinations(to.to_vec());
    let count = |service| {
        (0..1_000u64)
            .filter(|spread| route.service(*spread) == Some(service))
            .count()
    };
    assert_eq!([count("a"), count("b"), count("never")], [900, 100, 0]);
}

#[test]
fn a_route_without_any_share_leads_nowhere() {
    let route = Route::new("r", "h", "/", "a").with_destinations(Vec::new());
    assert_eq!(route.service(7), None);
}

#[parameterized(
    idempotent = { RouteKind::Idempotent, true },
    at_most_once = { RouteKind::AtMostOnce, false },
    plain_stream = { RouteKind::Stream, false },
    resumable_stream = { RouteKind::ResumableStream, true },
)]
fn only_some_kinds_may_be_sent_again(kind: RouteKind, repeatable: bool) {
    assert_eq!(kind.is_repeatable(), repeatable);
}
