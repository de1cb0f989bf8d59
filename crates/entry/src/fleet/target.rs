use std::{net::SocketAddr, sync::atomic::AtomicBool};

use base::{EndpointName, FailureDomain, VersionKey};
use conf::settings::{StaticEndpoint, TimeoutSettings};
use error_stack::{Report, ResultExt};
use upstream::EndpointClient;

use crate::EntryError;

/// How an endpoint is reached.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// Through its companion.
    Companion(SocketAddr),
    /// Directly, for an endpoint without a companion.
    Direct(Box<EndpointClient>),
}

impl Route {
    /// Returns a text that distinguishes addresses of the same name.
    pub(super) fn address(&self) -> String {
        match self {
            Route::Companion(address) => format!("peer {address}"),
            Route::Direct(client) => format!("http {}", client.address()),
        }
    }
}

/// Name and address of an endpoint.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: EndpointName,
    pub(crate) pool: String,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) route: Route,
    /// Listed software version; a companion reports that of its endpoint.
    pub(super) version: VersionKey,
    /// Set while a probe is running; a second one would add no information.
    pub(super) probing: AtomicBool,
}

impl Target {
    pub(super) fn new(
        name: EndpointName,
        pool: String,
        failure_domain: FailureDomain,
        route: Route,
    ) -> Self {
        Self {
            name,
            pool,
            failure_domain,
            route,
            version: VersionKey::UNDECLARED,
            probing: AtomicBool::new(false),
        }
    }

    /// Sets the software version of an endpoint without a companion.
    pub(super) fn with_version(mut self, version: Option<&str>) -> Self {
        self.version = VersionKey::declared(version);
        self
    }

    /// Creates the target of an endpoint in the settings.
    pub(super) fn of_settings(
        known: &StaticEndpoint,
        timeouts: &TimeoutSettings,
    ) -> Result<Self, Report<EntryError>> {
        let route = match (&known.peer, &known.http) {
            (Some(peer), _) => Route::Companion(*peer),
            (None, Some(http)) => {
                let client = EndpointClient::try_new(http.clone(), timeouts)
                    .change_context(EntryError::Start)?;
                Route::Direct(Box::new(client))
            }
            (None, None) => {
                return Err(Report::new(EntryError::Settings)
                    .attach(format!("{} has no address", known.endpoint)));
            }
        };
        Ok(Self::new(
            known.endpoint.clone(),
            known.pool.clone(),
            known.failure_domain.clone(),
            route,
        )
        .with_version(known.version.as_deref()))
    }
}
