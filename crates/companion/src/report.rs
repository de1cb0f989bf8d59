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

/// Time for which results are batched, in milliseconds. The entry commits
/// four groups a second, so this delay is negligible.
const COLLECT_MS: u64 = 20;

/// Maximum number and total bytes of the results in one message.
const MAX_RESULTS: usize = 64;
const MAX_BYTES: usize = 1 << 20;

/// Limits of the backoff between attempts, in milliseconds.
const MIN_PAUSE_MS: u64 = 200;
const MAX_PAUSE_MS: u64 = 2_000;

struct PendingResult {
    result: ItemResult,
    /// Time at which the grant expires; after it, the item may be granted to
    /// another companion.
    expires_at: Millis,
}

/// Batches results per entry and resends each until it is delivered or its
/// grant has expired.
pub(crate) struct Reports {
    links: Links,
    timer: Timer,
    queues: Mutex<HashMap<SocketAddr, mpsc::UnboundedSender<PendingResult>>>,
    /// Results that are not delivered or dropped yet.
    unsent: AtomicUsize,
}

impl Reports {
    pub(crate) fn new(links: Links, timer: Timer) -> Arc<Self> {
        Arc::new(Self {
            links,
            timer,
            queues: Mutex::default(),
            unsent: AtomicUsize::new(0),
        })
    }

    /// Sends a result to an entry in the background.
    pub(crate) fn send(
        self: &Arc<Self>,
        entry: SocketAddr,
        result: ItemResult,
        expires_at: Millis,
    ) {
        self.unsent.fetch_add(1, Ordering::AcqRel);
        let queues = self.queues.lock();
        let mut queues = queues.unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(entry).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(self.clone().run_queue(entry, receiver));
            sender
        });
        // The task ends only when its queue closes.
        let _ = queue.send(PendingResult { result, expires_at });
    }

    /// Returns whether results are still to be sent.
    pub(crate) fn is_busy(&self) -> bool {
        self.unsent.load(Ordering::Acquire) > 0
    }

    /// Ends the tasks once their queues are empty.
    pub(crate) fn close(&self) {
        let queues = self.queues.lock();
        queues.unwrap_or_else(PoisonError::into_inner).clear();
    }

    async fn run_queue(
        self: Arc<Self>,
        entry: SocketAddr,
        mut queue: mpsc::UnboundedReceiver<PendingResult>,
    ) {
        while let Some(first) = queue.recv().await {
            self.timer.subscribe_in_ms(COLLECT_MS).await;
            let mut bytes = first.result.body.len();
            let mut group = vec![first];
            while group.len() < MAX_RESULTS && bytes < MAX_BYTES {
                let Ok(next) = queue.try_recv() else { break };
                bytes += next.result.body.len();
                group.push(next);
            }
            let count = group.len();
            self.deliver(entry, group).await;
            self.unsent.fetch_sub(count, Ordering::AcqRel);
        }
    }

    /// Retries until the entry has received the group: a restart or a short
    /// network failure of an entry must not lose the results of its items.
    async fn deliver(&self, entry: SocketAddr, mut group: Vec<PendingResult>) {
        let mut pause_ms = MIN_PAUSE_MS;
        loop {
            let results = group.iter().map(|pending| pending.result.clone());
            match self.links.results(entry, results.collect()).await {
                Ok(_) => return,
                Err(error) => log::debug!(error:?, entry:%; "cannot report"),
            }
            self.timer.subscribe_in_ms(pause_ms).await;
            pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
            let now = self.timer.now();
            let before = group.len();
            group.retain(|pending| pending.expires_at > now);
            let dropped = before - group.len();
            if dropped > 0 {
                // The entry does not respond; the items are granted again.
                log::warn!(
                    entry:%, dropped;
                    "dropped results of expired grants"
                );
            }
            if group.is_empty() {
                return;
            }
        }
    }
}
