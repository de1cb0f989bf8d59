/// How grave a failure is for the trust in an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No connection, or one that fell silent: probably gone.
    Unreachable,
    /// An answer that broke off or was not one.
    BadResponse,
    /// The endpoint said that it is full.
    Full,
}

/// First pause after an unreachable endpoint, in milliseconds. About as long
/// as its restart takes at least.
const UNREACHABLE_MS: u64 = 500;

/// First pause after a bad answer. Such answers are single events on sound
/// endpoints too, so that the pause only spreads the next requests.
const BAD_ANSWER_MS: u64 = 100;

/// Pause of an endpoint that is full: one or two steps of a stream.
const FULL_MS: u64 = 60;

/// Longest pause, so that an endpoint that is back is found within seconds.
const LONGEST_MS: u64 = 4_000;

/// Failures after which the pause grows no more.
const DOUBLINGS: u32 = 3;

impl FailureKind {
    /// Returns the pause after the given number of earlier failures in a
    /// row.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_fleet::FailureKind;
    ///
    /// let first = FailureKind::Unreachable.backoff_ms(0);
    /// assert_eq!(FailureKind::Unreachable.backoff_ms(2), 4 * first);
    /// assert_eq!(FailureKind::Full.backoff_ms(9), FailureKind::Full.backoff_ms(0));
    /// ```
    pub fn backoff_ms(self, failures_before: u32) -> u64 {
        let doubled = |ms: u64| ms << failures_before.min(DOUBLINGS);
        match self {
            FailureKind::Unreachable => {
                doubled(UNREACHABLE_MS).min(LONGEST_MS)
            }
            FailureKind::BadResponse => doubled(BAD_ANSWER_MS).min(LONGEST_MS),
            FailureKind::Full => FULL_MS,
        }
    }
}
