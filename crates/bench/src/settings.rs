//! Settings files made from the examples, with free ports.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use base::{EndpointName, VmId};
use conf::{
    HttpAddress,
    settings::{EndpointKind, KeyValueSettings, Settings, StaticEndpoint},
};
use error_stack::{Report, ResultExt};
use serde_json::Value;

use crate::BenchError;

/// Ports are taken from here: below those that the system gives to outgoing
/// connections, which could take one before its process listens.
const PORT_FIRST: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;

/// Tries to find a port that nobody listens on.
const PORT_TRIES: u32 = 1_000;

/// Returns the folder of the examples.
pub(crate) fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Reads an example's settings.
pub(crate) fn example(name: &str) -> Result<Settings, Report<BenchError>> {
    let path = examples().join("settings").join(format!("{name}.yaml"));
    Settings::read(&path).change_context(BenchError::Settings)
}

/// Finds an address on loopback that nobody listens on.
pub(crate) fn free_address() -> Result<SocketAddr, Report<BenchError>> {
    for _ in 0..PORT_TRIES {
        let port = PORT_FIRST + rand::random::<u16>() % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Report::new(BenchError::Settings).attach("there is no free port"))
}

/// Gives a process two free ports.
pub(crate) fn with_ports(
    mut settings: Settings,
) -> Result<Settings, Report<BenchError>> {
    settings.listen = free_address()?;
    settings.peer_listen = free_address()?;
    Ok(settings)
}

/// Makes the settings of the companion of an endpoint.
pub(crate) fn companion(
    kind: EndpointKind,
    number: usize,
    endpoint: SocketAddr,
) -> Result<Settings, Report<BenchError>> {
    let (example_name, pool) = match kind {
        EndpointKind::Engine => (format!("companion-{}", number % 3 + 1), ""),
        EndpointKind::Service => ("companion-4".to_owned(), "service-"),
    };
    let mut settings = with_ports(example(&example_name)?)?;
    settings.vm = name::<VmId>(&format!("endpoint-{pool}{}", number + 1))?;
    if let Some(beside) = &mut settings.endpoint {
        let unique = format!("{}-{}", beside.pool, number + 1);
        beside.name = name::<EndpointName>(&unique)?;
        beside.address = HttpAddress::from(endpoint);
    }
    Ok(settings)
}

/// Tells an entry of the endpoint that a companion is beside.
pub(crate) fn endpoint_of(companion: &Settings) -> Option<StaticEndpoint> {
    let endpoint = companion.endpoint.as_ref()?;
    Some(StaticEndpoint {
        version: None,
        endpoint: endpoint.name.clone(),
        pool: endpoint.pool.clone(),
        failure_domain: companion.failure_domain.clone(),
        peer: Some(companion.peer_listen),
        http: None,
    })
}

/// Tells an entry of the key-value service.
pub(crate) fn key_value(at: SocketAddr) -> KeyValueSettings {
    KeyValueSettings::new(vec![HttpAddress::from(at)])
}

fn name<T: std::str::FromStr>(text: &str) -> Result<T, Report<BenchError>> {
    text.parse()
        .map_err(|_| Report::new(BenchError::Settings).attach(text.to_owned()))
}

/// Writes settings to a file that a daemon reads; JSON is YAML.
pub(crate) fn write(
    settings: &Settings,
    folder: &Path,
) -> Result<PathBuf, Report<BenchError>> {
    let mut value =
        serde_json::to_value(settings).change_context(BenchError::Settings)?;
    // Secrets are left out of what is serialized.
    let secrets = settings.peer_secrets.iter();
    let secrets: Vec<_> = secrets.map(|secret| secret.expose()).collect();
    value["peer_secrets"] = serde_json::json!(secrets);
    drop_nulls(&mut value);
    let path = folder.join(format!("{}.yaml", settings.vm));
    let text = serde_json::to_string_pretty(&value)
        .change_context(BenchError::Settings)?;
    fs::write(&path, text).change_context(BenchError::Settings)?;
    Ok(path)
}

/// What is not set is left out; settings have no null.
fn drop_nulls(value: &mut Value) {
    match value {
        Value::Object(members) => {
            members.retain(|_, member| !member.is_null());
            members.values_mut().for_each(drop_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(drop_nulls),
        _ => {}
    }
}
