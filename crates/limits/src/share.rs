use serde::{Deserialize, Serialize};

/// One entry's part of a limit that holds over the fleet.
///
/// A limit is split evenly over the live entries, without a message per
/// request: 1,900 requests a second over 340 entries would make a shared
/// counter the busiest part of the system, and its outage everybody's. The
/// balancer spreads callers evenly, but not exactly, so each entry may
/// *overcommit*: its part is raised by a fixed share, which bounds the whole at
/// `1 + overcommit` times the limit while every entry is at its part. An entry
/// that sees too few others, for example after a partition, gives out more
/// than its part; the count should therefore fall slowly and rise at once,
/// which [`EntryCount`] does.
///
/// # Example
///
/// ```
/// use pomeloslip_limits::LimitShare;
///
/// let share = LimitShare::new(4);
/// assert_eq!(share.rate(100.0), 30.0); // 25 and a fifth of it borrowed
/// assert_eq!(share.count(100), 30);
/// assert_eq!(share.count(2), 1); // never less than one
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitShare {
    entries: u32,
    #[serde(rename = "borrow")]
    overcommit: f64,
}

impl LimitShare {
    /// Share of its part that an entry borrows.
    ///
    /// With n callers spread over the entries at random, an entry sees its
    /// mean ± 1/sqrt(mean); a fifth covers one standard deviation from 25
    /// requests on.
    pub const DEFAULT_OVERCOMMIT: f64 = 0.2;

    /// Makes the share of one among live entries; 0 is taken as 1.
    pub fn new(entries: u32) -> Self {
        let entries = entries.max(1);
        let overcommit = Self::DEFAULT_OVERCOMMIT;
        Self {
            entries,
            overcommit,
        }
    }

    /// Changes what is borrowed; below 0 is taken as 0.
    pub fn with_overcommit(self, overcommit: f64) -> Self {
        let overcommit = overcommit.max(0.0);
        Self { overcommit, ..self }
    }

    /// Returns this entry's part of a rate.
    pub fn rate(self, whole: f64) -> f64 {
        if self.entries == 1 {
            return whole;
        }
        let part = whole / f64::from(self.entries);
        (part * (1.0 + self.overcommit)).min(whole)
    }

    /// Returns this entry's part of a count: rounded up and at least 1, else
    /// a small limit over many entries would let nobody through. The whole
    /// can then reach the number of entries.
    pub fn count(self, whole: u32) -> u32 {
        let part = self.rate(f64::from(whole));
        // Nearly whole numbers come from the borrowed share, not callers.
        let part = (part - 1e-9).ceil().max(1.0) as u32;
        part.min(whole)
    }
}

/// Counts live entries: more at once, fewer only after a while.
///
/// The platform's list lags and a restart takes an entry away for seconds.
/// If the count fell at once, the others would give out its part while it
/// still does.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_limits::EntryCount;
///
/// let mut count = EntryCount::new(2, 30_000);
/// count.observe(4, Millis::new(0));
/// count.observe(3, Millis::new(10_000));
/// assert_eq!(count.get(), 4);
/// count.observe(3, Millis::new(40_000));
/// assert_eq!(count.get(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct EntryCount {
    count: u32,
    hold_ms: u64,
    lower: Option<Lower>,
}

/// A lower count that has not held for long enough yet.
#[derive(Clone, Copy, Debug)]
struct Lower {
    since: base::Millis,
    /// The highest that was seen since.
    highest: u32,
}

impl EntryCount {
    /// Starts at a count; a lower one must hold for `hold_ms`.
    pub fn new(count: u32, hold_ms: u64) -> Self {
        let count = count.max(1);
        let lower = None;
        Self {
            count,
            hold_ms,
            lower,
        }
    }

    /// Returns the count, at least 1.
    #[inline]
    pub fn get(&self) -> u32 {
        self.count
    }

    /// Takes what the list of machines shows now.
    pub fn observe(&mut self, live: u32, now: base::Millis) {
        let live = live.max(1);
        if live >= self.count {
            self.count = live;
            self.lower = None;
            return;
        }
        let start = Lower {
            since: now,
            highest: live,
        };
        let lower = self.lower.get_or_insert(start);
        lower.highest = lower.highest.max(live);
        if now.saturating_ms_since(lower.since) >= self.hold_ms {
            self.count = lower.highest;
            self.lower = None;
        }
    }
}
