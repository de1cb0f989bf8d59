use std::sync::Arc;

use fleet::{EndpointRecord, SoftwareVersion, VersionBinding};
use serde::{Deserialize, Serialize};

/// What is known of the endpoint that generated the first event of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// It ran this version of this service.
    Bound(Arc<VersionBinding>),
    /// Its version is not known, or contradictory. Such a stream cannot be
    /// resumed.
    Uncertain,
}

impl Origin {
    /// Returns the origin of a stream that a version of a service began.
    pub fn began_at(service: &str, version: SoftwareVersion) -> Self {
        Self::Bound(Arc::new(VersionBinding::new(service, version)))
    }

    /// Returns the origin of a stream that begins at an endpoint.
    pub fn of(record: &EndpointRecord) -> Self {
        match VersionBinding::of(record) {
            Some(binding) => Self::Bound(Arc::new(binding)),
            None => Self::Uncertain,
        }
    }

    /// Returns the binding, if the version is known.
    pub fn binding(&self) -> Option<&Arc<VersionBinding>> {
        match self {
            Self::Bound(binding) => Some(binding),
            Self::Uncertain => None,
        }
    }

    /// Returns the version for the log, empty if it is not known.
    pub fn version_text(&self) -> &str {
        self.binding().map_or("", |b| b.version().as_str())
    }
}
