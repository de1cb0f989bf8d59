//! Batch inputs that are wrong, and jobs that are sent again.

#![allow(clippy::unwrap_used)]

mod broken_common;

use std::time::Duration;

use broken_common::{System, item, job};
use pomeloslip::demo::CUSTOMER_KEY;
use serde_json::json;

/// Pause between looks at a job.
const LOOK: Duration = Duration::from_millis(20);

/// Looks before a job counts as stuck.
const LOOKS_MAX: u32 = 1_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_input_names_its_line() {
    let system = System::start().await;
    let good = item("a", "one") + &item("b", "two");
    let no_id = item("c", "three").replace("custom_id", "id");
    let get = item("c", "three").replace("POST", "GET");
    let elsewhere = item("c", "three").replace("/v1/", "/v9/");
    let inputs = [
        (format!("{good}{{\"custom_id\":\n"), 3, "EOF"),
        (
            format!("{good}\n{}", item("a", "x")),
            4,
            "\"a\" is used before",
        ),
        (format!("{no_id}{good}"), 1, "custom_id"),
        (format!("{good}{get}"), 3, "POST"),
        (format!("{good}{elsewhere}"), 3, "/v1/"),
        (format!("{good}{}", item("", "x")), 3, "custom_id is empty"),
        (
            format!("{good}{}", item("c", &"x".repeat(1 << 20))),
            3,
            "over",
        ),
        // The last line has no end.
        (format!("{good}[]"), 3, ""),
    ];
    for (input, line, why) in inputs {
        let answer = system.upload(CUSTOMER_KEY, &input).await;
        let problem = answer.refused(422, "invalid");
        assert_eq!(problem["line"], line, "{answer:?}");
        let detail = problem["detail"].as_str().unwrap();
        assert!(detail.starts_with(&format!("line {line}: ")), "{detail}");
        assert!(detail.contains(why), "{detail}");
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_input_without_items_is_a_job_that_is_done() {
    // Symptom: a job stays in progress for ever. Cause: it ends with its
    // last item, and has none.
    let system = System::start().await;
    for input in ["", "\n \n"] {
        let file = system.upload(CUSTOMER_KEY, input).await.id();
        let batch = system.start_job(&file, None).await.id();
        let path = format!("/v1/batches/{batch}");
        let mut job = system.get(&path, CUSTOMER_KEY).await;
        for _ in 0..LOOKS_MAX {
            if job.ok()["status"] == "completed" {
                break;
            }
            tokio::time::sleep(LOOK).await;
            job = system.get(&path, CUSTOMER_KEY).await;
        }
        assert_eq!(job.ok()["status"], "completed");
        let counts = json!({"total": 0, "completed": 0, "failed": 0});
        assert_eq!(job.body["request_counts"], counts);
        assert_eq!(job.body["output_file_id"], json!(null));
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_form_that_is_no_upload_is_refused() {
    let system = System::start().await;
    let post = || {
        let call = system.client.post(system.url("/v1/files"));
        call.bearer_auth(CUSTOMER_KEY)
    };
    let form = |purpose: &str| {
        let form = reqwest::multipart::Form::new();
        form.text("purpose", purpose.to_owned())
    };
    for call in [
        post().body("hello"),
        post().json(&json!({"file": "a"})),
        post().multipart(form("batch")),
        post().multipart(form("assistants")),
        post().header("content-type", "multipart/form-data; boundary=a"),
    ] {
        let answer = system.send(call).await;
        answer.refused(400, "bad-request");
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_order_for_a_job_is_refused() {
    let system = System::start().await;
    let file = system.upload(CUSTOMER_KEY, &item("a", "one")).await.id();
    let with = |name: &str, value| {
        let mut body = job(&file);
        body[name] = value;
        body
    };
    for (body, status, kind) in [
        (with("endpoint", json!("/v1/embeddings")), 422, "invalid"),
        (with("completion_window", json!("soon")), 422, "invalid"),
        (with("completion_window", json!("0h")), 422, "invalid"),
        (with("metadata", json!({"due_at": "noon"})), 422, "invalid"),
        (with("colour", json!("red")), 422, "invalid"),
        (with("input_file_id", json!("file-0")), 404, "not-found"),
        (with("input_file_id", json!("../x")), 404, "not-found"),
    ] {
        let answer = system.post("/v1/batches", CUSTOMER_KEY, &body).await;
        answer.refused(status, kind);
    }
    let list = system.get("/v1/batches", CUSTOMER_KEY).await;
    assert_eq!(list.ok()["data"], json!([]));
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_sent_again_is_the_same_job() {
    // Symptom: the items of a job run twice. Sequence: the caller's link
    // breaks before the answer, the caller sends the whole job again, the
    // upload of its input included. Cause: the second copy is not known as
    // one.
    let system = System::start().await;
    let input = item("a", "one") + &item("b", "two");
    let file = system.upload(CUSTOMER_KEY, &input).await.id();
    let first = system.start_job(&file, None).await.id();
    assert_eq!(system.start_job(&file, None).await.id(), first);
    let again = system.upload(CUSTOMER_KEY, &input).await.id();
    assert_eq!(system.start_job(&again, None).await.id(), first);

    // With a key, the key decides: another key is another job.
    let keyed = system.start_job(&file, Some("night-1")).await.id();
    assert_ne!(keyed, first);
    assert_eq!(system.start_job(&again, Some("night-1")).await.id(), keyed);
    assert_ne!(system.start_job(&file, Some("night-2")).await.id(), keyed);

    let list = system.get("/v1/batches", CUSTOMER_KEY).await;
    assert_eq!(list.ok()["data"].as_array().unwrap().len(), 3);
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_used_for_other_content_is_refused() {
    let system = System::start().await;
    let file = system.upload(CUSTOMER_KEY, &item("a", "one")).await.id();
    let other = system.upload(CUSTOMER_KEY, &item("a", "two")).await.id();
    let first = system.start_job(&file, Some("night-1")).await.id();
    let answer = system.start_job(&other, Some("night-1")).await;
    let problem = answer.refused(409, "idempotency-key-reused");
    assert_eq!(problem["batch"], first);
    let list = system.get("/v1/batches", CUSTOMER_KEY).await;
    assert_eq!(list.ok()["data"].as_array().unwrap().len(), 1);
    system.stop().await;
}
