//! Which entry is asked for work next, and when.

use std::net::SocketAddr;

use base::Millis;

/// Longest pause between two pulls without work, in milliseconds.
///
/// With 2,200 companions of which all are idle this is 1,100 pulls a second,
/// three a second at each of 340 entries.
const PAUSE_MAX_MS: u64 = 2_000;

/// Shortest pause, whatever the entry says.
const PAUSE_MIN_MS: u64 = 50;

/// Pause of an entry that did not answer, in milliseconds.
const SILENT_MS: u64 = 5_000;

struct Asked {
    entry: SocketAddr,
    /// A pull is under way.
    pending: bool,
    /// It had work at the last pull.
    has_work: bool,
    not_before: Millis,
}

/// The entries in turn, the one that last had work first.
pub(crate) struct Rota {
    entries: Vec<Asked>,
    at: usize,
    pause_ms: u64,
    not_before: Millis,
    empty_in_row: usize,
}

impl Rota {
    /// Begins with one entry, so that companions that start together begin
    /// at different ones.
    pub(crate) fn new(entries: &[SocketAddr], first: usize) -> Self {
        let asked = |entry: &SocketAddr| Asked {
            entry: *entry,
            pending: false,
            has_work: false,
            not_before: Millis::new(0),
        };
        Self {
            at: first % entries.len().max(1),
            entries: entries.iter().map(asked).collect(),
            pause_ms: 0,
            not_before: Millis::new(0),
            empty_in_row: 0,
        }
    }

    /// Returns the entry to ask now and notes that it is being asked.
    pub(crate) fn next(&mut self, now: Millis) -> Option<SocketAddr> {
        let free = |asked: &Asked| !asked.pending && now >= asked.not_before;
        let has_work = |asked: &Asked| asked.has_work && free(asked);
        let found = match self.entries.iter().position(has_work) {
            Some(at) => at,
            None if now < self.not_before => return None,
            None => {
                let count = self.entries.len();
                let turns = (0..count).map(|n| (self.at + n) % count);
                let mut free = turns.filter(|at| free(&self.entries[*at]));
                let at = free.next()?;
                self.at = (at + 1) % count;
                at
            }
        };
        let asked = &mut self.entries[found];
        asked.pending = true;
        Some(asked.entry)
    }

    /// Takes an answer: the items that it brought, and the entry's word on
    /// when to ask again. `jitter` is between 0 and 1.
    pub(crate) fn answered(
        &mut self,
        entry: SocketAddr,
        now: Millis,
        items: usize,
        next_in_ms: u32,
        jitter: f64,
    ) {
        let count = self.entries.len();
        let Some(asked) = self.asked(entry) else {
            return;
        };
        asked.pending = false;
        asked.has_work = items > 0;
        if items > 0 {
            self.pause_ms = 0;
            self.empty_in_row = 0;
            self.not_before = now;
            return;
        }
        // A round of all entries goes without a pause after there was work;
        // else work at another entry would wait for the pauses.
        self.empty_in_row += 1;
        if self.empty_in_row < count.min(ROUND_MAX) {
            return;
        }
        let hint_ms = u64::from(next_in_ms);
        let pause_ms = (self.pause_ms * 2).max(hint_ms);
        self.pause_ms = pause_ms.clamp(PAUSE_MIN_MS, PAUSE_MAX_MS);
        // Without jitter, companions that were idled by the same end of a
        // job would ask together for ever.
        let ms = self.pause_ms as f64 * (0.5 + jitter);
        self.not_before = now.saturating_add_ms(ms as u64);
    }

    /// Notes that an entry did not answer.
    pub(crate) fn silent(&mut self, entry: SocketAddr, now: Millis) {
        if let Some(asked) = self.asked(entry) {
            asked.pending = false;
            asked.has_work = false;
            asked.not_before = now.saturating_add_ms(SILENT_MS);
        }
    }

    fn asked(&mut self, entry: SocketAddr) -> Option<&mut Asked> {
        self.entries.iter_mut().find(|asked| asked.entry == entry)
    }
}

/// Most entries that are asked in a row without a pause.
const ROUND_MAX: usize = 8;
