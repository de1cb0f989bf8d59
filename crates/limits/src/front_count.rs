use base::{Millis, stable_hash};
use indexmap::{IndexMap, IndexSet};

/// Time for which a front counts after it is no longer listed, in
/// milliseconds.
///
/// Longer than an outage of the key-value service: a front that is cut off
/// from the service still accepts requests and uses its share, though its
/// entry has expired.
const UNLISTED_TTL_MS: u64 = 60_000;

/// Counts the fronts that may be serving: the listed ones, and for some time
/// those that were listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrontCount {
    listed: IndexSet<u64>,
    /// When each front was found to be unlisted, by the hash of its name.
    unlisted: IndexMap<u64, Millis>,
    /// Maximum count that another node reported, and when it did.
    reported: Option<(u32, Millis)>,
}

impl FrontCount {
    /// Updates the listed fronts.
    pub(crate) fn observe(&mut self, listed: &[String], now: Millis) {
        let listed: IndexSet<u64> =
            listed.iter().map(|front| stable_hash(&[front])).collect();
        for front in self.listed.difference(&listed) {
            self.unlisted.insert(*front, now);
        }
        self.unlisted.retain(|front, _| !listed.contains(front));
        self.listed = listed;
    }

    /// Records the count of another node. A node that has just started does
    /// not know of fronts that are cut off.
    pub(crate) fn report(&mut self, fronts: u32, now: Millis) {
        let max = self.reported.map_or(0, |(max, _)| max);
        if fronts >= max {
            self.reported = Some((fronts, now));
        }
    }

    /// Removes expired entries.
    pub(crate) fn tick(&mut self, now: Millis) {
        let counts =
            |at: &Millis| now.saturating_ms_since(*at) < UNLISTED_TTL_MS;
        self.unlisted.retain(|_, at| counts(at));
        self.reported = self.reported.filter(|(_, at)| counts(at));
    }

    /// Returns the count that this node knows by itself.
    pub(crate) fn own(&self) -> u32 {
        (self.listed.len() + self.unlisted.len()) as u32
    }

    /// Returns the count, at least 1.
    pub(crate) fn get(&self) -> u32 {
        let reported = self.reported.map_or(0, |(max, _)| max);
        self.own().max(reported).max(1)
    }
}
