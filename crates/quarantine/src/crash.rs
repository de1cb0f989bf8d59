use base::{UnixMillis, stable_hash};
use serde::{Deserialize, Serialize};

/// Identifies an endpoint that crashed.
///
/// The identifier may denote one incarnation of the endpoint or all of them:
/// crashes of one endpoint are distinguished by their time.
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
    /// Creates an identifier from a number that all nodes derive for the same
    /// endpoint.
    pub fn new(id: u64) -> Self {
        Self(id)
    }

    /// Derives the identifier from the name of an endpoint.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(&[name]))
    }
}

/// A run of a request that was interrupted by a crash of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Endpoint that crashed.
    pub endpoint: CrashedEndpoint,
    /// Time at which the request was sent to the endpoint.
    pub began_at: UnixMillis,
    /// Time at which the connection was lost.
    pub ended_at: UnixMillis,
    /// Length of the response before the run; 0 unless the run resumed a
    /// stream.
    pub resumed_after: u64,
    /// Length of the response when the run ended, in the same unit.
    pub reached: u64,
}

/// Ratio of durations from which on a longer run refutes a shorter one.
const REFUTING_DURATION_FACTOR: u64 = 2;

/// Score of a crash before which the request made no progress.
const SCORE_WITHOUT_PROGRESS: u32 = 2;

/// Maximum score of a crash.
pub(crate) const MAX_CRASH_SCORE: u32 = SCORE_WITHOUT_PROGRESS;

/// Score of a crash before which the request made progress. Poison requests
/// mostly crash the endpoint as they begin; requests that merely ran there may
/// have been at any point of their response.
const SCORE_WITH_PROGRESS: u32 = 1;

/// Time after the head of a response within which a crash counts as one at
/// the beginning of the response, in milliseconds. A run that makes progress
/// for longer shows that its prompt crashes no endpoint.
pub const RESPONSE_BEGINNING_MS: u64 = 300;

/// [`Crash::resumed_after`] and [`Crash::reached`] of evidence against a part
/// if the run may not have begun.
const REACHED_NO_HEAD: u64 = 1;

/// [`Crash::reached`] of evidence against a part if the run had just begun.
const REACHED_BEGINNING: u64 = 2;

/// Maximum difference between the times at which nodes detect the same crash,
/// in milliseconds.
const SAME_CRASH_WINDOW_MS: u64 = 250;

/// Maximum difference between the times at which nodes date the same crash as
/// evidence against a part, in milliseconds. Requests with the part run on many
/// nodes, whose clocks differ, and no endpoint is back sooner.
const SAME_PART_CRASH_WINDOW_MS: u64 = 2_000;

impl Crash {
    /// Reports whether the same crash interrupted both runs.
    pub fn is_same(&self, other: &Crash) -> bool {
        self.is_same_within(other, SAME_CRASH_WINDOW_MS)
    }

    /// Reports whether the same crash interrupted runs of two requests that
    /// share a part of their prompts.
    pub fn is_same_for_part(&self, other: &Crash) -> bool {
        self.is_same_within(other, SAME_PART_CRASH_WINDOW_MS)
    }

    fn is_same_within(&self, other: &Crash, window_ms: u64) -> bool {
        self.endpoint == other.endpoint
            && self.ended_at.abs_diff_ms(other.ended_at) <= window_ms
    }

    /// Returns the duration of the run, in milliseconds.
    pub fn ran_ms(&self) -> u64 {
        self.ended_at.saturating_ms_since(self.began_at)
    }

    /// Returns the length that the run added to the response.
    pub fn progress(&self) -> u64 {
        self.reached.saturating_sub(self.resumed_after)
    }

    /// Returns the weight of the crash as evidence against the request.
    pub fn score(&self) -> u32 {
        match self.progress() {
            0 => SCORE_WITHOUT_PROGRESS,
            _ => SCORE_WITH_PROGRESS,
        }
    }

    /// Returns this crash as evidence against a part of the request's prompt,
    /// or `None` if it is no evidence.
    ///
    /// `since_head_ms` is the time between the head of the response and the
    /// crash, `None` if there was no head. A part that crashes endpoints does
    /// so as they begin to respond. The positions in the responses of several
    /// requests are not comparable, so that the evidence has none: it counts
    /// fully unless the run had just made progress. An endpoint that crashes
    /// as it begins often loses the head.
    ///
    /// # Example
    ///
    /// ```
    /// use base::UnixMillis;
    /// use pomeloslip_quarantine::{Crash, CrashedEndpoint};
    ///
    /// let crash = Crash {
    ///     endpoint: CrashedEndpoint::new(1),
    ///     began_at: UnixMillis::new(0),
    ///     ended_at: UnixMillis::new(800),
    ///     resumed_after: 0,
    ///     reached: 40,
    /// };
    /// assert!(crash.as_part_evidence(Some(700)).is_none());
    /// assert!(crash.as_part_evidence(Some(100)).is_some());
    /// ```
    pub fn as_part_evidence(
        &self,
        since_head_ms: Option<u64>,
    ) -> Option<Self> {
        let (resumed_after, reached) = match since_head_ms {
            None => (REACHED_NO_HEAD, REACHED_NO_HEAD),
            Some(_) if self.progress() == 0 => (0, 0),
            Some(since_ms) if since_ms <= RESPONSE_BEGINNING_MS => {
                (0, REACHED_BEGINNING)
            }
            Some(_) => return None,
        };
        Some(Self {
            resumed_after,
            reached,
            ..*self
        })
    }

    /// Returns the rank of this evidence against a part among that of the same
    /// crash; the lowest one counts.
    pub(crate) fn part_rank(&self) -> (u64, u64) {
        (self.progress(), self.reached)
    }

    /// Reports whether this evidence against a part is of a run that had begun
    /// to respond.
    pub(crate) fn has_begun(&self) -> bool {
        self.reached != REACHED_NO_HEAD
    }

    /// Reports whether the run shows that no part of its prompt crashes
    /// endpoints: it had made progress past the beginning of the response.
    pub fn shows_sound_prompt(&self, since_head_ms: Option<u64>) -> bool {
        let is_past_beginning = since_head_ms
            .is_some_and(|since_ms| since_ms > RESPONSE_BEGINNING_MS);
        is_past_beginning && self.progress() > 0
    }

    /// Reports whether the run began after an earlier one had ended.
    ///
    /// Runs that overlap may have been interrupted by one event, such as the
    /// loss of a rack, however many endpoints they used.
    pub fn follows(&self, earlier: &Crash) -> bool {
        self.began_at >= earlier.ended_at
    }

    /// Reports whether the run got well past the point at which another run
    /// ended. The other run may be an earlier or a later one.
    ///
    /// A poison request crashes its endpoints at about the same point each
    /// time. Little progress between two crashes refutes nothing, since each
    /// run of a resumed stream begins after the end of the previous one.
    pub fn refutes(&self, other: &Crash) -> bool {
        self.resumed_after <= other.reached
            && self.reached > other.reached
            && self.ran_ms() >= REFUTING_DURATION_FACTOR * other.ran_ms()
    }
}
