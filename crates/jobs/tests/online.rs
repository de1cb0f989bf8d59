//! What fronts report of their requests in flight.

use base::{Millis, UnixMillis};
use fleet::{Endpoint, EndpointRecord, EndpointState, IncarnationKey};
use pomeloslip_jobs::{FRONT_LOAD_LIFE_MS, FrontUpdate, OnlineLoad, Stamp};

const NOW: Millis = Millis::new(5_000);

fn life(id: &str) -> IncarnationKey {
    let endpoint = Endpoint::new(EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    });
    endpoint.incarnation_key()
}

/// One front of a test.
struct Front(&'static str, u64);

impl Front {
    fn sends(
        &mut self,
        load: &OnlineLoad,
        counts: &[(IncarnationKey, u32)],
        whole: bool,
        now: Millis,
    ) -> bool {
        self.1 += 1;
        let stamp = Stamp {
            started_at: UnixMillis::new(1_000),
            number: self.1,
        };
        let front = self.0;
        let update = FrontUpdate {
            front,
            stamp,
            whole,
            counts,
        };
        load.take(update, now)
    }
}

#[test]
fn the_updates_of_all_fronts_add_up() {
    let (load, _heard) = OnlineLoad::new();
    let e = life("e");
    Front("f1", 0).sends(&load, &[(e, 2)], false, NOW);
    Front("f2", 0).sends(&load, &[(e, 3)], false, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), Some(5));
    assert_eq!(load.answer("f1", NOW).counts, [(e, 3)]);
    assert_eq!(load.answer("f2", NOW).counts, [(e, 2)]);
    assert_eq!(load.requests_at(life("other"), "f1", NOW), None);
}

/// Symptom: batch work never starts at an endpoint. Events: a front is
/// killed with requests in flight. Cause: its last word counted for ever.
#[test]
fn the_update_of_a_silent_front_is_forgotten() {
    let (load, _heard) = OnlineLoad::new();
    let e = life("e");
    let (mut dead, mut other) = (Front("f1", 0), Front("f2", 0));
    dead.sends(&load, &[(e, 8)], false, NOW);
    other.sends(&load, &[(e, 1)], false, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_LIFE_MS);
    other.sends(&load, &[(e, 1)], true, later);
    assert_eq!(load.answer("f2", later).counts, [(e, 0)]);
    load.forget_gone(|front| front == "f2", later);
    assert_eq!(load.requests_at(e, "f2", later), Some(1));
}

/// Symptom: first events are late while fronts are stopped in turn. Events: a
/// front is told to stop; it is not listed any more, and serves for some
/// seconds what comes on its open connections. Cause: workers forgot it with
/// its entry, and batch work took the slots of its requests.
#[test]
fn a_front_that_is_about_to_end_counts_as_long_as_it_reports() {
    let (load, _heard) = OnlineLoad::new();
    let e = life("e");
    let (mut ending, mut other) = (Front("f1", 0), Front("f2", 0));
    ending.sends(&load, &[(e, 4)], true, NOW);
    other.sends(&load, &[(e, 1)], true, NOW);
    load.forget_gone(|front| front == "f2", NOW);
    assert_eq!(load.requests_at(e, "f2", NOW), Some(5));
    assert_eq!(load.answer("f2", NOW).counts, [(e, 4)]);
}

/// Symptom: every worker asks engines for their load, and items start by
/// reports that are old. Events: one front of many is paused. Cause: a
/// worker knew the load of its endpoints only if it heard all fronts.
#[test]
fn a_silent_front_hides_only_the_endpoints_that_it_uses() {
    let (load, _heard) = OnlineLoad::new();
    let (shared, own) = (life("shared"), life("own"));
    let (mut silent, mut other) = (Front("f1", 0), Front("f2", 0));
    silent.sends(&load, &[(shared, 1)], true, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_LIFE_MS);
    other.sends(&load, &[(shared, 1), (own, 2)], true, later);
    assert_eq!(load.requests_at(shared, "f2", later), None);
    assert_eq!(load.requests_at(own, "f2", later), Some(2));
}

/// Symptom: batch work takes the slots of online requests. Events: a worker
/// starts; the front that uses its endpoint first has not been heard yet.
/// Cause: no report was taken for no request.
#[test]
fn an_endpoint_is_not_judged_before_its_first_user_is_heard() {
    let (load, _heard) = OnlineLoad::new();
    let e = life("e");
    Front("f2", 0).sends(&load, &[(e, 0)], true, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), None);
    Front("f1", 0).sends(&load, &[(e, 0)], true, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), Some(0));
}

