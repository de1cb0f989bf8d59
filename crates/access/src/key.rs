use std::{error, fmt};

use base::KeyDigest;

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A key by which a customer's callers are known.
///
/// Only the digest is kept: whoever sees a log, a dump of memory or the
/// output of `Debug` cannot call with it.
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
    /// Digests a key as it stands in a header or a configuration.
    ///
    /// # Errors
    ///
    /// [`ApiKeyError`] for a text that no configuration can hold as a key.
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

/// Why what a caller or a configuration gives is no key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApiKeyError {
    /// Multiple keys in one request; which one counts would be a guess.
    Multiple,
    /// No character.
    Empty,
    /// More bytes than any key has.
    TooLong,
    /// Something else than visible ASCII characters.
    InvalidCharacter,
}

impl ApiKeyError {
    /// Returns the error as text for answers and logs.
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
