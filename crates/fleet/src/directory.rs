use base::Millis;
use indexmap::{IndexMap, IndexSet};

use crate::{
    Endpoint, EndpointRecord, EndpointState, EndpointTable, IncarnationKey,
    SeenVersions,
};

/// How long after a failed read of the key-value service a missing entry is
/// still retained, in milliseconds.
///
/// Endpoints renew their entries about every second, so live endpoints are
/// listed again within two seconds; the other half second covers the interval
/// between two listings.
pub const LISTING_GRACE_MS: u64 = 2_500;

/// The result of one full read of the key-value service.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Revision of the key-value service at the time of the read.
    pub revision: u64,
    /// All endpoint entries.
    pub records: Vec<EndpointRecord>,
}

/// Changes in the key-value service since an earlier revision.
#[derive(Clone, Debug, Default)]
pub struct ListingUpdate {
    /// Revision that the update leads to.
    pub revision: u64,
    /// New and changed entries.
    pub records: Vec<EndpointRecord>,
    /// Ids of the removed entries.
    pub removed: Vec<String>,
}

/// How a listing or an update changed the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A new endpoint was listed.
    Added(String),
    /// An endpoint restarted under the same id; its previous incarnation has
    /// ended.
    Restarted {
        /// Id of the endpoint.
        id: String,
        /// Previous incarnation, which has ended.
        former: IncarnationKey,
    },
    /// An entry describes an incarnation that has ended, for example because
    /// of a delayed write.
    Outdated(String),
    /// An endpoint accepts no new work any more.
    Draining(String),
    /// An endpoint was removed.
    Gone(String),
    /// An entry is missing after an outage of the key-value service; the
    /// endpoint is retained for now.
    Kept(String),
}

/// Tracks the endpoints listed in the key-value service.
///
/// While the key-value service is unavailable, entries expire although their
/// endpoints are alive, because no heartbeat can arrive. A directory that
/// trusted the first listing after an outage would drop the whole fleet at
/// once and refuse all requests for two seconds. An entry that is missing
/// within [`LISTING_GRACE_MS`] of a failed read is therefore retained until
/// that time has passed; at any other time a missing entry means that the
/// endpoint is gone.
#[derive(Debug, Default)]
pub struct Directory {
    known: IndexMap<String, Endpoint>,
    revision: u64,
    failed_at: Option<Millis>,
    listed: bool,
    /// Ids of endpoints that are retained although their entries are missing.
    retained: IndexSet<String>,
    /// Incarnations of all known endpoints.
    incarnations: IndexSet<IncarnationKey>,
    /// Ids whose current entry describes an ended incarnation; each is
    /// reported once.
    outdated: IndexSet<String>,
    /// Time up to which all changes were known before the latest update.
    confirmed_at: Option<Millis>,
    /// Draining endpoints with the time until which they may resume streams.
    draining: IndexMap<String, Millis>,
    drain_use_ms: u64,
    seen: SeenVersions,
}

impl Directory {
    /// Sets for how long after its drain began an endpoint may still resume
    /// streams that no other endpoint can resume, in milliseconds.
    ///
    /// The time counts from the last moment at which the endpoint was known to
    /// be ready, since the drain began some time after that. A directory that
    /// is out of date when it learns of the drain allows no more requests.
    #[must_use]
    pub fn with_drain_use_ms(mut self, drain_use_ms: u64) -> Self {
        self.drain_use_ms = drain_use_ms;
        self
    }

