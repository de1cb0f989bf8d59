//! Which way calls take to the key-value service.

use std::net::SocketAddr;

use base::Millis;
use pomeloslip_kv::paths::Paths;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

const NOW: Millis = Millis::new(10_000);

#[test]
fn without_other_nodes_the_direct_way_is_all_there_is() {
    let paths = Paths::new(address(1));
    paths.record_result(address(1), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(1)));
    assert!(!paths.has_alternative(address(1)));
}

#[test]
fn a_node_that_fails_as_well_is_followed_by_the_next() {
    let paths = Paths::new(address(1));
    paths.set_peers(vec![address(2), address(3)]);
    paths.record_result(address(1), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(2)));
    paths.record_result(address(2), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(3)));
    paths.record_result(address(3), true, NOW);
    assert_eq!(paths.pick(NOW), Some(address(3)));
}

#[test]
fn the_direct_way_is_used_again_once_it_works() {
    let paths = Paths::new(address(1));
    paths.set_peers(vec![address(2)]);
    paths.record_result(address(1), false, NOW);
    let later = NOW.saturating_add_ms(1_500);
    assert_eq!(paths.pick(later), Some(address(1)));
    paths.record_result(address(1), true, later);
    assert_eq!(paths.pick(later), Some(address(1)));
}

/// Symptom: thousands of calls in an outage. Events: the service is away,
/// every request of a caller asks for it again. Cause: nobody remembered
/// that the last calls had failed.
#[test]
fn a_service_that_is_away_is_left_alone_for_a_moment() {
    let paths = Paths::new(address(1));
    paths.set_peers(vec![address(2)]);
    for way in [1, 2, 2] {
        paths.record_result(address(way), false, NOW);
    }
    assert_eq!(paths.pick(NOW), None);
    let later = NOW.saturating_add_ms(500);
    assert!(paths.pick(later).is_some());
    paths.record_result(address(2), true, later);
    assert!(paths.pick(later).is_some());
}

#[test]
fn a_single_lost_answer_stops_no_call() {
    let paths = Paths::new(address(1));
    paths.record_result(address(1), false, NOW);
    paths.record_result(address(1), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(1)));
}
