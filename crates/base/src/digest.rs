use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest, in bytes.
const KEY_DIGEST_BYTES: usize = 32;

/// Length of a [`RequestDigest`], in bytes. 128 bits make finding a second
/// request with the same digest infeasible, and are short enough for the log
/// lines that identify a request by its digest.
const REQUEST_DIGEST_BYTES: usize = 16;

/// Parses exactly `N` bytes in hexadecimal; returns `None` for other text.
fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    // `from_str_radix` accepts a sign, which a digest must not have.
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

/// Implements hexadecimal formatting and parsing of a digest, which its serde
/// implementation uses as well.
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

/// The error of parsing an invalid [`KeyDigest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDigestError;

impl fmt::Display for KeyDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key digest is the SHA-256 of the key in 64 hex digits")
    }
}

/// The SHA-256 digest of a bearer key.
///
/// Settings and configuration hold digests only, so that neither they nor
/// logs of them disclose a usable key.
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
    /// Computes the digest of a key as given in the `Authorization` header.
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

/// The content that makes two requests equivalent for an endpoint.
///
/// The request id is excluded, since each retry of a caller has its own id.
/// Headers are excluded, since deadlines and stream offsets differ between
/// the attempts of one request.
#[derive(Clone, Copy)]
pub struct RequestContent<'a> {
    /// Name of the customer; empty if the request has none.
    pub customer: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request addresses; empty if there is only one host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Identifies a request by a digest of its content.
///
/// All nodes compute the same digest, so that they can exchange information
/// about a request, and logs can identify it.
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

/// The error of parsing an invalid [`RequestDigest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestDigestError;

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn of(content: RequestContent<'_>) -> Self {
        let RequestContent {
            customer,
            method,
            host,
            target,
            body,
        } = content;
        let mut digest = Sha256::new();
        hash_parts(&mut digest, &[customer, method, host, target]);
        digest.update(body);
        Self::truncated(digest)
    }

    /// Computes the digest of a group of requests, such as those of a job.
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
        // The prefix keeps digests of groups apart from those of requests,
        // which begin with the length of a part: no part is this long.
        digest.update(u64::MAX.to_le_bytes());
        hash_parts(&mut digest, &[kind]);
        hash_parts(&mut digest, parts);
        Self::truncated(digest)
    }

    fn truncated(digest: Sha256) -> Self {
        let mut bytes = [0; REQUEST_DIGEST_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..REQUEST_DIGEST_BYTES]);
        Self(bytes)
    }
}

/// Hashes texts with their lengths, so that moving bytes from one part to
/// the next changes the digest.
fn hash_parts(digest: &mut Sha256, parts: &[&str]) {
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
