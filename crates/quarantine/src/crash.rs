use base::{UnixMillis, stable_hash};
use serde::{Deserialize, Serialize};

/// Tells an endpoint from all others.
///
/// It may stand for one life of the endpoint or for all of them: crashes of
/// one endpoint are told apart by their time.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct CrashedEndpoint(u64);

impl CrashedEndpoint {
    /// Wraps a number that all nodes find for the same endpoint.
    pub fn new(id: u64) -> Self {
        Self(id)
    }

    /// Makes the number of a name.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(&[name]))
    }
}

/// A run of a request that was cut off by the crash of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: CrashedEndpoint,
    /// When the request was sent there.
    pub began_at: UnixMillis,
    /// When its connection broke.
    pub ended_at: UnixMillis,
    /// How much of the answer was there before the run; 0 unless a stream
    /// was resumed.
    pub resumed_after: u64,
    /// How much of the answer was there when the run ended, in the same
    /// unit.
    pub reached: u64,
}

/// How much longer than another run one has to last to refute that one.
const OUTLASTS_TIMES: u64 = 2;

/// What a crash counts before which the request made no progress.
const SCORE_IDLE: u32 = 2;

/// What a crash counts before which it did. What crashes an endpoint mostly
/// does so as it begins; what merely runs there is anywhere in its answer.
const SCORE_WITH_PROGRESS: u32 = 1;

/// How far apart nodes notice the same crash at the most, in milliseconds.
const SAME_CRASH_MS: u64 = 250;

impl Crash {
    /// Tells whether two runs were cut off by the same crash.
    pub fn is_same(&self, other: &Crash) -> bool {
        self.endpoint == other.endpoint
            && self.ended_at.abs_diff_ms(other.ended_at) <= SAME_CRASH_MS
    }

    /// Returns how long the run lasted, in milliseconds.
    pub fn ran_ms(&self) -> u64 {
        self.ended_at.saturating_ms_since(self.began_at)
    }

    /// Returns how much the run added to the answer.
    pub fn progress(&self) -> u64 {
        self.reached.saturating_sub(self.resumed_after)
    }

    /// Returns how strongly the crash speaks against the request.
    pub fn score(&self) -> u32 {
        match self.progress() {
            0 => SCORE_IDLE,
            _ => SCORE_WITH_PROGRESS,
        }
    }

    /// Tells whether the run began when the other one had ended.
    ///
    /// Runs that overlap may have been ended by one event, such as the loss
    /// of a rack, however many endpoints it takes.
    pub fn follows(&self, earlier: &Crash) -> bool {
        self.began_at >= earlier.ended_at
    }

    /// Tells whether the run got well past the point at which another one
    /// ended, before or after it.
    ///
    /// A request that crashes whatever runs it does so at about the same
    /// point each time. A little progress between two crashes proves nothing:
    /// each run of a resumed stream begins behind the one before.
    pub fn refutes(&self, other: &Crash) -> bool {
        self.resumed_after <= other.reached
            && self.reached > other.reached
            && self.ran_ms() >= OUTLASTS_TIMES * other.ran_ms()
    }
}
