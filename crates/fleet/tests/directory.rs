//! The state of a directory after each listing.

use base::{Millis, UnixMillis};
use pomeloslip_fleet::{
    Change, Directory, EndpointRecord, EndpointState, FailureKind,
    LISTING_GRACE_MS, Listing,
};

fn record(id: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state,
    }
}

fn listing(revision: u64, ids: &[&str]) -> Listing {
    let records = ids.iter().map(|id| record(id, EndpointState::Ready));
    Listing {
        revision,
        records: records.collect(),
    }
}

fn usable(directory: &Directory) -> usize {
    directory.table().of_service("engines").len()
}

#[test]
fn a_missing_entry_means_gone_while_reads_succeed() {
    let mut directory = Directory::default();
    directory.reconcile(listing(1, &["a", "b"]), Millis::new(0));
    let changes = directory.reconcile(listing(2, &["a"]), Millis::new(1_000));
    assert_eq!(changes, [Change::Gone("b".to_owned())]);
    assert_eq!(usable(&directory), 1);
}

/// Guards against refusing all requests for two seconds after an outage of the
/// key-value service. During the outage the endpoints' entries expire, and the
/// first listing afterwards does not show which endpoints are alive.
#[test]
fn entries_that_expired_in_an_outage_are_retained_for_a_grace_period() {
    let mut directory = Directory::default();
    directory.reconcile(listing(1, &["a", "b"]), Millis::new(0));
    directory.record_read_failure(Millis::new(5_000));
    let changes = directory.reconcile(listing(9, &[]), Millis::new(5_500));
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|c| matches!(c, Change::Kept(_))));
    assert_eq!(usable(&directory), 2);
    let after = Millis::new(5_000 + LISTING_GRACE_MS);
    let changes = directory.reconcile(listing(10, &["a"]), after);
    assert_eq!(changes, [Change::Gone("b".to_owned())]);
    assert_eq!(usable(&directory), 1);
}

#[test]
fn a_draining_endpoint_that_vanishes_in_an_outage_is_not_kept() {
    let mut directory = Directory::default();
    let draining = Listing {
        revision: 1,
        records: vec![record("a", EndpointState::Draining)],
    };
    directory.reconcile(draining, Millis::new(0));
    directory.record_read_failure(Millis::new(10));
    let changes = directory.reconcile(listing(2, &[]), Millis::new(20));
    assert_eq!(changes, [Change::Gone("a".to_owned())]);
}

#[test]
fn a_draining_endpoint_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.reconcile(listing(1, &["a"]), Millis::new(0));
    let draining = Listing {
        revision: 2,
        records: vec![record("a", EndpointState::Draining)],
    };
    let changes = directory.reconcile(draining, Millis::new(1));
    assert_eq!(changes, [Change::Draining("a".to_owned())]);
    assert_eq!(usable(&directory), 0);
    assert!(directory.get("a").is_some());
}

/// Guards against using a removed endpoint again when a delayed listing
/// arrives after a newer one, as responses on several connections may.
#[test]
fn an_older_listing_changes_nothing() {
    let mut directory = Directory::default();
    directory.reconcile(listing(5, &["a"]), Millis::new(0));
    assert_eq!(
        directory.reconcile(listing(4, &["a", "b"]), Millis::new(1)),
        []
    );
    assert_eq!(usable(&directory), 1);
    assert_eq!(directory.revision(), 5);
}

#[test]
fn in_flight_counts_survive_a_new_listing() {
    let mut directory = Directory::default();
    directory.reconcile(listing(1, &["a"]), Millis::new(0));
    directory.get("a").expect("listed").begin_request();
    directory.reconcile(listing(2, &["a"]), Millis::new(1));
    assert_eq!(directory.get("a").expect("listed").in_flight(), 1);
}

fn incarnation(id: &str, started_ms: Option<u64>) -> EndpointRecord {
    EndpointRecord {
        started_at: started_ms.map(UnixMillis::new),
        version: None,
        ..record(id, EndpointState::Ready)
    }
}

fn listing_of(revision: u64, records: &[EndpointRecord]) -> Listing {
    Listing {
        revision,
        records: records.to_vec(),
    }
}

/// Guards against a restarted endpoint that gets no work because load and
/// failures of its previous incarnation still count. The endpoint crashes
/// during a network partition with requests in flight and restarts under its
/// id before its entry expires.
#[test]
fn a_restarted_endpoint_keeps_no_state_of_its_previous_incarnation() {
    let now = Millis::new(1_000);
    let mut directory = Directory::default();
    directory.reconcile(listing_of(1, &[incarnation("a", Some(10))]), now);
    let before = directory.get("a").expect("known").clone();
    before.begin_request();
    before.record_failure(FailureKind::Unreachable, now);
    let changes =
        directory.reconcile(listing_of(2, &[incarnation("a", Some(20))]), now);
    let former = before.incarnation_key();
    let id = "a".to_owned();
    assert_eq!(changes, [Change::Restarted { id, former }]);
    let after = directory.get("a").expect("known");
    assert_ne!(after.incarnation_key(), former);
    assert_eq!(after.in_flight(), 0);
    assert!(!after.is_suspect(now));
    assert!(
        !directory.has_incarnation(former)
            && directory.has_incarnation(after.incarnation_key())
    );
}

/// The same failure if the entry of the first incarnation has no start time,
/// as the entries of most endpoints.
#[test]
fn a_start_time_that_first_appears_is_a_restart() {
    let mut directory = Directory::default();
    let now = Millis::new(0);
    directory.reconcile(listing_of(1, &[incarnation("a", None)]), now);
    let changes =
        directory.reconcile(listing_of(2, &[incarnation("a", Some(7))]), now);
    assert!(matches!(changes[..], [Change::Restarted { .. }]));
}

/// Guards against treating a running endpoint as gone when a delayed write of
/// its previous incarnation arrives after its new entry: the latest write is
/// not always of the latest incarnation.
#[test]
fn an_entry_of_an_ended_incarnation_changes_nothing() {
    let mut directory = Directory::default();
    let now = Millis::new(0);
    let old = EndpointRecord {
        state: EndpointState::Draining,
        ..incarnation("a", Some(10))
    };
    directory.reconcile(listing_of(1, &[incarnation("a", Some(20))]), now);
    let known = directory.get("a").expect("known").incarnation_key();
    let changes =
        directory.reconcile(listing_of(2, std::slice::from_ref(&old)), now);
    assert_eq!(changes, [Change::Outdated("a".to_owned())]);
    assert_eq!(usable(&directory), 1);
    assert!(directory.has_incarnation(known));
    let again = directory.reconcile(listing_of(3, &[old]), now);
    assert_eq!(again, [], "reported once");
}

#[test]
fn two_endpoints_at_one_address_are_two_incarnations() {
    let mut directory = Directory::default();
    let two = [incarnation("a", None), incarnation("b", None)];
    directory.reconcile(listing_of(1, &two), Millis::new(0));
    assert_eq!(usable(&directory), 2);
    assert_ne!(two[0].incarnation_key(), two[1].incarnation_key());
}
