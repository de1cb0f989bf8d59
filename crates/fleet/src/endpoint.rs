use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use base::{Millis, UnixMillis, mix};
use serde::{Deserialize, Serialize};

use crate::{FailureKind, LoadReport, SoftwareVersion, speed::SpeedState};

/// Whether an endpoint accepts new work.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its running requests and then shuts down.
    Draining,
}

/// The entry of one endpoint in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// Id of the endpoint, which stays the same across restarts.
    pub id: String,
    /// When this incarnation started, if the entry has it. A restarted
    /// endpoint keeps no state of its previous incarnation.
    #[serde(default)]
    pub started_at: Option<UnixMillis>,
    /// Version of its software, if the entry has it.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// Address that it listens on. Another incarnation may later get the same
    /// address.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: EndpointState,
}

/// Identifies one incarnation of an endpoint, distinct from all others,
/// including those with the same id or address.
///
/// The key is a hash of the id and the start time. Among a million
/// incarnations two share a key with a probability of one in thirty million; a
/// request that then reaches the wrong endpoint names its target and is
/// rejected there.
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
    /// Returns the key as a number, which is the same on all nodes.
    #[inline]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl EndpointRecord {
    /// Returns the key of the entry's incarnation.
    pub fn incarnation_key(&self) -> IncarnationKey {
        let id = base::stable_hash(&[&self.id]);
        let started = self.started_at.map_or(0, UnixMillis::as_ms);
        IncarnationKey(mix(id ^ mix(started)))
    }

    /// Reports whether this entry is of a later incarnation than another
    /// entry.
    pub fn is_newer_incarnation_than(&self, other: &EndpointRecord) -> bool {
        self.started_at > other.started_at
    }
}

/// An endpoint with the load that this process knows of.
///
/// The record is replaced together with the table that holds it. The counters
/// are shared by all tables and live as long as the endpoint's incarnation.
#[derive(Clone, Debug)]
pub struct Endpoint {
    record: Arc<EndpointRecord>,
    load: Arc<Counters>,
    id_hash: u64,
    incarnation: IncarnationKey,
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
    has_changed_version: AtomicBool,
    speed: SpeedState,
}

impl Endpoint {
    /// Creates an endpoint without any known load.
    pub fn new(record: EndpointRecord) -> Self {
        Self {
            id_hash: base::stable_hash(&[&record.id]),
            incarnation: record.incarnation_key(),
            record: Arc::new(record),
            load: Arc::default(),
        }
    }

    /// Replaces the record by another one of the same incarnation and keeps
    /// the load.
    #[must_use]
    pub fn with_record(&self, record: EndpointRecord) -> Self {
        Self {
            record: Arc::new(record),
            load: self.load.clone(),
            id_hash: self.id_hash,
            incarnation: self.incarnation,
        }
    }

    /// Returns the key of its incarnation.
    #[inline]
    pub fn incarnation_key(&self) -> IncarnationKey {
        self.incarnation
    }

    /// Returns its entry in the key-value service.
    #[inline]
    pub fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns the version of its software, or an empty string, for the log.
    pub fn version_text(&self) -> &str {
        self.record.version.as_ref().map_or("", |v| v.as_str())
    }

    /// Records that the endpoint was listed again with another version of its
    /// software.
    pub(crate) fn mark_version_changed(&self) {
        self.load.has_changed_version.store(true, Ordering::Relaxed);
    }

    /// Reports whether the endpoint was listed again with another version of
    /// its software. It is not known then at which version its last runs were.
    pub fn has_changed_version(&self) -> bool {
        self.load.has_changed_version.load(Ordering::Relaxed)
    }

