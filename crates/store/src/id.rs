use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of an id, in bytes.
pub(crate) const MAX_ID_BYTES: usize = 200;

/// Why a string is not a valid blob id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlobIdError {
    /// The string is empty or has an empty path segment.
    EmptySegment,
    /// The string has this many bytes, which exceeds the limit.
    TooLong(usize),
    /// The string has a character that is not allowed in ids.
    InvalidCharacter(char),
    /// The string has two consecutive dots.
    DoubleDot,
}

impl fmt::Display for BlobIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlobIdError::EmptySegment => {
                f.write_str("a blob id has no empty segments")
            }
            BlobIdError::TooLong(bytes) => write!(
                f,
                "a blob id of {bytes} bytes is over the limit of \
                 {MAX_ID_BYTES}"
            ),
            BlobIdError::InvalidCharacter(found) => write!(
                f,
                "a blob id takes letters, digits and . _ - / only, not \
                 {found:?}"
            ),
            BlobIdError::DoubleDot => f.write_str("a blob id has no '..'"),
        }
    }
}

impl std::error::Error for BlobIdError {}

/// Identifier of one blob.
///
/// An id has 1 to 200 bytes: one or more segments of ASCII letters, digits,
/// `.`, `_` and `-`, joined by `/`. `..` is rejected. The store treats ids as
/// opaque except for their order and their prefixes. Clones share one
/// allocation.
///
/// # Example
///
/// ```
/// use pomeloslip_store::{BlobId, BlobIdError};
///
/// let id: BlobId = "job-7/result/00012".parse()?;
/// assert_eq!(id.as_str(), "job-7/result/00012");
/// assert_eq!("a/../b".parse::<BlobId>(), Err(BlobIdError::DoubleDot));
/// # Ok::<(), BlobIdError>(())
/// ```
#[derive(
    Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct BlobId(Arc<str>);

impl BlobId {
    /// Returns the id as a string slice.
    #[inline]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn validate(text: &str) -> Result<(), BlobIdError> {
    if text.len() > MAX_ID_BYTES {
        return Err(BlobIdError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-/".contains(c);
    if let Some(found) = text.chars().find(|c| !allowed(*c)) {
        return Err(BlobIdError::InvalidCharacter(found));
    }
    if text.split('/').any(str::is_empty) {
        return Err(BlobIdError::EmptySegment);
    }
    if text.contains("..") {
        return Err(BlobIdError::DoubleDot);
    }
    Ok(())
}

impl FromStr for BlobId {
    type Err = BlobIdError;

    fn from_str(text: &str) -> Result<Self, BlobIdError> {
        validate(text)?;
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for BlobId {
    type Error = BlobIdError;

    fn try_from(text: String) -> Result<Self, BlobIdError> {
        text.parse()
    }
}

impl From<BlobId> for String {
    fn from(id: BlobId) -> String {
        id.0.as_ref().to_owned()
    }
}

impl fmt::Display for BlobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl AsRef<str> for BlobId {
    fn as_ref(&self) -> &str {
        &self.0
    }
}
