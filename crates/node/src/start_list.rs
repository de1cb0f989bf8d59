//! Whom a node asks that has just started and knows nobody.
//!
//! The list of all nodes grows with the fleet, and so does the number of those
//! that read it where all start at once: the key-value service's link was busy
//! for a third of a second with the lists of 347 nodes, while the first
//! callers came. The first of the readers keeps a short list in one key
//! instead: the nodes of each failure domain that serve others.

use std::{sync::Arc, time::Duration};

use jobs::{JobView, NodeRecord, Roster};
use kv::{KeyValue, Kv, Op, Txn};
use tokio::time;

use crate::tree;

/// Common start of the keys of this list, of which there is one.
pub(crate) const START_PREFIX: &str = "start/";

/// The key of the list.
const START_KEY: &str = "start/nodes";

/// Shortest time between two writes of the list.
const PAUSE: Duration = Duration::from_secs(1);

/// How long a write may wait for others, in milliseconds.
const PATIENCE_MS: u64 = 1_000;

/// Keeps the list as long as this node is the first of the readers.
pub(crate) async fn keep(kv: Arc<dyn Kv>, view: JobView, node: String) {
    let mut seen: Option<Roster> = None;
    let mut written: Vec<NodeRecord> = Vec::new();
    loop {
        time::sleep(PAUSE).await;
        let roster = view.roster();
        let is_seen = seen.as_ref().is_some_and(|seen| seen.is_same(&roster));
        // What a start has read is not all.
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
    match kv.txn_batched(txn, PATIENCE_MS).await {
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

/// Decodes the list; none of what cannot be read.
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
