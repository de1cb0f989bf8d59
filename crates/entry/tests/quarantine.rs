//! Poison requests, which crash the endpoints that run them and are retried by
//! callers.
#![allow(clippy::unwrap_used)]

mod crash_common;
mod forward_common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use companion::Companion;
use crash_common::CrashableEngine;
use forward_common::{
    call, chat, companion_of, entry_named, platform, reserve, until_served,
    with_companion,
};
use pomeloslip_entry::Entry;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use yare::parameterized;

/// Maximum number of sends of a request that has crashed three endpoints, once
/// all entries had time to learn of it.
const MAX_SENDS_AFTER_QUARANTINE: usize = 3;

/// Number of crashes after which a request must not be sent.
const QUARANTINE_CRASHES: usize = 3;

/// Time in which all entries learn of a third crash.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time for which the request is repeated.
const REPEAT_TIME: Duration = Duration::from_secs(9);

fn without_companion_at(name: &str, address: SocketAddr) -> String {
    format!(
        "  - {{endpoint: {name}, pool: korv-lm, failure_domain: tallinn-a, \
         http: 'http://{address}'}}\n"
    )
}

/// Attempts of a caller whose call was aborted or refused.
const MAX_ATTEMPTS: usize = 4;

/// Guards against refusing calls only because they ran at endpoints that were
/// killed.
#[tokio::test(flavor = "multi_thread")]
async fn calls_at_killed_endpoints_are_served() {
    let platform = platform(", retries: 2").await;
    let addresses = reserve::<5>();
    let mut lines = "endpoints:\n".to_owned();
    let mut engines = Vec::new();
    for (at, address) in addresses.into_iter().enumerate() {
        engines.push(CrashableEngine::start(address).await);
        lines += &without_companion_at(&format!("korv-{at}"), address);
    }
    let entry = Arc::new(entry_named("entry-1", &platform, &lines).await);
    until_served(&entry).await;
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let entry = entry.clone();
        callers.spawn(async move {
            let until = Instant::now() + REPEAT_TIME;
            let mut served = 0;
            while Instant::now() < until {
                // Half of the callers send the same requests as the others.
                let prompt = format!("caller {}", caller % 3);
                served += usize::from(is_served(&entry, &prompt).await);
            }
            served
        });
    }
    let until = Instant::now() + REPEAT_TIME - Duration::from_secs(1);
    let mut number = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(400)).await;
        engines[number % engines.len()].crash();
        number += 1;
    }
    let served: usize = callers.join_all().await.into_iter().sum();
    assert!(served > 50, "the callers were busy: {served}");
}

/// Retries a call until it is served; panics if it never is.
async fn is_served(entry: &Entry, prompt: &str) -> bool {
    let mut last = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let path = "/v1/chat/completions";
        let reply = call(entry, path, &chat(prompt)).await;
        last = reply.text().await.unwrap_or_default();
        if last.contains("[DONE]") {
            return true;
        }
        assert!(!last.contains("endpoint-crashes"), "quarantined: {last}");
        sleep(Duration::from_millis(100)).await;
    }
    panic!("not served in {MAX_ATTEMPTS} attempts: {last}");
}

/// Endpoints and entries, and the lines that list them.
struct Fleet {
    engines: Vec<CrashableEngine>,
    entries: [Entry; 2],
    /// Companions run as long as they are kept.
    _companions: Vec<Companion>,
}

impl Fleet {
    async fn start(companions: bool) -> Self {
        let platform = platform(", retries: 2").await;
        let addresses = reserve::<5>();
        let peers = reserve::<5>();
        let mut engines = Vec::new();
        let mut running = Vec::new();
        let mut lines = "endpoints:\n".to_owned();
        for (at, address) in addresses.into_iter().enumerate() {
            let name = format!("korv-{at}");
            engines.push(CrashableEngine::start(address).await);
            lines += &match companions {
                true => with_companion(&name, peers[at]),
                false => without_companion_at(&name, address),
            };
            if companions {
                let url = format!("http://{address}");
                running
                    .push(companion_of(&name, peers[at], &url, &peers).await);
            }
        }
        let first = entry_named("entry-1", &platform, &lines).await;
        lines += &format!("entries: ['{}']\n", first.peer_address());
        let second = entry_named("entry-2", &platform, &lines).await;
        let entries: [Entry; 2] = [first, second];
        for entry in &entries {
            until_served(entry).await;
        }
        Self {
            engines,
            entries,
            _companions: running,
        }
    }

