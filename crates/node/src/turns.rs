//! When a node reads what several nodes read in turn.

use base::Millis;

/// Time by which readers of different turns are apart, in milliseconds: what
/// one has read must have reached the others before they read it as well.
const STEP_MS: u64 = 100;

/// Time by which readers of the same turn are apart, in milliseconds. All
/// that start at once are of one turn.
const TIE_MS: u64 = 25;

/// A reader among those that take turns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Place {
    /// Its place among them.
    pub(crate) at: usize,
    /// How many there are.
    pub(crate) readers: usize,
}

/// Lets several readers of the same thing read it in turn.
///
/// Each passes on what it reads, so that all know it as young as the last
/// read of any of them. Whoever has read longest ago goes next; if it does
/// not, the one after it does a moment later. So reads are as frequent as
/// those of one reader, each reader makes one in as many as there are, and a
/// lost one costs a moment once in each round.
///
/// Rejected: a part of the keys for each reader. All of them would make a call
/// in each period, and calls are what costs; and a part of which the reader
/// is lost would be behind for all.
///
/// # Example
///
/// ```ignore
/// let mut turns = Turns::new(600);
/// let first_of_two = Place { at: 0, readers: 2 };
/// let now = Millis::new(10_000);
/// assert_eq!(turns.wait_ms(first_of_two, None, now), 0);
/// turns.note_read(now);
/// // The other one is next.
/// assert!(turns.wait_ms(first_of_two, Some(now), now) > 600);
/// ```
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turns {
    period_ms: u64,
    read_at: Option<Millis>,
}

impl Turns {
    /// Has something read every `period_ms`.
    pub(crate) fn new(period_ms: u64) -> Self {
        Self {
            period_ms: period_ms.max(1),
            read_at: None,
        }
    }

    /// Takes note of an own read.
    pub(crate) fn note_read(&mut self, now: Millis) {
        self.read_at = Some(now);
    }

    /// Returns in how many milliseconds this node is to read, unless another
    /// reader does before: 0 for now. `fresh_at` is the moment of which all
    /// is known.
    pub(crate) fn wait_ms(
        &self,
        place: Place,
        fresh_at: Option<Millis>,
        now: Millis,
    ) -> u64 {
        let Some(fresh_at) = fresh_at else {
            return 0;
        };
        let rounds = self.read_at.map_or(u64::MAX, |read_at| {
            fresh_at.saturating_ms_since(read_at) / self.period_ms
        });
        let readers = place.readers as u64;
        let turn = readers.saturating_sub(rounds.saturating_add(1));
        let apart_ms = turn * STEP_MS + place.at as u64 * TIE_MS;
        let due_at = fresh_at.saturating_add_ms(self.period_ms + apart_ms);
        due_at.saturating_ms_since(now)
    }
}

#[cfg(test)]
#[path = "../tests/unit/turns.rs"]
mod tests;
