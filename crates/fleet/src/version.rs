use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Version of the software that an endpoint runs.
///
/// Versions have no order. What two versions generate does not fit together,
/// even with the same weights.
///
/// # Example
///
/// ```
/// use pomeloslip_fleet::SoftwareVersion;
///
/// let version: SoftwareVersion = "v1.2".parse()?;
/// assert_eq!(version.as_str(), "v1.2");
/// assert!("".parse::<SoftwareVersion>().is_err());
/// # Ok::<(), pomeloslip_fleet::VersionError>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

/// Maximum length of a version in bytes, so that messages that contain one
/// fit a datagram.
const MAX_VERSION_BYTES: usize = 128;

impl SoftwareVersion {
    /// Returns the text.
    #[inline]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The text is empty or too long for a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionError;

impl fmt::Display for VersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a version has 1 to {MAX_VERSION_BYTES} bytes")
    }
}

impl std::error::Error for VersionError {}

impl FromStr for SoftwareVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        match (1..=MAX_VERSION_BYTES).contains(&text.len()) {
            true => Ok(Self(text.into())),
            false => Err(VersionError),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(text: String) -> Result<Self, VersionError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.as_str().to_owned()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
