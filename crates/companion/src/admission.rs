//! Who runs at the endpoint next.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use conf::settings::EndpointSettings;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Online calls that may wait for each one that may run.
const WAITING_PER_RUNNING: u32 = 4;

/// Counts what runs and decides what starts.
pub(crate) struct Admission {
    online: Arc<Semaphore>,
    max_running: u32,
    batch_max_running: u32,
    waiting: AtomicU32,
    online_running: AtomicU32,
    batch_running: AtomicU32,
    changed: Notify,
}

/// Why an online call was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Full;

impl Admission {
    pub(crate) fn new(endpoint: &EndpointSettings) -> Arc<Self> {
        Arc::new(Self {
            online: Arc::new(Semaphore::new(endpoint.max_running as usize)),
            max_running: endpoint.max_running,
            batch_max_running: endpoint.batch_max_running,
            waiting: AtomicU32::new(0),
            online_running: AtomicU32::new(0),
            batch_running: AtomicU32::new(0),
            changed: Notify::new(),
        })
    }

    /// Takes a place in the queue of online calls, unless it is long.
    ///
    /// A long queue only moves the wait here, where the entry cannot send
    /// the call elsewhere any more; a refusal costs it a millisecond.
    pub(crate) fn enqueue(self: &Arc<Self>) -> Result<Queued, Full> {
        let limit = self.max_running.saturating_mul(WAITING_PER_RUNNING);
        if self.waiting.fetch_add(1, Ordering::AcqRel) >= limit {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            return Err(Full);
        }
        Ok(Queued {
            admission: self.clone(),
        })
    }

    /// Returns how many more batch items may start now.
    pub(crate) fn batch_room(&self) -> u32 {
        if self.waiting.load(Ordering::Acquire) > 0 {
            return 0;
        }
        let batch = self.batch_running.load(Ordering::Acquire);
        let online = self.online_running.load(Ordering::Acquire);
        let own = self.batch_max_running.saturating_sub(batch);
        let shared = self.max_running.saturating_sub(batch + online);
        own.min(shared)
    }

    pub(crate) fn start_batch(self: &Arc<Self>) -> BatchPlace {
        self.batch_running.fetch_add(1, Ordering::AcqRel);
        BatchPlace {
            admission: self.clone(),
        }
    }

    /// Resolves when something has ended.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    pub(crate) fn running(&self) -> u32 {
        self.online_running.load(Ordering::Acquire) + self.batch_running()
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    pub(crate) fn batch_running(&self) -> u32 {
        self.batch_running.load(Ordering::Acquire)
    }
}

/// A place in the queue of online calls.
pub(crate) struct Queued {
    admission: Arc<Admission>,
}

impl Queued {
    /// Waits for its turn; `None` only when the process ends.
    pub(crate) async fn admitted(self) -> Option<OnlinePlace> {
        let admission = self.admission.clone();
        let permit = admission.online.clone().acquire_owned().await.ok()?;
        admission.online_running.fetch_add(1, Ordering::AcqRel);
        Some(OnlinePlace {
            admission,
            _permit: permit,
        })
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.admission.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An online call that runs.
pub(crate) struct OnlinePlace {
    admission: Arc<Admission>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for OnlinePlace {
    fn drop(&mut self) {
        self.admission.online_running.fetch_sub(1, Ordering::AcqRel);
        self.admission.changed.notify_waiters();
    }
}

/// A batch item that runs.
pub(crate) struct BatchPlace {
    admission: Arc<Admission>,
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        self.admission.batch_running.fetch_sub(1, Ordering::AcqRel);
        self.admission.changed.notify_waiters();
    }
}
