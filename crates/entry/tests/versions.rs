//! A response that an endpoint breaks off goes on only at an endpoint of the
//! same software version.
#![allow(clippy::unwrap_used)]

mod forward_common;

use std::time::Duration;

use forward_common::{
    chat, companion_at_version, engine, entry, platform, reserve, stream,
    until_served, with_companion, without_companion,
};
use standin::{
    engine::EngineHandle,
    vms::{VmListService, VmListSettings, VmPorts, VmRecord, VmState},
};

/// The first stream of each engine for this prompt breaks off halfway.
const PROMPT: &str = "[[drop]] may I fly";

/// Returns the calls of the engines of each version, which alternate.
fn calls_by_version(engines: &[EngineHandle], before: &[u64]) -> [u64; 2] {
    let mut calls = [0; 2];
    for (at, engine) in engines.iter().enumerate() {
        calls[at % 2] += engine.counters().calls - before[at];
    }
    calls
}

fn calls(engines: &[EngineHandle]) -> Vec<u64> {
    engines.iter().map(|e| e.counters().calls).collect()
}

const VERSIONS: [&str; 2] = ["v1", "v2"];

async fn engines(count: usize) -> Vec<EngineHandle> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(engine().await);
    }
    engines
}

/// Returns the settings of engines without companions, whose versions
/// alternate.
fn lines_of(engines: &[EngineHandle]) -> String {
    let mut lines = "endpoints:\n".to_owned();
    for (at, engine) in engines.iter().enumerate() {
        let line = without_companion(&format!("korv-lm-{at}"), engine);
        let version = format!(", version: {}}}\n", VERSIONS[at % 2]);
        lines += &line.replace("}\n", &version);
    }
    lines
}

/// Guards against one response with the text of two versions, where no
/// endpoint of its own is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_an_endpoint_of_its_version_ends_in_an_error() {
    let platform = platform("").await;
    let engines = engines(2).await;
    let before = calls(&engines);
    let entry = entry(&platform, &lines_of(&engines)).await;
    let events = stream(&entry, &chat(PROMPT)).await;
    assert_eq!(events.done, 0);
    let mut calls = calls_by_version(&engines, &before);
    calls.sort();
    assert_eq!(calls, [0, 1]);
}

/// Guards against the loss of a response while another endpoint of its version
/// serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_goes_on_at_an_endpoint_of_its_version() {
    let platform = platform("").await;
    let engines = engines(6).await;
    let before = calls(&engines);
    let entry = entry(&platform, &lines_of(&engines)).await;
    let events = stream(&entry, &chat(PROMPT)).await;
    assert_eq!(events.done, 1);
    let mut calls = calls_by_version(&engines, &before);
    calls.sort();
    assert_eq!(calls, [0, 3]);
}

/// Guards against companions that run whatever they are sent: the entry does
/// not know their versions in advance.
#[tokio::test(flavor = "multi_thread")]
async fn companions_resume_only_responses_of_their_version() {
    let platform = platform("").await;
    let addresses = reserve::<6>();
    let name = |at: usize| format!("korv-lm-{at}");
    let lines = addresses.iter().enumerate();
    let lines = lines.map(|(at, address)| with_companion(&name(at), *address));
    let lines: String = lines.collect();
    let entry = entry(&platform, &format!("endpoints:\n{lines}")).await;
    let engines = engines(addresses.len()).await;
    let entries = [entry.peer_address()];
    let mut companions = Vec::new();
    for (at, address) in addresses.into_iter().enumerate() {
        let (url, version) = (engines[at].url(), VERSIONS[at % 2]);
        let name = name(at);
        let started =
            companion_at_version(&name, address, &url, &entries, version);
        companions.push(started.await);
    }
    until_served(&entry).await;
    let before = calls(&engines);
    let events = stream(&entry, &chat(PROMPT)).await;
    assert_eq!(events.done, 1);
    let mut calls = calls_by_version(&engines, &before);
    calls.sort();
    assert_eq!(calls, [0, 3]);
}

/// Returns the listed machine of an engine without a companion.
fn vm(name: &str, engine: &EngineHandle, version: &str) -> VmRecord {
    VmRecord {
        vm: name.parse().unwrap(),
        state: VmState::Live,
        failure_domain: "tallinn-a".parse().unwrap(),
        pool: "korv-lm".to_owned(),
        ip: engine.address().ip(),
        ports: VmPorts {
            peer: 0,
            http: engine.address().port(),
        },
        version: Some(version.to_owned()),
    }
}

/// Guards against an entry that keeps the first listed version of a machine,
/// and resumes responses there after its software was replaced.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_changes_in_the_list_is_used() {
    let platform = platform("").await;
    let engines = engines(2).await;
    let vms =
        vec![vm("vm-1", &engines[0], "v1"), vm("vm-2", &engines[1], "v1")];
    let settings = VmListSettings {
        vms,
        ..VmListSettings::default()
    };
    let list = VmListService::start(settings).await.unwrap();
    let lines =
        format!("vm_list: {{address: {}, poll_ms: 100}}\n", list.url());
    let entry = entry(&platform, &lines).await;
    until_served(&entry).await;
    let events = stream(&entry, &chat(PROMPT)).await;
    assert_eq!(events.done, 1, "both are of one version");
    list.put(vm("vm-2", &engines[1], "v2"));
    let after = list.reads() + 3;
    while list.reads() < after {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let other = "[[drop]] and back again";
    let events = stream(&entry, &chat(other)).await;
    assert_eq!(events.done, 0);
}

/// Guards against tests that fail because another test of the same process has
/// reserved the same port.
#[test]
fn no_address_is_reserved_twice() {
    let all: Vec<_> = (0..400).flat_map(|_| reserve::<5>()).collect();
    let distinct: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(distinct.len(), all.len());
}
