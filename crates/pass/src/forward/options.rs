/// Limits of request forwarding.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderOptions {
    /// Streams that may queue at an endpoint beyond its slots.
    pub stream_queue: u32,
    /// Other requests, which are short, that may queue likewise.
    pub plain_queue: u32,
    /// Maximum offers of one request to endpoints, including those that
    /// ended without a run.
    pub max_offers: u32,
    /// Fraction of the latency objective that a request may wait for
    /// capacity before it is refused: one part in this many.
    pub queue_wait_divisor: u64,
    /// Requests that may queue if their client is retrying: it has already
    /// waited, and a second refusal would exhaust its deadline.
    pub retry_queue: u32,
    /// Retry delay for a refused client if no endpoint of its service is
    /// known.
    pub retry_after_ms: u64,
    /// Retry delay at a node that does not know any endpoint yet.
    pub startup_retry_after_ms: u64,
}

impl Default for ForwarderOptions {
    /// One queued stream starts within its objective, because several slots
    /// of a full engine become free within that time; a second one is late. A
    /// refusal within an eighth of the objective leaves the client time for a
    /// retry, and a burst has often passed within a second. A node that has
    /// just started learns of its first endpoints sooner than that.
    fn default() -> Self {
        Self {
            stream_queue: 1,
            plain_queue: 10,
            max_offers: 4,
            queue_wait_divisor: 8,
            retry_queue: 12,
            retry_after_ms: 1_000,
            startup_retry_after_ms: 500,
        }
    }
}
