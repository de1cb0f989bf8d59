//! Selection of the path to the key-value service.

use std::net::SocketAddr;

use base::Millis;
use pomeloslip_kv::paths::Paths;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

const NOW: Millis = Millis::new(10_000);

#[test]
fn without_peers_only_the_direct_path_is_used() {
    let paths = Paths::new(address(1));
    paths.record(address(1), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(1)));
    assert!(!paths.has_alternative(address(1)));
}

#[test]
fn a_peer_that_fails_is_replaced_by_the_next() {
    let paths = Paths::new(address(1));
    paths.set_peers(vec![address(2), address(3)]);
    paths.record(address(1), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(2)));
    paths.record(address(2), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(3)));
    paths.record(address(3), true, NOW);
    assert_eq!(paths.pick(NOW), Some(address(3)));
}

#[test]
fn the_direct_path_is_used_again_once_it_works() {
    let paths = Paths::new(address(1));
    paths.set_peers(vec![address(2)]);
    paths.record(address(1), false, NOW);
    let later = NOW.saturating_add_ms(1_500);
    assert_eq!(paths.pick(later), Some(address(1)));
    paths.record(address(1), true, later);
    assert_eq!(paths.pick(later), Some(address(1)));
}

/// Guards against thousands of calls during an outage: every request of a
/// caller calls the key-value service again if earlier failures are not
/// recorded.
#[test]
fn calls_are_paused_during_an_outage() {
    let paths = Paths::new(address(1));
    paths.set_peers(vec![address(2)]);
    for port in [1, 2, 2] {
        paths.record(address(port), false, NOW);
    }
    assert_eq!(paths.pick(NOW), None);
    let later = NOW.saturating_add_ms(500);
    assert!(paths.pick(later).is_some());
    paths.record(address(2), true, later);
    assert!(paths.pick(later).is_some());
}

#[test]
fn failures_below_the_threshold_pause_no_call() {
    let paths = Paths::new(address(1));
    paths.record(address(1), false, NOW);
    paths.record(address(1), false, NOW);
    assert_eq!(paths.pick(NOW), Some(address(1)));
}
