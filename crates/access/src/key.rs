use std::{error, fmt};

use base::KeyDigest;

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An API key, which identifies the customer of a caller.
///
/// Only the digest is stored, so that logs, memory dumps and `Debug` output
/// do not disclose a usable key.
///
/// # Example
///
/// ```
/// use pomeloslip_access::{ApiKey, ApiKeyError};
///
/// let key = ApiKey::parse(b"secret")?;
/// assert_eq!(format!("{key:?}"), "ApiKey(..)");
/// assert_eq!(ApiKey::parse(b""), Err(ApiKeyError::Empty));
/// # Ok::<(), ApiKeyError>(())
/// ```
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct ApiKey(KeyDigest);

impl ApiKey {
    /// Parses and digests a key of a header or a configuration.
    ///
    /// # Errors
    ///
    /// [`ApiKeyError`] for a text that is not a valid key.
    pub fn parse(text: &[u8]) -> Result<Self, ApiKeyError> {
        if text.is_empty() {
            return Err(ApiKeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(ApiKeyError::TooLong);
        }
        match std::str::from_utf8(text) {
            Ok(text) if text.bytes().all(|byte| byte.is_ascii_graphic()) => {
                Ok(Self(KeyDigest::of_key(text)))
            }
            _ => Err(ApiKeyError::InvalidCharacter),
        }
    }

    pub(crate) fn digest(&self) -> &KeyDigest {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// The reason for which a key of a caller or a configuration is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApiKeyError {
    /// The request has several keys, which is ambiguous.
    Multiple,
    /// The key is empty.
    Empty,
    /// The key exceeds the maximum length.
    TooLong,
    /// The key has a character other than visible ASCII.
    InvalidCharacter,
}

impl ApiKeyError {
    /// Returns the text of the error for responses and logs.
    pub fn reason(self) -> &'static str {
        match self {
            ApiKeyError::Multiple => "the request has several keys",
            ApiKeyError::Empty => "the key is empty",
            ApiKeyError::TooLong => "the key is too long",
            ApiKeyError::InvalidCharacter => {
                "the key has characters that none has"
            }
        }
    }
}

impl fmt::Display for ApiKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl error::Error for ApiKeyError {}
