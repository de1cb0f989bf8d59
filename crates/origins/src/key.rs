use base::stable_hash;
use serde::{Deserialize, Serialize};

/// Identifies a client attempt, the same on all nodes.
///
/// The key is a hash of the customer and the attempt's id, since each customer
/// chooses its ids itself. Among the attempts of a few seconds two share a key
/// with a negligible probability, and the client of such a stream then gets a
/// refusal at worst, because the origins differ or are equal.
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
pub struct AttemptKey(u64);

impl AttemptKey {
    /// Returns the key of a customer's attempt.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_origins::AttemptKey;
    ///
    /// let key = AttemptKey::new("alama", "a1");
    /// assert_eq!(key, AttemptKey::new("alama", "a1"));
    /// assert_ne!(key, AttemptKey::new("taevakorv", "a1"));
    /// ```
    pub fn new(customer: &str, attempt: &str) -> Self {
        Self(stable_hash(&[customer, attempt]))
    }

    /// Returns the key as a number.
    #[inline]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}
