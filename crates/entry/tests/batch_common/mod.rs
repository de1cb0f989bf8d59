//! Test fixture: entries, two data VMs and a fake companion.
#![allow(dead_code, clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{Incarnation, KeyDigest};
use conf::settings::Settings;
use data::DataNode;
use kv::{EtcdJson, EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_entry::{Entry, configuration_keys, first_configuration};
use serde_json::{Value, json};
use standin::kv::{KvService, KvServiceHandle, KvServiceSettings};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use wire::{
    LinkOptions, Links,
    message::{Identity, Item, ItemOutcome, ItemResult, Pull},
};

pub(crate) const KEY: &str = "key-of-taevakorv";
pub(crate) const MODEL: &str = "korv-lm";

/// Time limit for any awaited condition, generous enough for slow machines.
const TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A key-value service and two data VMs.
pub(crate) struct TestCluster {
    pub(crate) kv: KvServiceHandle,
    data: Vec<DataNode>,
    _folder: TempDir,
}

impl TestCluster {
    pub(crate) async fn start() -> Self {
        let kv = KvService::start(KvServiceSettings::default());
        let kv = kv.await.unwrap();
        write_configuration(&kv).await;
        let folder = TempDir::new().unwrap();
        let mut data = Vec::new();
        for (at, domain) in ["tallinn-a", "maardu"].iter().enumerate() {
            let path = folder.path().join(at.to_string());
            let yaml = format!(
                "\
role: data
vm: data-{at}
failure_domain: {domain}
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
data: {{folder: {}}}
",
                path.display()
            );
            let settings = Settings::parse("data", &yaml).unwrap();
            let node = DataNode::start(&settings, Metrics::default());
            data.push(node.await.unwrap());
        }
        Self {
            kv,
            data,
            _folder: folder,
        }
    }

    /// Starts an entry in a separate runtime, so that it can be crashed.
    pub(crate) async fn entry(&self, name: &str) -> TestEntry {
        self.entry_with(name, 2).await
    }

    /// Starts an entry with the given lease TTL.
    pub(crate) async fn entry_with(
        &self,
        name: &str,
        lease_ttl_s: u32,
    ) -> TestEntry {
        let [a, b] = [0, 1].map(|at: usize| self.data[at].peer_address());
        let yaml = format!(
            "\
role: entry
vm: {name}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
key_value: {{addresses: [{}], prefix: /t/}}
data_vms:
  - {{vm: data-0, address: '{a}', failure_domain: tallinn-a}}
  - {{vm: data-1, address: '{b}', failure_domain: maardu}}
batch:
  partitions: 4
  lease_ttl_s: {lease_ttl_s}
  commit_interval_ms: 50
  grant_ttl_ms: 1000
",
            self.kv.url()
        );
        let settings = Settings::parse("entry", &yaml).unwrap();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let started = runtime.spawn(async move {
            let entry = Entry::start(&settings, Metrics::default(), None);
            let entry = entry.await.unwrap();
            entry.ready().await;
            entry
        });
        let entry = started.await.unwrap();
        TestEntry {
            entry: Some(entry),
            runtime: Some(runtime),
            kv: EtcdJsonOptions::new([self.kv.url()]).build().unwrap(),
        }
    }
}

async fn write_configuration(kv: &KvServiceHandle) {
    let text = format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{}]
pools:
  - pool: korv-lm
    kind: engine
    models: [{MODEL}]
rules:
  - name: briefings
    when: {{class: batch, model: {MODEL}}}
    then: {{pool: korv-lm}}
",
        KeyDigest::of_key(KEY)
    );
    let value = first_configuration(&text).unwrap();
    let put = |key| Op::Put {
        key,
        value: value.clone(),
        lease: None,
    };
    let txn = Txn {
        success: configuration_keys("/t/").map(put).into(),
        ..Txn::default()
    };
    let client = EtcdJsonOptions::new([kv.url()]).build().unwrap();
    client.txn(txn).await.unwrap();
}

