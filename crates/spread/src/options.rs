/// Intervals and limits of a [`Propagator`](crate::Propagator).
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
    /// Number of relays in each failure domain.
    pub relays: usize,
    /// Number of peers that a process contacts in addition to the relays of
    /// its domain.
    pub fanout: usize,
    /// Interval between exchanges, each with one peer, in milliseconds.
    pub exchange_interval_ms: u64,
    /// Interval between exchanges while no revision is in force, in
    /// milliseconds.
    pub initial_exchange_interval_ms: u64,
    /// Time without contact after which a process counts as gone, in
    /// milliseconds.
    pub member_ttl_ms: u64,
    /// Time after which a peer that did not respond is retried, in
    /// milliseconds.
    pub peer_retry_ms: u64,
    /// Number of peer responses that are awaited before the first revision is
    /// applied, unless the key-value service provided one.
    pub settle_responses: usize,
    /// Maximum wait for these responses, in milliseconds.
    pub settle_ms: u64,
    /// Time after the start during which this process is no relay, in
    /// milliseconds: a process that knows no others would elect itself.
    pub discovery_ms: u64,
    /// Number of exchanges per request for membership hints.
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
