/// Pauses and counts of a [`Spread`](crate::Spread).
///
/// # Example
///
/// ```
/// use pomeloslip_spread::Options;
///
/// let options = Options { fanout: 3, ..Options::default() };
/// assert_eq!(options.relays, 2);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Relays in each failure domain.
    pub relays: usize,
    /// Neighbours that a process talks to, beside the relays of its domain.
    pub fanout: usize,
    /// Pause between two comparisons with a neighbour.
    pub ask_ms: u64,
    /// The same while nothing is in force.
    pub ask_first_ms: u64,
    /// Silence after which a process counts as gone.
    pub live_ms: u64,
    /// Pause before a neighbour that did not answer is tried again.
    pub down_ms: u64,
    /// Answers of neighbours that are awaited before the first revision is
    /// applied, unless the service gave one.
    pub settle_answers: usize,
    /// Longest wait for them.
    pub settle_ms: u64,
    /// Time after the start in which nobody is a relay: who knows nobody
    /// would take itself for one.
    pub learn_ms: u64,
    /// Hints about other processes are asked for in each of this many
    /// comparisons.
    pub hints_every: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            relays: 2,
            fanout: 5,
            ask_ms: 1_000,
            ask_first_ms: 100,
            live_ms: 30_000,
            down_ms: 3_000,
            settle_answers: 3,
            settle_ms: 1_000,
            learn_ms: 6_000,
            hints_every: 4,
        }
    }
}
