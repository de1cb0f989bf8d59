use std::collections::VecDeque;

/// Entries kept for one span of lag.
const ENTRIES_PER_LAG: u64 = 8;

/// Shows a value as it was some time ago.
#[derive(Debug)]
pub(super) struct Lagged<T> {
    lag_us: u64,
    past: VecDeque<(u64, T)>,
    shown: T,
}

impl<T: Copy> Lagged<T> {
    pub(super) fn new(lag_ms: u64, first: T) -> Self {
        Self {
            lag_us: lag_ms.saturating_mul(1_000),
            past: VecDeque::new(),
            shown: first,
        }
    }

    /// Remembers the value at `now_us`.
    ///
    /// Changes that follow each other closely share an entry, which bounds
    /// the memory; the last of them wins, so that a burst's end is not lost.
    pub(super) fn record(&mut self, now_us: u64, value: T) {
        if self.lag_us == 0 {
            self.shown = value;
            return;
        }
        match self.past.back_mut() {
            Some((at_us, last))
                if *at_us + self.lag_us / ENTRIES_PER_LAG > now_us =>
            {
                *last = value;
            }
            _ => self.past.push_back((now_us, value)),
        }
        self.settle(now_us);
    }

    /// Returns the value of the lag ago.
    pub(super) fn show(&mut self, now_us: u64) -> T {
        self.settle(now_us);
        self.shown
    }

    fn settle(&mut self, now_us: u64) {
        while let Some((at_us, value)) = self.past.front().copied() {
            if at_us + self.lag_us > now_us {
                return;
            }
            self.shown = value;
            self.past.pop_front();
        }
    }
}
