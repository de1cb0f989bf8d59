//! The bootstrap list: the nodes that a starting node queries first.
//!
//! The list of all nodes grows with the fleet, and so does the number of nodes
//! that read it when all start at once: the link of the key-value service was
//! saturated for a third of a second by the lists of 347 nodes while the first
//! callers arrived. The first reader therefore maintains a short list in a
//! single key: the nodes of each failure domain that serve others.

use std::{sync::Arc, time::Duration};

use error_stack::Report;
use jobs::{JobView, NodeRecord, Roster};
use kv::{Compare, KeyValue, Kv, KvError, Op, Txn};
use tokio::time;

use crate::tree;

/// Key prefix of the bootstrap list, of which there is one.
pub(crate) const BOOTSTRAP_PREFIX: &str = "start/";

/// The key of the bootstrap list.
const BOOTSTRAP_KEY: &str = "start/nodes";

/// Minimum time between two writes of the list.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that a write may wait to be sent together with others, in
/// milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Number of times that the list is written at once after a write that found
/// another revision than expected.
const MAX_CONFLICTS: usize = 2;

/// Maintains the list while this node is the first of the readers.
pub(crate) async fn maintain(kv: Arc<dyn Kv>, view: JobView, node: String) {
    let mut last_roster: Option<Roster> = None;
    let mut written: Vec<NodeRecord> = Vec::new();
    let mut revision = 0;
    loop {
        time::sleep(MIN_WRITE_INTERVAL).await;
        let roster = view.roster();
        let is_unchanged = last_roster
            .as_ref()
            .is_some_and(|last_roster| last_roster.is_same(&roster));
        // The view that a starting node has seeded is incomplete.
        if is_unchanged || view.fresh_at().is_none() {
            continue;
        }
        if !tree::is_first_reader(&roster, &node) {
            written.clear();
            last_roster = Some(roster);
            continue;
        }
        let list = tree::bootstrap_list(&roster);
        if list == written || write(&*kv, &list, &mut revision).await {
            written = list;
            last_roster = Some(roster);
        }
    }
}

/// Writes the list over the one at `revision`, which becomes that of the
/// stored list. Reports whether the list is stored.
///
/// Without the revision an earlier write that takes effect late would replace
/// the list, and starting nodes would query nodes that are gone.
async fn write(kv: &dyn Kv, list: &[NodeRecord], revision: &mut u64) -> bool {
    let Ok(value) = serde_json::to_vec(list) else {
        return true;
    };
    for _ in 0..MAX_CONFLICTS {
        match try_write(kv, &value, revision).await {
            Ok(true) => {
                log::info!(nodes = list.len();
                    "the bootstrap list is written");
                return true;
            }
            Ok(false) => {}
            Err(report) => {
                log::info!(error:% = report.current_context();
                    "the bootstrap list is not written");
                return false;
            }
        }
    }
    false
}

async fn try_write(
    kv: &dyn Kv,
    value: &[u8],
    revision: &mut u64,
) -> Result<bool, Report<KvError>> {
    let key = BOOTSTRAP_KEY.to_owned();
    let txn = Txn {
        compares: vec![Compare::ModRevision {
            key: key.clone(),
            equals: *revision,
        }],
        success: vec![Op::Put {
            key,
            value: value.to_vec(),
            lease: None,
        }],
        failure: Vec::new(),
    };
    let reply = kv.txn_batched(txn, MAX_DELAY_MS).await?;
    if reply.succeeded {
        *revision = reply.revision;
        return Ok(true);
    }
    let found = kv.get(BOOTSTRAP_KEY).await?.kvs.into_iter().next();
    *revision = found.as_ref().map_or(0, |kv| kv.mod_revision);
    Ok(found.is_some_and(|kv| kv.value == value))
}

/// Decodes the list; a malformed list counts as empty.
pub(crate) fn decode(entries: &[KeyValue]) -> Vec<NodeRecord> {
    let entry = entries.iter().find(|kv| kv.key == BOOTSTRAP_KEY);
    let Some(entry) = entry else {
        return Vec::new();
    };
    serde_json::from_slice(&entry.value).unwrap_or_else(|error| {
        log::warn!(error:%; "the bootstrap list is malformed");
        Vec::new()
    })
}
