//! Runs of single items at an endpoint.

use std::{net::SocketAddr, sync::Arc};

use access::KeyHeaders;
use base::{Snapshot, SystemClock};
use fleet::{
    Endpoint, EndpointRecord, EndpointState, EndpointTable, Route, RouteKind,
};
use http::HeaderName;
use pass::{
    Counters, DirectoryView, Forwarder, ForwarderOptions, HeaderNames, Pool,
};
use pomeloslip_jobs::{
    ItemInput, ItemRun, OutputLimits, Progress, SilenceClock,
};

fn names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        resume_after: name("x-resume"),
        resumes: name("x-resumes"),
        seal: name("x-seal"),
        target: name("x-target"),
        not_executed: name("x-not-run"),
        load: name("x-load"),
        prompt_parts: name("x-prompt"),
        keys: KeyHeaders {
            credential: name("x-key"),
            customer: name("x-customer"),
        },
    }
}

/// A forwarder with connections of its own, and its only endpoint.
pub(crate) fn worker(address: SocketAddr) -> (Arc<Forwarder>, Endpoint) {
    let endpoint = Endpoint::new(EndpointRecord {
        id: "e1".to_owned(),
        started_at: None,
        version: "v1".parse().ok(),
        address,
        service: "app".to_owned(),
        failure_domain: "near".to_owned(),
        slots: 4,
        state: EndpointState::Ready,
    });
    let view = DirectoryView {
        table: Arc::new(EndpointTable::new(vec![endpoint.clone()])),
        revision: 1,
    };
    let forwarder = Forwarder::new(
        names(),
        ForwarderOptions::default(),
        "near",
        Arc::new(Snapshot::new(view)),
        Arc::new(Pool::default().with_request_id(names().request_id)),
        Arc::new(SystemClock::new()),
        Arc::new(Counters::default()),
    );
    (Arc::new(forwarder), endpoint)
}

/// Returns a run of an item at an endpoint.
pub(crate) fn run_item(
    endpoint: &Endpoint,
    id: &str,
    progress: &Progress,
    limits: OutputLimits,
) -> ItemRun {
    let route = Route::new("r", "a.example", "/", "app");
    ItemRun {
        input: ItemInput {
            id: id.to_owned(),
            path: "/batch/1".to_owned(),
            headers: Vec::new(),
            body: b"an item".to_vec(),
            tokens: 100,
            config_version: None,
        },
        host: "a.example".to_owned(),
        route: Arc::new(route.with_kind(RouteKind::Batch)),
        job: "job-1".parse().expect("a key"),
        customer: None,
        endpoint: endpoint.clone(),
        progress: progress.clone(),
        silence: SilenceClock::start(),
        limits,
    }
}
