//! Ways to the key-value service that can be cut.

use std::time::Duration;

use error_stack::Report;
use kv::{
    GetReply, Kv, KvError, KvFuture, LeaseId, Memory, Txn, TxnReply,
    WatchBatch, Watcher,
};
use tokio::{sync::watch, time::timeout};

/// One node's way to the key-value service, which can be cut: calls then
/// hang, as they do when packets vanish.
#[derive(Clone)]
pub(crate) struct Cuttable {
    kv: Memory,
    cut: watch::Sender<bool>,
    least_lease_s: u32,
}

impl Cuttable {
    pub(crate) fn new(kv: &Memory) -> Self {
        Self {
            kv: kv.clone(),
            cut: watch::Sender::new(false),
            least_lease_s: 0,
        }
    }

    /// Makes the service refuse shorter leases.
    pub(crate) fn with_least_lease_s(mut self, least_s: u32) -> Self {
        self.least_lease_s = least_s;
        self
    }

    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Ends never as long as the way is cut.
    async fn passed(&self) {
        let mut cut = self.cut.subscribe();
        let _ = cut.wait_for(|cut| !*cut).await;
    }
}

impl Kv for Cuttable {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        let key = key.to_owned();
        Box::pin(async move {
            self.passed().await;
            self.kv.get(&key).await
        })
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            self.passed().await;
            self.kv.get_prefix(&prefix, limit).await
        })
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        Box::pin(async move {
            self.passed().await;
            self.kv.txn(txn).await
        })
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        if ttl_s < self.least_lease_s {
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
            let way = self.clone();
            let watcher = CuttableWatcher {
                watcher,
                way,
                revision: from_revision.saturating_sub(1),
            };
            Ok(Box::new(watcher) as Box<dyn Watcher>)
        })
    }
}

/// How often a watch without changes confirms that there are none.
const CONFIRM: Duration = Duration::from_millis(300);

struct CuttableWatcher {
    watcher: Box<dyn Watcher>,
    way: Cuttable,
    revision: u64,
}

impl Watcher for CuttableWatcher {
    fn next(&mut self) -> KvFuture<'_, WatchBatch> {
        Box::pin(async move {
            let batch = timeout(CONFIRM, self.watcher.next()).await;
            self.way.passed().await;
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
