use std::fmt;

use serde::{Deserialize, Serialize};

/// Latency class of a request: interactive or batch.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the response.
    Online,
    /// The response is due at a deadline that may be hours away.
    Batch,
}

impl Class {
    /// All classes, [`Class::Online`] first.
    pub const ALL: [Class; 2] = [Class::Online, Class::Batch];

    /// Returns the name used in rules, metrics and messages.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_base::Class;
    ///
    /// assert_eq!(Class::Batch.as_str(), "batch");
    /// ```
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Online => "online",
            Class::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
