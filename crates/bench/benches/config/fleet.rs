//! Entries of one process that know each other through counting proxies.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use base::KeyDigest;
use conf::settings::Settings;
use entry::{Entry, configuration_keys, first_configuration};
use error_stack::{Report, ResultExt};
use faultproxy::FaultProxy;
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_bench::{BenchError, Usage};
use serde_json::{Value, json};
use standin::kv::{KvService, KvServiceHandle, KvServiceSettings};
use tokio::{task::JoinSet, time::Instant};

const OPERATOR: &str = "operator-key-of-the-bench";

/// Entries in a failure domain at the target size: 340 in 18.
const DOMAIN_ENTRIES: usize = 19;

/// Ports are taken from here: below those that the system gives to outgoing
/// connections, which could take one before its entry listens.
const PORT_FIRST: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
const PORT_TRIES: u32 = 2_000;

/// Longest wait for a revision or for the relays.
const LIMIT: Duration = Duration::from_secs(60);

const LOOK: Duration = Duration::from_millis(50);

/// Time in which the entries learn who is in their failure domain.
const LEARN: Duration = Duration::from_secs(6);

/// What was counted so far, over all entries.
pub(crate) struct Sample {
    at: Instant,
    /// Received and sent between entries.
    pub(crate) bytes: u64,
    pub(crate) cpu_ms: u64,
    /// Calls at the service to follow the configuration.
    pub(crate) calls: u64,
}

impl Sample {
    pub(crate) fn seconds_since(&self, earlier: &Self) -> f64 {
        (self.at - earlier.at).as_secs_f64()
    }
}

pub(crate) struct Fleet {
    service: KvServiceHandle,
    proxies: Vec<FaultProxy>,
    entries: Vec<Entry>,
    client: reqwest::Client,
    revision: u64,
    customers: usize,
    domains: usize,
    /// Calls of entries that were stopped.
    calls_before: u64,
}

fn failed<E>(error: Report<E>) -> Report<BenchError>
where
    E: std::fmt::Debug,
{
    Report::new(BenchError::Process).attach(format!("{error:?}"))
}

fn text(customers: usize, edit: u64) -> String {
    let mut text = "tenants:\n".to_owned();
    for at in 0..customers {
        let digest = KeyDigest::of_key(&format!("key {at}"));
        let edited = edit as usize % customers == at;
        let weight = if edited { edit % 100 + 2 } else { 1 };
        text += &format!(
            "  - tenant: tenant-{at}\n    key_sha256: [{digest}]\n    \
             weight: {weight}\n    limits: {{requests_per_s: 20}}\n"
        );
    }
    text + "pools:\n  - {pool: a, kind: engine, models: [korv-lm]}\n\
            rules:\n  - then: {pool: a}\n"
}

impl Fleet {
    pub(crate) async fn start(
        size: usize,
        customers: usize,
        seed: u64,
    ) -> Result<Self, Report<BenchError>> {
        let service = KvService::start(KvServiceSettings::default());
        let service = service.await.map_err(failed)?;
        let value =
            first_configuration(&text(customers, 1)).map_err(failed)?;
        let put = |key| Op::Put {
            key,
            value: value.clone(),
            lease: None,
        };
        let txn = Txn {
            success: configuration_keys("/b/").map(put).into(),
            ..Txn::default()
        };
        let kv = EtcdJsonOptions::new([service.url()]).build();
        kv.map_err(failed)?.txn(txn).await.map_err(failed)?;
        let peers = free(size)?;
        let mut proxies = Vec::new();
        for peer in &peers {
            let proxy = FaultProxy::start(*peer, seed).await;
            proxies.push(proxy.change_context(BenchError::Process)?);
        }
        let domains = size.div_ceil(DOMAIN_ENTRIES);
        let mut fleet = Self {
            service,
            proxies,
            entries: Vec::new(),
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .change_context(BenchError::Call)?,
            revision: 1,
            customers,
            domains,
            calls_before: 0,
        };
        for (at, peer) in peers.iter().enumerate() {
            let settings = fleet.settings(at, *peer)?;
            let entry = Entry::start(&settings, Metrics::default(), None);
            fleet.entries.push(entry.await.map_err(failed)?);
        }
        for entry in &fleet.entries {
            let ready = tokio::time::timeout(LIMIT, entry.ready()).await;
            ready.change_context(BenchError::Promise)?;
        }
        Ok(fleet)
    }

