//! Learns from the key-value service by a watch of the process itself.

use std::time::Duration;

use error_stack::Report;
use kv::{Event, KvError};
use tokio::time::sleep;

use super::Quarantine;
use crate::store::CaseStore;

/// Pause before a watch that has ended begins anew, in milliseconds.
const AGAIN_MS: u64 = 1_000;

impl Quarantine {
    /// Follows the key-value service, until the process ends.
    pub async fn watch(self) {
        let Some(store) = &self.0.store else {
            return;
        };
        loop {
            if let Err(report) = self.follow(store).await {
                log::debug!(error:% = report.current_context();
                    "the watch of crashes begins anew");
            }
            sleep(Duration::from_millis(AGAIN_MS)).await;
        }
    }

    async fn follow(&self, store: &CaseStore) -> Result<(), Report<KvError>> {
        let prefix = store.prefix();
        let read = store.kv().get_prefix(prefix, 0).await?;
        self.apply(&read.kvs, &[], read.revision, true);
        let mut watcher = store.kv().watch(prefix, read.revision + 1).await?;
        loop {
            let batch = watcher.next().await?;
            let mut changed = Vec::new();
            let mut deleted = Vec::new();
            for event in batch.events {
                match event {
                    Event::Put(kv) => changed.push(kv),
                    Event::Delete { key, mod_revision } => {
                        deleted.push((key, mod_revision));
                    }
                }
            }
            self.apply(&changed, &deleted, batch.revision, false);
        }
    }
}
