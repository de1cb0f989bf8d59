//! What callers and operators get who send something wrong.

#![allow(clippy::unwrap_used)]

mod broken_common;

use broken_common::{OTHER_KEY, System, chat, item, job};
use pomeloslip::demo::{ADMIN_KEY, CUSTOMER_KEY};
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_key_is_refused_on_every_path() {
    let system = System::start().await;
    for key in ["wrong-key", ADMIN_KEY] {
        let sent = [
            system.post(CHAT, key, &chat("hello")).await,
            system.post("/v1/batches", key, &job("file-1")).await,
            system.upload(key, &item("a", "hello")).await,
            system.get("/v1/models", key).await,
            system.get("/v1/batches", key).await,
            system.get("/svc/vautsher-app/x", key).await,
        ];
        for answer in &sent {
            answer.refused(401, "unauthorized");
        }
    }
    // A customer is no operator.
    for key in ["wrong-key", CUSTOMER_KEY] {
        let shown = system.get("/admin/config", key).await;
        shown.refused(401, "unauthorized");
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_json_is_refused() {
    let system = System::start().await;
    for text in ["{\"model\":", "[]", "{\"messages\": []}", "\u{0}", ""] {
        let answer = system.post_text(CHAT, CUSTOMER_KEY, text).await;
        answer.refused(400, "bad-request");
        let answer = system.post_text("/v1/batches", CUSTOMER_KEY, text).await;
        answer.refused(422, "invalid");
        let answer = system.post_text("/admin/config", ADMIN_KEY, text).await;
        assert!([400, 422].contains(&answer.status), "{answer:?}");
        let kind = ["bad-request", "invalid"];
        let kind = kind[usize::from(answer.status == 422)];
        answer.refused(answer.status, kind);
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_that_no_rule_covers_is_refused() {
    let system = System::start().await;
    let mut body = chat("hello");
    body["model"] = json!("korv-ml");
    let answer = system.post(CHAT, CUSTOMER_KEY, &body).await;
    answer.refused(404, "no-rule");
    let answer = system.get("/svc/vautsher-ap/x", CUSTOMER_KEY).await;
    answer.refused(404, "no-rule");
    let answer = system.get("/v1/nothing", CUSTOMER_KEY).await;
    answer.refused(404, "not-found");
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let system = System::start().await;
    let over = chat(&"a".repeat(8 << 20));
    let answer = system.post(CHAT, CUSTOMER_KEY, &over).await;
    answer.refused(413, "too-large");
    let answer = system.post("/v1/batches", CUSTOMER_KEY, &over).await;
    answer.refused(413, "too-large");
    let edit = system.apply(1, "large", &"a".repeat(8 << 20)).await;
    edit.refused(413, "too-large");
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_over_a_limit_are_refused() {
    let system = System::start().await;
    for path in [CHAT, "/v1/batches"] {
        let call = || {
            let call = system.client.post(system.url(path));
            call.json(&chat("hello")).bearer_auth(CUSTOMER_KEY)
        };
        let large = call().header("x-large", "a".repeat(9_000));
        system.send(large).await.refused(431, "headers-too-large");
        let many = (0..70)
            .fold(call(), |call, at| call.header(format!("x-{at}"), "a"));
        system.send(many).await.refused(431, "headers-too-large");
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_customers_job_and_file_are_not_found() {
    let system = System::with_two_customers().await;
    let file = system.upload(CUSTOMER_KEY, &item("a", "hello")).await.id();
    let batch = system.start_job(&file, None).await.id();
    for path in [
        format!("/v1/batches/{batch}"),
        format!("/v1/files/{file}"),
        format!("/v1/files/{file}/content"),
    ] {
        assert_eq!(system.get(&path, CUSTOMER_KEY).await.status, 200);
        system.get(&path, OTHER_KEY).await.refused(404, "not-found");
    }
    let path = format!("/v1/batches/{batch}/cancel");
    let cancel = system.post(&path, OTHER_KEY, &json!({})).await;
    cancel.refused(404, "not-found");
    let start = system.post("/v1/batches", OTHER_KEY, &job(&file)).await;
    start.refused(404, "not-found");
    let list = system.get("/v1/batches", OTHER_KEY).await;
    assert_eq!(list.ok()["data"], json!([]));
    // It is the same answer as for something that never was.
    let never = system.get("/v1/batches/batch_0", OTHER_KEY).await;
    never.refused(404, "not-found");
    system.stop().await;
}
