//! Passes on what this node has written before a watch brings it back.

use std::sync::{Arc, OnceLock};

use kv::{
    GetReply, KeyValue, Kv, KvFuture, LeaseId, Op, Txn, TxnReply, Watcher,
};

use crate::feed::Feed;

/// The key-value service for writes that other nodes are to know at once:
/// each goes into the feed of its keys as soon as the service has taken it.
///
/// Without that a node that starts, and asks this one, is told what the last
/// watch has brought. It passes on a request that this node holds since a
/// moment ago.
#[derive(Clone)]
pub(crate) struct FedWrites {
    kv: Arc<dyn Kv>,
    feed: Arc<OnceLock<Arc<Feed>>>,
}

impl FedWrites {
    /// Writes to a service; [`feed_to`](Self::feed_to) says where writes go
    /// besides.
    pub(crate) fn new(kv: Arc<dyn Kv>) -> Self {
        Self {
            kv,
            feed: Arc::default(),
        }
    }

    /// Sets the feed of the keys that are written.
    pub(crate) fn feed_to(&self, feed: Arc<Feed>) {
        if self.feed.set(feed).is_err() {
            log::warn!("the feed of own writes is set twice");
        }
    }

    async fn write(
        &self,
        txn: Txn,
    ) -> Result<TxnReply, error_stack::Report<kv::KvError>> {
        let steps = txn.success.clone();
        let reply = self.kv.txn(txn).await?;
        if reply.succeeded
            && let Some(feed) = self.feed.get()
        {
            for step in steps {
                feed_step(feed, step, reply.revision);
            }
        }
        Ok(reply)
    }
}

fn feed_step(feed: &Feed, step: Op, revision: u64) {
    match step {
        Op::Put { key, value, lease } => feed.note_written(KeyValue {
            key,
            value,
            create_revision: revision,
            mod_revision: revision,
            lease,
        }),
        Op::Delete { key } => feed.note_deleted(key, revision),
        Op::Get { .. } | Op::GetPrefix { .. } => {}
    }
}

impl Kv for FedWrites {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        self.kv.get(key)
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        self.kv.get_prefix(prefix, limit)
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        Box::pin(self.write(txn))
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
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
        self.kv.watch(prefix, from_revision)
    }
}
