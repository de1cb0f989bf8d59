//! The stand-ins that the demo runs on.

use std::net::SocketAddr;

use conf::settings::Settings;
use error_stack::{Report, ResultExt};
use kv::{EtcdJsonOptions, Kv, Op, Txn};
use standin::{
    engine::{Engine, EngineHandle, EngineSettings},
    kv::{KvService, KvServiceHandle, KvServiceSettings},
    service::{PlainService, PlainServiceHandle, PlainServiceSettings},
    vms::{
        VmListHandle, VmListService, VmListSettings, VmPorts, VmRecord,
        VmState,
    },
};

use super::{
    CUSTOMER_KEY, DemoError, MODEL,
    settings::{ENGINES, SERVICE},
};

/// The stand-ins that the demo runs on.
pub(super) struct Platform {
    pub(super) kv: KvServiceHandle,
    pub(super) vms: VmListHandle,
    pub(super) engines: Vec<EngineHandle>,
    pub(super) service: PlainServiceHandle,
}

impl Platform {
    pub(super) async fn start() -> Result<Self, Report<DemoError>> {
        let kv = KvService::start(KvServiceSettings::default())
            .await
            .change_context(DemoError)?;
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            let settings = EngineSettings {
                models: vec![MODEL.to_owned()],
                ..EngineSettings::default()
            };
            let engine = Engine::start(settings).await;
            engines.push(engine.change_context(DemoError)?);
        }
        let service = PlainService::start(PlainServiceSettings::default())
            .await
            .change_context(DemoError)?;
        let vms = VmListService::start(VmListSettings {
            lag_ms: 0,
            ..VmListSettings::default()
        })
        .await
        .change_context(DemoError)?;
        Ok(Self {
            kv,
            vms,
            engines,
            service,
        })
    }

    /// Writes the first configuration, which an operator would do with
    /// `pomeloslip rules apply`.
    pub(super) async fn write_configuration(
        &self,
        settings: &Settings,
    ) -> Result<(), Report<DemoError>> {
        let kv = EtcdJsonOptions::new([self.kv.url()])
            .build()
            .change_context(DemoError)?;
        let prefix = settings.key_value.as_ref().map(|kv| &kv.prefix);
        let prefix = prefix.map_or("", String::as_str);
        let value = entry::first_configuration(&configuration())
            .change_context(DemoError)?;
        let put = |key: String| Op::Put {
            key,
            value: value.clone(),
            lease: None,
        };
        let txn = Txn {
            compares: vec![],
            success: entry::configuration_keys(prefix)
                .into_iter()
                .map(put)
                .collect(),
            failure: vec![],
        };
        kv.txn(txn).await.change_context(DemoError)?;
        Ok(())
    }

    /// Adds a companion's machine to the list.
    pub(super) fn list(&self, settings: &Settings, peer: SocketAddr) {
        let Some(endpoint) = &settings.endpoint else {
            return;
        };
        self.vms.put(VmRecord {
            version: None,
            vm: settings.vm.clone(),
            state: VmState::Live,
            failure_domain: settings.failure_domain.clone(),
            pool: endpoint.pool.clone(),
            ip: peer.ip(),
            ports: VmPorts {
                peer: peer.port(),
                http: 0,
            },
        });
    }

    pub(super) async fn stop(self) {
        for engine in self.engines {
            engine.stop().await;
        }
        self.service.stop().await;
        self.vms.stop().await;
        self.kv.stop().await;
    }
}

/// Returns the demo's configuration.
fn configuration() -> String {
    let digest = base::KeyDigest::of_key(CUSTOMER_KEY);
    format!(
        "\
tenants:
  - tenant: taevakorv
    key_sha256: [{digest}]
pools:
  - pool: korv-lm
    kind: engine
    models: [{MODEL}]
  - pool: {SERVICE}
    kind: service
    service: {SERVICE}
rules:
  - name: chat
    when: {{class: online, model: {MODEL}}}
    then: {{pool: korv-lm, deadline_ms: 60000, retries: 2}}
  - name: briefings
    when: {{class: batch, model: {MODEL}}}
    then: {{pool: korv-lm}}
  - name: vouchers
    when: {{service: {SERVICE}}}
    then: {{pool: {SERVICE}, deadline_ms: 10000}}
"
    )
}
