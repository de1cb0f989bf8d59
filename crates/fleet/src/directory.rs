use base::Millis;
use indexmap::{IndexMap, IndexSet};

use crate::{
    Endpoint, EndpointRecord, EndpointState, EndpointTable, IncarnationKey,
};

/// How long after the key-value service's return a missing entry may still
/// come back, in milliseconds. Endpoints renew their entries about every
/// second, so that living ones are listed again within two; half a second
/// is for the time between two listings.
pub const LISTING_GRACE_MS: u64 = 2_500;

/// What one read of the key-value service listed.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Revision of the service at the read.
    pub revision: u64,
    /// The entries.
    pub records: Vec<EndpointRecord>,
}

/// What has changed in the key-value service since a revision.
#[derive(Clone, Debug, Default)]
pub struct ListingUpdate {
    /// Revision that this reaches.
    pub revision: u64,
    /// The entries that are new or changed.
    pub records: Vec<EndpointRecord>,
    /// Ids whose entries are gone.
    pub removed: Vec<String>,
}

/// How a listing changed what is believed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An endpoint is new.
    Added(String),
    /// An endpoint has started again under its id; the life before is over.
    Restarted {
        /// Id of the endpoint.
        id: String,
        /// The life that is over.
        former: IncarnationKey,
    },
    /// An entry tells of a life that is over, as a delayed write may.
    Outdated(String),
    /// An endpoint takes no new work any more.
    Draining(String),
    /// An endpoint is gone.
    Gone(String),
    /// An entry is missing after an outage; the endpoint is kept for now.
    Kept(String),
}

/// Follows the listings of the key-value service.
///
/// While the service is away, entries lapse although their endpoints live:
/// their heartbeats cannot arrive. A directory that took the first listing
/// after an outage at its word would drop the whole fleet at once, seen as
/// refusals of all requests for two seconds. So an entry that is missing
/// within [`LISTING_GRACE_MS`] of a failed read is kept until that time is
/// over; at any other time a missing entry means that the endpoint is gone.
#[derive(Debug, Default)]
pub struct Directory {
    known: IndexMap<String, Endpoint>,
    revision: u64,
    failed_at: Option<Millis>,
    listed: bool,
    /// Ids that are kept although no entry names them.
    kept: IndexSet<String>,
    /// The lives of all that is known.
    lives: IndexSet<IncarnationKey>,
    /// Ids whose entry tells of a life that is over, each told once.
    outdated: IndexSet<String>,
}

impl Directory {
    /// Takes note of a read that failed.
    pub fn record_read_failure(&mut self, now: Millis) {
        self.failed_at = Some(now);
    }

    /// Tells whether any listing has arrived.
    pub fn has_listing(&self) -> bool {
        self.listed
    }

    /// Returns the revision of the newest listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a listing and returns what it changed. An older listing than
    /// the newest, as a delayed answer may bring, changes nothing.
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

    /// Takes what has changed since the last listing, at a cost that goes
    /// by the changes and not by the endpoints. An older update than the
    /// newest changes nothing.
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
        for record in update.records {
            self.kept.swap_remove(&record.id);
            let before = self.remove(&record.id);
            let endpoint =
                follow(before, record, &mut self.outdated, &mut changes);
            self.insert(endpoint);
        }
        let kept = std::mem::take(&mut self.kept).into_iter();
        for id in kept.chain(update.removed).collect::<IndexSet<_>>() {
            if let Some(endpoint) = self.remove(&id) {
                self.outdated.swap_remove(&id);
                self.miss(id, endpoint, now, &mut changes);
            }
        }
        changes
    }

    fn insert(&mut self, endpoint: Endpoint) {
        self.lives.insert(endpoint.incarnation_key());
        self.known.insert(endpoint.record().id.clone(), endpoint);
    }

    fn remove(&mut self, id: &str) -> Option<Endpoint> {
        let endpoint = self.known.swap_remove(id)?;
        self.lives.swap_remove(&endpoint.incarnation_key());
        Some(endpoint)
    }

    fn miss(
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
            self.kept.insert(id);
            self.insert(endpoint);
        } else {
            changes.push(Change::Gone(id));
        }
    }

    /// Returns the endpoints that take new work.
    pub fn table(&self) -> EndpointTable {
        let ready = self.known.values().filter(|endpoint| {
            endpoint.record().state == EndpointState::Ready
        });
        EndpointTable::new(ready.cloned())
    }

    /// Tells whether an endpoint is kept although no entry names it.
    pub fn retains_missing(&self) -> bool {
        !self.kept.is_empty()
    }

    /// Tells whether a life of an endpoint is not over, whatever its state.
    pub fn has_incarnation(&self, life: IncarnationKey) -> bool {
        self.lives.contains(&life)
    }

    /// Returns the endpoint of an id, whatever its state.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.known.get(id)
    }
}

/// Takes the entry of an endpoint that may be known already.
///
/// What goes wrong where lives are not told apart: an endpoint crashes
/// behind a cut and starts again under its id before its entry lapses. Its
/// connections, counted requests and failure_kind would be those of a process
/// that is gone, seen as requests that hang on silent connections and as a
/// load that never goes down.
fn follow(
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
    if record.is_newer_incarnation_than(before.record()) {
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
    before.with_record(record)
}
