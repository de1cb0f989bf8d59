use serde::{Deserialize, Serialize};

/// One entry's share of a fleet-wide limit.
///
/// A limit is split evenly over the live entries, without a message per
/// request: at 1,900 requests per second over 340 entries, a shared counter
/// would be the busiest part of the system, and its outage would affect every
/// request. The load balancer spreads callers evenly, but not exactly, so each
/// entry may *overcommit*: its share is raised by a fixed fraction, which
/// bounds the total at `1 + overcommit` times the limit if every entry uses
/// its whole share. An entry that sees too few others, for example after a
/// partition, admits more than its share. The count should therefore decrease
/// slowly and increase at once, which [`EntryCount`] does.
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
    /// Fraction by which an entry overcommits its share.
    ///
    /// With n callers spread over the entries at random, an entry sees its
    /// mean ± 1/sqrt(mean). One fifth covers one standard deviation from 25
    /// requests on.
    pub const DEFAULT_OVERCOMMIT: f64 = 0.2;

    /// Creates the share of one of the live entries; 0 is treated as 1.
    pub fn new(entries: u32) -> Self {
        let entries = entries.max(1);
        let overcommit = Self::DEFAULT_OVERCOMMIT;
        Self {
            entries,
            overcommit,
        }
    }

    /// Changes the overcommitted fraction; below 0 is treated as 0.
    pub fn with_overcommit(self, overcommit: f64) -> Self {
        let overcommit = overcommit.max(0.0);
        Self { overcommit, ..self }
    }

    /// Returns this entry's share of a rate.
    pub fn rate(self, total: f64) -> f64 {
        if self.entries == 1 {
            return total;
        }
        let share = total / f64::from(self.entries);
        (share * (1.0 + self.overcommit)).min(total)
    }

    /// Returns this entry's share of a count, rounded up and at least 1;
    /// otherwise a small limit over many entries would admit nothing. The
    /// total can then reach the number of entries.
    pub fn count(self, total: u32) -> u32 {
        let share = self.rate(f64::from(total));
        // Results just above whole numbers are rounding errors of the
        // overcommitted fraction.
        let share = (share - 1e-9).ceil().max(1.0) as u32;
        share.min(total)
    }
}

/// Counts live entries; increases at once and decreases only after a delay.
///
/// The platform's list lags, and a restart removes an entry for seconds. If
/// the count decreased at once, the others would use the share of an entry
/// that is still using it.
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
    lower: Option<LowerCount>,
}

/// A lower count that has not lasted long enough yet.
#[derive(Clone, Copy, Debug)]
struct LowerCount {
    since: base::Millis,
    /// Maximum count seen since then.
    max_seen: u32,
}

impl EntryCount {
    /// Creates a counter. A lower count has to last for `hold_ms`.
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

    /// Updates the number of entries that the list of machines shows.
    pub fn observe(&mut self, live: u32, now: base::Millis) {
        let live = live.max(1);
        if live >= self.count {
            self.count = live;
            self.lower = None;
            return;
        }
        let start = LowerCount {
            since: now,
            max_seen: live,
        };
        let lower = self.lower.get_or_insert(start);
        lower.max_seen = lower.max_seen.max(live);
        if now.saturating_ms_since(lower.since) >= self.hold_ms {
            self.count = lower.max_seen;
            self.lower = None;
        }
    }
}
