//! Fake endpoints on a stepped clock.

use std::collections::VecDeque;

/// Requests that run at once.
pub(crate) const SLOTS: usize = 16;

/// Requests that may wait beside them.
const WAITING_MAX: usize = 4 * SLOTS;

/// Tokens of an answer.
const TOKENS: f64 = 32.0;

/// Decoding step of an empty batch and what each request adds to it.
const STEP_MS: f64 = 8.0;
const STEP_PER_RUNNING_MS: f64 = 0.4;

/// Prefill of a prompt whose prefix is not cached, and of one that is.
const PREFILL_MS: f64 = 100.0;
const PREFILL_CACHED_MS: f64 = 5.0;

/// Prefixes that a cache holds.
const CACHED: usize = 48;

/// Returns the requests a second that a full endpoint of speed 1 serves
/// without any cached prefix.
pub(crate) fn capacity_per_s() -> f64 {
    let step = STEP_MS + STEP_PER_RUNNING_MS * SLOTS as f64;
    SLOTS as f64 * 1_000.0 / (PREFILL_MS + TOKENS * step)
}

/// What is wrong with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Nobody listens between two times.
    Down { from_ms: u64, until_ms: u64 },
    /// This share of the calls breaks soon after the start, between two
    /// times.
    Breaks {
        share: f64,
        from_ms: u64,
        until_ms: u64,
    },
    /// This share of the calls stays without any answer.
    Silent { share: f64 },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) attempt: usize,
    pub(crate) first_token_ms: f64,
    pub(crate) end_ms: f64,
    pub(crate) cached: bool,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    attempt: usize,
    prefix: u64,
}

/// A small engine: a batch, a queue, a cache of prefixes.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) slowness: f64,
    pub(crate) fault: Option<Fault>,
    running: Vec<usize>,
    queue: VecDeque<Job>,
    cache: VecDeque<u64>,
    loads: VecDeque<(u64, u32, u32)>,
}

impl Endpoint {
    pub(crate) fn new(slowness: f64, fault: Option<Fault>) -> Self {
        Self {
            slowness,
            fault,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            loads: VecDeque::from([(0, 0, 0)]),
        }
    }

    pub(crate) fn is_down(&self, now_ms: u64) -> bool {
        matches!(
            self.fault,
            Some(Fault::Down { from_ms, until_ms })
                if (from_ms..until_ms).contains(&now_ms)
        )
    }

    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= WAITING_MAX
    }

    pub(crate) fn push(&mut self, attempt: usize, prefix: u64) {
        self.queue.push_back(Job { attempt, prefix });
    }

    /// Starts what fits and returns it.
    pub(crate) fn start(&mut self, now_ms: u64) -> Vec<Started> {
        let mut started = Vec::new();
        while self.running.len() < SLOTS
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job.attempt);
            let cached = self.touch(job.prefix);
            let prefill = if cached {
                PREFILL_CACHED_MS
            } else {
                PREFILL_MS
            };
            let batch = self.running.len() as f64;
            let step = STEP_MS + STEP_PER_RUNNING_MS * batch;
            let first = (prefill + step) * self.slowness;
            let rest = step * (TOKENS - 1.0) * self.slowness;
            started.push(Started {
                attempt: job.attempt,
                first_token_ms: first,
                end_ms: first + rest,
                cached,
            });
        }
        self.note(now_ms);
        started
    }

    /// Ends an attempt, wherever it is.
    pub(crate) fn end(&mut self, attempt: usize) {
        self.running.retain(|running| *running != attempt);
        self.queue.retain(|job| job.attempt != attempt);
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let at = self.cache.iter().position(|known| *known == prefix);
        if let Some(at) = at {
            self.cache.remove(at);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        at.is_some()
    }

    fn note(&mut self, now_ms: u64) {
        let running = self.running.len() as u32;
        let waiting = self.queue.len() as u32;
        self.loads.push_back((now_ms, running, waiting));
    }

    /// Returns what runs and what waits, as a report of this age shows it.
    pub(crate) fn load(&mut self, now_ms: u64, lag_ms: u64) -> (u32, u32) {
        self.note(now_ms);
        let shown = now_ms.saturating_sub(lag_ms);
        while self.loads.len() > 1 && self.loads[1].0 <= shown {
            self.loads.pop_front();
        }
        let (_, running, waiting) = self.loads[0];
        (running, waiting)
    }
}
