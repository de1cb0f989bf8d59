//! Reads the configuration from the key-value service and watches it while
//! this entry is a relay.

use std::sync::atomic::Ordering;

use base::Revision;
use error_stack::{Report, ResultExt};
use kv::KeyValue;
use serde::{Deserialize, Serialize};
use spread::{Delta, Event};

use super::{ConfigStore, decode};
use crate::{EntryError, batch::platform};

/// Delay before a failed watch is restarted, in milliseconds.
const WATCH_RETRY_MS: u64 = 500;

/// Interval of reads while no configuration is in force and this entry does
/// not watch, in milliseconds: 340 entries make 170 reads a second.
const INITIAL_READ_INTERVAL_MS: u64 = 2_000;

/// Interval of a relay's full reads, in milliseconds. They find a change
/// that was written without its delta, by an older build or manually.
const FULL_READ_INTERVAL_MS: u64 = 300_000;

/// The record of an accepted revision that relays watch.
///
/// Watching the full text would send 400 KB per change to each relay, 32 KB
/// a second at 7,000 changes a day.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Change {
    pub(super) revision: Revision,
    /// Absent if the accepting entry did not know the previous revision.
    #[serde(default)]
    pub(super) delta: Option<Delta>,
}

impl From<Change> for Event {
    fn from(change: Change) -> Self {
        match change.delta {
            Some(delta) => Event::Changed(delta),
            None => Event::RevisionAnnounced(change.revision),
        }
    }
}

impl ConfigStore {
    /// Follows the key-value service until the process exits.
    pub(crate) async fn follow(&self) {
        // The first read follows once this entry has joined its peers.
        self.read_requested.notified().await;
        loop {
            if let Err(report) = self.follow_once().await {
                log::debug!(
                    error:? = report;
                    "cannot follow the configuration"
                );
                self.timer.subscribe_in_ms(WATCH_RETRY_MS).await;
            }
        }
    }

    /// Reads once, then watches from that revision while this entry is a
    /// relay.
    async fn follow_once(&self) -> Result<(), Report<EntryError>> {
        let mut relay = self.relay.subscribe();
        let is_relay = *relay.borrow_and_update();
        let from = self.read_config().await? + 1;
        if !is_relay {
            let delay_ms = match self.current() {
                Some(_) => u64::MAX,
                None => INITIAL_READ_INTERVAL_MS,
            };
            tokio::select! {
                _ = relay.changed() => {}
                () = self.read_requested.notified() => {}
                () = self.wait(delay_ms) => {}
            }
            return Ok(());
        }
        let prefix = self.changes_prefix();
        self.kv_calls.fetch_add(1, Ordering::Relaxed);
        let watcher = self.kv.watch(&prefix, from).await;
        let mut watcher = watcher.map_err(platform)?;
        let next_full_read = self.wait(FULL_READ_INTERVAL_MS);
        tokio::pin!(next_full_read);
        loop {
            tokio::select! {
                batch = watcher.next() => {
                    for event in batch.map_err(platform)?.events {
                        if let kv::Event::Put(found) = event {
                            self.handle(decode_change(&found)?.into());
                        }
                    }
                }
                _ = relay.changed() => return Ok(()),
                () = self.read_requested.notified() => {
                    self.read_config().await?;
                }
                () = &mut next_full_read => return Ok(()),
            }
        }
    }

    async fn wait(&self, delay_ms: u64) {
        match delay_ms {
            u64::MAX => std::future::pending().await,
            _ => {
                self.timer.subscribe_in_ms(delay_ms).await;
            }
        }
    }

    /// Reads the full configuration and returns the key-value service's
    /// revision of the read.
    async fn read_config(&self) -> Result<u64, Report<EntryError>> {
        self.kv_calls.fetch_add(1, Ordering::Relaxed);
        let read = self.kv.get(&self.main_key()).await.map_err(platform)?;
        if let Some(found) = read.kvs.first() {
            let found = decode(found)?;
            self.handle(Event::ConfigRead {
                revision: found.revision,
                stamp: found.stamp(),
                text: found.text,
            });
        }
        Ok(read.revision)
    }
}

fn decode_change(found: &KeyValue) -> Result<Change, Report<EntryError>> {
    serde_json::from_slice(&found.value)
        .change_context(EntryError::Config)
        .attach_with(|| format!("cannot decode the value at {}", found.key))
}