    fn settings(
        &self,
        at: usize,
        peer: SocketAddr,
    ) -> Result<Settings, Report<BenchError>> {
        let others = self.proxies.iter().enumerate();
        let others = others.filter(|(other, _)| *other != at);
        let others: Vec<_> =
            others.map(|(_, proxy)| proxy.address()).collect();
        let yaml = format!(
            "\
role: entry
vm: entry-{at}
failure_domain: domain-{}
listen: 127.0.0.1:0
peer_listen: {peer}
key_value: {{addresses: [{}], prefix: /b/}}
entries: {others:?}
endpoints:
  - endpoint: a-1
    pool: a
    failure_domain: domain-0
    peer: 127.0.0.1:9
admin_keys_sha256: [{}]
",
            at % self.domains,
            self.service.url(),
            KeyDigest::of_key(OPERATOR),
        );
        Settings::parse("bench", &yaml).map_err(failed)
    }

    pub(crate) fn domains(&self) -> usize {
        self.domains
    }

    /// Waits until the relays are chosen and returns how many watch.
    pub(crate) async fn settled(&self) -> Result<u64, Report<BenchError>> {
        tokio::time::sleep(LEARN).await;
        let wanted = 2 * self.domains as u64;
        let end = Instant::now() + LIMIT;
        loop {
            let open = self.service.counts().watches_open;
            if open == wanted || Instant::now() > end {
                return Ok(open);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn status(&self, at: usize) -> Result<Value, Report<BenchError>> {
        let address = self.entries[at].http_address();
        let url = format!("http://{address}/status");
        let answer = self.client.get(url).send().await;
        let answer = answer.change_context(BenchError::Call)?;
        answer.json().await.change_context(BenchError::Call)
    }

    pub(crate) async fn sample(&self) -> Result<Sample, Report<BenchError>> {
        let mut calls = self.calls_before;
        for at in 0..self.entries.len() {
            let status = self.status(at).await?;
            calls += status["config_service_calls"].as_u64().unwrap_or(0);
        }
        let counts = self.proxies.iter().map(|p| p.handle().counts());
        // What one entry sends another receives.
        let bytes = counts
            .map(|counts| counts.to_target_bytes + counts.to_client_bytes)
            .sum::<u64>()
            * 2;
        Ok(Sample {
            at: Instant::now(),
            bytes,
            cpu_ms: Usage::of(std::process::id())?.cpu_ms,
            calls,
        })
    }

    /// Edits one customer at one entry and returns the new revision.
    pub(crate) async fn edit(&mut self) -> Result<u64, Report<BenchError>> {
        let revision = self.revision + 1;
        let at = revision as usize % self.entries.len();
        let address = self.entries[at].http_address();
        let call = self.client.post(format!("http://{address}/admin/config"));
        let body = json!({
            "expect_revision": self.revision,
            "operation_id": format!("edit-{revision}"),
            "text": text(self.customers, revision),
        });
        let answer = call.bearer_auth(OPERATOR).json(&body).send().await;
        let answer = answer.change_context(BenchError::Call)?;
        answer.error_for_status().change_context(BenchError::Call)?;
        self.revision = revision;
        Ok(revision)
    }

    /// Waits until a revision is in force at all entries and returns after
    /// how many ms it came to be at each.
    pub(crate) async fn in_force(
        &self,
        revision: u64,
        sent: Instant,
    ) -> Result<Vec<f64>, Report<BenchError>> {
        let mut times = Vec::new();
        for at in 0..self.entries.len() {
            loop {
                let status = self.status(at).await?;
                let now = sent.elapsed().as_secs_f64() * 1e3;
                if status["revision"] == revision {
                    let since = status["in_force_for_ms"].as_f64();
                    times.push((now - since.unwrap_or_default()).max(0.0));
                    break;
                }
                if sent.elapsed() > LIMIT {
                    let why = format!("entry-{at} lacks {revision}");
                    return Err(Report::new(BenchError::Promise).attach(why));
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        Ok(times)
    }

    /// Stops one entry that watches.
    pub(crate) async fn stop_relay(
        &mut self,
    ) -> Result<(), Report<BenchError>> {
        for at in 0..self.entries.len() {
            let status = self.status(at).await?;
            if status["relay"] == true {
                let calls = status["config_service_calls"].as_u64();
                self.calls_before += calls.unwrap_or_default();
                self.entries.remove(at).drain().await;
                return Ok(());
            }
        }
        Err(Report::new(BenchError::Promise).attach("there is no relay"))
    }

    pub(crate) async fn stop(self) {
        let mut drains = JoinSet::new();
        for entry in self.entries {
            drains.spawn(entry.drain());
        }
        drains.join_all().await;
        self.service.stop().await;
    }
}

/// Finds addresses on loopback that nobody listens on.
fn free(count: usize) -> Result<Vec<SocketAddr>, Report<BenchError>> {
    // Held until all are known, so that no two are the same.
    let mut held = Vec::new();
    for _ in 0..PORT_TRIES {
        if held.len() == count {
            break;
        }
        let port = PORT_FIRST + rand::random::<u16>() % PORT_COUNT;
        held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    }
    held.iter()
        .map(|one| one.local_addr().change_context(BenchError::Process))
        .collect()
}
