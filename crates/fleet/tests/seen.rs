//! Which versions a node has seen in the list of endpoints.

use std::net::SocketAddr;

use base::Millis;
use pomeloslip_fleet::{
    Directory, EndpointRecord, EndpointState, Listing, VersionBinding,
};
use yare::parameterized;

const WINDOW_MS: u64 = 10_000;

fn record(id: &str, service: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        version: version.parse().ok(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        service: service.to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

/// Id, service and version of a listed endpoint.
type Listed = (&'static str, &'static str, &'static str);

/// Listings with the times at which they were read, in milliseconds.
type Listings = &'static [(u64, &'static [Listed])];

fn v1() -> VersionBinding {
    VersionBinding::new("llm", "v1".parse().expect("a version"))
}

/// Applies listings, each at a time in milliseconds, and reports whether only
/// the first version has been in service at another time. The list was last
/// confirmed `age_ms` before.
fn is_only_version(listings: Listings, at_ms: u64, age_ms: u64) -> bool {
    let mut directory = Directory::default();
    for (revision, (ms, records)) in (1..).zip(listings) {
        let records = records.iter();
        let records =
            records.map(|(id, service, version)| record(id, service, version));
        let listing = Listing {
            revision,
            records: records.collect(),
        };
        directory.reconcile(listing, Millis::new(*ms));
    }
    let table = directory.table();
    directory.confirm(Millis::new(at_ms - age_ms));
    table.is_only_version(&v1(), WINDOW_MS, Millis::new(at_ms))
}

const V1: Listed = ("e1", "llm", "v1");
const V2: Listed = ("e2", "llm", "v2");

/// Guards against a stream that is taken for one of the version that is in
/// service now, although another one was when it began.
#[parameterized(
    alone = { &[(0, &[V1])], 10_000, true },
    just_started = { &[(0, &[V1])], 9_999, false },
    never_listed = { &[], 20_000, false },
    beside_another = { &[(0, &[V1, V2])], 20_000, false },
    beside_an_unknown = { &[(0, &[V1, ("e3", "llm", "")])], 20_000, false },
    beside_another_service = { &[(0, &[V1, ("e3", "app", "v7")])], 20_000,
        true },
    another_has_left = { &[(0, &[V1, V2]), (5_000, &[V1])], 14_999, false },
    another_left_long_ago = { &[(0, &[V1, V2]), (5_000, &[V1])], 15_000,
        true },
    another_has_come = { &[(0, &[V1]), (15_000, &[V1, V2])], 15_000, false },
    all_have_left = { &[(0, &[V1]), (5_000, &[])], 20_000, true },
    same_id = { &[(0, &[("e1", "llm", "v2")]), (5_000, &[V1])], 14_999,
        false },
)]
fn a_version_is_certain_if_no_other_one_was_listed(
    listings: Listings,
    at_ms: u64,
    expected: bool,
) {
    assert_eq!(is_only_version(listings, at_ms, 0), expected);
}

/// Guards against a stream of a version that has joined while a front was cut
/// off or did not run: the front takes it for one of the version that it knows.
#[parameterized(
    in_touch = { 1_000, true },
    out_of_touch = { 1_001, false },
    long_out_of_touch = { 15_000, false },
)]
fn no_version_is_certain_by_an_outdated_list(age_ms: u64, expected: bool) {
    const LISTINGS: Listings = &[(0, &[V1])];
    assert_eq!(is_only_version(LISTINGS, 20_000, age_ms), expected);
}
