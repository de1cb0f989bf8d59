//! The bootstrap list: the nodes that a starting node queries first.
//!
//! The list of all nodes grows with the fleet, and so does the number of nodes
//! that read it when all start at once: the link of the key-value service was
//! saturated for a third of a second by the lists of 347 nodes while the first
//! callers arrived. The first reader therefore maintains a short list in a
//! single key: the nodes of each failure domain that serve others.

use std::{sync::Arc, time::Duration};

use jobs::{JobView, NodeRecord, Roster};
use kv::{KeyValue, Kv, Op, Txn};
use tokio::time;

use crate::tree;

/// Key prefix of the bootstrap list, of which there is one.
pub(crate) const START_PREFIX: &str = "start/";

/// The key of the bootstrap list.
const START_KEY: &str = "start/nodes";

/// Minimum time between two writes of the list.
const PAUSE: Duration = Duration::from_secs(1);

/// Maximum time that a write may wait to be sent together with others, in
/// milliseconds.
const PATIENCE_MS: u64 = 1_000;

/// Maintains the list while this node is the first of the readers.
pub(crate) async fn keep(kv: Arc<dyn Kv>, view: JobView, node: String) {
    let mut seen: Option<Roster> = None;
    let mut written: Vec<NodeRecord> = Vec::new();
    loop {
        time::sleep(PAUSE).await;
        let roster = view.roster();
        let is_seen = seen.as_ref().is_some_and(|seen| seen.is_same(&roster));
        // The view that a starting node has seeded is incomplete.
        if is_seen || view.fresh_at().is_none() {
            continue;
        }
        if !tree::is_first_reader(&roster, &node) {
            written.clear();
            seen = Some(roster);
            continue;
        }
        let list = tree::start_list(&roster);
        if list == written || write(&*kv, &list).await {
            written = list;
            seen = Some(roster);
        }
    }
}

async fn write(kv: &dyn Kv, list: &[NodeRecord]) -> bool {
    let Ok(value) = serde_json::to_vec(list) else {
        return true;
    };
    let txn = Txn {
        success: vec![Op::Put {
            key: START_KEY.to_owned(),
            value,
            lease: None,
        }],
        ..Txn::default()
    };
    match kv.txn_within(txn, PATIENCE_MS).await {
        Ok(_) => {
            log::info!(nodes = list.len();
                "the nodes that starting ones ask are written");
            true
        }
        Err(report) => {
            log::info!(error:% = report.current_context();
                "the nodes that starting ones ask are not written");
            false
        }
    }
}

/// Decodes the list; a malformed list counts as empty.
pub(crate) fn decode(entries: &[KeyValue]) -> Vec<NodeRecord> {
    let entry = entries.iter().find(|kv| kv.key == START_KEY);
    let Some(entry) = entry else {
        return Vec::new();
    };
    serde_json::from_slice(&entry.value).unwrap_or_else(|error| {
        log::warn!(error:%; "the nodes that starting ones ask cannot be read");
        Vec::new()
    })
}