/// An entry that a test can crash or drain.
pub(crate) struct TestEntry {
    entry: Option<Entry>,
    runtime: Option<Runtime>,
    kv: EtcdJson,
}

impl TestEntry {
    fn entry(&self) -> &Entry {
        self.entry.as_ref().unwrap()
    }

    pub(crate) fn peer(&self) -> SocketAddr {
        self.entry().peer_address()
    }

    /// Stops the entry as a crash does, without handing anything over.
    pub(crate) fn crash(mut self) {
        self.stop_runtime();
    }

    /// Shuts the entry down gracefully and waits until its lease is revoked.
    pub(crate) async fn drain(mut self) {
        let entry = self.entry.take().unwrap();
        let runtime = self.runtime.as_ref().unwrap();
        runtime.spawn(entry.drain()).await.unwrap();
        // Keeps the runtime until the spawned revoke has finished.
        let members = || async {
            let found = self.kv.get_prefix("/t/entries/", 0).await;
            found.unwrap().kvs.len()
        };
        let wait = async {
            while members().await > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, wait).await;
        waited.expect("the drained entry revokes its lease");
    }

    fn stop_runtime(&mut self) {
        let runtime = self.runtime.take();
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
        self.entry = None;
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry().http_address())
    }

    pub(crate) async fn get(&self, path: &str) -> Value {
        let client = client();
        let call = client.get(self.url(path)).bearer_auth(KEY);
        call.send().await.unwrap().json().await.unwrap()
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> Value {
        let client = client();
        let call = client.post(self.url(path)).bearer_auth(KEY).json(&body);
        call.send().await.unwrap().json().await.unwrap()
    }

    /// Starts a job with `items` items, whose ids are `id-0`, `id-1` and so
    /// on.
    pub(crate) async fn start_job(&self, items: u32, window: &str) -> String {
        let prompts = (0..items).map(|at| format!("{window} {at}"));
        self.start_job_of(prompts, window).await
    }

    /// Starts a job with an item for each prompt.
    pub(crate) async fn start_job_of(
        &self,
        prompts: impl Iterator<Item = String>,
        window: &str,
    ) -> String {
        let line = |(at, prompt): (usize, String)| {
            json!({
                "custom_id": format!("id-{at}"),
                "method": "POST",
                "url": "/v1/completions",
                "body": {"model": MODEL, "prompt": prompt},
            })
            .to_string()
        };
        let lines: Vec<_> = prompts.enumerate().map(line).collect();
        let body = form(&lines.join("\n"));
        let call = client()
            .post(self.url("/v1/files"))
            .bearer_auth(KEY)
            .header("content-type", "multipart/form-data; boundary=cut")
            .body(body);
        let file = call.send().await.unwrap();
        let file: Value = file.json().await.unwrap();
        let job = json!({
            "input_file_id": file["id"],
            "endpoint": "/v1/completions",
            "completion_window": window,
        });
        let job = self.post("/v1/batches", job).await;
        job["id"].as_str().expect("a job").to_owned()
    }

    pub(crate) async fn job(&self, id: &str) -> Value {
        self.get(&format!("/v1/batches/{id}")).await
    }

    /// Waits until a job matches the predicate.
    pub(crate) async fn until(
        &self,
        id: &str,
        wanted: impl Fn(&Value) -> bool,
    ) -> Value {
        let wait = async {
            loop {
                let job = self.job(id).await;
                if wanted(&job) {
                    return job;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, wait).await;
        waited.expect("the job reaches the wanted state")
    }

    /// Reads a file and returns how often each `custom_id` is in it.
    pub(crate) async fn ids(&self, file: &Value) -> BTreeMap<String, u32> {
        let mut seen = BTreeMap::new();
        let Some(file) = file.as_str() else {
            return seen;
        };
        let url = self.url(&format!("/v1/files/{file}/content"));
        let call = client().get(url).bearer_auth(KEY);
        let text = call.send().await.unwrap().text().await.unwrap();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).unwrap();
            let id = line["custom_id"].as_str().unwrap().to_owned();
            *seen.entry(id).or_insert(0) += 1;
        }
        seen
    }
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        self.stop_runtime();
    }
}

