//! Streams that are resumed at another endpoint, and endpoints that start and
//! stop.
#![allow(clippy::unwrap_used)]

mod forward_common;

use std::time::Duration;

use forward_common::{
    Events, MODEL, call, chat, companion, engine, entry, platform, reserve,
    stream, until_served, with_companion, without_companion,
};
use serde_json::{Value, json};
use standin::{
    answer,
    engine::{Engine, EngineHandle, EngineSettings},
    vms::{VmListService, VmListSettings, VmRecord, VmState},
};
use yare::parameterized;

/// Interval of polling for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn expected(prompt: &str) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    answer::text(MODEL, &answer::prompt_of_chat(&messages), 16)
}

fn calls(engines: &[EngineHandle]) -> u64 {
    engines.iter().map(|engine| engine.counters().calls).sum()
}

async fn engines(count: usize) -> (Vec<EngineHandle>, String) {
    let mut engines = Vec::new();
    let mut lines = "endpoints:\n".to_owned();
    for at in 0..count {
        let engine = engine().await;
        lines.push_str(&without_companion(&format!("korv-lm-{at}"), &engine));
        engines.push(engine);
    }
    (engines, lines)
}

/// Guards against half a response or repeated text. Each of two engines drops
/// its first stream for this prompt halfway, without the end mark; the first
/// engine then sends the remainder. The fault would be an attempt that is
/// forwarded from its beginning, or one that is not made.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_chat_goes_on_elsewhere_as_one_answer() {
    let platform = platform("").await;
    let (engines, lines) = engines(2).await;
    let entry = entry(&platform, &lines).await;
    let events = stream(&entry, &chat("[[drop]] may I fly")).await;
    events.is_one_answer(&expected("[[drop]] may I fly"));
    assert_eq!(calls(&engines), 3);
    let roles = events
        .count(|event| event["choices"][0]["delta"]["role"] == "assistant");
    assert_eq!(roles, 1);
    let usage = events.json.last().unwrap()["usage"].clone();
    assert_eq!(usage["completion_tokens"], 16);
    let prompt = usage["prompt_tokens"].as_u64().unwrap();
    assert_eq!(usage["total_tokens"], prompt + 16);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_completion_goes_on_elsewhere_as_one_answer() {
    let platform = platform("").await;
    let (_engines, lines) = engines(2).await;
    let entry = entry(&platform, &lines).await;
    let prompt = "[[drop]] describe it";
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 9, "prompt": prompt,
    });
    let events = stream(&entry, &body).await;
    events.is_one_answer(&answer::text(MODEL, prompt, 9));
}

