use std::sync::Arc;

use base::{mix, stable_hash};
use indexmap::IndexMap;

use crate::{
    Endpoint, EndpointTable, IncarnationKey, MAX_MEDIAN_ENDPOINTS,
    ServiceSpeed, ServiceSpeeds, table::window,
};

/// How an endpoint relates to the node that chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionTier {
    /// Belongs to the node's own share, which no other node uses first.
    Own,
    /// Used when the node's own share is full.
    Spill,
    /// Any other endpoint of the service.
    Other,
}

/// The subset of endpoints that a node normally sends requests to.
///
/// If every node sent to every endpoint, each pair would need load updates,
/// connections and an evaluation in each choice, and the cost of a node would
/// grow with the fleet. Instead, a node has its own share, whose size depends
/// only on the ratio of endpoints to nodes, and a fixed number of other
/// endpoints to spill over to.
///
/// # Example
///
/// ```
/// use pomeloslip_fleet::{
///     Endpoint, EndpointRecord, EndpointState, EndpointTable, Selection,
///     SelectionTier,
/// };
///
/// let endpoints = (0..100).map(|number| {
///     Endpoint::new(EndpointRecord {
///         id: number.to_string(),
///         started_at: None,
///         version: None,
///         address: ([127, 0, 0, 1], 80).into(),
///         service: "engines".to_owned(),
///         failure_domain: "east".to_owned(),
///         slots: 8,
///         state: EndpointState::Ready,
///     })
/// });
/// let table = EndpointTable::new(endpoints);
/// let own = |endpoint: &Endpoint| endpoint.record().id == "7";
/// let selection = Selection::new("front-1", &table, own);
/// let all: Vec<_> = selection.candidates("engines", 0).collect();
/// assert_eq!(all.len(), 25);
/// assert_eq!(all[0].1, SelectionTier::Own);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Selection {
    by_service: IndexMap<String, ServiceSelection>,
}

#[derive(Clone, Debug, Default)]
struct ServiceSelection {
    own: Vec<IncarnationKey>,
    spill: Vec<IncarnationKey>,
    /// The speed of its endpoints, if it is known to the node.
    speed: Option<Arc<ServiceSpeed>>,
}

/// Maximum number of a service's endpoints that a node spills over to. Each
/// costs a subscription to its load. With too few, a node refuses requests
/// while its selection happens to be full; the number also has to suffice
/// while many endpoints are unreachable.
pub const MAX_SPILL_ENDPOINTS: usize = 24;

/// Maximum number of endpoints of the own share that one request considers. A
/// fleet with more endpoints per node is far from full, so the first few that
/// the affinity determines suffice.
pub(crate) const MAX_OWN_ENDPOINTS: usize = 32;

impl Selection {
    /// Creates the selection of one node; `is_own` reports whether an endpoint
    /// belongs to its own share.
    ///
    /// This scans the whole table and is meant to run only when the table or
    /// the set of nodes changes.
    pub fn new(
        node: &str,
        table: &EndpointTable,
        is_own: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let hash = stable_hash(&[node]);
        let service_selection = |service: &str| {
            let all = table.of_service(service).iter();
            let (own, mut others): (Vec<_>, Vec<_>) =
                all.partition(|endpoint| is_own(endpoint));
            others.sort_unstable_by_key(|e| mix(hash ^ e.id_hash()));
            others.truncate(MAX_SPILL_ENDPOINTS);
            let incarnations = |all: Vec<&Endpoint>| {
                all.into_iter().map(Endpoint::incarnation_key).collect()
            };
            ServiceSelection {
                own: incarnations(own),
                spill: incarnations(others),
                speed: None,
            }
        };
        let services = table.services();
        Self {
            by_service: services
                .map(|service| {
                    (service.to_owned(), service_selection(service))
                })
                .collect(),
        }
    }

    /// Sets the speeds by which requests are placed.
    #[must_use]
    pub fn with_speeds(mut self, speeds: &ServiceSpeeds) -> Self {
        for (service, service_selection) in &mut self.by_service {
            service_selection.speed = Some(speeds.of(service));
        }
        speeds.retain(|service| self.by_service.contains_key(service));
        self
    }

    /// Returns the speed of a service's endpoints, if it was set.
    pub(crate) fn speed(&self, service: &str) -> Option<&ServiceSpeed> {
        self.by_service.get(service)?.speed.as_deref()
    }

    /// Returns the services with their speeds and with those endpoints from
    /// which the median of the speeds is computed.
    pub fn speeds(
        &self,
    ) -> impl Iterator<Item = (&ServiceSpeed, impl Iterator<Item = IncarnationKey>)>
    {
        self.by_service.values().filter_map(|service_selection| {
            let own = service_selection.own.iter().take(MAX_OWN_ENDPOINTS);
            let all = own.chain(&service_selection.spill).copied();
            let speed = service_selection.speed.as_deref()?;
            Some((speed, all.take(MAX_MEDIAN_ENDPOINTS)))
        })
    }

    /// Returns the endpoints of a service that a request considers. Of a large
    /// own share, these are some adjacent ones, and `start` determines the
    /// first of them.
    pub fn candidates(
        &self,
        service: &str,
        start: u64,
    ) -> impl Iterator<Item = (IncarnationKey, SelectionTier)> {
        let service_selection = self.by_service.get(service);
        let (own, spill) = service_selection.map_or(
            (&[][..], &[][..]),
            |service_selection| {
                (
                    service_selection.own.as_slice(),
                    service_selection.spill.as_slice(),
                )
            },
        );
        let own = window(own, start, MAX_OWN_ENDPOINTS);
        let own = own.map(|incarnation| (*incarnation, SelectionTier::Own));
        own.chain(
            spill
                .iter()
                .map(|incarnation| (*incarnation, SelectionTier::Spill)),
        )
    }

    /// Returns the node's own share of the endpoints of a service.
    pub fn own(&self, service: &str) -> impl Iterator<Item = IncarnationKey> {
        let selected = self.by_service.get(service);
        let own = selected.map_or(&[][..], |selected| &selected.own);
        own.iter().copied()
    }

    /// Returns all selected endpoints.
    pub fn iter(&self) -> impl Iterator<Item = IncarnationKey> {
        let all = self.by_service.values();
        all.flat_map(|service_selection| {
            service_selection
                .own
                .iter()
                .chain(&service_selection.spill)
                .copied()
        })
    }
}
