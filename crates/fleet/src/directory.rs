use base::Millis;
use indexmap::IndexMap;

use crate::{Endpoint, EndpointRecord, EndpointState, EndpointTable};

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

/// How a listing changed what is believed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An endpoint is new.
    Added(String),
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
}

impl Directory {
    /// Takes note of a read that failed.
    pub fn read_failed(&mut self, now: Millis) {
        self.failed_at = Some(now);
    }

    /// Tells whether any listing has arrived.
    pub fn is_listed(&self) -> bool {
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
    /// let changes = directory.take(Listing::default(), Millis::new(0));
    /// assert_eq!(changes, []);
    /// assert!(directory.is_listed());
    /// ```
    pub fn take(&mut self, listing: Listing, now: Millis) -> Vec<Change> {
        if listing.revision < self.revision {
            return Vec::new();
        }
        self.revision = listing.revision;
        self.listed = true;
        let mut changes = Vec::new();
        let mut old = std::mem::take(&mut self.known);
        for record in listing.records {
            let before = old.swap_remove(&record.id);
            note_change(before.as_ref(), &record, &mut changes);
            let id = record.id.clone();
            let endpoint = match before {
                Some(before) => before.with_record(record),
                None => Endpoint::new(record),
            };
            self.known.insert(id, endpoint);
        }
        for (id, endpoint) in old {
            self.miss(id, endpoint, now, &mut changes);
        }
        changes
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
            self.known.insert(id, endpoint);
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

    /// Returns the endpoint of an id, whatever its state.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.known.get(id)
    }
}

fn note_change(
    before: Option<&Endpoint>,
    record: &EndpointRecord,
    changes: &mut Vec<Change>,
) {
    let draining = record.state == EndpointState::Draining;
    match before.map(|endpoint| endpoint.record().state) {
        None => changes.push(Change::Added(record.id.clone())),
        Some(EndpointState::Ready) if draining => {
            changes.push(Change::Draining(record.id.clone()));
        }
        Some(_) => {}
    }
}