    /// Records the time up to which all changes are known.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.seen.confirm(at);
    }

    /// Records a failed read of the key-value service.
    pub fn record_read_failure(&mut self, now: Millis) {
        self.failed_at = Some(now);
    }

    /// Reports whether any listing has been applied.
    pub fn has_listing(&self) -> bool {
        self.listed
    }

    /// Returns the revision of the latest listing or update.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a full listing and returns the resulting changes. A listing
    /// that is older than the latest one, as a delayed response may be,
    /// changes nothing.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_fleet::{Change, Directory, Listing};
    ///
    /// let mut directory = Directory::default();
    /// let changes = directory.reconcile(Listing::default(), Millis::new(0));
    /// assert_eq!(changes, []);
    /// assert!(directory.has_listing());
    /// ```
    pub fn reconcile(&mut self, listing: Listing, now: Millis) -> Vec<Change> {
        let listed: IndexSet<&str> =
            listing.records.iter().map(|r| r.id.as_str()).collect();
        let known = self.known.keys();
        let removed = known.filter(|id| !listed.contains(id.as_str()));
        let removed = removed.cloned().collect();
        let update = ListingUpdate {
            revision: listing.revision,
            removed,
            records: listing.records,
        };
        self.apply_update(update, now)
    }

    /// Applies the changes since the last listing, at a cost proportional to
    /// the number of changes, not of endpoints. An update that is older than
    /// the latest one changes nothing.
    pub fn apply_update(
        &mut self,
        update: ListingUpdate,
        now: Millis,
    ) -> Vec<Change> {
        if update.revision < self.revision {
            return Vec::new();
        }
        self.revision = update.revision;
        self.listed = true;
        let mut changes = Vec::new();
        let draining_until = self
            .confirmed_at
            .map(|at| at.saturating_add_ms(self.drain_use_ms));
        for record in update.records {
            self.retained.swap_remove(&record.id);
            let before = self.remove(&record.id, now);
            let endpoint = update_endpoint(
                before,
                record,
                &mut self.outdated,
                &mut changes,
            );
            self.note_drain(&endpoint, draining_until, &changes);
            self.insert(endpoint, now);
        }
        let retained = std::mem::take(&mut self.retained).into_iter();
        for id in retained.chain(update.removed).collect::<IndexSet<_>>() {
            if let Some(endpoint) = self.remove(&id, now) {
                self.draining.swap_remove(&id);
                self.outdated.swap_remove(&id);
                self.handle_missing(id, endpoint, now, &mut changes);
            }
        }
        changes
    }

    /// Records until when an endpoint that has just begun to drain may resume
    /// streams.
    fn note_drain(
        &mut self,
        endpoint: &Endpoint,
        until: Option<Millis>,
        changes: &[Change],
    ) {
        let record = endpoint.record();
        if record.state == EndpointState::Ready {
            self.draining.swap_remove(&record.id);
            return;
        }
        let begins = match changes.last() {
            Some(Change::Draining(id)) => *id == record.id,
            _ => false,
        };
        if let (true, Some(until)) = (begins, until) {
            self.draining.insert(record.id.clone(), until);
        }
    }

    fn insert(&mut self, endpoint: Endpoint, now: Millis) {
        self.seen.add(endpoint.record(), now);
        self.incarnations.insert(endpoint.incarnation_key());
        self.known.insert(endpoint.record().id.clone(), endpoint);
    }

    fn remove(&mut self, id: &str, now: Millis) -> Option<Endpoint> {
        let endpoint = self.known.swap_remove(id)?;
        self.seen.remove(endpoint.record(), now);
        self.incarnations.swap_remove(&endpoint.incarnation_key());
        Some(endpoint)
    }

    fn handle_missing(
        &mut self,
        id: String,
        endpoint: Endpoint,
        now: Millis,
        changes: &mut Vec<Change>,
    ) {
        let recent_failure = self
            .failed_at
            .is_some_and(|at| now.saturating_ms_since(at) < LISTING_GRACE_MS);
        let draining = endpoint.record().state == EndpointState::Draining;
        if recent_failure && !draining {
            changes.push(Change::Kept(id.clone()));
            self.retained.insert(id);
            self.insert(endpoint, now);
        } else {
            changes.push(Change::Gone(id));
        }
    }

    /// Returns the endpoints that accept new work, and those that drain but may
    /// resume streams.
    pub fn table(&self) -> EndpointTable {
        let ready = self.known.values().filter(|endpoint| {
            endpoint.record().state == EndpointState::Ready
        });
        let draining = self.draining.iter().filter_map(|(id, until)| {
            Some((self.known.get(id)?.clone(), *until))
        });
        EndpointTable::new(ready.cloned())
            .with_draining(draining)
            .with_seen_versions(self.seen.clone())
    }

    /// Reports whether any endpoint is retained although its entry is missing.
    pub fn retains_missing(&self) -> bool {
        !self.retained.is_empty()
    }

    /// Reports whether an incarnation is current, whatever the endpoint's
    /// state.
    pub fn has_incarnation(&self, incarnation: IncarnationKey) -> bool {
        self.incarnations.contains(&incarnation)
    }

    /// Returns the endpoint with this id, whatever its state.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.known.get(id)
    }
}

/// Applies the entry of an endpoint that may be known already.
///
/// Incarnations must be told apart: an endpoint may crash during a network
/// partition and restart under the same id before its entry expires. Its
/// connections, in-flight counts and failure history would otherwise be those
/// of a process that is gone: requests would hang on dead connections and the
/// load would never decrease.
fn update_endpoint(
    before: Option<Endpoint>,
    record: EndpointRecord,
    outdated: &mut IndexSet<String>,
    changes: &mut Vec<Change>,
) -> Endpoint {
    let id = record.id.clone();
    let Some(before) = before else {
        changes.push(Change::Added(id));
        return Endpoint::new(record);
    };
    let has_same_version = record.version == before.record().version;
    if record.is_newer_incarnation_than(before.record()) {
        if !has_same_version {
            before.mark_version_changed();
        }
        let former = before.incarnation_key();
        changes.push(Change::Restarted { id, former });
        return Endpoint::new(record);
    }
    if before.record().is_newer_incarnation_than(&record) {
        if outdated.insert(id.clone()) {
            changes.push(Change::Outdated(id));
        }
        return before;
    }
    outdated.swap_remove(&id);
    let drains = record.state == EndpointState::Draining;
    if drains && before.record().state == EndpointState::Ready {
        changes.push(Change::Draining(id));
    }
    if !has_same_version {
        // The entry has no start time, or not that of the present process.
        before.mark_version_changed();
        return Endpoint::new(record);
    }
    before.with_record(record)
}
