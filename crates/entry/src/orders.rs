//! Orders for endpoints, with fencing numbers.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use kv::{Kv, Op, Txn};
use wire::{LinkError, Links, message::Order};

use crate::{EntryError, batch::platform};

/// Order that an endpoint take no new work and finish what runs.
const DRAIN: &str = "drain";

/// Why an order was not given.
#[derive(Debug)]
pub(crate) enum OrderError {
    /// No fencing number could be had, or the companion was not reached.
    Failed(Report<EntryError>),
    /// The companion refused it.
    Refused(String),
}

/// Gives orders to endpoints through their companions.
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

    /// Orders the endpoint behind a companion to drain.
    pub(crate) async fn drain(
        &self,
        endpoint: &str,
        companion: SocketAddr,
    ) -> Result<(), OrderError> {
        let fence = self.fence(endpoint).await.map_err(OrderError::Failed)?;
        let kind = DRAIN.to_owned();
        let body = Bytes::from_static(b"{}");
        let order = Order { fence, kind, body };
        let given = self.links.order(companion, order).await;
        given.map_err(|report| match report.current_context() {
            LinkError::Refused(_) => OrderError::Refused(format!("{report}")),
            LinkError::NotSent => {
                OrderError::Failed(report.change_context(EntryError::Platform))
            }
            LinkError::Unknown => {
                OrderError::Failed(report.change_context(EntryError::Unknown))
            }
        })
    }

    /// Draws a fencing number: the revision of a write, which rises over
    /// all entries. A clock was rejected, two entries' clocks differ.
    async fn fence(&self, endpoint: &str) -> Result<u64, Report<EntryError>> {
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
            .attach("drawing a fencing number")?;
        Ok(reply.revision)
    }
}
