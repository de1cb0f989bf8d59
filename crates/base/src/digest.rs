use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest, in bytes.
const KEY_DIGEST_BYTES: usize = 32;

/// Length of a [`RequestDigest`], in bytes. Nobody finds a second request
/// for a digest of this length, and one stands for a request in each line
/// of the log about it.
const REQUEST_DIGEST_BYTES: usize = 16;

/// Reads bytes in hexadecimal digits; none of any other text.
fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    // Numbers may have a sign, digits of a digest may not.
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != N * 2 || !is_hex {
        return None;
    }
    let mut bytes = [0; N];
    for (at, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[at * 2..at * 2 + 2];
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(bytes)
}

/// Writes and reads a digest in hexadecimal digits, also in serde's formats.
macro_rules! hex_text {
    ($digest:ident, $error:ident) => {
        impl FromStr for $digest {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, $error> {
                parse_hex(text).map(Self).ok_or($error)
            }
        }

        impl TryFrom<String> for $digest {
            type Error = $error;

            fn try_from(text: String) -> Result<Self, $error> {
                text.parse()
            }
        }

        impl From<$digest> for String {
            fn from(digest: $digest) -> String {
                digest.to_string()
            }
        }

        impl fmt::Display for $digest {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let mut bytes = self.0.iter();
                bytes.try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl std::error::Error for $error {}
    };
}

/// Says that a text is no key digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDigestError;

impl fmt::Display for KeyDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key digest is the SHA-256 of the key in 64 hex digits")
    }
}

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
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key as it stands in the `Authorization` header.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    #[inline]
    pub fn as_bytes(&self) -> &[u8; KEY_DIGEST_BYTES] {
        &self.0
    }
}

hex_text!(KeyDigest, KeyDigestError);

/// What makes two requests the same for an endpoint: who asks for what.
///
/// The id of the request is no part of it, since each try of a caller has
/// an id of its own. Neither are headers: deadlines and positions of streams
/// differ between the tries of one request.
#[derive(Clone, Copy)]
pub struct RequestContent<'a> {
    /// Name of the customer; empty without one.
    pub customer: &'a str,
    /// Method of the call.
    pub method: &'a str,
    /// Host that it is for; empty where one host is all there is.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Tells a request by its content, without holding any of it.
///
/// All nodes find the same digest, so that they can tell each other about
/// a request, and logs can name it.
///
/// # Example
///
/// ```
/// use pomeloslip_base::{RequestContent, RequestDigest};
///
/// let content = RequestContent {
///     customer: "alama",
///     method: "POST",
///     host: "a.example",
///     target: "/chat/1",
///     body: b"hello",
/// };
/// let digest = RequestDigest::of(content);
/// let other = RequestContent { body: b"other", ..content };
/// assert_ne!(RequestDigest::of(other), digest);
/// assert_eq!(digest.to_string().parse(), Ok(digest));
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
pub struct RequestDigest([u8; REQUEST_DIGEST_BYTES]);

/// Says that a text is no digest of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestDigestError;

impl RequestDigest {
    /// Digests a request.
    pub fn of(content: RequestContent<'_>) -> Self {
        let RequestContent {
            customer,
            method,
            host,
            target,
            body,
        } = content;
        let mut digest = Sha256::new();
        digest_parts(&mut digest, &[customer, method, host, target]);
        digest.update(body);
        Self::shortened(digest)
    }

    /// Digests what several requests have in common, such as their job.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_base::RequestDigest;
    ///
    /// let job = RequestDigest::of_group("job", &["alama", "job-1"]);
    /// assert_ne!(job, RequestDigest::of_group("job", &["alama", "job-2"]));
    /// assert_ne!(job, RequestDigest::of_group("path", &["alama", "job-1"]));
    /// ```
    pub fn of_group(kind: &str, parts: &[&str]) -> Self {
        let mut digest = Sha256::new();
        // No request has so many parts, nor one of this length.
        digest.update(u64::MAX.to_le_bytes());
        digest_parts(&mut digest, &[kind]);
        digest_parts(&mut digest, parts);
        Self::shortened(digest)
    }

    fn shortened(digest: Sha256) -> Self {
        let mut bytes = [0; REQUEST_DIGEST_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..REQUEST_DIGEST_BYTES]);
        Self(bytes)
    }
}

/// Adds texts so that none can pass for a part of its neighbour.
fn digest_parts(digest: &mut Sha256, parts: &[&str]) {
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
}

hex_text!(RequestDigest, RequestDigestError);

impl fmt::Display for RequestDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest of a request has 32 hex digits")
    }
}
