use std::{ops::Range, sync::Arc};

use base::Millis;
use indexmap::IndexMap;

use crate::{Endpoint, IncarnationKey, SeenVersions, VersionBinding};

/// The endpoints that may be used now.
///
/// All endpoints are in one vector, in which those of a service are adjacent.
/// An incarnation is looked up by its key in constant time, so neither a
/// request nor a load update scans the fleet.
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
///     version: None,
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
    positions: IndexMap<IncarnationKey, usize>,
    ids: IndexMap<String, usize>,
    /// Positions of the endpoints of each software version of a service.
    versions: IndexMap<VersionBinding, Vec<usize>>,
    /// Draining endpoints by version, with the time until which they may
    /// resume streams.
    draining: IndexMap<VersionBinding, Vec<(Endpoint, Millis)>>,
    /// The versions that were listed; none if they are not tracked.
    seen: Option<Arc<SeenVersions>>,
}

impl EndpointTable {
    /// Creates a table of endpoints.
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
        let incarnations =
            table.endpoints.iter().map(Endpoint::incarnation_key);
        table.positions = incarnations.zip(0..).collect();
        for (position, endpoint) in table.endpoints.iter().enumerate() {
            table.ids.insert(endpoint.record().id.clone(), position);
            if let Some(binding) = VersionBinding::of(endpoint.record()) {
                table.versions.entry(binding).or_default().push(position);
            }
        }
        table
    }

    /// Adds draining endpoints that may resume streams until a time.
    #[must_use]
    pub fn with_draining(
        mut self,
        draining: impl IntoIterator<Item = (Endpoint, Millis)>,
    ) -> Self {
        for (endpoint, until) in draining {
            if let Some(binding) = VersionBinding::of(endpoint.record()) {
                let of_version = self.draining.entry(binding).or_default();
                of_version.push((endpoint, until));
            }
        }
        self
    }

    /// Sets the versions that were listed until now.
    #[must_use]
    pub fn with_seen_versions(mut self, seen: SeenVersions) -> Self {
        self.seen = Some(Arc::new(seen));
        self
    }

    /// Reports whether a service has run no other version within the last
    /// `window_ms`; see [`SeenVersions::is_only_version`]. A table without
    /// seen versions has one for good.
    pub fn is_only_version(
        &self,
        binding: &VersionBinding,
        window_ms: u64,
        now: Millis,
    ) -> bool {
        let seen = self.seen.as_ref();
        seen.is_none_or(|seen| seen.is_only_version(binding, window_ms, now))
    }

    /// Returns the draining endpoints that may resume a stream now, at most
    /// `max`.
    pub(crate) fn draining_of_version(
        &self,
        binding: &VersionBinding,
        max: usize,
        now: Millis,
    ) -> impl Iterator<Item = &Endpoint> {
        let all = self.draining.get(binding).into_iter().flatten();
        let usable = all.filter(move |(_, until)| now < *until);
        usable.map(|(endpoint, _)| endpoint).take(max)
    }

    /// Returns the endpoint of an incarnation, unless it accepts no work any
    /// more.
    #[inline]
    pub fn get(&self, incarnation: IncarnationKey) -> Option<&Endpoint> {
        self.positions
            .get(&incarnation)
            .map(|position| &self.endpoints[*position])
    }

    /// Returns the endpoint with this id, unless it accepts no work any more.
    pub fn by_id(&self, id: &str) -> Option<&Endpoint> {
        let position = self.ids.get(id)?;
        self.endpoints.get(*position)
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Endpoint] {
        let range = self.services.get(service).cloned();
        range.map_or(&[], |range| &self.endpoints[range])
    }

    /// Reports whether any endpoint may resume a stream.
    pub fn has_version(&self, binding: &VersionBinding) -> bool {
        self.versions.contains_key(binding)
    }

    /// Returns up to `max` endpoints that may resume a stream; `start`
    /// determines the first one.
    pub(crate) fn window_of_version(
        &self,
        binding: &VersionBinding,
        start: u64,
        max: usize,
    ) -> impl Iterator<Item = &Endpoint> {
        let positions = self.versions.get(binding);
        let positions = positions.map_or(&[][..], Vec::as_slice);
        window(positions, start, max).map(|at| &self.endpoints[*at])
    }

    /// Returns the names of the services that have endpoints.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns up to `max` adjacent endpoints of a service; `start` determines
    /// the first one.
    pub(crate) fn window(
        &self,
        service: &str,
        start: u64,
        max: usize,
    ) -> impl Iterator<Item = &Endpoint> {
        window(self.of_service(service), start, max)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Reports whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

/// Returns up to `max` consecutive entries of a circular slice, beginning at
/// the index that `start` determines modulo the length, in constant time per
/// entry.
pub(crate) fn window<T>(
    entries: &[T],
    start: u64,
    max: usize,
) -> impl Iterator<Item = &T> {
    let first = start.checked_rem(entries.len() as u64).unwrap_or(0) as usize;
    let steps = 0..max.min(entries.len());
    steps.map(move |step| &entries[(first + step) % entries.len()])
}
