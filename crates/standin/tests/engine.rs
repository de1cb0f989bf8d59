//! The stand-in engine over its socket.

use std::{future::Future, time::Duration};

use pomeloslip_standin::{
    answer,
    engine::{Engine, EngineFaults, EngineHandle, EngineSettings},
};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use yare::parameterized;

const MODEL: &str = "korv-lm";

fn slow_settings() -> EngineSettings {
    EngineSettings {
        base_step_ms: 2.0,
        keep_alive_ms: 5,
        ..EngineSettings::default()
    }
}

async fn start(settings: EngineSettings) -> EngineHandle {
    Engine::start(settings).await.expect("the engine starts")
}

async fn post(engine: &EngineHandle, path: &str, body: &Value) -> Response {
    let url = format!("{}{path}", engine.url());
    let sent = Client::new().post(url).json(body).send().await;
    sent.expect("the engine answers")
}

async fn get(engine: &EngineHandle, path: &str) -> String {
    let url = format!("{}{path}", engine.url());
    let got = Client::new().get(url).send().await;
    let text = got.expect("the engine answers").text().await;
    text.expect("the answer is whole")
}

fn chat(content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

fn expected(content: &str, max_tokens: u32) -> Vec<String> {
    let prompt = format!("user: {content}\n");
    answer::tokens(MODEL, &prompt, max_tokens)
}

/// Returns the contents of a stream's events and whether its end mark came.
fn contents(stream: &str) -> (Vec<String>, bool) {
    let mut found = Vec::new();
    for line in stream.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return (found, true);
        }
        let event: Value = serde_json::from_str(data).expect("is JSON");
        let choice = &event["choices"][0];
        let text = choice["delta"]["content"].as_str();
        if let Some(text) = text.or(choice["text"].as_str()) {
            found.push(text.to_owned());
        }
    }
    (found, false)
}

/// Waits until the engine's counters are as wanted.
async fn until<F: Future<Output = bool>>(wanted: impl Fn() -> F) {
    for _ in 0..2_000 {
        if wanted().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the engine never came to be as wanted");
}

#[parameterized(
    instant = { EngineSettings::instant() },
    timed = { slow_settings() },
)]
#[test_macro(tokio::test)]
async fn a_stream_carries_one_token_in_each_event(settings: EngineSettings) {
    let engine = start(settings).await;
    let path = "/v1/chat/completions";
    let reply = post(&engine, path, &chat("hello", 12, true)).await;
    assert_eq!(reply.headers()["content-type"], "text/event-stream");
    let text = reply.text().await.expect("the stream ends well");
    assert_eq!(contents(&text), (expected("hello", 12), true));
    assert!(text.contains("\"finish_reason\":\"length\""));
    assert_eq!(engine.counters().sequences.completed, 1);
}

#[parameterized(
    instant = { EngineSettings::instant() },
    timed = { slow_settings() },
)]
#[test_macro(tokio::test)]
async fn a_whole_answer_has_text_and_usage(settings: EngineSettings) {
    let engine = start(settings).await;
    let body = chat("[[slow 30]] hi", 6, false);
    let reply = post(&engine, "/v1/chat/completions", &body).await;
    let body: Value = reply.json().await.expect("is JSON");
    let choice = &body["choices"][0];
    let text = expected("[[slow 30]] hi", 6).concat();
    assert_eq!(choice["message"]["content"], text);
    assert_eq!(body["usage"]["completion_tokens"], 6);
    assert_eq!(body["usage"]["prompt_tokens"], 6);
}

#[tokio::test]
async fn a_completion_goes_on_where_an_earlier_one_ended() {
    let engine = start(EngineSettings::instant()).await;
    let body = json!({
        "model": MODEL, "prompt": "go on", "max_tokens": 9,
        "stream": true, "resume_offset": 4,
        "stream_options": {"include_usage": true},
    });
    let reply = post(&engine, "/v1/completions", &body).await;
    let text = reply.text().await.expect("the stream ends well");
    let (mut tokens, done) = contents(&text);
    assert_eq!(tokens.pop().as_deref(), Some(""));
    assert_eq!(tokens, answer::tokens(MODEL, "go on", 9)[4..]);
    assert!(done);
    assert!(text.contains("\"completion_tokens\":5"));
    assert_eq!(engine.counters().calls, 1);
}

#[parameterized(
    failing = { chat("a [[fail]] b", 4, true), 500, "server_error" },
    unknown_model = {
        json!({"model": "other", "messages": [{"role": "user"}]}),
        404, "invalid_request_error"
    },
    no_messages = {
        json!({"model": MODEL}), 400, "invalid_request_error"
    },
    too_long = { chat("x", 1 << 20, true), 400, "invalid_request_error" },
    no_json = { json!("text"), 400, "invalid_request_error" },
)]
#[test_macro(tokio::test)]
async fn errors_have_the_shape_of_the_api(
    body: Value,
    status: u16,
    kind: &str,
) {
    let engine = start(EngineSettings::instant()).await;
    let reply = post(&engine, "/v1/chat/completions", &body).await;
    assert_eq!(reply.status().as_u16(), status);
    let body: Value = reply.json().await.expect("is JSON");
    assert_eq!(body["error"]["type"], kind);
    assert!(body["error"]["message"].is_string());
}

