//! Verifies, reclaims and ages the store, a little at a time.

use base::{UnixMillis, blob_day_prefix, timer::Timer};
use error_stack::Report;
use store::{Store, StoreError};
use tokio::task::spawn_blocking;

/// Pause between steps, in milliseconds.
const STEP_MS: u64 = 1_000;

/// Bytes verified in a step: 20 GB a day, so that a bit flip is found while
/// the other copy most likely still stands.
const SCRUB_BYTES: u64 = 256 << 10;

/// Bytes copied in a step to free the space of removed blobs.
const RECLAIM_BYTES: u64 = 4 << 20;

/// Steps between two looks for blobs past their retention.
const RETENTION_STEPS: u64 = 3_600;

/// Days before the retention that are looked at, for a process that was
/// down for long.
const EXPIRED_DAYS: u64 = 60;

const MS_PER_DAY: u64 = 86_400_000;

/// Does the upkeep until the returned future is dropped; spawned once.
pub(crate) async fn work(store: Store, timer: Timer, retention_days: u32) {
    for step in 0u64.. {
        timer.subscribe_in_ms(STEP_MS).await;
        let store = store.clone();
        let now = timer.clock().unix();
        let ages = step % RETENTION_STEPS == 0;
        let done = spawn_blocking(move || {
            upkeep(&store)?;
            match ages {
                true => remove_expired(&store, now, retention_days),
                false => Ok(()),
            }
        });
        match done.await {
            Ok(Ok(())) => {}
            Ok(Err(report)) => {
                log::warn!(error:? = report; "the upkeep failed");
            }
            Err(error) => log::error!(error:%; "the upkeep panicked"),
        }
    }
}

fn upkeep(store: &Store) -> Result<(), Report<StoreError>> {
    let report = store.scrub(SCRUB_BYTES)?;
    for id in report.corrupt {
        log::error!(blob = id.as_str(); "a blob is damaged");
    }
    store.reclaim(RECLAIM_BYTES)?;
    Ok(())
}

/// Removes the blobs whose day is past the retention.
///
/// The day is part of a blob's id ([`blob_day_prefix`]) and not the time at
/// which this copy was stored: a copy made again from the other one is
/// younger, would outlive the first, be copied back, and neither would ever
/// go.
fn remove_expired(
    store: &Store,
    now: UnixMillis,
    retention_days: u32,
) -> Result<(), Report<StoreError>> {
    let today = now.as_ms() / MS_PER_DAY;
    let last = today.saturating_sub(u64::from(retention_days) + 1);
    for day in last.saturating_sub(EXPIRED_DAYS)..=last {
        let day = UnixMillis::new(day * MS_PER_DAY);
        let removed = store.remove_prefix(&blob_day_prefix(day))?;
        if removed.blobs > 0 {
            log::info!(blobs = removed.blobs; "blobs past their retention");
        }
    }
    Ok(())
}
