use base::{RequestDigest, stable_hash};
use serde::{Deserialize, Serialize};

/// Identifies a stream, the same on all nodes: by the client attempt that
/// received its first event, or by the content of its request.
///
/// The key is a hash. Among the streams of a few seconds two share a key with a
/// negligible probability, and at worst their clients are refused, because
/// different origins contradict each other.
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
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that a customer's attempt began.
    ///
    /// Each customer chooses the ids of its attempts itself.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_origins::StreamKey;
    ///
    /// let key = StreamKey::of_attempt("alama", "a1");
    /// assert_eq!(key, StreamKey::of_attempt("alama", "a1"));
    /// assert_ne!(key, StreamKey::of_attempt("taevakorv", "a1"));
    /// ```
    pub fn of_attempt(customer: &str, attempt: &str) -> Self {
        Self(stable_hash(&["attempt", customer, attempt]))
    }

    /// Returns the key of the streams with a request and a prompt.
    ///
    /// Clients that do not name their first attempt send the same request
    /// again. Streams of equal requests cannot be told apart, and are resumed
    /// only while all of them began at the same version.
    pub fn of_content(request: RequestDigest, prompt: &str) -> Self {
        Self(stable_hash(&["content", &request.to_string(), prompt]))
    }

    /// Returns the key as a number.
    #[inline]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

/// What is known of a stream that a client resumes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamId {
    /// The attempt that began it, which began no other stream.
    Attempt(StreamKey),
    /// The content of its request, which other streams may have as well.
    Content(StreamKey),
}

impl StreamId {
    /// Returns the key under which the origin of the stream is stored.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_origins::{StreamId, StreamKey};
    ///
    /// let key = StreamKey::of_attempt("alama", "a1");
    /// assert_eq!(StreamId::Attempt(key).key(), key);
    /// ```
    pub fn key(self) -> StreamKey {
        match self {
            Self::Attempt(key) | Self::Content(key) => key,
        }
    }
}

/// The keys under which the origin of a stream is stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamKeys {
    /// The key of the attempt that began the stream.
    pub attempt: StreamKey,
    /// The key of the content of its request.
    pub content: StreamKey,
}

impl StreamKeys {
    /// Returns both keys.
    pub fn all(self) -> [StreamKey; 2] {
        [self.attempt, self.content]
    }
}
