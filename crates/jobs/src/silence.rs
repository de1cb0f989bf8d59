use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

/// When a run last received something from its endpoint.
///
/// A run and those who watch it share one clock.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::SilenceClock;
///
/// let run = SilenceClock::start();
/// let watcher = run.clone();
/// assert!(run.reset() <= watcher.silent_ms() + 1_000);
/// ```
#[derive(Clone, Debug)]
pub struct SilenceClock {
    started: Instant,
    /// Milliseconds after the start.
    received_at_ms: Arc<AtomicU64>,
}

impl SilenceClock {
    /// Starts a clock, as if the endpoint had sent something just now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            received_at_ms: Arc::default(),
        }
    }

    /// Records that the endpoint has sent something; returns the time for which it had
    /// been silent, in milliseconds.
    pub fn reset(&self) -> u64 {
        let now_ms = self.elapsed_ms();
        let before_ms = self.received_at_ms.swap(now_ms, Ordering::Relaxed);
        now_ms.saturating_sub(before_ms)
    }

    /// Returns the time since the endpoint last sent something, in milliseconds.
    pub fn silent_ms(&self) -> u64 {
        let received_at_ms = self.received_at_ms.load(Ordering::Relaxed);
        self.elapsed_ms().saturating_sub(received_at_ms)
    }

    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
