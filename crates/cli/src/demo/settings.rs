//! Settings of the demo's processes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use base::{FailureDomain, KeyDigest, VmId};
use conf::settings::{
    DataSettings, DataVm, EndpointKind, EndpointSettings, KeyValueSettings,
    Role, Settings, VmListSettings,
};
use data::DataNode;
use error_stack::{Report, ResultExt};

use super::{ADMIN_KEY, DemoError, MODEL, platform::Platform};

/// Engines of the demo, each with a companion.
pub(super) const ENGINES: usize = 4;

/// The demo's plain service.
pub(super) const SERVICE: &str = "vautsher-app";

/// Failure domains of the demo.
const DOMAINS: [&str; 4] = ["tallinn-a", "tallinn-b", "maardu", "saue"];

/// Time between two reads of the platform's list, in milliseconds.
const LIST_POLL_MS: u64 = 100;

/// Data stores of the demo, in different failure domains.
const DATA_VMS: usize = 2;

const LOOPBACK: Ipv4Addr = Ipv4Addr::LOCALHOST;

fn any_port() -> SocketAddr {
    (LOOPBACK, 0).into()
}

fn domain(at: usize) -> FailureDomain {
    let name = DOMAINS[at % DOMAINS.len()];
    // The names above are valid.
    name.parse().unwrap_or_else(|_| unreachable!("{name}"))
}

fn vm(name: &str, at: usize) -> VmId {
    let name = format!("{name}-{}", at + 1);
    name.parse().unwrap_or_else(|_| unreachable!("{name}"))
}

fn blank(role: Role, vm: VmId, failure_domain: FailureDomain) -> Settings {
    Settings {
        role,
        vm,
        failure_domain,
        listen: any_port(),
        peer_listen: any_port(),
        key_value: None,
        vm_list: None,
        entries: vec![],
        data_vms: vec![],
        endpoints: vec![],
        endpoint: None,
        data: None,
        limits: Default::default(),
        batch: Default::default(),
        timeouts: Default::default(),
        log: Default::default(),
        metrics: Default::default(),
        admin_keys_sha256: vec![],
        peer_secrets: vec![],
    }
}

/// Folders of the demo's data stores, removed at its end.
pub(super) struct DataFolders(PathBuf);

impl DataFolders {
    pub(super) fn create() -> Result<Self, Report<DemoError>> {
        let unique = format!(
            "pomeloslip-demo-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).change_context(DemoError)?;
        Ok(Self(folder))
    }

    pub(super) fn settings(&self) -> Vec<Settings> {
        (0..DATA_VMS)
            .map(|at| {
                let folder = self.0.join(format!("data-{}", at + 1));
                let vm = vm("data", at);
                Settings {
                    data: Some(DataSettings::new(folder)),
                    ..blank(Role::Data, vm, domain(at))
                }
            })
            .collect()
    }
}

impl Drop for DataFolders {
    fn drop(&mut self) {
        // Nothing is lost if it stays; the system clears such folders.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Settings of the companions, which pull work from the entry.
pub(super) fn companions(
    platform: &Platform,
    entry: SocketAddr,
) -> Vec<Settings> {
    let engines = platform.engines.iter().map(|engine| engine.address());
    let mut all: Vec<Settings> = engines
        .enumerate()
        .map(|(at, address)| {
            let name = format!("korv-lm-{}", at + 1);
            let kind = EndpointKind::Engine;
            let mut endpoint = endpoint(&name, "korv-lm", kind, address);
            endpoint.models = MODEL.parse().into_iter().collect();
            companion(at, endpoint, vec![entry])
        })
        .collect();
    let address = platform.service.address();
    let kind = EndpointKind::Service;
    let service = endpoint(SERVICE, SERVICE, kind, address);
    all.push(companion(ENGINES, service, vec![]));
    all
}

fn endpoint(
    name: &str,
    pool: &str,
    kind: EndpointKind,
    address: SocketAddr,
) -> EndpointSettings {
    // The demo's names are valid.
    let name = name.parse().unwrap_or_else(|_| unreachable!("{name}"));
    EndpointSettings::new(name, pool, kind, address.into())
}

/// The VM is named as its endpoint, since the platform's list names VMs.
fn companion(
    at: usize,
    endpoint: EndpointSettings,
    entries: Vec<SocketAddr>,
) -> Settings {
    let name = endpoint.name.as_str();
    let vm = name.parse().unwrap_or_else(|_| unreachable!("{name}"));
    Settings {
        entries,
        endpoint: Some(endpoint),
        ..blank(Role::Companion, vm, domain(at))
    }
}

/// Settings of the entry, which finds endpoints in the platform's list.
pub(super) fn entry(
    listen: SocketAddr,
    platform: &Platform,
    data: &[DataNode],
) -> Settings {
    let data_vms = data.iter().enumerate().map(|(at, node)| DataVm {
        vm: vm("data", at),
        address: node.peer_address(),
        failure_domain: domain(at),
    });
    let kv = KeyValueSettings::new(vec![platform.kv.address().into()]);
    let vm_list = VmListSettings {
        address: platform.vms.address().into(),
        poll_ms: LIST_POLL_MS,
    };
    Settings {
        listen,
        key_value: Some(kv),
        vm_list: Some(vm_list),
        data_vms: data_vms.collect(),
        admin_keys_sha256: vec![KeyDigest::of_key(ADMIN_KEY)],
        ..blank(Role::Entry, vm("entry", 0), domain(0))
    }
}
