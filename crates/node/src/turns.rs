//! Round-robin scheduling of reads that several nodes make in turn.

use base::Millis;

/// Delay between the turns of consecutive readers, in milliseconds, if the
/// earlier one misses its turn. A read has to reach the other readers within
/// this time, or they read as well.
const TURN_DELAY_MS: u64 = 100;

/// A position in the round robin of readers: the nodes that read the key-value
/// service on behalf of others.
///
/// Each reader passes on what it reads, so that all readers are as fresh as
/// the last read of any of them. The reader after the one that read last is
/// next; if it does not read, the reader after it does so one step later. So
/// all readers together read as often as a single one, and share the reads
/// evenly.
///
/// All other readers query the next one, so that they receive its read at
/// once. If each queried any other reader, three of four would wait for each
/// other while the fourth one reads, and the fleet's data would be half a
/// second older.
///
/// Rejected: sharding the keys over the readers. Every reader would then make
/// a call in each period, and calls are what costs; the loss of a reader would
/// make its shard stale for all nodes.
///
/// # Example
///
/// ```ignore
/// let second_of_three = RoundRobinSlot { index: 1, readers: 3 };
/// let read_at = Millis::new(10_000);
/// // The first one has read last.
/// assert_eq!(second_of_three.wait_ms(Some(0), 600, read_at, read_at), 600);
/// assert_eq!(second_of_three.nth_reader(Some(0), 0), 1);
/// // This reader has read last, so the third one is next.
/// assert_eq!(second_of_three.wait_ms(Some(1), 600, read_at, read_at), 800);
/// assert_eq!(second_of_three.nth_reader(Some(1), 0), 2);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RoundRobinSlot {
    /// Index of this reader.
    pub(crate) index: usize,
    /// Number of readers.
    pub(crate) readers: usize,
}

impl RoundRobinSlot {
    /// Returns the index of the reader that is `nth` to read after `last`,
    /// counted from 0. If `last` is unknown, the first reader is next.
    pub(crate) fn nth_reader(self, last: Option<usize>, nth: usize) -> usize {
        let next = last.map_or(0, |last| last + 1);
        (next + nth) % self.readers.max(1)
    }

    /// Returns in how many milliseconds this reader has to read, unless
    /// another one does before: 0 for now. `fresh_at` is the time up to which
    /// the last read contains all changes.
    pub(crate) fn wait_ms(
        self,
        last: Option<usize>,
        period_ms: u64,
        fresh_at: Millis,
        now: Millis,
    ) -> u64 {
        let next = self.nth_reader(last, 0);
        let turns_before =
            (self.index + self.readers - next) % self.readers.max(1);
        let delay_ms = turns_before as u64 * TURN_DELAY_MS;
        let due_at = fresh_at.saturating_add_ms(period_ms + delay_ms);
        due_at.saturating_ms_since(now)
    }
}

#[cfg(test)]
#[path = "../tests/unit/turns.rs"]
mod tests;
