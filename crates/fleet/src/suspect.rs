/// Kind of a failure, which determines how long the endpoint is avoided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No connection, or no response on it: the endpoint is probably gone.
    Unreachable,
    /// A connection, and no response on it for a while: the endpoint may be
    /// sound and go on.
    Silent,
    /// A response that was truncated or invalid.
    BadResponse,
    /// The endpoint reported that it is full.
    Full,
}

/// Initial backoff for an unreachable endpoint, in milliseconds. A restart
/// takes at least about this long.
const UNREACHABLE_BACKOFF_MS: u64 = 500;

/// Backoff for a silent endpoint, in milliseconds. It does not grow: all
/// requests that an endpoint holds report its silence at about the same time.
const SILENT_BACKOFF_MS: u64 = 500;

/// Initial backoff after a bad response, in milliseconds. Healthy endpoints
/// produce a bad response now and then, so the backoff only spreads the next
/// requests over other endpoints.
const BAD_RESPONSE_BACKOFF_MS: u64 = 100;

/// Backoff for an endpoint that is full, in milliseconds: one or two steps of
/// a stream.
const FULL_BACKOFF_MS: u64 = 60;

/// Maximum backoff, in milliseconds; a recovered endpoint is used again within
/// seconds.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Number of consecutive failures after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 3;

impl FailureKind {
    /// Returns the backoff after the given number of earlier consecutive
    /// failures.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_fleet::FailureKind;
    ///
    /// let first = FailureKind::Unreachable.backoff_ms(0);
    /// assert_eq!(FailureKind::Unreachable.backoff_ms(2), 4 * first);
    /// let full = FailureKind::Full;
    /// assert_eq!(full.backoff_ms(9), full.backoff_ms(0));
    /// ```
    pub fn backoff_ms(self, failures_before: u32) -> u64 {
        let doubled = |ms: u64| ms << failures_before.min(MAX_DOUBLINGS);
        match self {
            FailureKind::Unreachable => {
                doubled(UNREACHABLE_BACKOFF_MS).min(MAX_BACKOFF_MS)
            }
            FailureKind::BadResponse => {
                doubled(BAD_RESPONSE_BACKOFF_MS).min(MAX_BACKOFF_MS)
            }
            FailureKind::Silent => SILENT_BACKOFF_MS,
            FailureKind::Full => FULL_BACKOFF_MS,
        }
    }
}
