//! All roles in this process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use base::KeyDigest;
use companion::Companion;
use conf::settings::Settings;
use data::DataNode;
use entry::Entry;
use error_stack::{Report, ResultExt};
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use obs::Metrics;
use pomeloslip_bench::BenchError;
use standin::{
    engine::{Engine, EngineHandle, EngineSettings},
    kv::{KvService, KvServiceHandle, KvServiceSettings},
    service::{PlainService, PlainServiceHandle, PlainServiceSettings},
};
use tempfile::TempDir;

use crate::{
    callers::Callers,
    leaving::{Counts, Endpoint},
};

pub(crate) const KEY: &str = "stop-key";
pub(crate) const MODEL: &str = "korv-lm";
pub(crate) const SERVICE: &str = "vautsher-app";

/// Limit of a planned stop.
pub(crate) const DRAIN_LIMIT_S: f64 = 60.0;

const ENTRIES: usize = 2;
const ENGINES: usize = 3;
const SERVICES: usize = 2;

/// Failure domains of the data VMs.
const DOMAINS: [&str; 3] = ["tallinn-a", "tallinn-b", "maardu"];

/// What is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    EngineCompanion,
    ServiceCompanion,
    Data,
    Entry,
}

impl Role {
    pub(crate) const ALL: [Role; 4] = [
        Role::EngineCompanion,
        Role::ServiceCompanion,
        Role::Data,
        Role::Entry,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Role::EngineCompanion => "companion of an engine",
            Role::ServiceCompanion => "companion of a service",
            Role::Data => "data",
            Role::Entry => "entry",
        }
    }
}

pub(crate) struct World {
    kv: KvServiceHandle,
    engines: Vec<Arc<EngineHandle>>,
    services: Vec<Arc<PlainServiceHandle>>,
    /// Those of the engines; the one that is stopped comes first.
    engine_companions: Vec<Companion>,
    service_companions: Vec<Companion>,
    data: Vec<DataNode>,
    entries: Vec<Entry>,
    _folder: TempDir,
}

/// One endpoint as the entries know it.
struct Known {
    name: String,
    pool: &'static str,
    peer: SocketAddr,
}

fn failed() -> BenchError {
    BenchError::Process
}

impl World {
    pub(crate) async fn start() -> Result<Self, Report<BenchError>> {
        let kv = KvService::start(KvServiceSettings::default())
            .await
            .change_context(failed())?;
        configure(&kv).await?;
        let folder = TempDir::new().change_context(failed())?;
        let entry_peers = reserve(ENTRIES)?;
        let mut world = Self {
            kv,
            engines: Vec::new(),
            services: Vec::new(),
            engine_companions: Vec::new(),
            service_companions: Vec::new(),
            data: Vec::new(),
            entries: Vec::new(),
            _folder: folder,
        };
        world.start_data().await?;
        let mut known = Vec::new();
        for at in 0..ENGINES {
            let settings = EngineSettings {
                max_running: 256,
                base_step_ms: 14.0,
                step_ms_per_running: 0.0,
                ..EngineSettings::default()
            };
            let engine = Engine::start(settings).await;
            let engine = engine.change_context(failed())?;
            let (companion, peer) =
                beside(MODEL, at, engine.address(), &entry_peers).await?;
            world.engines.push(Arc::new(engine));
            world.engine_companions.push(companion);
            known.push(peer);
        }
        for at in 0..SERVICES {
            let service = PlainService::start(PlainServiceSettings::default());
            let service = service.await.change_context(failed())?;
            let (companion, peer) =
                beside(SERVICE, at, service.address(), &entry_peers).await?;
            world.services.push(Arc::new(service));
            world.service_companions.push(companion);
            known.push(peer);
        }
        world.start_entries(&entry_peers, &known).await?;
        Ok(world)
    }

    async fn start_data(&mut self) -> Result<(), Report<BenchError>> {
        for (at, domain) in DOMAINS.iter().enumerate() {
            let folder = self._folder.path().join(format!("data-{at}"));
            let yaml = format!(
                "\
role: data
vm: data-{at}
failure_domain: {domain}
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
data: {{folder: {}, quota_bytes: 268435456}}
",
                folder.display(),
            );
            let settings = parse(&yaml)?;
            let node = DataNode::start(&settings, Metrics::default());
            self.data.push(node.await.change_context(failed())?);
        }
        Ok(())
    }

    async fn start_entries(
        &mut self,
        peers: &[SocketAddr],
        known: &[Known],
    ) -> Result<(), Report<BenchError>> {
        for (at, peer) in peers.iter().enumerate() {
            let yaml = self.entry_settings(at, *peer, known);
            let settings = parse(&yaml)?;
            let entry = Entry::start(&settings, Metrics::default(), None);
            let entry = entry.await.change_context(failed())?;
            entry.ready().await;
            self.entries.push(entry);
        }
        Ok(())
    }

