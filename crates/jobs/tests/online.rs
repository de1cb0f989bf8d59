//! Requests in flight as reported by fronts.

use base::{Millis, UnixMillis};
use fleet::{Endpoint, EndpointRecord, EndpointState, IncarnationKey};
use pomeloslip_jobs::{
    FRONT_LOAD_TTL_MS, FrontUpdate, OnlineLoad, ReportVersion,
};

const NOW: Millis = Millis::new(5_000);

fn incarnation(id: &str) -> IncarnationKey {
    let endpoint = Endpoint::new(EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    });
    endpoint.incarnation_key()
}

/// A front with the number of its last update.
struct Front(&'static str, u64);

impl Front {
    fn sends(
        &mut self,
        load: &OnlineLoad,
        counts: &[(IncarnationKey, u32)],
        is_full: bool,
        now: Millis,
    ) -> bool {
        self.1 += 1;
        let version = ReportVersion {
            started_at: UnixMillis::new(1_000),
            number: self.1,
        };
        let front = self.0;
        let update = FrontUpdate {
            front,
            version,
            is_full,
            counts,
        };
        load.apply(update, now)
    }
}

#[test]
fn the_updates_of_all_fronts_add_up() {
    let (load, _heard) = OnlineLoad::new();
    let e = incarnation("e");
    Front("f1", 0).sends(&load, &[(e, 2)], false, NOW);
    Front("f2", 0).sends(&load, &[(e, 3)], false, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), Some(5));
    assert_eq!(load.full_report("f1", NOW).counts, [(e, 3)]);
    assert_eq!(load.full_report("f2", NOW).counts, [(e, 2)]);
    assert_eq!(load.requests_at(incarnation("other"), "f1", NOW), None);
}

/// Guards against batch work that never starts at an endpoint. A front is
/// killed with requests in flight, and its last update counts forever.
#[test]
fn the_update_of_a_silent_front_is_forgotten() {
    let (load, _heard) = OnlineLoad::new();
    let e = incarnation("e");
    let (mut dead, mut other) = (Front("f1", 0), Front("f2", 0));
    dead.sends(&load, &[(e, 8)], false, NOW);
    other.sends(&load, &[(e, 1)], false, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_TTL_MS);
    other.sends(&load, &[(e, 1)], true, later);
    assert_eq!(load.full_report("f2", later).counts, [(e, 0)]);
    load.remove_gone(|front| front == "f2", later);
    assert_eq!(load.requests_at(e, "f2", later), Some(1));
}

/// Guards against late first events while fronts are stopped one after the
/// other. A front that is shutting down is not listed any more but serves
/// requests on its open connections for some seconds. If workers remove it
/// together with its entry, batch work takes the slots of its requests.
#[test]
fn a_front_that_shuts_down_counts_as_long_as_it_reports() {
    let (load, _heard) = OnlineLoad::new();
    let e = incarnation("e");
    let (mut ending, mut other) = (Front("f1", 0), Front("f2", 0));
    ending.sends(&load, &[(e, 4)], true, NOW);
    other.sends(&load, &[(e, 1)], true, NOW);
    load.remove_gone(|front| front == "f2", NOW);
    assert_eq!(load.requests_at(e, "f2", NOW), Some(5));
    assert_eq!(load.full_report("f2", NOW).counts, [(e, 4)]);
}

/// Guards against workers that all probe the engines for their load and start
/// items by stale reports. One front of many is paused, and a worker knows the
/// load of its endpoints only if all fronts report.
#[test]
fn a_silent_front_hides_only_the_endpoints_that_it_uses() {
    let (load, _heard) = OnlineLoad::new();
    let (shared, own) = (incarnation("shared"), incarnation("own"));
    let (mut silent, mut other) = (Front("f1", 0), Front("f2", 0));
    silent.sends(&load, &[(shared, 1)], true, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_TTL_MS);
    other.sends(&load, &[(shared, 1), (own, 2)], true, later);
    assert_eq!(load.requests_at(shared, "f2", later), None);
    assert_eq!(load.requests_at(own, "f2", later), Some(2));
}

/// Guards against batch work that takes the slots of online requests. A worker
/// starts, the front that its endpoint is assigned to has not reported yet,
/// and the missing report is taken for zero requests.
#[test]
fn an_endpoint_load_is_unknown_before_its_front_reports() {
    let (load, _heard) = OnlineLoad::new();
    let e = incarnation("e");
    Front("f2", 0).sends(&load, &[(e, 0)], true, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), None);
    Front("f1", 0).sends(&load, &[(e, 0)], true, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), Some(0));
}

