//! The choice of an endpoint for a stream that another version cannot resume.

use base::Millis;
use pomeloslip_fleet::{
    ChooseError, Directory, Endpoint, EndpointQuery, EndpointRecord,
    EndpointState, EndpointTable, Listing, Selection, SelectionTier,
    VersionBinding,
};
use yare::parameterized;

const NOW: Millis = Millis::new(10_000);

fn record(id: &str, service: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        version: version.parse().ok(),
        address: ([127, 0, 0, 1], 80).into(),
        service: service.to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn endpoint(id: &str, version: &str) -> Endpoint {
    Endpoint::new(record(id, "engines", version))
}

fn binding(version: &str) -> VersionBinding {
    VersionBinding::new("engines", version.parse().expect("a version"))
}

fn query<'a>(
    binding: &'a VersionBinding,
    tried: &'a [String],
) -> EndpointQuery<'a> {
    EndpointQuery {
        service: binding.service(),
        failure_domain: "east",
        affinity: 7,
        tried,
        under_way: &[],
        queue_allowance: 4,
        binding: Some(binding),
    }
}

fn choose(
    table: &EndpointTable,
    query: &EndpointQuery<'_>,
) -> Result<String, ChooseError> {
    let selection = Selection::new("node", table, |_| false);
    let choice = table.choose(&selection, query, NOW)?;
    Ok(choice.endpoint.record().id.clone())
}

/// Guards against a stream that goes on at an endpoint of another version,
/// service, or an unknown version, whatever their load.
#[parameterized(
    another_version = { record("other", "engines", "v2") },
    another_service = { record("other", "others", "v1") },
    unknown_version = { record("other", "engines", "") },
)]
fn only_the_version_of_the_stream_is_chosen(other: EndpointRecord) {
    let busy = endpoint("busy", "v1");
    (0..9).for_each(|_| busy.begin_request());
    let other = Endpoint::new(other);
    let (bound, none) = (binding("v1"), []);
    let table = EndpointTable::new([busy.clone(), other.clone()]);
    assert_eq!(choose(&table, &query(&bound, &none)), Ok("busy".to_owned()));
    let table = EndpointTable::new([other]);
    let refused = choose(&table, &query(&bound, &none));
    assert_eq!(refused, Err(ChooseError::NoEndpoint));
}

/// Guards against streams that end in a large fleet because the last endpoints
/// of their version are outside the selections of most nodes.
#[test]
fn the_last_two_endpoints_of_a_version_are_found_in_a_large_fleet() {
    let others = (0..564).map(|n| endpoint(&format!("new-{n}"), "v2"));
    let last = ["old-1", "old-2"].map(|id| endpoint(id, "v1"));
    let table = EndpointTable::new(others.chain(last));
    let selection = Selection::new("node", &table, |_| false);
    let is_old = |key| {
        let endpoint = table.get(key).expect("listed");
        endpoint.record().id.starts_with("old")
    };
    let selected = selection.candidates("engines", 0);
    let selected = selected
        .filter(|(key, tier)| *tier != SelectionTier::Own && is_old(*key));
    assert_eq!(selected.count(), 0, "the test needs another seed");
    let bound = binding("v1");
    let mut tried = Vec::new();
    for _ in 0..2 {
        let id = choose(&table, &query(&bound, &tried)).expect("an endpoint");
        assert!(id.starts_with("old") && !tried.contains(&id));
        tried.push(id);
    }
}

/// Guards against the loss of all streams of a version in a burst, when its
/// last two endpoints have no free slot but can queue.
#[test]
fn streams_queue_at_the_last_endpoints_of_their_version() {
    let last = ["1", "2"].map(|id| endpoint(id, "v1"));
    for one in &last {
        (0..8).for_each(|_| one.begin_request());
    }
    let table = EndpointTable::new(last.clone());
    let (bound, none) = (binding("v1"), []);
    let mut counts = [0; 2];
    for _ in 0..8 {
        let id = choose(&table, &query(&bound, &none)).expect("an endpoint");
        let at = last.iter().position(|e| e.record().id == id);
        let at = at.expect("one of them");
        last[at].begin_request();
        counts[at] += 1;
    }
    assert_eq!(counts, [4, 4]);
    let refused = choose(&table, &query(&bound, &none));
    assert_eq!(refused, Err(ChooseError::AllFull));
}