    fn crashes(&self) -> usize {
        self.engines.iter().map(CrashableEngine::crashes).sum()
    }
}

/// Number of crashes after which a message must be quarantined.
const MESSAGE_CRASHES: usize = 5;

/// A chat whose first message is the same in all chats.
fn conversation(earlier: &[&str], last: &str) -> serde_json::Value {
    let mut body = chat(last);
    let mut messages = vec![json!({"role": "system", "content": "be brief"})];
    messages.extend(
        earlier
            .iter()
            .map(|text| json!({"role": "user", "content": text})),
    );
    messages.push(json!({"role": "user", "content": last}));
    body["messages"] = json!(messages);
    body
}

/// Guards against an earlier message of a conversation that crashes one
/// endpoint after another with each new message, and against refusing sound
/// conversations with the same first message.
#[parameterized(
    direct = { false },
    behind_companions = { true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_message_that_crashes_endpoints_is_sent_no_further(
    companions: bool,
) {
    let fleet = Fleet::start(companions).await;
    let path = "/v1/chat/completions";
    let began = Instant::now();
    let mut fifth = None;
    let (mut before, mut sent) = (None, 0);
    let (mut sound, mut served) = (0, 0);
    while began.elapsed() < REPEAT_TIME {
        let entry = &fleet.entries[sent % fleet.entries.len()];
        let last = format!("and {sent}?");
        call(entry, path, &conversation(&["[[crash]]"], &last)).await;
        let reply = call(entry, path, &conversation(&[], &last)).await;
        let text = reply.text().await.unwrap_or_default();
        sent += 1;
        let crashes = fleet.crashes();
        if crashes >= MESSAGE_CRASHES {
            fifth.get_or_insert(Instant::now());
        }
        if fifth.is_some_and(|fifth| fifth.elapsed() >= PROPAGATION_TIME) {
            before.get_or_insert(crashes);
        }
        if crashes >= MESSAGE_CRASHES - 1 {
            sound += 1;
            served += usize::from(text.contains("[DONE]"));
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(sent > 10, "the conversations came again: {sent}");
    let after = before.map_or(0, |before| fleet.crashes() - before);
    assert!(
        after <= MAX_SENDS_AFTER_QUARANTINE,
        "sent {after} more times"
    );
    assert!(2 * served > sound, "{served} of {sound} were served");
}

/// Guards against a call that crashes one endpoint after another while its
/// caller retries it at any entry.
#[parameterized(
    direct = { false, true },
    behind_companions = { true, true },
    whole_answers = { false, false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_call_that_crashes_endpoints_is_sent_no_further(
    companions: bool,
    streams: bool,
) {
    let fleet = Fleet::start(companions).await;
    let mut body = chat("[[crash]]");
    body["stream"] = json!(streams);
    let began = Instant::now();
    let mut third = None;
    let (mut before, mut sent) = (None, 0);
    while began.elapsed() < REPEAT_TIME {
        let entry = &fleet.entries[sent % fleet.entries.len()];
        call(entry, "/v1/chat/completions", &body).await;
        sent += 1;
        let crashes = fleet.crashes();
        if crashes >= QUARANTINE_CRASHES {
            third.get_or_insert(Instant::now());
        }
        if third.is_some_and(|third| third.elapsed() >= PROPAGATION_TIME) {
            before.get_or_insert(crashes);
        }
        sleep(Duration::from_millis(100)).await;
    }
    let crashes = fleet.crashes();
    let before = before.expect("three crashes");
    assert!(sent > 20, "the call came again: {sent}");
    let after = crashes - before;
    assert!(
        after <= MAX_SENDS_AFTER_QUARANTINE,
        "sent {after} more times"
    );
}
