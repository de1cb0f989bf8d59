use base::{mix, stable_hash};
use indexmap::IndexMap;

use crate::{Endpoint, EndpointTable, IncarnationKey, table::window};

/// How near an endpoint is to the node that chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionTier {
    /// One of the node's own share, which no other node uses first.
    Own,
    /// One of those that the node goes to when its own share is full.
    Spill,
    /// Any other.
    Other,
}

/// The few endpoints that a node sends to as a rule.
///
/// Where every node sends to every endpoint, each pair of them needs load
/// updates, connections and a place in each choice, so that the cost of a
/// node grows with the fleet. Here a node has its own share, which shrinks
/// and grows with the ratio of endpoints to nodes alone, and a fixed number
/// of others to spill to.
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
    by_service: IndexMap<String, Near>,
}

#[derive(Clone, Debug, Default)]
struct Near {
    own: Vec<IncarnationKey>,
    spill: Vec<IncarnationKey>,
}

/// Endpoints of a service that a node spills to. Each costs a subscription
/// to its load. With few of them, a node refuses requests whose selection
/// happens to be full, and enough must be left where many are dark.
pub const MAX_SPILL_ENDPOINTS: usize = 24;

/// Endpoints of the own share that one request looks at. A fleet with more
/// endpoints a node than this is far from full, so that the first few that
/// the affinity names do.
const OWN_MOST: usize = 32;

impl Selection {
    /// Selects for one node; `is_own` tells its own share.
    ///
    /// This walks over the table, and is for changes of the table and of
    /// the nodes alone.
    pub fn new(
        node: &str,
        table: &EndpointTable,
        is_own: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let hash = stable_hash(&[node]);
        let near = |service: &str| {
            let all = table.of_service(service).iter();
            let (own, mut others): (Vec<_>, Vec<_>) =
                all.partition(|endpoint| is_own(endpoint));
            others.sort_unstable_by_key(|e| mix(hash ^ e.id_hash()));
            others.truncate(MAX_SPILL_ENDPOINTS);
            let lives = |all: Vec<&Endpoint>| {
                all.into_iter().map(Endpoint::incarnation_key).collect()
            };
            Near {
                own: lives(own),
                spill: lives(others),
            }
        };
        let services = table.services();
        Self {
            by_service: services
                .map(|service| (service.to_owned(), near(service)))
                .collect(),
        }
    }

    /// Returns the endpoints of a service that a request looks at. Of a
    /// large own share they are some that lie side by side, and `start`
    /// draws the first of them.
    pub fn candidates(
        &self,
        service: &str,
        start: u64,
    ) -> impl Iterator<Item = (IncarnationKey, SelectionTier)> {
        let near = self.by_service.get(service);
        let (own, spill) = near.map_or((&[][..], &[][..]), |near| {
            (near.own.as_slice(), near.spill.as_slice())
        });
        let own = window(own, start, OWN_MOST);
        let own = own.map(|life| (*life, SelectionTier::Own));
        own.chain(spill.iter().map(|life| (*life, SelectionTier::Spill)))
    }

    /// Returns all endpoints that the node sends to as a rule.
    pub fn iter(&self) -> impl Iterator<Item = IncarnationKey> {
        let all = self.by_service.values();
        all.flat_map(|near| near.own.iter().chain(&near.spill).copied())
    }
}
