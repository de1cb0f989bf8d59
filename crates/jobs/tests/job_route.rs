//! What a node's configuration says about the route of a job.

use base::UnixMillis;
use fleet::{Config, Route, RouteKind, RouteTable};
use pomeloslip_jobs::{
    ItemInput, JobManifest, JobRoute, decode_inputs, encode_inputs,
};
use yare::parameterized;

fn config(version: u64, has_route: bool) -> Config {
    let route = Route::new("batch", "a.example", "/batch/", "engines")
        .with_kind(RouteKind::Batch);
    let routes = has_route.then_some(route).into_iter().collect();
    Config {
        version,
        routes: RouteTable::new(routes),
        ..Config::default()
    }
}

fn manifest() -> JobManifest {
    JobManifest {
        submitted_at: UnixMillis::new(1_000),
        host: "a.example".to_owned(),
        path: "/batch/1".to_owned(),
        total: 1,
        ..JobManifest::default()
    }
}

fn describe(route: JobRoute<'_>) -> &'static str {
    match route {
        JobRoute::Known(_) => "known",
        JobRoute::Removed => "removed",
        JobRoute::Undecided => "undecided",
    }
}

/// Guards against decisions about a job by a configuration that is older than
/// the one by which the job was accepted: its items would be given up, or run
/// by a service that the operators have replaced.
#[parameterized(
    older_without_route = { 6, false, Some(7), "undecided" },
    older_with_route = { 6, true, Some(7), "undecided" },
    same_with_route = { 7, true, Some(7), "known" },
    newer_with_route = { 8, true, Some(7), "known" },
    newer_without_route = { 8, false, Some(7), "removed" },
    unknown_with_route = { 6, true, None, "known" },
    unknown_without_route = { 6, false, None, "undecided" },
)]
fn an_older_configuration_decides_nothing(
    version: u64,
    has_route: bool,
    accepted_by: Option<u64>,
    expected: &str,
) {
    let config = config(version, has_route);
    let route = JobRoute::find(Some(&config), &manifest(), accepted_by);
    assert_eq!(describe(route), expected);
}

#[test]
fn a_node_without_configuration_decides_nothing() {
    let route = JobRoute::find(None, &manifest(), Some(7));
    assert_eq!(describe(route), "undecided");
}

#[test]
fn a_route_of_another_kind_is_not_the_route_of_a_job() {
    let route = Route::new("chat", "a.example", "/batch/", "engines");
    let config = Config {
        version: 8,
        routes: RouteTable::new(vec![route]),
        ..Config::default()
    };
    let route = JobRoute::find(Some(&config), &manifest(), Some(7));
    assert_eq!(describe(route), "removed");
}

/// Guards against inputs that processes of an earlier release cannot read, or
/// that this release cannot read from them.
#[test]
fn inputs_of_an_earlier_release_have_no_version() {
    let item = |config_version| ItemInput {
        id: "a".to_owned(),
        config_version,
        ..ItemInput::default()
    };
    let stored = encode_inputs(&[item(None)]).expect("encoded");
    assert!(!String::from_utf8_lossy(&stored).contains("config_version"));
    assert_eq!(decode_inputs(&stored).expect("decoded"), [item(None)]);
    let stored = encode_inputs(&[item(Some(7))]).expect("encoded");
    assert_eq!(decode_inputs(&stored).expect("decoded"), [item(Some(7))]);
}
