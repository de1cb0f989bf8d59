//! Selects the entry of the next pull and its time.

use std::net::SocketAddr;

use base::Millis;

/// Maximum pause between two pulls without work, in milliseconds.
///
/// If all of 2,200 companions are idle, this causes 1,100 pulls per second:
/// three per second at each of 340 entries.
const MAX_PAUSE_MS: u64 = 2_000;

/// Minimum pause, regardless of the hint of the entry.
const MIN_PAUSE_MS: u64 = 50;

/// Backoff after an entry did not respond, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 5_000;

struct EntryState {
    entry: SocketAddr,
    /// A pull is in progress.
    pending: bool,
    /// The last pull returned items.
    has_work: bool,
    not_before: Millis,
}

/// Pulls from entries round robin, preferring the one that last had work.
pub(crate) struct PullSchedule {
    entries: Vec<EntryState>,
    next_index: usize,
    pause_ms: u64,
    not_before: Millis,
    consecutive_empty: usize,
}

impl PullSchedule {
    /// Creates a schedule that begins with the entry at index `first`, so that
    /// companions that start together begin at different entries.
    pub(crate) fn new(entries: &[SocketAddr], first: usize) -> Self {
        let entry_state = |entry: &SocketAddr| EntryState {
            entry: *entry,
            pending: false,
            has_work: false,
            not_before: Millis::new(0),
        };
        Self {
            next_index: first % entries.len().max(1),
            entries: entries.iter().map(entry_state).collect(),
            pause_ms: 0,
            not_before: Millis::new(0),
            consecutive_empty: 0,
        }
    }

    /// Returns the entry to pull from now and marks its pull as in progress.
    pub(crate) fn next(&mut self, now: Millis) -> Option<SocketAddr> {
        let is_available = |entry_state: &EntryState| {
            !entry_state.pending && now >= entry_state.not_before
        };
        let has_work = |entry_state: &EntryState| {
            entry_state.has_work && is_available(entry_state)
        };
        let index = match self.entries.iter().position(has_work) {
            Some(index) => index,
            None if now < self.not_before => return None,
            None => {
                let count = self.entries.len();
                let candidates =
                    (0..count).map(|n| (self.next_index + n) % count);
                let mut available = candidates
                    .filter(|index| is_available(&self.entries[*index]));
                let index = available.next()?;
                self.next_index = (index + 1) % count;
                index
            }
        };
        let entry_state = &mut self.entries[index];
        entry_state.pending = true;
        Some(entry_state.entry)
    }

    /// Records a reply with its number of items and the hint of the entry for
    /// the next pull. `jitter` is between 0 and 1.
    pub(crate) fn record_reply(
        &mut self,
        entry: SocketAddr,
        now: Millis,
        items: usize,
        next_in_ms: u32,
        jitter: f64,
    ) {
        let count = self.entries.len();
        let Some(entry_state) = self.entry_state(entry) else {
            return;
        };
        entry_state.pending = false;
        entry_state.has_work = items > 0;
        if items > 0 {
            self.pause_ms = 0;
            self.consecutive_empty = 0;
            self.not_before = now;
            return;
        }
        // After there was work, one round of all entries runs without a pause.
        // Otherwise work at another entry would wait for several pauses.
        self.consecutive_empty += 1;
        if self.consecutive_empty < count.min(MAX_ROUND_ENTRIES) {
            return;
        }
        let hint_ms = u64::from(next_in_ms);
        let pause_ms = (self.pause_ms * 2).max(hint_ms);
        self.pause_ms = pause_ms.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
        // Without jitter, companions that became idle at the end of the same
        // job would stay synchronized and pull at the same time.
        let ms = self.pause_ms as f64 * (0.5 + jitter);
        self.not_before = now.saturating_add_ms(ms as u64);
    }

    /// Records that an entry did not respond.
    pub(crate) fn record_failure(&mut self, entry: SocketAddr, now: Millis) {
        if let Some(entry_state) = self.entry_state(entry) {
            entry_state.pending = false;
            entry_state.has_work = false;
            entry_state.not_before = now.saturating_add_ms(FAILURE_BACKOFF_MS);
        }
    }

    fn entry_state(&mut self, entry: SocketAddr) -> Option<&mut EntryState> {
        self.entries
            .iter_mut()
            .find(|entry_state| entry_state.entry == entry)
    }
}

/// Maximum number of consecutive pulls without a pause.
const MAX_ROUND_ENTRIES: usize = 8;
