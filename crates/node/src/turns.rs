//! When a node reads what several nodes read in turn.

use base::Millis;

/// Time by which the turns of two readers are apart, in milliseconds, where
/// the first of them does not take it: what one has read must have reached
/// the others before they read it as well.
const STEP_MS: u64 = 100;

/// A reader among those that take turns.
///
/// Each passes on what it reads, so that all know it as young as the last
/// read of any of them. The reader after the one that has read last is next;
/// if it does not read, the one after it does a moment later. So reads are as
/// frequent as those of one reader, and each reader makes one in as many as
/// there are.
///
/// All others ask the one that is next, so that they hear of its read at once.
/// What goes wrong where each asks any other: three of four readers wait for
/// each other while the fourth one reads, and what the fleet knows is half a
/// second older.
///
/// Rejected: a part of the keys for each reader. All of them would make a call
/// in each period, and calls are what costs; and a part of which the reader
/// is lost would be behind for all.
///
/// # Example
///
/// ```ignore
/// let second_of_three = Place { at: 1, readers: 3 };
/// let read_at = Millis::new(10_000);
/// // The first one has read last.
/// assert_eq!(second_of_three.wait_ms(Some(0), 600, read_at, read_at), 600);
/// assert_eq!(second_of_three.turn_of(Some(0), 0), 1);
/// // It has read itself, so that the third one is next.
/// assert_eq!(second_of_three.wait_ms(Some(1), 600, read_at, read_at), 800);
/// assert_eq!(second_of_three.turn_of(Some(1), 0), 2);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Place {
    /// Its place among them.
    pub(crate) at: usize,
    /// How many there are.
    pub(crate) readers: usize,
}

impl Place {
    /// Returns the place of the reader that is `nth` to read after `last`,
    /// from 0 on. Where it is not known who has read last the first one is.
    pub(crate) fn turn_of(self, last: Option<usize>, nth: usize) -> usize {
        let next = last.map_or(0, |last| last + 1);
        (next + nth) % self.readers.max(1)
    }

    /// Returns in how many milliseconds this reader is to read, unless
    /// another one does before: 0 for now. `fresh_at` is the moment of which
    /// `last` knew all.
    pub(crate) fn wait_ms(
        self,
        last: Option<usize>,
        period_ms: u64,
        fresh_at: Millis,
        now: Millis,
    ) -> u64 {
        let next = self.turn_of(last, 0);
        let before = (self.at + self.readers - next) % self.readers.max(1);
        let apart_ms = before as u64 * STEP_MS;
        let due_at = fresh_at.saturating_add_ms(period_ms + apart_ms);
        due_at.saturating_ms_since(now)
    }
}

#[cfg(test)]
#[path = "../tests/unit/turns.rs"]
mod tests;
