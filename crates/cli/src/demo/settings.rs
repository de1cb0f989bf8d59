//! Settings of the demo's processes.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::RangeInclusive,
    path::PathBuf,
};

use base::{FailureDomain, KeyDigest, VmId};
use conf::settings::{
    DataSettings, DataVm, EndpointKind, EndpointSettings, KeyValueSettings,
    Role, Settings, StaticEndpoint,
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

/// Data stores of the demo, in different failure domains.
const DATA_VMS: usize = 2;

/// Ports that are taken when one must be known in advance.
const RESERVED_PORTS: RangeInclusive<u16> = 15_000..=32_000;

/// Most ports that are tried; nearly all are free.
const RESERVE_TRIES_MAX: u32 = 10_000;

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

/// Finds ports that nobody listens on. Companions and the entry need to
/// know each other's addresses before either starts.
///
/// They lie below those that the system gives to port 0 and to outgoing
/// connections: between this look and the start, it would give one away now
/// and then, and the demo would not start.
pub(super) fn reserve_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in 0..RESERVE_TRIES_MAX {
        if listeners.len() == count {
            break;
        }
        let port = rand::random_range(RESERVED_PORTS);
        listeners.extend(TcpListener::bind((LOOPBACK, port)));
    }
    if listeners.len() < count {
        return Err(io::ErrorKind::AddrInUse.into());
    }
    listeners.iter().map(TcpListener::local_addr).collect()
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

/// Settings of the companions; the entry's peer port is the first reserved.
pub(super) fn companions(
    platform: &Platform,
    ports: &[SocketAddr],
) -> Vec<Settings> {
    let engines = platform.engines.iter().map(|engine| engine.address());
    let mut all: Vec<Settings> = engines
        .enumerate()
        .map(|(at, address)| {
            let name = format!("korv-lm-{}", at + 1);
            let mut endpoint = EndpointSettings::new(
                name.parse().unwrap_or_else(|_| unreachable!("{name}")),
                "korv-lm",
                EndpointKind::Engine,
                address.into(),
            );
            endpoint.models = MODEL.parse().into_iter().collect();
            companion(at, endpoint, ports)
        })
        .collect();
    let endpoint = EndpointSettings::new(
        SERVICE.parse().unwrap_or_else(|_| unreachable!()),
        SERVICE,
        EndpointKind::Service,
        platform.service.address().into(),
    );
    all.push(companion(ENGINES, endpoint, ports));
    all
}

fn companion(
    at: usize,
    endpoint: EndpointSettings,
    ports: &[SocketAddr],
) -> Settings {
    let is_engine = endpoint.kind == EndpointKind::Engine;
    Settings {
        peer_listen: ports[at + 1],
        entries: if is_engine { vec![ports[0]] } else { vec![] },
        endpoint: Some(endpoint),
        ..blank(Role::Companion, vm("endpoint", at), domain(at))
    }
}

/// Settings of the entry.
pub(super) fn entry(
    listen: SocketAddr,
    platform: &Platform,
    data: &[DataNode],
    companions: &[Settings],
    ports: &[SocketAddr],
) -> Settings {
    let data_vms = data.iter().enumerate().map(|(at, node)| DataVm {
        vm: vm("data", at),
        address: node.peer_address(),
        failure_domain: domain(at),
    });
    let endpoints = companions.iter().filter_map(|companion| {
        let endpoint = companion.endpoint.as_ref()?;
        Some(StaticEndpoint {
            endpoint: endpoint.name.clone(),
            pool: endpoint.pool.clone(),
            failure_domain: companion.failure_domain.clone(),
            peer: Some(companion.peer_listen),
            http: None,
        })
    });
    let kv = KeyValueSettings::new(vec![platform.kv.address().into()]);
    Settings {
        listen,
        peer_listen: ports[0],
        key_value: Some(kv),
        data_vms: data_vms.collect(),
        endpoints: endpoints.collect(),
        admin_keys_sha256: vec![KeyDigest::of_key(ADMIN_KEY)],
        ..blank(Role::Entry, vm("entry", 0), domain(0))
    }
}
