use budget::{BodyPace, MemoryShares};
use pass::LingerLimits;

/// What callers may make a node hold, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Shares of the machine's memory.
    pub memory: MemoryShares,
    /// Time in which the body of a request has to arrive.
    pub body_pace: BodyPace,
    /// Time for which a caller may read nothing of a response, in milliseconds.
    pub read_timeout_ms: u64,
    /// How long a caller that was refused may go on sending.
    pub linger: LingerLimits,
}

/// Default time for which a caller may read nothing of a response: callers
/// give up a stream after a pause of a few seconds.
const READ_TIMEOUT_MS: u64 = 30_000;

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            memory: MemoryShares::default(),
            body_pace: BodyPace::default(),
            read_timeout_ms: READ_TIMEOUT_MS,
            linger: LingerLimits::default(),
        }
    }
}
