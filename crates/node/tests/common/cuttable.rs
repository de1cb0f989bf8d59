//! Connections to the key-value service that can be interrupted.

use std::time::Duration;

use error_stack::Report;
use kv::{
    GetReply, Kv, KvError, KvFuture, LeaseId, Memory, Txn, TxnReply,
    WatchBatch, Watcher,
};
use tokio::{sync::watch, time::timeout};

/// A node's connection to the key-value service that can be interrupted: calls
/// then hang, as they do when packets are dropped.
#[derive(Clone)]
pub(crate) struct Cuttable {
    kv: Memory,
    cut: watch::Sender<bool>,
    min_lease_s: u32,
}

impl Cuttable {
    pub(crate) fn new(kv: &Memory) -> Self {
        Self {
            kv: kv.clone(),
            cut: watch::Sender::new(false),
            min_lease_s: 0,
        }
    }

    /// Makes the key-value service refuse shorter leases.
    pub(crate) fn with_min_lease_s(mut self, min_s: u32) -> Self {
        self.min_lease_s = min_s;
        self
    }

    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Waits until the connection is not interrupted.
    async fn wait_until_connected(&self) {
        let mut cut = self.cut.subscribe();
        let _ = cut.wait_for(|cut| !*cut).await;
    }
}

impl Kv for Cuttable {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        let key = key.to_owned();
        Box::pin(async move {
            self.wait_until_connected().await;
            self.kv.get(&key).await
        })
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            self.wait_until_connected().await;
            self.kv.get_prefix(&prefix, limit).await
        })
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        Box::pin(async move {
            self.wait_until_connected().await;
            self.kv.txn(txn).await
        })
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        if ttl_s < self.min_lease_s {
            let refused = Err(Report::new(KvError::Invalid));
            return Box::pin(std::future::ready(refused));
        }
        self.kv.lease_grant(ttl_s)
    }

    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        self.kv.lease_keep_alive(lease)
    }

    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        self.kv.lease_revoke(lease)
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            let watcher = self.kv.watch(&prefix, from_revision).await?;
            let connection = self.clone();
            let watcher = CuttableWatcher {
                watcher,
                connection,
                revision: from_revision.saturating_sub(1),
            };
            Ok(Box::new(watcher) as Box<dyn Watcher>)
        })
    }
}

/// Interval at which a watch confirms its revision without changes.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);

struct CuttableWatcher {
    watcher: Box<dyn Watcher>,
    connection: Cuttable,
    revision: u64,
}

impl Watcher for CuttableWatcher {
    fn next(&mut self) -> KvFuture<'_, WatchBatch> {
        Box::pin(async move {
            let batch = timeout(CONFIRM_INTERVAL, self.watcher.next()).await;
            self.connection.wait_until_connected().await;
            let batch = match batch {
                Ok(batch) => batch?,
                Err(_) => WatchBatch {
                    revision: self.revision,
                    events: Vec::new(),
                },
            };
            self.revision = batch.revision;
            Ok(batch)
        })
    }
}