fn form(file: &str) -> String {
    format!(
        "--cut\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n\
         batch\r\n--cut\r\nContent-Disposition: form-data; name=\"file\"; \
         filename=\"items.jsonl\"\r\n\r\n{file}\r\n--cut--\r\n"
    )
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().timeout(TIMEOUT).build().unwrap()
}

/// A companion whose endpoint is simulated by the test.
#[derive(Clone)]
pub(crate) struct FakeCompanion {
    links: Links,
    vm: String,
    models: Vec<String>,
}

impl FakeCompanion {
    pub(crate) fn new(vm: &str, models: &[&str]) -> Self {
        let identity = Identity {
            role: "companion".to_owned(),
            vm: vm.parse().unwrap(),
            incarnation: Incarnation::new(1),
            failure_domain: "maardu".parse().unwrap(),
        };
        Self {
            links: Links::start(LinkOptions::new(identity)).unwrap(),
            vm: vm.to_owned(),
            models: models.iter().map(|m| (*m).to_owned()).collect(),
        }
    }

    /// Pulls once; an unreachable entry grants nothing.
    pub(crate) async fn pull(
        &self,
        entry: SocketAddr,
        capacity: u32,
        running: &[u64],
    ) -> (Vec<Item>, Vec<u64>) {
        let pull = Pull {
            vm: self.vm.parse().unwrap(),
            incarnation: Incarnation::new(1),
            models: self.models.clone(),
            capacity,
            running: running.to_vec(),
        };
        match self.links.pull(entry, pull).await {
            Ok(reply) => (reply.items, reply.revoked),
            Err(_) => (vec![], vec![]),
        }
    }

    /// Reports items as answered: status 400 if the index modulo
    /// `rejected_every` is 1, otherwise 200.
    pub(crate) async fn answer(
        &self,
        entry: SocketAddr,
        items: &[Item],
        rejected_every: u32,
    ) {
        let result = |item: &Item| ItemResult {
            status: if item.index % rejected_every == 1 {
                400
            } else {
                200
            },
            ..result(item, ItemOutcome::Answered)
        };
        let results: Vec<_> = items.iter().map(result).collect();
        // Sent twice, as after a lost response.
        for _ in 0..2 {
            let _ = self.links.results(entry, results.clone()).await;
        }
    }

    /// Reports the outcomes of items.
    pub(crate) async fn report(
        &self,
        entry: SocketAddr,
        items: &[Item],
        outcome: impl Fn(&Item) -> ItemOutcome,
    ) {
        let results = items.iter().map(|item| result(item, outcome(item)));
        let _ = self.links.results(entry, results.collect()).await;
    }

    /// Pulls from the entries in round robin and answers until the guard is
    /// dropped.
    pub(crate) fn run(&self, entries: Vec<SocketAddr>) -> CompanionGuard {
        let (companion, stop_flag) =
            (self.clone(), Arc::new(AtomicBool::new(false)));
        let stopped = stop_flag.clone();
        tokio::spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                for entry in &entries {
                    let (items, _) = companion.pull(*entry, 8, &[]).await;
                    companion.answer(*entry, &items, 10).await;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        CompanionGuard(stop_flag)
    }
}

fn result(item: &Item, outcome: ItemOutcome) -> ItemResult {
    ItemResult {
        grant: item.grant,
        partition: item.partition,
        fence: item.fence,
        job: item.job.clone(),
        index: item.index,
        attempt: item.attempt,
        outcome,
        status: 200,
        body: r#"{"text":"done"}"#.into(),
    }
}

/// Stops the fake companion when dropped.
pub(crate) struct CompanionGuard(Arc<AtomicBool>);

impl Drop for CompanionGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
