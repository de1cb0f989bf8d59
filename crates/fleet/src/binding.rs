use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{EndpointRecord, SoftwareVersion};

/// The service and software version that generated the first event of a
/// stream.
///
/// Endpoints do not check whether a resumed stream began at their version, so
/// every later run of the stream has to be sent by this value. A run that
/// loses it has to start over. The service is part of it because a route may
/// lead to several services, whose versions are unrelated.
///
/// # Example
///
/// ```
/// use pomeloslip_fleet::VersionBinding;
///
/// let binding = VersionBinding::new("engines", "v1.2".parse()?);
/// assert_eq!(binding.service(), "engines");
/// assert_eq!(binding.to_string(), "engines at v1.2");
/// # Ok::<(), pomeloslip_fleet::VersionError>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionBinding {
    service: String,
    version: SoftwareVersion,
}

impl VersionBinding {
    /// Creates a binding.
    pub fn new(service: &str, version: SoftwareVersion) -> Self {
        Self {
            service: service.to_owned(),
            version,
        }
    }

    /// Returns the binding of a stream that begins at an endpoint; `None` if
    /// the endpoint's version is not known.
    pub fn of(record: &EndpointRecord) -> Option<Self> {
        let version = record.version.clone()?;
        Some(Self::new(&record.service, version))
    }

    /// Returns the name of the service.
    #[inline]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the software version.
    #[inline]
    pub fn version(&self) -> &SoftwareVersion {
        &self.version
    }

    /// Reports whether the stream may be resumed at an endpoint.
    pub fn permits(&self, record: &EndpointRecord) -> bool {
        record.version.as_ref() == Some(&self.version)
            && record.service == self.service
    }
}

impl fmt::Display for VersionBinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.service, self.version)
    }
}
