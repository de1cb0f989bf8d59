//! The choice of an endpoint for a request.

use base::Millis;
use pomeloslip_fleet::{
    ChooseError, Endpoint, EndpointQuery, EndpointRecord, EndpointState,
    EndpointTable, FailureKind, LoadReport, Selection,
};

const NOW: Millis = Millis::new(10_000);

fn endpoint(id: &str, domain: &str) -> Endpoint {
    Endpoint::new(EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: domain.to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    })
}

fn query(tried: &[String]) -> EndpointQuery<'_> {
    EndpointQuery {
        service: "engines",
        failure_domain: "east",
        affinity: 7,
        tried,
        under_way: &[],
        queue_allowance: 2,
        binding: None,
    }
}

/// Creates the selection of a node whose own share consists of these ids.
fn selection(table: &EndpointTable, own: &[&str]) -> Selection {
    let is_own = |e: &Endpoint| own.contains(&e.record().id.as_str());
    Selection::new("node", table, is_own)
}

fn chosen(table: &EndpointTable, query: &EndpointQuery<'_>) -> String {
    let selection = selection(table, &[]);
    let choice = table.choose(&selection, query, NOW).expect("an endpoint");
    choice.endpoint.record().id.clone()
}

fn choose_error(
    table: &EndpointTable,
    query: &EndpointQuery<'_>,
) -> Option<ChooseError> {
    table.choose(&selection(table, &[]), query, NOW).err()
}

#[test]
fn a_free_slot_goes_before_the_own_domain() {
    let (same_domain, other_domain) =
        (endpoint("near", "east"), endpoint("far", "west"));
    (0..8).for_each(|_| same_domain.begin_request());
    let table = EndpointTable::new([same_domain, other_domain]);
    assert_eq!(chosen(&table, &query(&[])), "far");
}

#[test]
fn among_equals_the_own_domain_goes_first() {
    let all = ["1", "2", "3"].map(|id| endpoint(id, "west"));
    let table =
        EndpointTable::new(all.into_iter().chain([endpoint("near", "east")]));
    assert_eq!(chosen(&table, &query(&[])), "near");
}

#[test]
fn among_equals_one_prompt_goes_to_one_endpoint() {
    let all: Vec<_> =
        (0..9).map(|n| endpoint(&n.to_string(), "east")).collect();
    let table = EndpointTable::new(all);
    let first = chosen(&table, &query(&[]));
    assert_eq!(chosen(&table, &query(&[])), first);
    let others = (0..50).map(|affinity| EndpointQuery {
        affinity,
        ..query(&[])
    });
    let mut ids: Vec<_> = others.map(|query| chosen(&table, &query)).collect();
    ids.sort();
    ids.dedup();
    assert!(ids.len() > 4, "prompts spread over endpoints: {ids:?}");
}

#[test]
fn a_tried_endpoint_is_not_chosen_again() {
    let table = EndpointTable::new([endpoint("a", "east")]);
    let tried = ["a".to_owned()];
    let choose_error = choose_error(&table, &query(&tried));
    assert_eq!(choose_error, Some(ChooseError::NoEndpoint));
}

#[test]
fn a_queue_is_bounded() {
    let only = endpoint("a", "east");
    (0..10).for_each(|_| only.begin_request());
    let table = EndpointTable::new([only]);
    let choose_error = choose_error(&table, &query(&[]));
    assert_eq!(choose_error, Some(ChooseError::AllFull));
}

#[test]
fn a_suspect_is_used_only_where_no_other_is_left() {
    let (bad, good) = (endpoint("bad", "east"), endpoint("good", "west"));
    bad.record_failure(FailureKind::Unreachable, NOW);
    (0..5).for_each(|_| good.begin_request());
    let table = EndpointTable::new([bad.clone(), good]);
    assert_eq!(chosen(&table, &query(&[])), "good");
    let tried = ["good".to_owned()];
    assert_eq!(chosen(&table, &query(&tried)), "bad");
    bad.record_success();
    assert_eq!(chosen(&table, &query(&[])), "bad");
}

#[test]
fn reported_load_of_others_counts_until_it_is_old() {
    let one = endpoint("a", "east");
    one.begin_request();
    let report = LoadReport {
        running: 5,
        waiting: 1,
        slots: 8,
        slowdown_percent: None,
    };
    one.record_load(report, NOW);
    assert_eq!(one.estimated_load(NOW), 6);
    one.begin_request();
    assert_eq!(one.estimated_load(NOW), 7);
    assert_eq!(one.estimated_load(Millis::new(20_000)), 2);
}

#[test]
fn load_updates_of_other_nodes_override_a_report() {
    let one = endpoint("a", "east");
    let report = LoadReport {
        running: 8,
        waiting: 0,
        slots: 8,
        slowdown_percent: None,
    };
    one.record_load(report, NOW);
    one.record_remote_load(2, NOW);
    assert_eq!(one.estimated_load(NOW), 2);
}

/// Guards against requests that wait at one endpoint while others are idle:
/// many nodes see the same endpoint as the least loaded, by stale knowledge,
/// and all send there.
#[test]
fn nodes_use_their_own_shares_first() {
    let (idle, own) = (endpoint("idle", "east"), endpoint("own", "east"));
    (0..7).for_each(|_| own.begin_request());
    let table = EndpointTable::new([idle, own.clone()]);
    let selection = selection(&table, &["own"]);
    let chosen = || {
        let choice = table.choose(&selection, &query(&[]), NOW);
        choice.expect("an endpoint").endpoint.record().id.clone()
    };
    assert_eq!(chosen(), "own");
    own.begin_request();
    assert_eq!(chosen(), "idle", "no slot is free");
}