#[test]
fn a_full_update_repairs_lost_updates() {
    let (load, _heard) = OnlineLoad::new();
    let (e, g) = (incarnation("e"), incarnation("g"));
    let mut front = Front("f1", 0);
    front.sends(&load, &[(e, 2), (g, 1)], false, NOW);
    front.sends(&load, &[(e, 1)], true, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), Some(1));
    assert_eq!(load.requests_at(g, "f1", NOW), None);
}

#[test]
fn the_runner_is_notified_of_a_request_at_once() {
    let (load, mut changes) = OnlineLoad::new();
    let e = incarnation("e");
    let mut front = Front("f1", 0);
    front.sends(&load, &[(e, 1)], false, NOW);
    assert_eq!(changes.try_recv().ok(), Some(e));
    front.sends(&load, &[(e, 1)], false, NOW);
    assert!(changes.try_recv().is_err(), "nothing has changed");
}

/// Guards against a worker that counts requests that ended long ago. A
/// datagram is delayed, or replayed by an attacker, and updates are applied in
/// the order of their arrival.
#[test]
fn replayed_and_reordered_updates_change_nothing() {
    let (load, _heard) = OnlineLoad::new();
    let e = incarnation("e");
    let mut front = Front("f1", 4);
    assert!(front.sends(&load, &[(e, 1)], true, NOW));
    assert!(!Front("f1", 4).sends(&load, &[(e, 9)], true, NOW));
    assert!(!Front("f1", 2).sends(&load, &[], true, NOW));
    assert_eq!(load.requests_at(e, "f1", NOW), Some(1));
}

/// Guards against a worker that ignores a restarted front for minutes. The
/// clock is set back between the two starts, so that the updates of the later
/// start have lower versions.
#[test]
fn a_front_that_was_silent_may_restart_its_versions() {
    let (load, _heard) = OnlineLoad::new();
    let e = incarnation("e");
    Front("f1", 100).sends(&load, &[(e, 1)], true, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_TTL_MS);
    assert!(Front("f1", 0).sends(&load, &[(e, 2)], true, later));
    assert_eq!(load.requests_at(e, "f1", later), Some(2));
}

#[test]
fn a_front_is_sent_only_changes_at_its_endpoints() {
    let (load, _heard) = OnlineLoad::new();
    let (e, g) = (incarnation("e"), incarnation("g"));
    let (mut one, mut two) = (Front("f1", 0), Front("f2", 0));
    one.sends(&load, &[(e, 0)], true, NOW);
    two.sends(&load, &[(e, 0), (g, 0)], true, NOW);
    load.full_report("f1", NOW);
    load.full_report("f2", NOW);
    two.sends(&load, &[(e, 3), (g, 5)], false, NOW);
    let changes = load.changes(NOW);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].front, "f1");
    assert_eq!(changes[0].counts, [(e, 3)]);
    assert!(load.changes(NOW).is_empty());
}

/// The cost of one request at one worker depends on the fronts that share the
/// endpoint, and not on the number of fronts and endpoints in the fleet.
///
/// Guards against workers that use nine tenths of their processors at a tenth
/// of the fleet's load. The fleet grows from 30 to 300 nodes, and each worker
/// iterates over all fronts and endpoints twenty times a second.
#[test]
fn steps_of_a_request_do_not_grow_with_the_fleet() {
    let steps_at = |fronts: usize| {
        let (load, _heard) = OnlineLoad::new();
        let incarnations: Vec<IncarnationKey> =
            (0..30).map(|at| incarnation(&at.to_string())).collect();
        let names: Vec<String> =
            (0..fronts).map(|at| format!("front-{at}")).collect();
        // Each endpoint is shared by three fronts, whatever the number of
        // fronts.
        for (at, name) in names.iter().take(90).enumerate() {
            let version = ReportVersion::default();
            let counts = [(incarnations[at % incarnations.len()], 0)];
            let update = FrontUpdate {
                front: name,
                version,
                is_full: true,
                counts: &counts,
            };
            load.apply(update, NOW);
        }
        for name in &names {
            load.full_report(name, NOW);
        }
        load.changes(NOW);
        let before = load.steps();
        let version = ReportVersion {
            started_at: UnixMillis::new(1),
            number: 1,
        };
        let update = FrontUpdate {
            front: &names[0],
            version,
            is_full: false,
            counts: &[(incarnations[0], 1)],
        };
        load.apply(update, NOW);
        assert!(load.changes(NOW).len() <= 2);
        load.steps() - before
    };
    let (small, large) = (steps_at(90), steps_at(900));
    assert!(large <= small, "{small} steps at 90 fronts, {large} at 900");
}
