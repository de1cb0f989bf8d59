//! Stopping an endpoint by an operator's order.

#![allow(clippy::unwrap_used)]

use pomeloslip::demo::{ADMIN_KEY, CUSTOMER_KEY, Demo, MODEL};
use serde_json::{Value, json};

async fn stop(url: &str, vm: &str, key: &str) -> (u16, Value) {
    let call = reqwest::Client::new()
        .post(format!("{url}/admin/vms/{vm}/stop"))
        .bearer_auth(key)
        .json(&json!({}));
    let reply = call.send().await.unwrap();
    (reply.status().as_u16(), reply.json().await.unwrap())
}

async fn chat(url: &str) -> (u16, Value) {
    let call = reqwest::Client::new()
        .post(format!("{url}/v1/chat/completions"))
        .bearer_auth(CUSTOMER_KEY)
        .json(&json!({
            "model": MODEL,
            "max_tokens": 2,
            "messages": [{"role": "user", "content": "hello"}],
        }));
    let reply = call.send().await.unwrap();
    (reply.status().as_u16(), reply.json().await.unwrap())
}

/// Symptom: a stopped endpoint still gets new work. Sequence: an operator
/// stops one endpoint after the other; calls go on. Cause: entries learn of
/// it late, so the companion itself has to refuse from the order on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_endpoint_takes_no_more_work() {
    let demo = Demo::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let url = format!("http://{}", demo.address());
    for at in 1..=3 {
        let (status, body) =
            stop(&url, &format!("korv-lm-{at}"), ADMIN_KEY).await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(body["state"], "draining");
    }
    for _ in 0..8 {
        let (status, body) = chat(&url).await;
        assert_eq!(status, 200, "{body}");
    }
    stop(&url, "korv-lm-4", ADMIN_KEY).await;
    let (status, body) = chat(&url).await;
    assert_eq!(status, 503, "{body}");
    assert_eq!(body["ran"], "no");
    demo.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_vm_and_an_unknown_operator_are_told() {
    let demo = Demo::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let url = format!("http://{}", demo.address());
    let (status, body) = stop(&url, "nobody", ADMIN_KEY).await;
    assert_eq!(status, 404);
    assert_eq!(body["ran"], "no");
    let (status, _) = stop(&url, "korv-lm-1", CUSTOMER_KEY).await;
    assert_eq!(status, 401);
    demo.stop().await;
}
