//! Reports results to the entries that granted the items.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::{Millis, timer::Timer};
use tokio::sync::mpsc;
use wire::{Links, message::ItemResult};

/// Time for which results are collected, in milliseconds. The entry commits
/// in groups of four a second, so that this is not seen.
const COLLECT_MS: u64 = 20;

/// Most results and bytes of one message.
const RESULTS_MAX: usize = 64;
const BYTES_MAX: usize = 1 << 20;

/// Pauses between attempts, in milliseconds.
const PAUSE_MIN_MS: u64 = 200;
const PAUSE_MAX_MS: u64 = 2_000;

struct Due {
    result: ItemResult,
    /// The item is granted to another companion from then on.
    until: Millis,
}

/// Collects results per entry and sends them until each has arrived or its
/// grant has ended.
pub(crate) struct Reports {
    links: Links,
    timer: Timer,
    queues: Mutex<HashMap<SocketAddr, mpsc::UnboundedSender<Due>>>,
    open: AtomicUsize,
}

impl Reports {
    pub(crate) fn new(links: Links, timer: Timer) -> Arc<Self> {
        Arc::new(Self {
            links,
            timer,
            queues: Mutex::default(),
            open: AtomicUsize::new(0),
        })
    }

    /// Sends a result to an entry in the background.
    pub(crate) fn send(
        self: &Arc<Self>,
        entry: SocketAddr,
        result: ItemResult,
        until: Millis,
    ) {
        self.open.fetch_add(1, Ordering::AcqRel);
        let queues = self.queues.lock();
        let mut queues = queues.unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(entry).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(self.clone().work(entry, receiver));
            sender
        });
        // Its task ends only with the queue.
        let _ = queue.send(Due { result, until });
    }

    /// Tells whether results are on their way.
    pub(crate) fn is_busy(&self) -> bool {
        self.open.load(Ordering::Acquire) > 0
    }

    /// Ends the tasks once they have nothing left to send.
    pub(crate) fn close(&self) {
        let queues = self.queues.lock();
        queues.unwrap_or_else(PoisonError::into_inner).clear();
    }

    async fn work(
        self: Arc<Self>,
        entry: SocketAddr,
        mut queue: mpsc::UnboundedReceiver<Due>,
    ) {
        while let Some(first) = queue.recv().await {
            self.timer.subscribe_in_ms(COLLECT_MS).await;
            let mut bytes = first.result.body.len();
            let mut group = vec![first];
            while group.len() < RESULTS_MAX && bytes < BYTES_MAX {
                let Ok(next) = queue.try_recv() else { break };
                bytes += next.result.body.len();
                group.push(next);
            }
            let count = group.len();
            self.deliver(entry, group).await;
            self.open.fetch_sub(count, Ordering::AcqRel);
        }
    }

    /// Repeats until the entry has taken the group: an entry that restarts
    /// or is cut off for a moment must not cost the work of its items.
    async fn deliver(&self, entry: SocketAddr, mut group: Vec<Due>) {
        let mut pause_ms = PAUSE_MIN_MS;
        loop {
            let results = group.iter().map(|due| due.result.clone());
            match self.links.results(entry, results.collect()).await {
                Ok(_) => return,
                Err(error) => log::debug!(error:?, entry:%; "cannot report"),
            }
            self.timer.subscribe_in_ms(pause_ms).await;
            pause_ms = (pause_ms * 2).min(PAUSE_MAX_MS);
            let now = self.timer.now();
            let before = group.len();
            group.retain(|due| due.until > now);
            let dropped = before - group.len();
            if dropped > 0 {
                // The entry is gone; the items are granted again.
                log::warn!(entry:%, dropped; "results are dropped");
            }
            if group.is_empty() {
                return;
            }
        }
    }
}
