//! Adds this node's own writes to its feed before a watch returns them.

use std::sync::{Arc, OnceLock};

use kv::{
    GetReply, KeyValue, Kv, KvFuture, LeaseId, Op, Txn, TxnReply, Watcher,
};

use crate::feed::Feed;

/// A key-value service that adds each successful write to the feed of its
/// keys, for writes that other nodes have to know at once.
///
/// Otherwise a starting node that queries this one receives only what the last
/// watch has returned, and forwards a request that this node has just
/// quarantined.
#[derive(Clone)]
pub(crate) struct WriteThroughKv {
    kv: Arc<dyn Kv>,
    feed: Arc<OnceLock<Arc<Feed>>>,
}

impl WriteThroughKv {
    /// Wraps a key-value service. [`set_feed`](Self::set_feed) sets the feed
    /// that the writes are added to.
    pub(crate) fn new(kv: Arc<dyn Kv>) -> Self {
        Self {
            kv,
            feed: Arc::default(),
        }
    }

    /// Sets the feed of the written keys.
    pub(crate) fn set_feed(&self, feed: Arc<Feed>) {
        if self.feed.set(feed).is_err() {
            log::warn!("the feed of this node's own writes is set twice");
        }
    }

    async fn write(
        &self,
        txn: Txn,
    ) -> Result<TxnReply, error_stack::Report<kv::KvError>> {
        let ops = txn.success.clone();
        let reply = self.kv.txn(txn).await?;
        if reply.succeeded
            && let Some(feed) = self.feed.get()
        {
            for op in ops {
                apply_op(feed, op, reply.revision);
            }
        }
        Ok(reply)
    }
}

fn apply_op(feed: &Feed, op: Op, revision: u64) {
    match op {
        Op::Put { key, value, lease } => feed.record_put(KeyValue {
            key,
            value,
            create_revision: revision,
            mod_revision: revision,
            lease,
        }),
        Op::Delete { key } => feed.record_delete(key, revision),
        Op::Get { .. } | Op::GetPrefix { .. } => {}
    }
}

impl Kv for WriteThroughKv {
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
