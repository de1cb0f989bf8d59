//! Tests of requests that arrive at a process that has just started.

use std::{sync::Arc, time::Duration};

use base::SteppedClock;
use fleet::{Config, Endpoint, EndpointRecord, EndpointState, EndpointTable};
use pass::DirectoryView;
use tokio::{spawn, time::sleep};

use super::{ClusterState, MAX_STARTUP_WAIT_MS, STARTUP_PERIOD_MS};

/// Returns a process of some age that knows its configuration and an endpoint,
/// and has not read the quarantined requests.
fn routing(age_ms: u64) -> (Arc<SteppedClock>, ClusterState) {
    let clock = Arc::new(SteppedClock::default());
    clock.step_ms(age_ms);
    let cluster = ClusterState::new(clock.clone());
    cluster.apply_config(Config {
        version: 1,
        ..Config::default()
    });
    let endpoint = Endpoint::new(EndpointRecord {
        id: "e1".to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 1).into(),
        service: "app".to_owned(),
        failure_domain: "near".to_owned(),
        slots: 1,
        state: EndpointState::Ready,
    });
    cluster.endpoints.publish(DirectoryView {
        table: Arc::new(EndpointTable::new(vec![endpoint])),
        revision: 1,
    });
    (clock, cluster)
}

/// Lets the other tasks run until all of them wait.
async fn pass_time() {
    sleep(Duration::from_secs(1)).await;
}

/// Guards against a front that crashes an endpoint at each of its starts: it
/// sends a quarantined request before it has read that this one is held.
#[tokio::test(start_paused = true)]
async fn requests_at_the_start_wait_for_the_quarantine() {
    let (clock, cluster) = routing(100);
    let waiting = cluster.clone();
    let request = spawn(async move { waiting.wait_for_start().await });
    clock.step_ms(MAX_STARTUP_WAIT_MS / 2);
    pass_time().await;
    assert!(!request.is_finished(), "the quarantine is not known");
    cluster.mark_quarantine_loaded();
    pass_time().await;
    assert!(request.is_finished());
}

/// Guards against requests that are not served while the key-value service
/// is unavailable, at a process that has just started or runs for longer.
#[tokio::test(start_paused = true)]
async fn requests_wait_briefly_without_the_service() {
    let (clock, cluster) = routing(100);
    let waiting = cluster.clone();
    let request = spawn(async move { waiting.wait_for_start().await });
    pass_time().await;
    clock.step_ms(MAX_STARTUP_WAIT_MS);
    pass_time().await;
    assert!(request.is_finished());
    let (_, cluster) = routing(STARTUP_PERIOD_MS);
    let request = spawn(async move { cluster.wait_for_start().await });
    pass_time().await;
    assert!(request.is_finished());
}