/// Guards against the loss of a stream whose only endpoint has broken it off
/// and still serves.
#[test]
fn the_last_endpoint_of_a_version_is_tried_again() {
    let table = EndpointTable::new([endpoint("a", "v1"), endpoint("b", "v2")]);
    let (bound, tried) = (binding("v1"), ["a".to_owned()]);
    assert_eq!(choose(&table, &query(&bound, &tried)), Ok("a".to_owned()));
}

fn listing(revision: u64, record: EndpointRecord) -> Listing {
    Listing {
        revision,
        records: vec![record],
    }
}

/// Guards against streams that are taken for those of a version that their
/// endpoint no longer ran: nodes learn of a restart seconds later.
#[parameterized(
    restarted = { Some(20) },
    entry_without_a_start_time = { None },
)]
fn a_changed_version_is_seen_by_the_streams_of_an_endpoint(
    started_ms: Option<u64>,
) {
    let at = |version, started: Option<u64>| EndpointRecord {
        started_at: started.map(base::UnixMillis::new),
        ..record("a", "engines", version)
    };
    let before = started_ms.map(|ms| ms - 10);
    let mut directory = Directory::default();
    directory.reconcile(listing(1, at("v1", before)), NOW);
    let known = directory.get("a").expect("known").clone();
    directory.reconcile(listing(2, at("v1", before)), NOW);
    assert!(!known.has_changed_version());
    directory.reconcile(listing(3, at("v2", started_ms)), NOW);
    assert!(known.has_changed_version());
    let now = directory.get("a").expect("known");
    assert!(!now.has_changed_version());
    assert!(binding("v2").permits(now.record()));
}

/// Creates a directory that knew an endpoint to be ready at `ready_at_ms`, and
/// then learned that it drains.
fn draining_since(ready_at_ms: u64) -> Directory {
    let ready = record("a", "engines", "v1");
    let mut directory = Directory::default().with_drain_use_ms(1_400);
    directory.reconcile(listing(1, ready.clone()), NOW);
    directory.confirm(Millis::new(ready_at_ms));
    let draining = EndpointRecord {
        state: EndpointState::Draining,
        ..ready
    };
    directory.reconcile(listing(2, draining), NOW);
    directory
}

/// Guards against streams that are lost while the last endpoint of their
/// version still serves, and against requests that reach it too late.
#[parameterized(
    just_begun = { 9_900, true },
    known_in_time = { 8_700, true },
    known_late = { 8_600, false },
    never_known_to_be_ready = { 0, false },
)]
fn a_draining_endpoint_resumes_streams_for_a_while(
    ready_at_ms: u64,
    is_used: bool,
) {
    let table = draining_since(ready_at_ms).table();
    let (bound, none) = (binding("v1"), []);
    let chosen = choose(&table, &query(&bound, &none));
    assert_eq!(chosen.is_ok(), is_used);
    assert!(table.is_empty(), "it gets no new work");
    let unbound = EndpointQuery {
        binding: None,
        ..query(&bound, &none)
    };
    assert!(choose(&table, &unbound).is_err());
}

/// Guards against streams at draining endpoints while others of their version
/// accept work.
#[test]
fn a_draining_endpoint_is_the_last_choice() {
    let mut directory = draining_since(9_900);
    let mut listed = listing(3, record("b", "engines", "v1"));
    let drains = directory.get("a").expect("known").record().clone();
    listed.records.push(drains);
    directory.reconcile(listed, NOW);
    let (bound, none) = (binding("v1"), []);
    let table = directory.table();
    assert_eq!(choose(&table, &query(&bound, &none)), Ok("b".to_owned()));
    let tried = ["b".to_owned()];
    assert_eq!(choose(&table, &query(&bound, &tried)), Ok("a".to_owned()));
}

/// Guards against streams that leave a silent endpoint for one that drains,
/// or that return to one that failed.
#[test]
fn a_stream_under_way_stays_rather_than_take_the_last_choice() {
    let (bound, none) = (binding("v1"), []);
    let under_way = ["holder".to_owned()];
    let draining = draining_since(9_900).table();
    let stays = EndpointQuery {
        under_way: &under_way,
        ..query(&bound, &none)
    };
    assert!(choose(&draining, &stays).is_err());
    let table = EndpointTable::new([endpoint("a", "v1")]);
    let tried = ["a".to_owned()];
    let returns = EndpointQuery {
        tried: &tried,
        ..stays
    };
    assert!(choose(&table, &returns).is_err());
}
