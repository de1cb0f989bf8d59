/// Pauses and counts of a [`Propagator`](crate::Propagator).
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
    pub exchange_interval_ms: u64,
    /// The same while nothing is in force.
    pub initial_exchange_interval_ms: u64,
    /// Silence after which a process counts as gone.
    pub member_ttl_ms: u64,
    /// Pause before a neighbour that did not answer is tried again.
    pub peer_retry_ms: u64,
    /// Answers of neighbours that are awaited before the first revision is
    /// applied, unless the service gave one.
    pub settle_responses: usize,
    /// Longest wait for them.
    pub settle_ms: u64,
    /// Time after the start in which nobody is a relay: who knows nobody
    /// would take itself for one.
    pub discovery_ms: u64,
    /// Hints about other processes are asked for in each of this many
    /// comparisons.
    pub exchanges_per_hints: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            relays: 2,
            fanout: 5,
            exchange_interval_ms: 1_000,
            initial_exchange_interval_ms: 100,
            member_ttl_ms: 30_000,
            peer_retry_ms: 3_000,
            settle_responses: 3,
            settle_ms: 1_000,
            discovery_ms: 6_000,
            exchanges_per_hints: 4,
        }
    }
}
