use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use base::Millis;
use indexmap::IndexMap;

use crate::{EndpointRecord, SoftwareVersion, VersionBinding};

/// How long a version is remembered after its last endpoint has left, in
/// milliseconds: the longest time for which a client may come back to a stream.
const MEMORY_MS: u64 = 600_000;

/// Maximum age of the list by which a version is known to be the only one, in
/// milliseconds: longer than a change takes to reach a node that is in touch.
/// A node that is out of touch does not know the versions that have joined.
const MAX_LIST_AGE_MS: u64 = 1_000;

/// The software versions of each service that a node has seen in the list of
/// endpoints.
///
/// Of a stream whose beginning nobody recorded, a node knows the version only
/// if the service has run no other one since the stream can have begun.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_fleet::{
///     EndpointRecord, EndpointState, SeenVersions, VersionBinding,
/// };
///
/// let record = EndpointRecord {
///     id: "e1".to_owned(),
///     started_at: None,
///     version: Some("v1".parse()?),
///     address: ([127, 0, 0, 1], 80).into(),
///     service: "engines".to_owned(),
///     failure_domain: "east".to_owned(),
///     slots: 8,
///     state: EndpointState::Ready,
/// };
/// let mut seen = SeenVersions::default();
/// seen.add(&record, Millis::new(0));
/// let v1 = VersionBinding::new("engines", "v1".parse()?);
/// seen.confirm(Millis::new(5_000));
/// assert!(!seen.is_only_version(&v1, 5_000, Millis::new(4_999)));
/// assert!(seen.is_only_version(&v1, 5_000, Millis::new(5_000)));
/// assert!(!seen.is_only_version(&v1, 5_000, Millis::new(8_000)));
/// # Ok::<(), pomeloslip_fleet::VersionError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct SeenVersions {
    /// When the first endpoint was listed.
    since: Option<Millis>,
    /// By service and version; endpoints of an unknown version count as one
    /// more version.
    services: IndexMap<String, IndexMap<Option<SoftwareVersion>, Sighting>>,
    /// Time up to which all changes of the list are known, in milliseconds.
    /// Clones share it, since it advances without a change of the list.
    confirmed_at_ms: Arc<AtomicU64>,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    /// Number of listed endpoints.
    endpoints: usize,
    /// When the last one was removed, or added.
    changed_at: Millis,
}

impl SeenVersions {
    /// Records an endpoint that is listed from now on.
    pub fn add(&mut self, record: &EndpointRecord, now: Millis) {
        self.since.get_or_insert(now);
        let versions = self.services.entry(record.service.clone());
        let sighting = versions
            .or_default()
            .entry(record.version.clone())
            .or_insert(Sighting {
                endpoints: 0,
                changed_at: now,
            });
        sighting.endpoints += 1;
        sighting.changed_at = now;
    }

    /// Records the time up to which all changes of the list are known.
    pub fn confirm(&self, at: Millis) {
        self.confirmed_at_ms
            .fetch_max(at.as_ms(), Ordering::Relaxed);
    }

    /// Records an endpoint that is not listed any more.
    pub fn remove(&mut self, record: &EndpointRecord, now: Millis) {
        let Some(versions) = self.services.get_mut(&record.service) else {
            return;
        };
        if let Some(sighting) = versions.get_mut(&record.version) {
            sighting.endpoints = sighting.endpoints.saturating_sub(1);
            sighting.changed_at = now;
        }
        versions.retain(|_, sighting| sighting.is_within(MEMORY_MS, now));
    }

    /// Reports whether a service has certainly run no other version within the
    /// last `window_ms`.
    ///
    /// A node that has watched the list for a shorter time does not know what
    /// was there before, and one whose list is out of date not what has joined.
    pub fn is_only_version(
        &self,
        binding: &VersionBinding,
        window_ms: u64,
        now: Millis,
    ) -> bool {
        let has_watched = |since| now.saturating_ms_since(since) >= window_ms;
        let confirmed_at =
            Millis::new(self.confirmed_at_ms.load(Ordering::Relaxed));
        let is_outdated =
            now.saturating_ms_since(confirmed_at) > MAX_LIST_AGE_MS;
        if is_outdated || !self.since.is_some_and(has_watched) {
            return false;
        }
        let versions = self.services.get(binding.service());
        let mut recent = versions.into_iter().flatten();
        recent.all(|(version, sighting)| {
            version.as_ref() == Some(binding.version())
                || !sighting.is_within(window_ms, now)
        })
    }
}

impl Sighting {
    fn is_within(self, window_ms: u64, now: Millis) -> bool {
        let left_ms = now.saturating_ms_since(self.changed_at);
        self.endpoints > 0 || left_ms < window_ms
    }
}
