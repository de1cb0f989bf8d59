use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use base::{Millis, UnixMillis, mix};
use serde::{Deserialize, Serialize};

use crate::{FailureKind, LoadReport};

/// Whether an endpoint takes new work.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Ready,
    /// Ends what it runs and then leaves.
    Draining,
}

/// What the key-value service says of one endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// Id of the endpoint. It may start again under the same id.
    pub id: String,
    /// When this life of it started, if it says so. A restarted endpoint
    /// holds and knows nothing of the life before.
    #[serde(default)]
    pub started_at: Option<UnixMillis>,
    /// Where it listens. Another life may get the same address later.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
}

/// Tells one life of an endpoint from all others, also from those under
/// the same id or address.
///
/// A hash of the id and the start: two of a million lives share one with a
/// chance of one in thirty million, and a request that then reaches the
/// wrong endpoint names its target and is turned away.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationKey(u64);

impl IncarnationKey {
    /// Returns the key as a number that all nodes find for the same life.
    #[inline]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl EndpointRecord {
    /// Returns the key of this life.
    pub fn incarnation_key(&self) -> IncarnationKey {
        let id = base::stable_hash(&[&self.id]);
        let started = self.started_at.map_or(0, UnixMillis::as_ms);
        IncarnationKey(mix(id ^ mix(started)))
    }

    /// Tells whether this entry is of a life that began after the one that
    /// another entry tells of.
    pub fn is_newer_incarnation_than(&self, other: &EndpointRecord) -> bool {
        self.started_at > other.started_at
    }
}

/// One endpoint with what this process knows of its load.
///
/// The record is replaced with the table that holds it, the counters live
/// as long as the endpoint does: all tables share them.
#[derive(Clone, Debug)]
pub struct Endpoint {
    record: Arc<EndpointRecord>,
    load: Arc<Counters>,
    id_hash: u64,
    life: IncarnationKey,
}

#[derive(Debug, Default)]
struct Counters {
    in_flight: AtomicU32,
    reported: AtomicU32,
    own_at_report: AtomicU32,
    reported_at_ms: AtomicU64,
    remote: AtomicU32,
    remote_at_ms: AtomicU64,
    failures: AtomicU32,
    avoid_until_ms: AtomicU64,
}

impl Endpoint {
    /// Makes an endpoint of which no load is known.
    pub fn new(record: EndpointRecord) -> Self {
        Self {
            id_hash: base::stable_hash(&[&record.id]),
            life: record.incarnation_key(),
            record: Arc::new(record),
            load: Arc::default(),
        }
    }

    /// Replaces the record by another one of the same life and keeps the
    /// load.
    #[must_use]
    pub fn with_record(&self, record: EndpointRecord) -> Self {
        Self {
            record: Arc::new(record),
            load: self.load.clone(),
            id_hash: self.id_hash,
            life: self.life,
        }
    }

    /// Returns the key of its life.
    #[inline]
    pub fn incarnation_key(&self) -> IncarnationKey {
        self.life
    }

    /// Returns what the key-value service says of it.
    #[inline]
    pub fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns a hash of the id, for choices that spread evenly.
    #[inline]
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Returns the requests of this process that it runs.
    #[inline]
    pub fn in_flight(&self) -> u32 {
        self.load.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as sent.
    pub fn begin_request(&self) {
        self.load.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request as over.
    pub fn end_request(&self) {
        let old = self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
        debug_assert!(old > 0, "more ends than begins");
    }

    /// Takes note of a load that the endpoint has reported.
    pub fn record_load(&self, report: LoadReport, now: Millis) {
        let load = &self.load;
        let all = report.running.saturating_add(report.waiting);
        load.reported.store(all, Ordering::Relaxed);
        load.own_at_report
            .store(self.in_flight(), Ordering::Relaxed);
        load.reported_at_ms
            .store(now.as_ms().max(1), Ordering::Relaxed);
    }

    /// Takes note of the online requests that other nodes have there, by
    /// their load updates.
    pub fn record_remote_load(&self, requests: u32, now: Millis) {
        let load = &self.load;
        load.remote.store(requests, Ordering::Relaxed);
        load.remote_at_ms
            .store(now.as_ms().max(1), Ordering::Relaxed);
    }

    /// Estimates the requests that it holds from all callers.
    ///
    /// Own requests are known to the moment. Those of others are what they
    /// reported within `REMOTE_LIFE_MS`, without batch work, which gives way.
    /// Failing that they are what the last report held beyond the own ones of that time; after
    /// `REPORT_LIFE_MS` the report says nothing any more.
    pub fn estimated_load(&self, now: Millis) -> u32 {
        self.in_flight().saturating_add(self.remote(now))
    }

    fn remote(&self, now: Millis) -> u32 {
        let remote_at = self.load.remote_at_ms.load(Ordering::Relaxed);
        let remote_age_ms = now.as_ms().saturating_sub(remote_at);
        if remote_at != 0 && remote_age_ms <= REMOTE_LIFE_MS {
            return self.load.remote.load(Ordering::Relaxed);
        }
        let at = self.load.reported_at_ms.load(Ordering::Relaxed);
        let age_ms = now.as_ms().saturating_sub(at);
        if at == 0 || age_ms > REPORT_LIFE_MS {
            return 0;
        }
        let reported = self.load.reported.load(Ordering::Relaxed);
        let own = self.load.own_at_report.load(Ordering::Relaxed);
        reported.saturating_sub(own)
    }

    /// Takes note of a request that failed for the endpoint's sake.
    pub fn record_failure(&self, failure_kind: FailureKind, now: Millis) {
        let before = self.load.failures.fetch_add(1, Ordering::Relaxed);
        let until = now.saturating_add_ms(failure_kind.backoff_ms(before));
        self.load
            .avoid_until_ms
            .fetch_max(until.as_ms(), Ordering::Relaxed);
    }

    /// Takes note of a request that went well.
    pub fn record_success(&self) {
        if self.load.failures.load(Ordering::Relaxed) != 0 {
            self.load.failures.store(0, Ordering::Relaxed);
            self.load.avoid_until_ms.store(0, Ordering::Relaxed);
        }
    }

    /// Tells whether it is better left alone after failures.
    #[inline]
    pub fn is_suspect(&self, now: Millis) -> bool {
        now.as_ms() < self.load.avoid_until_ms.load(Ordering::Relaxed)
    }
}

/// How long a reported load counts, in milliseconds: about the length of
/// one streamed answer, after which what ran then has ended.
const REPORT_LIFE_MS: u64 = 700;

/// How long a load update of other nodes counts, in milliseconds: all of it is
/// sent again every half second.
const REMOTE_LIFE_MS: u64 = 1_300;
