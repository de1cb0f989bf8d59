use std::ops::Range;

use indexmap::IndexMap;

use crate::{Endpoint, IncarnationKey};

/// The endpoints that may be used now.
///
/// One arena, in which the endpoints of a service lie side by side. A life
/// is found by its key in constant time, so that neither a request nor an
/// update of load walks over the fleet.
///
/// # Example
///
/// ```
/// use pomeloslip_fleet::{
///     Endpoint, EndpointRecord, EndpointState, EndpointTable,
/// };
///
/// let endpoint = Endpoint::new(EndpointRecord {
///     id: "e1".to_owned(),
///     started_at: None,
///     address: ([127, 0, 0, 1], 80).into(),
///     service: "engines".to_owned(),
///     failure_domain: "east".to_owned(),
///     slots: 8,
///     state: EndpointState::Ready,
/// });
/// let table = EndpointTable::new([endpoint.clone()]);
/// let found = table.get(endpoint.incarnation_key()).expect("listed");
/// assert_eq!(found.record().id, "e1");
/// assert_eq!(table.of_service("other").len(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    services: IndexMap<String, Range<usize>>,
    places: IndexMap<IncarnationKey, usize>,
}

impl EndpointTable {
    /// Makes a table of endpoints.
    pub fn new(endpoints: impl IntoIterator<Item = Endpoint>) -> Self {
        let mut by_service: IndexMap<String, Vec<Endpoint>> = IndexMap::new();
        for endpoint in endpoints {
            let service = endpoint.record().service.clone();
            by_service.entry(service).or_default().push(endpoint);
        }
        let mut table = Self::default();
        for (service, endpoints) in by_service {
            let first = table.endpoints.len();
            table.endpoints.extend(endpoints);
            table.services.insert(service, first..table.endpoints.len());
        }
        let lives = table.endpoints.iter().map(Endpoint::incarnation_key);
        table.places = lives.zip(0..).collect();
        table
    }

    /// Returns the endpoint of a life, unless it takes no work any more.
    #[inline]
    pub fn get(&self, life: IncarnationKey) -> Option<&Endpoint> {
        self.places.get(&life).map(|place| &self.endpoints[*place])
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Endpoint] {
        let range = self.services.get(service).cloned();
        range.map_or(&[], |range| &self.endpoints[range])
    }

    /// Returns the names of the services that have endpoints.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns up to `most` endpoints of a service that lie side by side;
    /// `start` draws the first one.
    pub(crate) fn window(
        &self,
        service: &str,
        start: u64,
        most: usize,
    ) -> impl Iterator<Item = &Endpoint> {
        window(self.of_service(service), start, most)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Returns how many endpoints there are.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

/// Returns up to `most` entries of a ring, from the one on that `start`
/// draws, without a step for each entry before it.
pub(crate) fn window<T>(
    ring: &[T],
    start: u64,
    most: usize,
) -> impl Iterator<Item = &T> {
    let first = start.checked_rem(ring.len() as u64).unwrap_or(0) as usize;
    let steps = 0..most.min(ring.len());
    steps.map(move |step| &ring[(first + step) % ring.len()])
}
