//! A demo with two customers, and calls that check each error body.

#![allow(clippy::unwrap_used, dead_code)]

use base::KeyDigest;
use pomeloslip::demo::{ADMIN_KEY, CUSTOMER_KEY, Demo};
use reqwest::{Client, RequestBuilder, multipart};
use serde_json::{Value, json};

/// Key of the second customer.
pub(crate) const OTHER_KEY: &str = "test-key-alama";

/// Start of the `type` of each problem.
const TYPE: &str = "urn:pomeloslip:problem:";

/// A running demo and a client for it.
pub(crate) struct System {
    pub(crate) demo: Demo,
    pub(crate) client: Client,
}

/// An answer of any status.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Value,
}

impl Answer {
    /// Checks the body of a refusal: RFC 9457 with a stable `type`, the
    /// status as in the head, and word that the request did not run.
    pub(crate) fn refused(&self, status: u16, kind: &str) -> &Value {
        assert_eq!(self.status, status, "{self:?}");
        assert_eq!(self.content_type, "application/problem+json");
        assert_eq!(self.body["type"], format!("{TYPE}{kind}"), "{self:?}");
        assert_eq!(self.body["status"], status, "{self:?}");
        assert_eq!(self.body["ran"], "no", "{self:?}");
        let title = self.body["title"].as_str().unwrap();
        assert!(!title.is_empty(), "{self:?}");
        &self.body
    }

    pub(crate) fn ok(&self) -> &Value {
        assert_eq!(self.status, 200, "{self:?}");
        &self.body
    }

    pub(crate) fn id(&self) -> String {
        self.ok()["id"].as_str().unwrap().to_owned()
    }
}

impl System {
    pub(crate) async fn start() -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let demo = Demo::start(listen).await.unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        Self { demo, client }
    }

    /// Starts a system in which [`OTHER_KEY`] belongs to another customer.
    pub(crate) async fn with_two_customers() -> Self {
        let system = Self::start().await;
        let digest = KeyDigest::of_key(OTHER_KEY);
        let customer =
            format!("tenants:\n  - {{tenant: alama, key_sha256: {digest}}}\n");
        let text = system.text().await.replacen("tenants:\n", &customer, 1);
        system.apply(1, "two-tenants", &text).await.ok();
        system
    }

    pub(crate) async fn stop(self) {
        self.demo.stop().await;
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.demo.address())
    }

    pub(crate) async fn send(&self, call: RequestBuilder) -> Answer {
        let reply = call.send().await.unwrap();
        let status = reply.status().as_u16();
        let content_type = reply.headers().get("content-type");
        let content_type = content_type.map(|v| v.to_str().unwrap());
        let content_type = content_type.unwrap_or_default().to_owned();
        let text = reply.text().await.unwrap();
        let body = serde_json::from_str(&text).unwrap_or(json!(text));
        Answer {
            status,
            content_type,
            body,
        }
    }

    pub(crate) async fn get(&self, path: &str, key: &str) -> Answer {
        let call = self.client.get(self.url(path));
        self.send(call.bearer_auth(key)).await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Answer {
        let call = self.client.post(self.url(path)).json(body);
        self.send(call.bearer_auth(key)).await
    }

    /// Posts a text as JSON, whatever it is.
    pub(crate) async fn post_text(
        &self,
        path: &str,
        key: &str,
        text: &str,
    ) -> Answer {
        let call = self.client.post(self.url(path)).body(text.to_owned());
        let call = call.header("content-type", "application/json");
        self.send(call.bearer_auth(key)).await
    }

    /// Returns the text of the configuration in force.
    pub(crate) async fn text(&self) -> String {
        let shown = self.get("/admin/config", ADMIN_KEY).await;
        shown.ok()["text"].as_str().unwrap().to_owned()
    }

    pub(crate) async fn apply(
        &self,
        expect: u64,
        operation: &str,
        text: &str,
    ) -> Answer {
        let edit = json!({
            "expect_revision": expect,
            "operation_id": operation,
            "text": text,
        });
        self.post("/admin/config", ADMIN_KEY, &edit).await
    }

    /// Uploads a batch input.
    pub(crate) async fn upload(&self, key: &str, input: &str) -> Answer {
        let part = multipart::Part::text(input.to_owned());
        let form = multipart::Form::new()
            .text("purpose", "batch")
            .part("file", part.file_name("input.jsonl"));
        let call = self.client.post(self.url("/v1/files")).multipart(form);
        self.send(call.bearer_auth(key)).await
    }

    /// Starts a job of an input file.
    pub(crate) async fn start_job(
        &self,
        file: &str,
        idempotency_key: Option<&str>,
    ) -> Answer {
        let body = job(file);
        let mut call = self.client.post(self.url("/v1/batches")).json(&body);
        if let Some(key) = idempotency_key {
            call = call.header("idempotency-key", key);
        }
        self.send(call.bearer_auth(CUSTOMER_KEY)).await
    }
}

/// Returns the body that starts a job.
pub(crate) fn job(file: &str) -> Value {
    json!({
        "input_file_id": file,
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    })
}

/// Returns one line of a batch input.
pub(crate) fn item(custom_id: &str, content: &str) -> String {
    let line = json!({
        "custom_id": custom_id,
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": chat(content),
    });
    format!("{line}\n")
}

/// Returns the body of a chat.
pub(crate) fn chat(content: &str) -> Value {
    json!({
        "model": "korv-lm",
        "max_tokens": 4,
        "messages": [{"role": "user", "content": content}],
    })
}
