//! Statuses that promise that a call did not run.
#![allow(clippy::unwrap_used)]

mod claim_common;
mod forward_common;

use std::time::Duration;

use companion::Companion;
use forward_common::{
    EVENT_TIMEOUT, KEY, MODEL, call, chat, companion_of, entry, platform,
    reserve,
    statuses::{ENGINE_TEXT, Reply, StatusEngine},
    with_companion,
};
use pomeloslip_entry::Entry;
use serde_json::{Value, json};
use standin::kv::KvServiceHandle;
use yare::parameterized;

/// How an entry reaches its endpoints.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    Companion,
}

/// An entry with engines that answer each call alike.
struct Ground {
    entry: Entry,
    engines: Vec<StatusEngine>,
    _companions: Vec<Companion>,
    _platform: KvServiceHandle,
}

impl Ground {
    async fn start(way: Way, count: usize, then: &str, reply: Reply) -> Self {
        let platform = platform(then).await;
        let mut engines = Vec::new();
        let mut peers = Vec::new();
        let mut lines = "endpoints:\n".to_owned();
        for at in 0..count {
            let engine = StatusEngine::start(reply.clone()).await;
            let name = format!("korv-lm-{at}");
            let [peer] = reserve();
            lines += &match way {
                Way::Direct => direct(&name, &engine),
                Way::Companion => with_companion(&name, peer),
            };
            peers.push((name, peer, engine.url()));
            engines.push(engine);
        }
        let entry = entry(&platform, &lines).await;
        let entries = [entry.peer_address()];
        let mut companions = Vec::new();
        if let Way::Companion = way {
            for (name, peer, url) in &peers {
                let started = companion_of(name, *peer, url, &entries);
                companions.push(started.await);
            }
        }
        Self {
            entry,
            engines,
            _companions: companions,
            _platform: platform,
        }
    }

    fn runs(&self) -> u32 {
        self.engines.iter().map(StatusEngine::runs).sum()
    }

    /// Sends a call until an engine has run it; one that no endpoint was ready
    /// for is refused.
    async fn call(&self) -> (u16, String) {
        let attempt = async {
            loop {
                let body = chat("may I fly");
                let path = "/v1/chat/completions";
                let reply = call(&self.entry, path, &body).await;
                let status = reply.status().as_u16();
                let text = reply.text().await.unwrap();
                if self.runs() > 0 {
                    return (status, text);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(EVENT_TIMEOUT, attempt).await.unwrap()
    }
}

fn direct(name: &str, engine: &StatusEngine) -> String {
    format!(
        "  - {{endpoint: {name}, pool: korv-lm, failure_domain: tallinn-a, \
         http: '{}'}}\n",
        engine.url()
    )
}

#[track_caller]
fn is_unknown(status: u16, text: &str, expected: u16) {
    assert_eq!(status, expected, "{text}");
    let problem: Value = serde_json::from_str(text).unwrap();
    assert_eq!(problem["ran"], "unknown", "{text}");
    assert_eq!(problem["status"], expected, "{text}");
    assert!(!text.contains(ENGINE_TEXT), "{text}");
}

/// Guards against a promise of the engine in the name of the system: it ran
/// the call, which may run only once, and its status says that it did not.
#[parameterized(
    direct_408 = { Way::Direct, 408, 504 },
    direct_421 = { Way::Direct, 421, 502 },
    direct_429 = { Way::Direct, 429, 502 },
    direct_503 = { Way::Direct, 503, 502 },
    companion_408 = { Way::Companion, 408, 504 },
    companion_421 = { Way::Companion, 421, 502 },
    companion_429 = { Way::Companion, 429, 502 },
    companion_503 = { Way::Companion, 503, 502 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_promise_of_an_engine_is_not_handed_on(
    way: Way,
    status: u16,
    expected: u16,
) {
    let then = ", repeatable: false";
    let ground = Ground::start(way, 2, then, Reply::status(status)).await;
    let (got, text) = ground.call().await;
    is_unknown(got, &text, expected);
    assert_eq!(ground.runs(), 1);
}

/// Guards against more runs of a repeatable call than its plan allows, and a
/// promise at the end of them.
#[parameterized(
    direct = { Way::Direct, ", retries: 1", 2 },
    companion = { Way::Companion, ", retries: 1", 2 },
    no_retries = { Way::Direct, ", retries: 0", 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_repeatable_call_is_tried_elsewhere(
    way: Way,
    then: &str,
    runs: u32,
) {
    let ground = Ground::start(way, 3, then, Reply::status(503)).await;
    let (got, text) = ground.call().await;
    is_unknown(got, &text, 502);
    assert_eq!(ground.runs(), runs);
}

/// Guards against a failure of the caller's request taken for a promise.
#[parameterized(
    not_found = { 404 },
    invalid = { 422 },
    failed = { 500 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn other_statuses_of_an_engine_are_its_answer(status: u16) {
    let reply = Reply::status(status);
    let ground = Ground::start(Way::Direct, 1, "", reply).await;
    let (got, text) = ground.call().await;
    assert_eq!(got, status);
    assert!(text.contains(ENGINE_TEXT), "{text}");
}

/// Guards against a second run that a redirect of the engine causes, and
/// against a redirect to a closed port, which looks like a call that was not
/// sent.
#[parameterized(
    to_itself = { true },
    to_a_closed_port = { false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_redirect_is_not_followed(to_open_port: bool) {
    let other = StatusEngine::start(Reply::status(200)).await;
    let [closed] = reserve();
    let to = match to_open_port {
        true => other.address,
        false => closed,
    };
    let reply = Reply {
        status: 307,
        headers: format!("location: http://{to}/v1/chat/completions\r\n"),
    };
    let then = ", repeatable: false";
    let ground = Ground::start(Way::Direct, 2, then, reply).await;
    let caller = reqwest::Client::builder()
        .timeout(EVENT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let address = ground.entry.http_address();
    let url = format!("http://{address}/v1/chat/completions");
    let call = caller.post(url).bearer_auth(KEY).json(&chat("may I fly"));
    let reply = call.send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 307);
    assert_eq!((ground.runs(), other.runs()), (1, 0));
}

/// Guards against a claim whose call ran and that later callers of its key
/// are told did not, or that lets them run it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_not_released_by_a_promise_of_the_engine() {
    let platform = claim_common::platform("", "").await;
    let engine = StatusEngine::start(Reply::status(503)).await;
    let entry = claim_common::entry(&platform, engine.address).await;
    for _ in 0..2 {
        let call = claim_common::keyed(&entry, "k-1", "book");
        let reply = claim_common::Reply::of(call).await;
        is_unknown(reply.status, &reply.body, 502);
    }
    assert_eq!(engine.runs(), 1);
}

/// Guards against a call that counts as possibly run although no endpoint is
/// known.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_nobody_took_is_still_promised() {
    let platform = platform(", repeatable: false").await;
    let entry = entry(&platform, "endpoints: []\n").await;
    let body = json!({"model": MODEL, "prompt": "x"});
    let reply = call(&entry, "/v1/completions", &body).await;
    assert_eq!(reply.status().as_u16(), 503);
    let problem: Value = reply.json().await.unwrap();
    assert_eq!(problem["ran"], "no", "{problem}");
}
