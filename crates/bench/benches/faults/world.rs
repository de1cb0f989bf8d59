//! Entries, companions and endpoints in this process, with proxies between.

use std::{collections::HashMap, net::SocketAddr};

use base::KeyDigest;
use companion::Companion;
use conf::settings::Settings;
use entry::Entry;
use error_stack::{Report, ResultExt};
use faultproxy::{FaultProxy, Handle};
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_bench::BenchError;
use standin::{
    engine::{Engine, EngineHandle, EngineSettings},
    kv::{KvService, KvServiceHandle, KvServiceSettings},
    service::{PlainService, PlainServiceHandle, PlainServiceSettings},
};

pub(crate) const KEY: &str = "faults-key";
pub(crate) const MODEL: &str = "korv-lm";
pub(crate) const SERVICE: &str = "vautsher-app";

const ENTRIES: usize = 2;
const ENGINES: usize = 4;
const SERVICES: usize = 3;

/// Where companions look for batch work, of which there is none here.
const NOBODY: &str = "'127.0.0.1:9'";

/// Limits of the waits: short, so that a small run meets many of them.
const TIMEOUTS: &str = "{connect_ms: 1000, first_byte_ms: 4000, \
     between_bytes_ms: 2000, drain_ms: 5000}";

pub(crate) struct World {
    kv: KvServiceHandle,
    engines: Vec<EngineHandle>,
    services: Vec<PlainServiceHandle>,
    companions: Vec<Companion>,
    proxies: Vec<FaultProxy>,
    entries: Vec<Entry>,
}

/// One endpoint as the entries know it.
struct Known {
    name: String,
    pool: &'static str,
    peer: SocketAddr,
}

impl World {
    pub(crate) async fn start(seed: u64) -> Result<Self, Report<BenchError>> {
        let kv = KvService::start(KvServiceSettings::default())
            .await
            .change_context(BenchError::Process)?;
        configure(&kv).await?;
        let mut world = Self {
            kv,
            engines: Vec::new(),
            services: Vec::new(),
            companions: Vec::new(),
            proxies: Vec::new(),
            entries: Vec::new(),
        };
        let mut known = Vec::new();
        for at in 0..ENGINES {
            let settings = EngineSettings {
                base_step_ms: 10.0,
                ..EngineSettings::default()
            };
            let engine = Engine::start(settings).await;
            let engine = engine.change_context(BenchError::Process)?;
            let address = engine.address();
            world.engines.push(engine);
            known.push(world.beside(MODEL, at, address, seed).await?);
        }
        for at in 0..SERVICES {
            let service = PlainService::start(PlainServiceSettings::default());
            let service = service.await.change_context(BenchError::Process)?;
            let address = service.address();
            world.services.push(service);
            known.push(world.beside(SERVICE, at, address, seed).await?);
        }
        for at in 0..ENTRIES {
            let settings = entry_settings(&world.kv, at, &known)?;
            let entry = Entry::start(&settings, Metrics::default(), None);
            let entry = entry.await.change_context(BenchError::Process)?;
            entry.ready().await;
            world.entries.push(entry);
        }
        Ok(world)
    }

    /// Starts the companion of an endpoint with a proxy on each side.
    async fn beside(
        &mut self,
        pool: &'static str,
        at: usize,
        endpoint: SocketAddr,
        seed: u64,
    ) -> Result<Known, Report<BenchError>> {
        let name = format!("{pool}-{}", at + 1);
        let towards = self.proxy(endpoint, seed).await?;
        let settings = companion_settings(&name, pool, towards)?;
        let companion = Companion::start(&settings, Metrics::default());
        let companion = companion.await.change_context(BenchError::Process)?;
        let peer = self.proxy(companion.peer_address(), seed).await?;
        self.companions.push(companion);
        Ok(Known { name, pool, peer })
    }

    async fn proxy(
        &mut self,
        target: SocketAddr,
        seed: u64,
    ) -> Result<SocketAddr, Report<BenchError>> {
        let seed = seed ^ self.proxies.len() as u64;
        let proxy = FaultProxy::start(target, seed).await;
        let proxy = proxy.change_context(BenchError::Process)?;
        let address = proxy.address();
        self.proxies.push(proxy);
        Ok(address)
    }

    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::http_address).collect()
    }

    pub(crate) fn proxies(&self) -> Vec<Handle> {
        self.proxies.iter().map(FaultProxy::handle).collect()
    }

    /// Returns how often each call ran, over all services.
    pub(crate) fn runs(&self) -> HashMap<String, u64> {
        let mut runs = HashMap::new();
        for service in &self.services {
            for (id, times) in service.counts().by_call_id {
                *runs.entry(id).or_default() += times;
            }
        }
        runs
    }

    pub(crate) async fn stop(self) {
        for entry in self.entries {
            entry.drain().await;
        }
        for companion in self.companions {
            companion.stop().await;
        }
        for proxy in self.proxies {
            proxy.stop().await;
        }
        for engine in self.engines {
            engine.stop().await;
        }
        for service in self.services {
            service.stop().await;
        }
        self.kv.stop().await;
    }
}

async fn configure(kv: &KvServiceHandle) -> Result<(), Report<BenchError>> {
    let text = format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{}]
pools:
  - pool: {MODEL}
    kind: engine
    models: [{MODEL}]
  - pool: {SERVICE}
    kind: service
    service: {SERVICE}
rules:
  - name: chat
    when: {{model: {MODEL}}}
    then: {{pool: {MODEL}, deadline_ms: 15000, retries: 2}}
  - name: vouchers
    when: {{service: {SERVICE}}}
    then: {{pool: {SERVICE}, deadline_ms: 15000, retries: 2}}
",
        KeyDigest::of_key(KEY),
    );
    let value = entry::first_configuration(&text)
        .change_context(BenchError::Settings)?;
    let put = |key| Op::Put {
        key,
        value: value.clone(),
        lease: None,
    };
    let txn = Txn {
        success: entry::configuration_keys("/faults/").map(put).into(),
        ..Txn::default()
    };
    let client = EtcdJsonOptions::new([kv.url()]).build();
    let client = client.change_context(BenchError::Settings)?;
    client.txn(txn).await.change_context(BenchError::Call)?;
    Ok(())
}

fn companion_settings(
    name: &str,
    pool: &str,
    endpoint: SocketAddr,
) -> Result<Settings, Report<BenchError>> {
    let kind = if pool == SERVICE { "service" } else { "engine" };
    let models = if pool == SERVICE { "" } else { MODEL };
    let yaml = format!(
        "\
role: companion
vm: vm-{name}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
entries: [{NOBODY}]
timeouts: {TIMEOUTS}
endpoint:
  name: {name}
  pool: {pool}
  kind: {kind}
  address: http://{endpoint}
  models: [{models}]
  max_running: 64
"
    );
    parse(&yaml)
}

fn entry_settings(
    kv: &KvServiceHandle,
    at: usize,
    known: &[Known],
) -> Result<Settings, Report<BenchError>> {
    let mut yaml = format!(
        "\
role: entry
vm: entry-{}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
timeouts: {TIMEOUTS}
key_value: {{addresses: [{}], prefix: /faults/}}
endpoints:
",
        at + 1,
        kv.url(),
    );
    for Known { name, pool, peer } in known {
        yaml.push_str(&format!(
            "  - {{endpoint: {name}, pool: {pool}, \
             failure_domain: tallinn-a, peer: '{peer}'}}\n"
        ));
    }
    parse(&yaml)
}

fn parse(yaml: &str) -> Result<Settings, Report<BenchError>> {
    Settings::parse("faults", yaml).change_context(BenchError::Settings)
}
