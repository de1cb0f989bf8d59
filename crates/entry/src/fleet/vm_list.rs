//! The platform's list of VMs, which lags behind and serves only as a hint.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use base::{FailureDomain, VmId};
use conf::settings::{TimeoutSettings, VmListSettings};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use upstream::EndpointClient;

use super::{Route, Target};
use crate::{EntryError, shared::Shared};

/// Timeout of reading the whole list.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a VM that takes work. All other states, including unknown ones,
/// get none.
const LIVE_STATE: &str = "live";

/// The list. Its elements are parsed one by one, so that an unsupported
/// element does not hide the others.
#[derive(Deserialize)]
struct VmList {
    vms: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct VmRecord {
    vm: VmId,
    state: String,
    failure_domain: FailureDomain,
    pool: String,
    ip: IpAddr,
    ports: VmPorts,
    /// Version of the software of an endpoint without a companion.
    #[serde(default)]
    version: Option<String>,
}

#[derive(Deserialize)]
struct VmPorts {
    /// 0 for a VM without a companion.
    #[serde(default)]
    peer: u16,
    #[serde(default)]
    http: u16,
}

/// Polls the list until the process ends.
///
/// The last list stays in force if the list cannot be read or has no live VM
/// of the configured pools: otherwise a platform that loses its list would
/// stop all serving while the endpoints are still up.
pub(crate) async fn follow(shared: Arc<Shared>, settings: VmListSettings) {
    let client = reqwest::Client::new();
    let url = settings.address.join("/v1/vms");
    loop {
        match read_list(&client, &url).await {
            Ok(records) => apply(&shared, records),
            Err(report) => {
                log::warn!(error:? = report; "the VM list cannot be read");
            }
        }
        shared.timer.subscribe_in_ms(settings.poll_ms).await;
    }
}

async fn read_list(
    client: &reqwest::Client,
    url: &str,
) -> Result<Vec<VmRecord>, Report<EntryError>> {
    let failed = EntryError::Platform;
    let reply = client
        .get(url)
        .timeout(READ_TIMEOUT)
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .change_context(failed)?;
    let list: VmList = reply.json().await.change_context(failed)?;
    Ok(list.vms.into_iter().filter_map(parse_record).collect())
}

fn parse_record(value: serde_json::Value) -> Option<VmRecord> {
    match serde_json::from_value(value) {
        Ok(record) => Some(record),
        Err(error) => {
            let error = error.to_string();
            log::warn!(error; "an invalid element of the VM list is ignored");
            None
        }
    }
}

fn apply(shared: &Shared, records: Vec<VmRecord>) {
    let in_force = shared.config.current();
    let is_pool = |name: &str| {
        in_force
            .as_ref()
            .is_none_or(|now| now.compiled.pool_by_name(name).is_some())
    };
    let targets: Vec<Target> = records
        .into_iter()
        .filter(|record| record.state == LIVE_STATE && is_pool(&record.pool))
        .filter_map(|record| to_target(record, &shared.timeouts))
        .collect();
    if targets.is_empty() {
        log::warn!(
            "the VM list has no usable VM; the previous list stays in force"
        );
        return;
    }
    shared.fleet.replace_endpoints(targets);
}

fn to_target(record: VmRecord, timeouts: &TimeoutSettings) -> Option<Target> {
    let VmPorts { peer, http } = record.ports;
    let route = match (peer, http) {
        (0, 0) => return None,
        (0, http) => {
            let address = SocketAddr::new(record.ip, http);
            let client = EndpointClient::try_new(address.into(), timeouts);
            Route::Direct(Box::new(client.ok()?))
        }
        (peer, _) => Route::Companion(SocketAddr::new(record.ip, peer)),
    };
    // VM ids and endpoint names have the same form.
    let name = record.vm.as_str().parse().ok()?;
    let domain = record.failure_domain;
    let target = Target::new(name, record.pool, domain, route);
    Some(target.with_version(record.version.as_deref()))
}
