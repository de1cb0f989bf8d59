use std::fmt;

use crate::stable_hash;

/// Identifies the software version that the operator declares for an
/// endpoint, the same in all processes.
///
/// Endpoints without a declared version share [`VersionKey::UNDECLARED`]: their
/// operator declares that they run the same software.
///
/// # Example
///
/// ```
/// use pomeloslip_base::VersionKey;
///
/// let first = VersionKey::declared(Some("v1"));
/// assert_ne!(first, VersionKey::declared(Some("v2")));
/// assert_eq!(VersionKey::declared(None), VersionKey::UNDECLARED);
/// assert_eq!(VersionKey::from_u64(first.as_u64()), first);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct VersionKey(u64);

impl VersionKey {
    /// The version of endpoints that declare none.
    pub const UNDECLARED: Self = Self(0);

    /// Returns the key of a declared version.
    pub fn declared(version: Option<&str>) -> Self {
        let hash = version.map(|version| stable_hash(&["version", version]));
        Self(hash.map_or(0, |hash| hash.max(1)))
    }

    /// Returns the key with a number, as received from another process.
    #[inline]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the key as a number.
    #[inline]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for VersionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
