use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use error_stack::Report;
use jobs::{NODE_PREFIX, NodeRecord};
use kv::{Kv, KvError, LeaseId, Op, Txn, lease::HeldLease};
use tokio::{sync::watch, time};

/// Time to live of a node's entry, in seconds: its jobs are taken over that
/// long after it is lost, and two renewals may fail before it lapses.
const LEASE_S: u32 = 3;

/// Returns the time to live of a node's entry where the key-value service
/// grants no lease shorter than `least_ms`.
///
/// What goes wrong without it: the service refuses the lease, the node is
/// never listed, and nobody gives it a job.
pub(crate) fn lease_s(least_ms: u64) -> u32 {
    let least_s = least_ms.div_ceil(1_000).min(u64::from(u32::MAX));
    LEASE_S.max(least_s as u32)
}

/// Pause after a failed call, in milliseconds.
const FAILED_PAUSE_MS: u64 = 250;

/// What a node hears and is heard by about its entry.
pub(crate) struct Presence {
    /// Turned true when the entry is written.
    pub(crate) entered: watch::Sender<bool>,
    /// Turns true when the node leaves.
    pub(crate) left: watch::Receiver<bool>,
}

/// Keeps the entry of a node until it leaves.
///
/// An entry that has lapsed, because the node was paused or the service
/// away, is written again at once under a new lease.
pub(crate) async fn keep_entry(
    kv: Arc<dyn Kv>,
    record: NodeRecord,
    lease_s: u32,
    clock: Arc<dyn Clock>,
    presence: Presence,
) {
    let Presence {
        entered,
        left: mut stop,
    } = presence;
    let mut held: Option<HeldLease> = None;
    while !*stop.borrow() {
        let sent_at = clock.now();
        let result = match &mut held {
            None => {
                let lease = enter(&*kv, &record, lease_s).await;
                lease.map(|lease| {
                    entered.send_replace(true);
                    log::info!(lease = lease.0; "this node takes part");
                    held = Some(HeldLease::new(lease, lease_s, sent_at));
                })
            }
            Some(lease) => {
                let kept = kv.lease_keep_alive(lease.id()).await;
                kept.map(|()| lease.renewed(sent_at))
            }
        };
        if let Err(report) = result {
            if *report.current_context() == KvError::LeaseGone {
                held = None;
                log::warn!("this node's entry has lapsed");
                continue;
            }
            log::info!(error:% = report.current_context();
                "this node's entry is not renewed");
            wait(FAILED_PAUSE_MS, &mut stop).await;
            continue;
        }
        let next = held.as_ref().map_or(clock.now(), HeldLease::renew_at);
        let now: Millis = clock.now();
        wait(next.saturating_ms_since(now), &mut stop).await;
    }
    let Some(lease) = held else {
        return;
    };
    if let Err(report) = kv.lease_revoke(lease.id()).await {
        log::info!(error:% = report.current_context();
            "this node's entry lapses by itself");
    }
}

async fn enter(
    kv: &dyn Kv,
    record: &NodeRecord,
    lease_s: u32,
) -> Result<LeaseId, Report<KvError>> {
    let lease = kv.lease_grant(lease_s).await?;
    let value = serde_json::to_vec(record)
        .map_err(|_| Report::new(KvError::Invalid))?;
    let put = Op::Put {
        key: format!("{NODE_PREFIX}{}", record.node),
        value,
        lease: Some(lease),
    };
    kv.txn(Txn {
        success: vec![put],
        ..Txn::default()
    })
    .await?;
    Ok(lease)
}

async fn wait(ms: u64, stop: &mut watch::Receiver<bool>) {
    let pause = Duration::from_millis(ms);
    let _ = time::timeout(pause, stop.wait_for(|stop| *stop)).await;
}
