use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Says that a text is no key digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDigestError;

impl fmt::Display for KeyDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key digest is the SHA-256 of the key in 64 hex digits")
    }
}

impl std::error::Error for KeyDigestError {}

/// The SHA-256 digest of a bearer key.
///
/// Settings and configuration hold digests only: who reads them, or a log
/// of them, cannot call with them.
///
/// # Example
///
/// ```
/// use pomeloslip_base::KeyDigest;
///
/// let digest = KeyDigest::of_key("demo-key");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// assert!("demo-key".parse::<KeyDigest>().is_err());
/// ```
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
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key as it stands in the `Authorization` header.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    #[inline]
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        // Numbers may have a sign, digits of a digest may not.
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != DIGEST_BYTES * 2 || !is_hex {
            return Err(KeyDigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[at * 2..at * 2 + 2];
            *byte =
                u8::from_str_radix(digits, 16).map_err(|_| KeyDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: String) -> Result<Self, KeyDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
