use std::sync::Arc;

use fleet::{EndpointRecord, SoftwareVersion, VersionBinding};
use serde::{Deserialize, Serialize};

/// What is known of the endpoint that generated the first event of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// It ran this version of this service.
    Bound(Beginning),
    /// Its version is not known, or contradictory. Such a stream cannot be
    /// resumed.
    Uncertain,
}

/// The service and version of a stream's first event, and the endpoint that
/// generated it.
///
/// A node learns late that an endpoint has restarted with another version under
/// its id, and then assigns streams to the former one. Nodes that find this
/// origin afterwards compare it with what they know of the endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredBeginning", into = "StoredBeginning")]
pub struct Beginning {
    binding: Arc<VersionBinding>,
    endpoint: Option<Arc<str>>,
}

/// Serialized form of a [`Beginning`].
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredBeginning {
    service: String,
    version: SoftwareVersion,
    /// Absent in messages of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    endpoint: Option<Arc<str>>,
}

impl Origin {
    /// Returns the origin of a stream that a version of a service began.
    pub fn began_at(service: &str, version: SoftwareVersion) -> Self {
        Self::Bound(VersionBinding::new(service, version).into())
    }

    /// Returns the origin of a stream that begins at an endpoint.
    pub fn of(record: &EndpointRecord) -> Self {
        match VersionBinding::of(record) {
            Some(binding) => Self::Bound(Beginning {
                binding: Arc::new(binding),
                endpoint: Some(record.id.as_str().into()),
            }),
            None => Self::Uncertain,
        }
    }

    /// Returns the binding, if the version is known.
    pub fn binding(&self) -> Option<&Arc<VersionBinding>> {
        match self {
            Self::Bound(beginning) => Some(beginning.binding()),
            Self::Uncertain => None,
        }
    }

    /// Returns the version for the log, empty if it is not known.
    pub fn version_text(&self) -> &str {
        self.binding().map_or("", |b| b.version().as_str())
    }

    /// Reports whether two origins are at the same version, which different
    /// endpoints may run.
    pub(crate) fn agrees_with(&self, other: &Self) -> bool {
        self.binding() == other.binding()
    }
}

impl Beginning {
    /// Returns the service and version.
    #[inline]
    pub fn binding(&self) -> &Arc<VersionBinding> {
        &self.binding
    }

    /// Returns the id of the endpoint, if it is known.
    #[inline]
    pub fn endpoint(&self) -> Option<&str> {
        self.endpoint.as_deref()
    }
}

impl From<VersionBinding> for Beginning {
    fn from(binding: VersionBinding) -> Self {
        Arc::new(binding).into()
    }
}

impl From<Arc<VersionBinding>> for Beginning {
    fn from(binding: Arc<VersionBinding>) -> Self {
        Self {
            binding,
            endpoint: None,
        }
    }
}

impl From<StoredBeginning> for Beginning {
    fn from(stored: StoredBeginning) -> Self {
        let binding = VersionBinding::new(&stored.service, stored.version);
        Self {
            binding: Arc::new(binding),
            endpoint: stored.endpoint,
        }
    }
}

impl From<Beginning> for StoredBeginning {
    fn from(beginning: Beginning) -> Self {
        Self {
            service: beginning.binding.service().to_owned(),
            version: beginning.binding.version().clone(),
            endpoint: beginning.endpoint,
        }
    }
}
