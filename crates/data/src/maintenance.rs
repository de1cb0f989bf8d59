//! Background maintenance of the store in small steps: scrubbing, reclaiming
//! space and removing expired blobs.

use base::{UnixMillis, blob_day_prefix, timer::Timer};
use error_stack::Report;
use store::{Store, StoreError};
use tokio::task::spawn_blocking;

/// Pause between steps, in milliseconds.
const STEP_INTERVAL_MS: u64 = 1_000;

/// Bytes verified in a step: 20 GB a day, so that a bit flip is most likely
/// found while the other replica is still intact.
const SCRUB_BYTES: u64 = 256 << 10;

/// Bytes copied in a step to reclaim the space of removed blobs.
const RECLAIM_BYTES: u64 = 4 << 20;

/// Steps between two removals of expired blobs.
const RETENTION_STEPS: u64 = 3_600;

/// Number of past expiry days that are checked as well, for a process that was
/// down for a long time.
const EXPIRED_DAYS: u64 = 60;

const MS_PER_DAY: u64 = 86_400_000;

/// Runs the maintenance until the returned future is dropped; spawned once.
pub(crate) async fn run(store: Store, timer: Timer, retention_days: u32) {
    for step in 0u64.. {
        timer.subscribe_in_ms(STEP_INTERVAL_MS).await;
        let store = store.clone();
        let now = timer.clock().unix();
        let is_expiry_step = step % RETENTION_STEPS == 0;
        let done = spawn_blocking(move || {
            maintain(&store)?;
            match is_expiry_step {
                true => remove_expired(&store, now, retention_days),
                false => Ok(()),
            }
        });
        match done.await {
            Ok(Ok(())) => {}
            Ok(Err(report)) => {
                log::warn!(error:? = report; "store maintenance failed");
            }
            Err(error) => log::error!(error:%; "store maintenance panicked"),
        }
    }
}

fn maintain(store: &Store) -> Result<(), Report<StoreError>> {
    let report = store.scrub(SCRUB_BYTES)?;
    for id in report.corrupt {
        log::error!(blob = id.as_str(); "a blob is damaged");
    }
    store.reclaim(RECLAIM_BYTES)?;
    Ok(())
}

/// Removes the blobs whose day is past the retention period.
///
/// The age is determined by the day in the blob's id ([`blob_day_prefix`]),
/// not by the time at which this replica was stored: a restored replica is
/// more recent, would outlive the original and be copied back, so that neither
/// would ever be removed.
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
            log::info!(blobs = removed.blobs; "expired blobs removed");
        }
    }
    Ok(())
}
