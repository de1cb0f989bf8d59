//! A timer service that holds the deadlines of a process.
//!
//! Each process has one service for all of its deadlines. With a
//! [`SystemClock`](crate::SystemClock) a task drives the service; with a
//! [`SteppedClock`](crate::SteppedClock) a test calls [`Timer::fire_due`]
//! after each step, so that hours of simulated time pass quickly and
//! deterministically.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};

use crate::{Clock, Millis};

/// Number of subscriptions from which on dropped ones are removed.
const MIN_REMOVAL_LEN: usize = 1_024;

/// Longest sleep of the driving task, in milliseconds.
const MAX_SLEEP_MS: u64 = 60_000;

struct Entry {
    due: Millis,
    order: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

#[derive(Default)]
struct Heap {
    entries: BinaryHeap<Reverse<Entry>>,
    next_order: u64,
    /// Number of entries at which dropped ones are removed.
    removal_len: usize,
}

impl Heap {
    /// Removes dropped subscriptions once they may be half of the entries.
    /// Otherwise those of long deadlines would accumulate until they are due.
    fn remove_dropped(&mut self) {
        if self.entries.len() < self.removal_len.max(MIN_REMOVAL_LEN) {
            return;
        }
        self.entries
            .retain(|Reverse(entry)| !entry.wake.is_closed());
        self.removal_len = 2 * self.entries.len();
    }
}

struct Inner {
    clock: Arc<dyn Clock>,
    heap: Mutex<Heap>,
    changed: Notify,
}

/// Wakes subscribers when their deadlines are reached.
///
/// Clones share one service.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use pomeloslip_base::{SteppedClock, timer::Timer};
///
/// let clock = Arc::new(SteppedClock::default());
/// let timer = Timer::new(clock.clone());
/// let _lease_end = timer.subscribe_in_ms(5_000);
/// assert_eq!(timer.fire_due(), 0);
/// clock.step_ms(5_000);
/// assert_eq!(timer.fire_due(), 1);
/// ```
#[derive(Clone)]
pub struct Timer(Arc<Inner>);

impl Timer {
    /// Creates a service that reads the given clock.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self(Arc::new(Inner {
            clock,
            heap: Mutex::default(),
            changed: Notify::new(),
        }))
    }

    /// Returns the clock by which deadlines are measured.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.0.clock
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Millis {
        self.0.clock.now()
    }

    /// Subscribes to a deadline; dropping the subscription cancels it.
    pub fn subscribe_at(&self, due: Millis) -> Subscription {
        let (wake, woken) = oneshot::channel();
        let mut heap = self.heap();
        heap.remove_dropped();
        let order = heap.next_order;
        heap.next_order += 1;
        heap.entries.push(Reverse(Entry { due, order, wake }));
        drop(heap);
        self.0.changed.notify_one();
        Subscription(woken)
    }

    /// Subscribes to a deadline `delay_ms` from now.
    pub fn subscribe_in_ms(&self, delay_ms: u64) -> Subscription {
        self.subscribe_at(self.now().saturating_add_ms(delay_ms))
    }

    /// Returns the number of subscriptions that are held, among them dropped
    /// ones that are not removed yet.
    pub fn subscriptions(&self) -> usize {
        self.heap().entries.len()
    }

    /// Wakes all due subscriptions, earliest first, and returns the number
    /// of those that were not dropped.
    pub fn fire_due(&self) -> usize {
        let now = self.now();
        let mut woken = 0;
        while let Some(entry) = self.pop_due(now) {
            if entry.wake.send(()).is_ok() {
                woken += 1;
            }
        }
        woken
    }

    /// Fires due subscriptions until the returned future is dropped. Each
    /// daemon spawns this future once.
    pub async fn drive(self) {
        loop {
            self.fire_due();
            let sleep_ms = self.ms_to_next();
            let sleep = tokio::time::sleep(Duration::from_millis(sleep_ms));
            tokio::select! {
                () = sleep => {}
                () = self.0.changed.notified() => {}
            }
        }
    }

    fn ms_to_next(&self) -> u64 {
        let now = self.now();
        let heap = self.heap();
        match heap.entries.peek() {
            // The tokio timer may wake shortly before this clock reaches
            // the deadline; one more millisecond avoids a busy loop.
            Some(Reverse(entry)) => {
                entry.due.saturating_ms_since(now).min(MAX_SLEEP_MS) + 1
            }
            None => MAX_SLEEP_MS,
        }
    }

    fn pop_due(&self, now: Millis) -> Option<Entry> {
        let mut heap = self.heap();
        let due = heap.entries.peek()?.0.due;
        if due > now {
            return None;
        }
        heap.entries.pop().map(|Reverse(entry)| entry)
    }

    fn heap(&self) -> MutexGuard<'_, Heap> {
        self.0.heap.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A future that resolves when its deadline is reached.
#[derive(Debug)]
pub struct Subscription(oneshot::Receiver<()>);

impl Future for Subscription {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}