/// Guards against a choice that considers all endpoints, which took a tenth of
/// a front's processor for each request with three thousand endpoints.
#[test]
fn a_choice_looks_at_as_many_endpoints_in_a_large_fleet() {
    let looked_at = |size: usize| {
        let all = (0..size).map(|n| endpoint(&n.to_string(), "east"));
        let table = EndpointTable::new(all);
        let selection = selection(&table, &["1", "2", "3"]);
        let choice = table.choose(&selection, &query(&[]), NOW);
        choice.expect("an endpoint").candidates
    };
    assert_eq!(looked_at(300), looked_at(3_000));
    assert!(looked_at(3_000) <= 32);
}

/// Guards against refusing a request although slots are free, because all
/// endpoints of the node's selection have just been replaced and no others are
/// considered.
#[test]
fn others_are_taken_where_the_whole_selection_is_gone() {
    let all: Vec<Endpoint> =
        (0..100).map(|n| endpoint(&n.to_string(), "east")).collect();
    let table = EndpointTable::new(all.iter().cloned());
    let selection = selection(&table, &["1"]);
    let gone = EndpointTable::new([endpoint("other", "east")]);
    assert!(gone.choose(&selection, &query(&[]), NOW).is_ok());
}

/// Guards against queues of nineteen requests at some engines and half of a
/// second's first events late. In a burst during a replacement of engines all
/// slots were needed, and nodes whose selection was full sent to other
/// endpoints, whose load they did not know.
#[test]
fn others_are_not_taken_where_the_whole_selection_is_full() {
    let all: Vec<Endpoint> =
        (0..100).map(|n| endpoint(&n.to_string(), "east")).collect();
    let table = EndpointTable::new(all.iter().cloned());
    let selection = selection(&table, &["1"]);
    for incarnation in selection.iter() {
        let endpoint = table.get(incarnation).expect("listed");
        (0..10).for_each(|_| endpoint.begin_request());
    }
    let choose_error = table.choose(&selection, &query(&[]), NOW).err();
    assert_eq!(choose_error, Some(ChooseError::AllFull));
}

/// A draining endpoint has left the table, and the selection may be older.
#[test]
fn an_endpoint_that_has_left_the_table_is_not_chosen() {
    let (stays, leaves) = (endpoint("a", "east"), endpoint("b", "east"));
    let before = EndpointTable::new([stays.clone(), leaves]);
    let selection = selection(&before, &["b"]);
    let after = EndpointTable::new([stays]);
    for affinity in 0..50 {
        let query = EndpointQuery {
            affinity,
            ..query(&[])
        };
        let choice = after.choose(&selection, &query, NOW).expect("one");
        assert_eq!(choice.endpoint.record().id, "a");
    }
}

/// Guards against two of six endpoints of a plain service getting no request
/// all day, because all requests without a prompt preferred the same
/// endpoints.
#[test]
fn requests_of_different_affinity_use_all_endpoints_evenly() {
    let all = (0..6).map(|n| endpoint(&n.to_string(), "west"));
    let table = EndpointTable::new(all);
    let mut counts = [0_u32; 6];
    for request in 0..6_000 {
        let query = EndpointQuery {
            affinity: base::mix(request),
            ..query(&[])
        };
        let id: usize = chosen(&table, &query).parse().expect("a number");
        counts[id] += 1;
    }
    assert!(
        counts.iter().all(|n| (700..1_300).contains(n)),
        "{counts:?}"
    );
}

/// Guards against a second run where the first one is, and against requests
/// that leave a silent endpoint for another one that may not answer either.
#[test]
fn a_request_under_way_goes_to_a_sound_endpoint_or_to_none() {
    let (holder, other) = (endpoint("a", "east"), endpoint("b", "east"));
    let table = EndpointTable::new([holder, other.clone()]);
    let under_way = ["a".to_owned()];
    let query = EndpointQuery {
        under_way: &under_way,
        ..query(&[])
    };
    assert_eq!(chosen(&table, &query), "b");
    other.record_failure(FailureKind::Silent, NOW);
    let none = Some(ChooseError::NoEndpoint);
    assert_eq!(choose_error(&table, &query), none);
    other.record_success();
    assert_eq!(chosen(&table, &query), "b");
}

/// Guards against sound endpoints that are avoided for long after a pause,
/// because each of their requests reports it.
#[test]
fn a_silence_that_many_requests_report_counts_like_one() {
    let paused = endpoint("a", "east");
    (0..20).for_each(|_| paused.record_failure(FailureKind::Silent, NOW));
    assert!(paused.is_suspect(NOW));
    let later = NOW.saturating_add_ms(1_000);
    assert!(!paused.is_suspect(later));
}

/// Guards against sound endpoints that are avoided for long after one bad
/// response, because their requests reported a silence before it.
#[test]
fn a_silence_prolongs_no_later_backoff() {
    let paused = endpoint("a", "east");
    (0..20).for_each(|_| paused.record_failure(FailureKind::Silent, NOW));
    let later = NOW.saturating_add_ms(1_000);
    paused.record_failure(FailureKind::BadResponse, later);
    assert!(paused.is_suspect(later));
    let backoff_ms = FailureKind::BadResponse.backoff_ms(0);
    assert!(!paused.is_suspect(later.saturating_add_ms(backoff_ms)));
}

#[test]
fn a_success_ends_a_silence() {
    let paused = endpoint("a", "east");
    paused.record_failure(FailureKind::Silent, NOW);
    paused.record_success();
    assert!(!paused.is_suspect(NOW));
}