#[tokio::test]
async fn a_dropped_stream_lacks_its_end_mark_once() {
    // Symptom: a caller takes half an answer for a whole one.
    // Events: the stream ends without an error of the connection.
    // Cause: the end mark is the only sign that an answer is whole.
    let engine = start(EngineSettings::instant()).await;
    let body = chat("[[drop]] me", 8, true);
    let path = "/v1/chat/completions";
    let first = post(&engine, path, &body).await.text().await;
    let whole = expected("[[drop]] me", 8);
    let first = contents(&first.expect("the body ends"));
    assert_eq!(first, (whole[..4].to_vec(), false));
    let second = post(&engine, path, &body).await.text().await;
    let second = contents(&second.expect("the body ends"));
    assert_eq!(second, (whole, true));
    assert_eq!(engine.counters().sequences.cut, 1);
}

#[parameterized(
    a_stream_with_tokens = { "long", true },
    a_stream_before_its_first_token = { "[[slow 600000]]", true },
    a_whole_answer = { "[[slow 600000]]", false },
)]
#[test_macro(tokio::test)]
async fn a_closed_connection_cancels(content: &str, stream: bool) {
    let engine = start(slow_settings()).await;
    let body = chat(content, 100_000, stream);
    let reply = post(&engine, "/v1/chat/completions", &body).await;
    assert_eq!(engine.counters().sequences.running, 1);
    drop(reply);
    until(|| async { engine.counters().sequences.cancelled == 1 }).await;
    assert_eq!(engine.counters().sequences.running, 0);
}

#[tokio::test]
async fn faults_refuse_and_cut() {
    let engine = start(slow_settings()).await;
    let path = "/v1/chat/completions";
    let reply = post(&engine, path, &chat("x", 100_000, true)).await;
    let faults = json!({"drop_streams": true, "refuse": true});
    assert_eq!(post(&engine, "/faults", &faults).await.status(), 200);
    let text = reply.text().await.expect("the body ends");
    assert!(!contents(&text).1);
    let refused = post(&engine, path, &chat("x", 1, true)).await;
    assert_eq!(refused.status(), 503);
    engine.set_faults(EngineFaults::default());
    let taken = post(&engine, path, &chat("x", 1, true)).await;
    assert_eq!(taken.status(), 200);
    assert_eq!(engine.counters().refused, 1);
}

#[parameterized(
    checked = { true, 409, 1 },
    ignored = { false, 200, 2 },
)]
#[test_macro(tokio::test)]
async fn an_old_fence_is_refused_where_it_is_checked(
    check_fence: bool,
    status: u16,
    obeyed: usize,
) {
    let engine = start(EngineSettings {
        check_fence,
        ..EngineSettings::instant()
    })
    .await;
    let order = |fence: u64, model: &str| {
        json!({
            "fence": fence, "kind": "load_model",
            "model": model, "version": "2",
        })
    };
    let newer = post(&engine, "/orders", &order(7, "newer")).await;
    assert_eq!(newer.status(), 200);
    let older = post(&engine, "/orders", &order(6, "older")).await;
    assert_eq!(older.status().as_u16(), status);
    let list: Value =
        serde_json::from_str(&get(&engine, "/orders").await).expect("JSON");
    assert_eq!(list["data"].as_array().map(Vec::len), Some(obeyed));
    let models = get(&engine, "/v1/models").await;
    assert!(models.contains("\"newer\""));
    assert_eq!(models.contains("\"older\""), !check_fence);
}

#[tokio::test]
async fn cache_events_have_gaps_and_the_load_report_is_old() {
    let engine = start(EngineSettings {
        prefix_cache_tokens: 1_600,
        event_loss_percent: 30,
        metrics_lag_ms: 600_000,
        ..EngineSettings::instant()
    })
    .await;
    let body = chat(&"word ".repeat(1_000), 4, false);
    post(&engine, "/v1/chat/completions", &body).await;
    let lines = get(&engine, "/cache_events").await;
    let numbers: Vec<u64> = lines
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter_map(|event| event["seq"].as_u64())
        .collect();
    assert!(numbers.is_sorted());
    let last = numbers.last().copied().unwrap_or_default();
    assert!((numbers.len() as u64) < last);
    let after = format!("/cache_events?after={last}");
    assert_eq!(get(&engine, &after).await, "");
    let metrics = get(&engine, "/metrics").await;
    assert!(metrics.contains("vllm:generation_tokens_total 0\n"));
    let counters = get(&engine, "/counters").await;
    assert!(counters.contains("\"tokens\":4"));
    assert!(get(&engine, "/health").await.contains("\"incarnation\":"));
}
