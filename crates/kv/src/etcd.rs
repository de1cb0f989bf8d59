//! Client of the etcd v3 JSON gateway.

mod convert;
mod options;
mod transport;
mod watch;

use std::sync::Arc;

use error_stack::Report;

pub use self::options::EtcdJsonOptions;
use self::{
    transport::{Effect, Transport},
    watch::EtcdWatcher,
};
use crate::{
    GetReply, Kv, KvError, KvFuture, LeaseId, Txn, TxnReply, Watcher,
    json::{
        EmptyResponse, LeaseGrantRequest, LeaseKeepAliveRequest,
        LeaseResponse, LeaseRevokeRequest, RangeRequest, RangeResponse,
        StreamMessage, TxnRequest, TxnResponse,
    },
    mvcc::KeyRange,
};

const RANGE: &str = "v3/kv/range";
const TXN: &str = "v3/kv/txn";
const LEASE_GRANT: &str = "v3/lease/grant";
const LEASE_KEEP_ALIVE: &str = "v3/lease/keepalive";
const LEASE_REVOKE: &str = "v3/lease/revoke";

/// Client of an etcd v3 JSON gateway, created by [`EtcdJsonOptions`].
///
/// Addresses are tried in round robin order until one accepts the connection.
/// A read is retried at the next address after any failure; a write is retried
/// only if it was certainly not sent. After a lost response the open
/// connections are dropped and new ones are made, because a connection can
/// stop responding for good while new ones work.
///
/// Clones share the connections.
#[derive(Clone, Debug)]
pub struct EtcdJson(Arc<Transport>);

impl EtcdJson {
    async fn range(
        &self,
        range: KeyRange,
        limit: u32,
    ) -> Result<GetReply, Report<KvError>> {
        let request = RangeRequest {
            limit: i64::from(limit).into(),
            ..convert::range_request(&range)
        };
        let reply: RangeResponse =
            self.0.call(RANGE, Effect::None, &request).await?;
        convert::get_reply(reply).map_err(|reason| {
            Effect::None
                .lost_response()
                .attach(reason)
                .attach("path /v3/kv/range")
        })
    }

    async fn run(&self, txn: Txn) -> Result<TxnReply, Report<KvError>> {
        let mut ops = txn.success.iter().chain(&txn.failure);
        let effect = match ops.any(convert::is_write) {
            true => Effect::NonIdempotent,
            false => Effect::None,
        };
        let lens = [txn.failure.len(), txn.success.len()];
        let request = TxnRequest::from(txn);
        let reply: TxnResponse = self.0.call(TXN, effect, &request).await?;
        let expected = lens[usize::from(reply.succeeded)];
        convert::txn_reply(reply, expected).map_err(|reason| {
            effect
                .lost_response()
                .attach(reason)
                .attach("path /v3/kv/txn")
        })
    }

    async fn grant(&self, ttl_s: u32) -> Result<LeaseId, Report<KvError>> {
        let request = LeaseGrantRequest {
            ttl_s: i64::from(ttl_s).into(),
            ..LeaseGrantRequest::default()
        };
        let reply: LeaseResponse = self
            .0
            .call(LEASE_GRANT, Effect::NonIdempotent, &request)
            .await?;
        match reply.id.0 {
            0 => Err(Effect::NonIdempotent
                .lost_response()
                .attach("the response has no lease id")),
            id => Ok(LeaseId(id)),
        }
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<(), Report<KvError>> {
        let request = LeaseKeepAliveRequest { id: id.0.into() };
        let effect = Effect::Idempotent;
        let reply = self.0.call(LEASE_KEEP_ALIVE, effect, &request).await?;
        match reply {
            StreamMessage::Result(LeaseResponse { ttl_s, .. })
                if ttl_s.0 > 0 =>
            {
                Ok(())
            }
            StreamMessage::Result(_) => Err(Report::new(KvError::LeaseGone)),
            StreamMessage::Error(body) => {
                Err(transport::refusal(&body, effect))
            }
        }
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Report<KvError>> {
        let request = LeaseRevokeRequest { id: id.0.into() };
        let _: EmptyResponse = self
            .0
            .call(LEASE_REVOKE, Effect::NonIdempotent, &request)
            .await?;
        Ok(())
    }
}

impl Kv for EtcdJson {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        Box::pin(self.range(KeyRange::one(key), 0))
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        Box::pin(self.range(KeyRange::prefix(prefix), limit))
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        Box::pin(self.run(txn))
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        Box::pin(self.grant(ttl_s))
    }

    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        Box::pin(self.keep_alive(lease))
    }

    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        Box::pin(self.revoke(lease))
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>> {
        let range = KeyRange::prefix(prefix);
        let transport = Arc::clone(&self.0);
        Box::pin(async move {
            let watcher =
                EtcdWatcher::open(transport, range, from_revision).await?;
            Ok(Box::new(watcher) as Box<dyn Watcher>)
        })
    }
}