    fn entry_settings(
        &self,
        at: usize,
        peer: SocketAddr,
        known: &[Known],
    ) -> String {
        let mut yaml = format!(
            "\
role: entry
vm: entry-{at}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: {peer}
key_value: {{addresses: [{}], prefix: /stop/}}
timeouts: {{drain_ms: {}}}
data_vms:
",
            self.kv.url(),
            DRAIN_LIMIT_S * 1_000.0,
        );
        for (at, node) in self.data.iter().enumerate() {
            yaml.push_str(&format!(
                "  - {{vm: data-{at}, address: '{}', \
                 failure_domain: {}}}\n",
                node.peer_address(),
                DOMAINS[at],
            ));
        }
        yaml.push_str("endpoints:\n");
        for Known { name, pool, peer } in known {
            yaml.push_str(&format!(
                "  - {{endpoint: {name}, pool: {pool}, \
                 failure_domain: tallinn-a, peer: '{peer}'}}\n"
            ));
        }
        yaml
    }

    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::http_address).collect()
    }

    /// Returns the endpoint that leaves with a role.
    pub(crate) fn endpoint(&self, role: Role) -> Option<Endpoint> {
        match role {
            Role::EngineCompanion => {
                let engine = self.engines.first()?.clone();
                Some(Arc::new(move || {
                    let counters = engine.counters();
                    Counts {
                        calls: counters.calls,
                        cut: counters.sequences.cancelled,
                        running: counters.sequences.running,
                    }
                }))
            }
            Role::ServiceCompanion => {
                let service = self.services.first()?.clone();
                Some(Arc::new(move || Counts {
                    calls: service.counts().runs,
                    // Its calls may not be repeated, so that their callers
                    // are told.
                    cut: 0,
                    running: 0,
                }))
            }
            _ => None,
        }
    }

    /// Stops the first process of a role as planned.
    pub(crate) async fn stop_one(
        &mut self,
        role: Role,
        callers: &Callers,
    ) -> Result<(), Report<BenchError>> {
        match role {
            Role::EngineCompanion => {
                self.engine_companions.remove(0).drain().await;
            }
            Role::ServiceCompanion => {
                self.service_companions.remove(0).drain().await;
            }
            Role::Data => self.data.remove(0).drain().await,
            Role::Entry => {
                let entry = self.entries.remove(0);
                let address = entry.http_address();
                // The balancer sees /readyz a moment later; until then it
                // is told that the calls did not run.
                let look = tokio::time::Duration::from_millis(1_000);
                let seen = async {
                    tokio::time::sleep(look).await;
                    callers.forget(address);
                };
                tokio::join!(entry.drain(), seen);
            }
        }
        Ok(())
    }

    pub(crate) async fn stop(self) {
        for entry in self.entries {
            entry.drain().await;
        }
        let companions = self.engine_companions.into_iter();
        for companion in companions.chain(self.service_companions) {
            companion.stop().await;
        }
        for node in self.data {
            node.drain().await;
        }
        self.kv.stop().await;
    }
}

/// Starts the companion of an endpoint.
async fn beside(
    pool: &'static str,
    at: usize,
    endpoint: SocketAddr,
    entries: &[SocketAddr],
) -> Result<(Companion, Known), Report<BenchError>> {
    let name = format!("{pool}-{}", at + 1);
    let kind = if pool == SERVICE { "service" } else { "engine" };
    let models = if pool == SERVICE { "" } else { MODEL };
    let entries: Vec<_> = entries.iter().map(|e| format!("'{e}'")).collect();
    let yaml = format!(
        "\
role: companion
vm: vm-{name}
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
entries: [{}]
timeouts: {{drain_ms: {}}}
endpoint:
  name: {name}
  pool: {pool}
  kind: {kind}
  address: http://{endpoint}
  models: [{models}]
  max_running: 64
",
        entries.join(", "),
        DRAIN_LIMIT_S * 1_000.0,
    );
    let settings = parse(&yaml)?;
    let companion = Companion::start(&settings, Metrics::default());
    let companion = companion.await.change_context(failed())?;
    let peer = companion.peer_address();
    Ok((companion, Known { name, pool, peer }))
}

/// Finds ports that nobody listens on; companions and entries need to know
/// each other's addresses before either starts.
fn reserve(count: usize) -> Result<Vec<SocketAddr>, Report<BenchError>> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| bind()).collect();
    let listeners = listeners.change_context(failed())?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<Vec<_>, _>>()
        .change_context(failed())
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
    then: {{pool: {MODEL}, deadline_ms: 60000, retries: 2}}
  - name: vouchers
    when: {{service: {SERVICE}}}
    then: {{pool: {SERVICE}, deadline_ms: 60000, retries: 2}}
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
        success: entry::configuration_keys("/stop/").map(put).into(),
        ..Txn::default()
    };
    let client = EtcdJsonOptions::new([kv.url()]).build();
    let client = client.change_context(BenchError::Settings)?;
    client.txn(txn).await.change_context(BenchError::Call)?;
    Ok(())
}

fn parse(yaml: &str) -> Result<Settings, Report<BenchError>> {
    Settings::parse("stop", yaml).change_context(BenchError::Settings)
}
