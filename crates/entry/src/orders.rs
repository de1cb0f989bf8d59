//! Orders to endpoints, with fencing tokens.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use kv::{Kv, Op, Txn};
use wire::{LinkError, Links, message::Order};

use crate::{EntryError, batch::platform};

/// Order to take no new work and to finish running work.
const DRAIN: &str = "drain";

/// Why an order failed.
#[derive(Debug)]
pub(crate) enum OrderError {
    /// No fencing token was available, or the companion was unreachable.
    Failed(Report<EntryError>),
    /// The companion refused the order.
    Refused(String),
}

/// Sends orders to endpoints through their companions.
pub(crate) struct Orders {
    kv: Arc<dyn Kv>,
    prefix: String,
    links: Links,
}

impl Orders {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str, links: Links) -> Self {
        let prefix = format!("{prefix}orders/");
        Self { kv, prefix, links }
    }

    /// Orders the endpoint of a companion to drain.
    pub(crate) async fn drain(
        &self,
        endpoint: &str,
        companion: SocketAddr,
    ) -> Result<(), OrderError> {
        let fencing_token = self
            .fencing_token(endpoint)
            .await
            .map_err(OrderError::Failed)?;
        let kind = DRAIN.to_owned();
        let body = Bytes::from_static(b"{}");
        let order = Order {
            fence: fencing_token,
            kind,
            body,
        };
        let sent = self.links.order(companion, order).await;
        sent.map_err(|report| match report.current_context() {
            LinkError::Refused(_) => OrderError::Refused(format!("{report}")),
            LinkError::NotSent => {
                OrderError::Failed(report.change_context(EntryError::Platform))
            }
            LinkError::Unknown => {
                OrderError::Failed(report.change_context(EntryError::Unknown))
            }
        })
    }

    /// Returns a new fencing token: the revision of a write, which increases
    /// across all entries. The clocks of two entries differ, so a timestamp
    /// would not do.
    async fn fencing_token(
        &self,
        endpoint: &str,
    ) -> Result<u64, Report<EntryError>> {
        let put = Op::Put {
            key: format!("{}{endpoint}", self.prefix),
            value: DRAIN.as_bytes().to_vec(),
            lease: None,
        };
        let txn = Txn {
            success: vec![put],
            ..Txn::default()
        };
        let reply = self
            .kv
            .txn(txn)
            .await
            .map_err(platform)
            .attach("drawing a fencing token")?;
        Ok(reply.revision)
    }
}