    /// Returns a hash of the id, for choices that are evenly distributed.
    #[inline]
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Returns the number of in-flight requests of this process.
    #[inline]
    pub fn in_flight(&self) -> u32 {
        self.load.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight.
    pub fn begin_request(&self) {
        self.load.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request as ended.
    pub fn end_request(&self) {
        let old = self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
        debug_assert!(old > 0, "more ends than begins");
    }

    /// Records a load that the endpoint reported.
    pub fn record_load(&self, report: LoadReport, now: Millis) {
        let load = &self.load;
        let all = report.running.saturating_add(report.waiting);
        load.reported.store(all, Ordering::Relaxed);
        load.own_at_report
            .store(self.in_flight(), Ordering::Relaxed);
        load.reported_at_ms
            .store(now.as_ms().max(1), Ordering::Relaxed);
        load.speed.record_slowdown(report.slowdown_percent, now);
    }

    #[inline]
    pub(crate) fn speed(&self) -> &SpeedState {
        &self.load.speed
    }

    /// Records the number of online requests that other nodes have at the
    /// endpoint, according to their load updates.
    pub fn record_remote_load(&self, requests: u32, now: Millis) {
        let load = &self.load;
        load.remote.store(requests, Ordering::Relaxed);
        load.remote_at_ms
            .store(now.as_ms().max(1), Ordering::Relaxed);
    }

    /// Estimates the number of requests that it holds for all callers.
    ///
    /// The process's own requests are counted exactly. Those of others are
    /// taken from load updates of the last `REMOTE_LOAD_TTL_MS`, without batch
    /// work, which is preempted for online requests. Without such an update,
    /// they are the requests in the endpoint's last report beyond the own ones
    /// at that time; a report is ignored after `REPORTED_LOAD_TTL_MS`.
    pub fn estimated_load(&self, now: Millis) -> u32 {
        self.in_flight().saturating_add(self.remote(now))
    }

    fn remote(&self, now: Millis) -> u32 {
        let remote_at_ms = self.load.remote_at_ms.load(Ordering::Relaxed);
        let remote_age_ms = now.as_ms().saturating_sub(remote_at_ms);
        if remote_at_ms != 0 && remote_age_ms <= REMOTE_LOAD_TTL_MS {
            return self.load.remote.load(Ordering::Relaxed);
        }
        let reported_at_ms = self.load.reported_at_ms.load(Ordering::Relaxed);
        let age_ms = now.as_ms().saturating_sub(reported_at_ms);
        if reported_at_ms == 0 || age_ms > REPORTED_LOAD_TTL_MS {
            return 0;
        }
        let reported = self.load.reported.load(Ordering::Relaxed);
        let own_in_flight = self.load.own_at_report.load(Ordering::Relaxed);
        reported.saturating_sub(own_in_flight)
    }

    /// Records a request whose failure is attributed to the endpoint.
    ///
    /// A silence does not prolong later backoffs: the endpoint may be sound,
    /// and all its requests report the same silence.
    pub fn record_failure(&self, failure_kind: FailureKind, now: Millis) {
        let failures = &self.load.failures;
        let before = match failure_kind {
            FailureKind::Silent => failures.load(Ordering::Relaxed),
            _ => failures.fetch_add(1, Ordering::Relaxed),
        };
        let until = now.saturating_add_ms(failure_kind.backoff_ms(before));
        self.load
            .avoid_until_ms
            .fetch_max(until.as_ms(), Ordering::Relaxed);
    }

    /// Records a successful request.
    pub fn record_success(&self) {
        if self.load.failures.load(Ordering::Relaxed) != 0 {
            self.load.failures.store(0, Ordering::Relaxed);
        }
        if self.load.avoid_until_ms.load(Ordering::Relaxed) != 0 {
            self.load.avoid_until_ms.store(0, Ordering::Relaxed);
        }
    }

    /// Reports whether the endpoint should be avoided because of recent
    /// failures.
    #[inline]
    pub fn is_suspect(&self, now: Millis) -> bool {
        now.as_ms() < self.load.avoid_until_ms.load(Ordering::Relaxed)
    }
}

/// How long a reported load is used, in milliseconds: about the length of one
/// streamed response, after which the requests of that time have ended.
const REPORTED_LOAD_TTL_MS: u64 = 700;

/// How long a load update of other nodes is used, in milliseconds. Each node
/// sends its full update again every half second.
const REMOTE_LOAD_TTL_MS: u64 = 1_300;