#[test]
fn a_whole_update_makes_good_what_was_lost() {
    let (load, _heard) = OnlineLoad::new();
    let (e, g) = (life("e"), life("g"));
    let mut front = Front("f1", 0);
    front.sends(&load, &[(e, 2), (g, 1)], false, NOW);
    front.sends(&load, &[(e, 1)], true, NOW);
    assert_eq!(load.requests_at(e, "f1", NOW), Some(1));
    assert_eq!(load.requests_at(g, "f1", NOW), None);
}

#[test]
fn the_runner_hears_of_a_request_at_once() {
    let (load, mut heard) = OnlineLoad::new();
    let e = life("e");
    let mut front = Front("f1", 0);
    front.sends(&load, &[(e, 1)], false, NOW);
    assert_eq!(heard.try_recv().ok(), Some(e));
    front.sends(&load, &[(e, 1)], false, NOW);
    assert!(heard.try_recv().is_err(), "nothing has changed");
}

/// Symptom: a worker counts requests that have long ended. Events: a
/// datagram is held up on its way, or sent again by whoever recorded it.
/// Cause: updates were taken in the order of their arrival.
#[test]
fn replayed_and_reordered_updates_change_nothing() {
    let (load, _heard) = OnlineLoad::new();
    let e = life("e");
    let mut front = Front("f1", 4);
    assert!(front.sends(&load, &[(e, 1)], true, NOW));
    assert!(!Front("f1", 4).sends(&load, &[(e, 9)], true, NOW));
    assert!(!Front("f1", 2).sends(&load, &[], true, NOW));
    assert_eq!(load.requests_at(e, "f1", NOW), Some(1));
}

/// Symptom: a worker hears a front that has restarted only after minutes.
/// Events: the time of day is set back between the two starts. Cause: the
/// updates of the later start looked older.
#[test]
fn a_front_that_was_silent_begins_anew() {
    let (load, _heard) = OnlineLoad::new();
    let e = life("e");
    Front("f1", 100).sends(&load, &[(e, 1)], true, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_LIFE_MS);
    assert!(Front("f1", 0).sends(&load, &[(e, 2)], true, later));
    assert_eq!(load.requests_at(e, "f1", later), Some(2));
}

#[test]
fn a_front_hears_only_of_what_has_changed_where_it_sends() {
    let (load, _heard) = OnlineLoad::new();
    let (e, g) = (life("e"), life("g"));
    let (mut one, mut two) = (Front("f1", 0), Front("f2", 0));
    one.sends(&load, &[(e, 0)], true, NOW);
    two.sends(&load, &[(e, 0), (g, 0)], true, NOW);
    load.answer("f1", NOW);
    load.answer("f2", NOW);
    two.sends(&load, &[(e, 3), (g, 5)], false, NOW);
    let changes = load.changes(NOW);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].front, "f1");
    assert_eq!(changes[0].counts, [(e, 3)]);
    assert!(load.changes(NOW).is_empty());
}

/// The cost of one request at one worker does not grow with the fleet: it
/// depends on who shares the endpoint, and not on fronts and endpoints.
///
/// Symptom: workers with a tenth of the fleet's load are at nine tenths of
/// their processors. Events: a fleet grows from 30 to 300 nodes. Cause: each
/// worker walked over all fronts and endpoints twenty times a second.
#[test]
fn steps_of_a_request_do_not_grow_with_the_fleet() {
    let steps_at = |fronts: usize| {
        let (load, _heard) = OnlineLoad::new();
        let lives: Vec<IncarnationKey> =
            (0..30).map(|at| life(&at.to_string())).collect();
        let names: Vec<String> =
            (0..fronts).map(|at| format!("front-{at}")).collect();
        // Each endpoint is shared by three fronts, whatever their number.
        for (at, name) in names.iter().take(90).enumerate() {
            let stamp = Stamp::default();
            let counts = [(lives[at % lives.len()], 0)];
            let update = FrontUpdate {
                front: name,
                stamp,
                whole: true,
                counts: &counts,
            };
            load.take(update, NOW);
        }
        for name in &names {
            load.answer(name, NOW);
        }
        load.changes(NOW);
        let before = load.steps();
        let stamp = Stamp {
            started_at: UnixMillis::new(1),
            number: 1,
        };
        let update = FrontUpdate {
            front: &names[0],
            stamp,
            whole: false,
            counts: &[(lives[0], 1)],
        };
        load.take(update, NOW);
        assert!(load.changes(NOW).len() <= 2);
        load.steps() - before
    };
    let (small, large) = (steps_at(90), steps_at(900));
    assert!(large <= small, "{small} steps at 90 fronts, {large} at 900");
}
