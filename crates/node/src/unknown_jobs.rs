//! Decides whether a job that the ledger does not have certainly does not
//! exist.

use std::sync::Arc;

use base::Clock;
use jobs::{JobKey, JobView};

use crate::spool_client::SpoolClient;

/// Knows whether workers may hold jobs that the ledger does not have.
pub(crate) struct UnknownJobs {
    view: JobView,
    spool: Arc<SpoolClient>,
    clock: Arc<dyn Clock>,
    disk_losses: u32,
}

/// What was known of the spools before the ledger was read.
///
/// A job that leaves a spool after the read of the ledger is neither in the
/// response nor in the spool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SpoolsBefore {
    are_written: bool,
}

impl UnknownJobs {
    pub(crate) fn new(
        view: JobView,
        spool: Arc<SpoolClient>,
        clock: Arc<dyn Clock>,
        disk_losses: u32,
    ) -> Self {
        Self {
            view,
            spool,
            clock,
            disk_losses,
        }
    }

    /// Returns what is known of the spools now, to be called before the ledger
    /// is read.
    pub(crate) fn spools(&self) -> SpoolsBefore {
        let now = self.clock.now();
        SpoolsBefore {
            are_written: self.view.are_spools_written(self.disk_losses, now),
        }
    }

    /// Reports whether a job that was not in the ledger, which was read after
    /// [`spools`](Self::spools) was called, certainly does not exist.
    ///
    /// Workers are only asked about a job that seems not to exist: one that
    /// has been spooled in the last second may not be in any entry yet.
    pub(crate) async fn is_nonexistent(
        &self,
        job: &JobKey,
        before: SpoolsBefore,
    ) -> bool {
        let is_denied =
            before.are_written && self.spool.is_denied(job, &self.view).await;
        if !is_denied {
            log::info!(
                request_id = job.as_str(),
                spools_written = before.are_written;
                "a job that is not in the ledger may be in a spool"
            );
        }
        is_denied
    }
}
