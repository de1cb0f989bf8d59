//! Requests of other nodes to an entry.

use std::sync::Arc;

use base::{Incarnation, Revision, VmId};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use wire::{
    ConfigReply, EntryHandler,
    message::{ItemResult, Pull, PullReply},
};

use crate::{config::encode_for_peer, shared::Shared};

/// Handles requests of companions and of other entries.
pub(crate) struct PeerHandler(pub(crate) Arc<Shared>);

impl EntryHandler for PeerHandler {
    fn pull(&self, pull: Pull) -> BoxFuture<'static, PullReply> {
        let shared = self.0.clone();
        async move { shared.batch.owner().pull(pull).await }.boxed()
    }

    fn results(&self, results: Vec<ItemResult>) -> BoxFuture<'static, u32> {
        let shared = self.0.clone();
        async move { shared.batch.owner().results(results).await }.boxed()
    }

    fn leaving(&self, vm: VmId, incarnation: Incarnation) {
        log::info!(vm = vm.as_str(); "an endpoint is shutting down");
        self.0.fleet.mark_leaving(incarnation);
    }

    fn config(&self, have: Revision) -> ConfigReply {
        let now = self.0.config.current()?;
        if now.accepted.revision <= have {
            return None;
        }
        encode_for_peer(&now.accepted)
    }

    fn compare(&self, question: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        let shared = self.0.clone();
        async move { shared.config.compare(&question, &shared.quarantine) }
            .boxed()
    }
}