/// A stream that may not be resumed ends with an error event and without the
/// end mark, so that no client takes it for complete.
#[parameterized(
    not_repeatable = { ", repeatable: false", 1 },
    no_retries = { ", retries: 0", 1 },
    too_few_retries = { ", retries: 1", 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_not_resumed_ends_in_an_error(then: &str, attempts: u64) {
    let platform = platform(then).await;
    let (engines, lines) = engines(2).await;
    let entry = entry(&platform, &lines).await;
    let events = stream(&entry, &chat("[[drop]] may I fly")).await;
    assert_eq!(events.done, 0);
    let error = &events.json.last().unwrap()["error"];
    assert_eq!(error["ran"], "unknown", "{error}");
    assert!(expected("[[drop]] may I fly").starts_with(&events.text()));
    assert_eq!(calls(&engines), attempts);
}

/// Guards against half a response that looks complete. An engine drops a
/// stream of two choices, whose events belong to either choice. The fault
/// would be an event count that mixes the two.
#[tokio::test(flavor = "multi_thread")]
async fn several_choices_are_not_resumed() {
    let platform = platform("").await;
    let (engines, lines) = engines(2).await;
    let entry = entry(&platform, &lines).await;
    let mut body = chat("[[drop]] two of them");
    body["n"] = json!(2);
    let events = stream(&entry, &body).await;
    assert_eq!(events.done, 0);
    assert_eq!(calls(&engines), 1);
}

/// Guards against truncated responses when VMs are lost. Two companions serve;
/// the one with the stream stops midway, and the link breaks without an end of
/// the response. The fault would be to resume only after an end that a
/// companion reports.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_after_its_companion_stops() {
    let platform = platform("").await;
    let addresses = reserve::<2>();
    let names = ["korv-lm-1", "korv-lm-2"];
    let lines = names.iter().zip(addresses);
    let lines: String =
        lines.map(|(name, at)| with_companion(name, at)).collect();
    let entry = entry(&platform, &format!("endpoints:\n{lines}")).await;
    let entries = [entry.peer_address()];
    let (mut engines, mut companions) = (Vec::new(), Vec::new());
    for (name, address) in names.into_iter().zip(addresses) {
        let engine = Engine::start(EngineSettings::default()).await.unwrap();
        let one = companion(name, address, &engine, &entries).await;
        companions.push(one);
        engines.push(engine);
    }
    until_served(&entry).await;
    let before: Vec<u64> = engines
        .iter()
        .map(|engine| engine.counters().calls)
        .collect();

    let mut body = chat("a long flight");
    body["max_tokens"] = json!(200);
    let mut reply = call(&entry, "/v1/chat/completions", &body).await;
    let mut got = reply.chunk().await.unwrap().unwrap().to_vec();
    let serving =
        (0..2).find(|at| engines[*at].counters().calls > before[*at]);
    companions.remove(serving.unwrap()).stop().await;
    while let Some(more) = reply.chunk().await.unwrap() {
        got.extend_from_slice(&more);
    }
    let messages = json!([{"role": "user", "content": "a long flight"}]);
    let prompt = answer::prompt_of_chat(&messages);
    let events = Events::of(std::str::from_utf8(&got).unwrap());
    events.is_one_answer(&answer::text(MODEL, &prompt, 200));
    let after = calls(&engines);
    assert_eq!(after, before.iter().sum::<u64>() + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conversation_stays_at_its_engine() {
    let platform = platform("").await;
    let (engines, lines) = engines(4).await;
    let entry = entry(&platform, &lines).await;
    let mut body = chat("the first question");
    for turn in 0..6 {
        stream(&entry, &body).await;
        let messages = body["messages"].as_array_mut().unwrap();
        messages.push(json!({"role": "assistant", "content": "yes"}));
        messages.push(json!({"role": "user", "content": turn.to_string()}));
    }
    let served = engines.iter().filter(|e| e.counters().calls > 0);
    assert_eq!(served.count(), 1);
    assert_eq!(calls(&engines), 6);
}

/// Guards against half of a JSON text with status 200. An engine fails midway
/// through a response without a length and ends its chunks cleanly; the end of
/// the chunks was taken for the end of the response. The caller must learn at
/// once that the response is lost, and gets a retry-after if the call may be
/// repeated.
#[parameterized(
    repeatable = { ", retries: 0", true },
    not_repeatable = { ", repeatable: false", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lost_call_says_when_to_come_back(then: &str, comes_back: bool) {
    let platform = platform(then).await;
    let (_engines, lines) = engines(1).await;
    let entry = entry(&platform, &lines).await;
    let mut body = chat("[[drop]] whole");
    body["stream"] = json!(false);
    let reply = call(&entry, "/v1/chat/completions", &body).await;
    assert_eq!(reply.headers().contains_key("retry-after"), comes_back);
    let problem: Value = reply.json().await.unwrap();
    assert_eq!(problem["ran"], "unknown", "{problem}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_engine_is_skipped() {
    let platform = platform("").await;
    let (mut engines, lines) = engines(2).await;
    let entry = entry(&platform, &lines).await;
    engines.remove(0).stop().await;
    for at in 0..10 {
        let prompt = format!("number {at}");
        let events = stream(&entry, &chat(&prompt)).await;
        events.is_one_answer(&expected(&prompt));
    }
    assert_eq!(calls(&engines), 10);
}

/// Guards against calls to an endpoint that is shutting down, or none to its
/// successor. The companion announces its shutdown while the settings still
/// have its address; later a new companion starts there. The fault would be
/// one record for both incarnations.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_companion_gets_nothing_and_its_successor_does() {
    let platform = platform("").await;
    let engine = engine().await;
    let [address] = reserve();
    let lines =
        format!("endpoints:\n{}", with_companion("korv-lm-1", address));
    let entry = entry(&platform, &lines).await;
    let entries = [entry.peer_address()];
    let first = companion("korv-lm-1", address, &engine, &entries).await;
    until_served(&entry).await;
    let before = engine.counters().calls;

    first.drain().await;
    let reply = call(&entry, "/v1/chat/completions", &chat("hello")).await;
    assert_eq!(reply.status().as_u16(), 503);
    let problem: Value = reply.json().await.unwrap();
    assert_eq!(problem["ran"], "no", "{problem}");
    assert_eq!(engine.counters().calls, before);

    let _second = companion("korv-lm-1", address, &engine, &entries).await;
    until_served(&entry).await;
}

/// Guards against losing the whole fleet. The platform's list is empty for a
/// while, then cannot be read. The fault would be to apply such a list.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_list_stays_when_there_is_none() {
    let platform = platform("").await;
    let engine = engine().await;
    let vm = VmRecord {
        vm: "vm-7".parse().unwrap(),
        state: VmState::Live,
        failure_domain: "tallinn-a".parse().unwrap(),
        pool: "korv-lm".to_owned(),
        ip: engine.address().ip(),
        ports: standin::vms::VmPorts {
            peer: 0,
            http: engine.address().port(),
        },
        version: None,
    };
    let list = VmListService::start(VmListSettings::default())
        .await
        .unwrap();
    let lines =
        format!("vm_list: {{address: {}, poll_ms: 100}}\n", list.url());
    let entry = entry(&platform, &lines).await;
    let nobody = call(&entry, "/v1/chat/completions", &chat("hello")).await;
    assert_eq!(nobody.status().as_u16(), 503);

    list.put(vm.clone());
    until_served(&entry).await;
    list.remove(&vm.vm);
    let after = list.reads() + 3;
    while list.reads() < after {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    stream(&entry, &chat("hello"))
        .await
        .is_one_answer(&expected("hello"));
    list.stop().await;
    stream(&entry, &chat("again"))
        .await
        .is_one_answer(&expected("again"));
}
