//! At which endpoints an item may go on.

use std::sync::Arc;

use fleet::{EndpointRecord, EndpointState, VersionBinding};
use pomeloslip_jobs::{ItemCheckpoint, Progress};
use yare::parameterized;

fn record(service: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        id: "e1".to_owned(),
        started_at: None,
        version: version.parse().ok(),
        address: ([127, 0, 0, 1], 80).into(),
        service: service.to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

/// Returns the progress of an item that was restored after its first events at
/// version `v1`.
fn restored(events: u64) -> Progress {
    let version = "v1".parse().expect("a version");
    Progress::restore(&ItemCheckpoint {
        number: 0,
        last_id: 3,
        events,
        ran_ms: 100,
        binding: Arc::new(VersionBinding::new("engines", version)),
        output: String::new(),
    })
}

#[test]
fn an_item_begins_anywhere() {
    let progress = Progress::default();
    assert!(progress.is_resumable() && !progress.has_begun());
    assert!(progress.permits(&record("engines", "v1")));
    assert!(progress.permits(&record("engines", "")));
    assert_eq!(progress.checkpoint(0, 100), None);
}

/// Guards against an item that goes on at another version, also after events
/// that had no data.
#[parameterized(
    with_data = { 3 },
    without_data = { 0 },
)]
fn an_item_goes_on_only_at_its_version(events: u64) {
    let progress = restored(events);
    assert!(progress.is_resumable() && progress.has_begun());
    assert!(progress.permits(&record("engines", "v1")));
    for (service, version) in
        [("engines", "v2"), ("others", "v1"), ("engines", "")]
    {
        assert!(!progress.permits(&record(service, version)));
    }
    let saved = progress.checkpoint(0, 100).expect("a checkpoint");
    assert_eq!(saved.binding.to_string(), "engines at v1");
}
