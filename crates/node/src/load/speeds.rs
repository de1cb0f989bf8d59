//! The speed of endpoints at one node: the update of medians, and the exchange
//! of estimates between fronts and workers.

use std::net::SocketAddr;

use base::Millis;
use fleet::{
    Endpoint, EndpointSpeed, EndpointTable, IncarnationKey,
    MAX_MEDIAN_ENDPOINTS, Selection, ServiceSpeeds, SpeedChange,
    SpeedEstimate, SpeedReports,
};
use indexmap::IndexMap;
use jobs::{Assignment, FRONT_LOAD_TTL_MS, OnlineLoad, ReportVersion};
use pass::{Counters, EndpointSpeedRow};

use super::speed_wire::SpeedUpdate;

/// Interval between two updates of the medians, and between two messages
/// about speed to another node, in milliseconds.
pub(super) const SPEED_INTERVAL_MS: u64 = 1_000;

/// Maximum number of changed classes that are logged with one update.
const MAX_LOGGED_CHANGES: usize = 8;

/// Estimates of endpoints by incarnation.
pub(super) type Estimates = Vec<(IncarnationKey, SpeedEstimate)>;

/// The last version of the messages of each sender.
///
/// Datagrams may be duplicated or reordered. After a period of silence any
/// version is accepted: the clock of the sender may have been set back while
/// it restarted.
#[derive(Debug, Default)]
struct Versions(IndexMap<String, (ReportVersion, Millis)>);

/// Time of silence after which any version is accepted, in milliseconds: a
/// few intervals between messages.
const SILENCE_MS: u64 = 2 * FRONT_LOAD_TTL_MS;

impl Versions {
    fn accept(&mut self, update: &SpeedUpdate, now: Millis) -> bool {
        let new = update.report_version();
        if let Some((last, at)) = self.0.get_mut(update.node()) {
            let is_silent = now.saturating_ms_since(*at) >= SILENCE_MS;
            if new <= *last && !is_silent {
                return false;
            }
            (*last, *at) = (new, now);
            return true;
        }
        self.0.insert(update.node().to_owned(), (new, now));
        true
    }

    fn remove_silent(&mut self, now: Millis) {
        self.0
            .retain(|_, (_, at)| now.saturating_ms_since(*at) < SILENCE_MS);
    }
}

/// The speeds that a front uses.
pub(crate) struct FrontSpeeds {
    speeds: ServiceSpeeds,
    versions: Versions,
    next_update: Millis,
}

impl FrontSpeeds {
    pub(crate) fn new(speeds: ServiceSpeeds) -> Self {
        Self {
            speeds,
            versions: Versions::default(),
            next_update: Millis::default(),
        }
    }

    pub(super) fn services(&self) -> &ServiceSpeeds {
        &self.speeds
    }

    /// Reports whether an update is due, and plans the next one.
    pub(super) fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_update;
        if is_due {
            self.next_update = now.saturating_add_ms(SPEED_INTERVAL_MS);
            self.versions.remove_silent(now);
        }
        is_due && self.speeds.mode() != EndpointSpeed::Off
    }

    /// Updates the medians of the selected endpoints.
    pub(super) fn refresh(
        &self,
        table: &EndpointTable,
        selection: &Selection,
        counters: &Counters,
        now: Millis,
    ) {
        let mut changes = Vec::new();
        let mut rows = Vec::new();
        for (speed, incarnations) in selection.speeds() {
            let endpoints = incarnations.filter_map(|key| table.get(key));
            let endpoints: Vec<&Endpoint> = endpoints.collect();
            changes.extend(speed.refresh(endpoints.iter().copied(), now));
            rows.extend(speed_rows(&endpoints, now));
        }
        log_changes(&changes, now);
        counters.endpoint_speeds.replace(rows);
    }

    /// Returns the messages that are due: for each worker of a selected
    /// endpoint, the estimates with new samples. A message without estimates
    /// asks for those of other fronts.
    pub(super) fn messages(
        &self,
        table: &EndpointTable,
        selection: &Selection,
        workers: &Assignment,
        now: Millis,
    ) -> IndexMap<SocketAddr, Estimates> {
        let mut messages: IndexMap<SocketAddr, Estimates> = IndexMap::new();
        for incarnation in selection.iter() {
            let Some(endpoint) = table.get(incarnation) else {
                continue;
            };
            let service = &endpoint.record().service;
            if !self.speeds.of(service).is_active(now) {
                continue;
            }
            let worker = workers.user_of(incarnation);
            let Some(address) = worker.and_then(|worker| worker.address)
            else {
                continue;
            };
            let message = messages.entry(address).or_default();
            let has_new = endpoint.take_new_samples();
            let own = endpoint.own_speed(now).filter(|_| has_new);
            message.extend(own.map(|own| (incarnation, own)));
        }
        messages
    }

    /// Applies the combined estimates of a worker to the endpoints that are
    /// assigned to it.
    pub(super) fn apply(
        &mut self,
        update: &SpeedUpdate,
        table: &EndpointTable,
        workers: &Assignment,
        now: Millis,
    ) {
        if self.speeds.mode() == EndpointSpeed::Off
            || !self.versions.accept(update, now)
        {
            return;
        }
        for (incarnation, estimate) in update.speeds() {
            let worker = workers.user_of(incarnation);
            if worker.is_none_or(|worker| worker.node != update.node()) {
                continue;
            }
            if let Some(endpoint) = table.get(incarnation) {
                endpoint.record_combined_speed(estimate, now);
            }
        }
    }
}

/// Minimum interval between two answers to the same front, in milliseconds:
/// the interval of a front's messages, less the variation of their delays.
const MIN_ANSWER_INTERVAL_MS: u64 = SPEED_INTERVAL_MS * 8 / 10;

/// The speeds that a worker combines and uses.
pub(crate) struct WorkerSpeeds {
    speeds: ServiceSpeeds,
    versions: Versions,
    reports: SpeedReports,
    /// Fronts that have sent estimates and have not been answered.
    unanswered: Vec<String>,
    /// When each front was last answered.
    answered: IndexMap<String, Millis>,
    next_update: Millis,
}

impl WorkerSpeeds {
    pub(crate) fn new(speeds: ServiceSpeeds) -> Self {
        Self {
            speeds,
            versions: Versions::default(),
            reports: SpeedReports::default(),
            unanswered: Vec::new(),
            answered: IndexMap::new(),
            next_update: Millis::default(),
        }
    }

    /// Records the estimates of a front for endpoints of this worker.
    pub(super) fn record(
        &mut self,
        update: &SpeedUpdate,
        own: &Assignment,
        now: Millis,
    ) {
        if self.speeds.mode() == EndpointSpeed::Off
            || !self.versions.accept(update, now)
        {
            return;
        }
        for (incarnation, estimate) in update.speeds() {
            if own.uses_endpoint(incarnation) {
                self.reports
                    .record(update.node(), incarnation, estimate, now);
            }
        }
        self.plan_answer(update.node(), now);
    }

    /// Plans an answer to a front, unless one was sent a moment ago.
    fn plan_answer(&mut self, front: &str, now: Millis) {
        let answered = self.answered.get(front);
        let is_recent = answered.is_some_and(|at| {
            now.saturating_ms_since(*at) < MIN_ANSWER_INTERVAL_MS
        });
        if !is_recent && !self.unanswered.iter().any(|name| name == front) {
            self.unanswered.push(front.to_owned());
        }
    }

    /// Returns the answers to the fronts that have sent estimates since the
    /// last call: the combined estimates of the endpoints that they use.
    pub(super) fn answers(
        &mut self,
        online: &OnlineLoad,
        table: &EndpointTable,
        now: Millis,
    ) -> Vec<(String, Estimates)> {
        let fronts = std::mem::take(&mut self.unanswered);
        for front in &fronts {
            self.answered.insert(front.clone(), now);
        }
        let answers = fronts.into_iter().map(|front| {
            let used = online.endpoints_of(&front).into_iter();
            let estimates = used.filter_map(|incarnation| {
                let combined = self.combined(incarnation, table, now)?;
                Some((incarnation, combined))
            });
            let estimates = estimates.collect();
            (front, estimates)
        });
        answers.collect()
    }

    fn combined(
        &self,
        incarnation: IncarnationKey,
        table: &EndpointTable,
        now: Millis,
    ) -> Option<SpeedEstimate> {
        let endpoint = table.get(incarnation);
        let own = endpoint.and_then(|endpoint| recent_own(endpoint, now));
        self.reports.combined(incarnation, own, now)
    }

    /// Updates the estimates and medians of this worker's endpoints if this
    /// is due.
    pub(super) fn refresh(
        &mut self,
        table: &EndpointTable,
        own: &Assignment,
        counters: &Counters,
        now: Millis,
    ) {
        if now < self.next_update || self.speeds.mode() == EndpointSpeed::Off {
            return;
        }
        self.next_update = now.saturating_add_ms(SPEED_INTERVAL_MS);
        self.versions.remove_silent(now);
        self.answered
            .retain(|_, at| now.saturating_ms_since(*at) < SILENCE_MS);
        let mut services: IndexMap<&str, Vec<&Endpoint>> = IndexMap::new();
        for incarnation in own.own_endpoints() {
            let Some(endpoint) = table.get(*incarnation) else {
                continue;
            };
            if let Some(combined) = self.combined(*incarnation, table, now) {
                endpoint.record_combined_speed(combined, now);
            }
            let service = endpoint.record().service.as_str();
            let used = services.entry(service).or_default();
            if used.len() < MAX_MEDIAN_ENDPOINTS {
                used.push(endpoint);
            }
        }
        let mut changes = Vec::new();
        let mut rows = Vec::new();
        for (service, endpoints) in &services {
            let speed = self.speeds.of(service);
            changes.extend(speed.refresh(endpoints.iter().copied(), now));
            rows.extend(speed_rows(endpoints, now));
        }
        log_changes(&changes, now);
        counters.endpoint_speeds.replace(rows);
        self.speeds.retain(|service| services.contains_key(service));
    }
}

/// Age up to which a node's own samples are part of a combined estimate, in
/// milliseconds; that of other nodes' estimates is the same.
const OWN_SAMPLES_TTL_MS: u64 = 10_000;

/// Returns the estimate of this node's own recent samples.
fn recent_own(endpoint: &Endpoint, now: Millis) -> Option<SpeedEstimate> {
    let age_ms = endpoint.sample_age_ms(now)?;
    (age_ms <= OWN_SAMPLES_TTL_MS)
        .then(|| endpoint.own_speed(now))
        .flatten()
}

/// Returns the metrics of those endpoints whose speed is known.
fn speed_rows(
    endpoints: &[&Endpoint],
    now: Millis,
) -> impl Iterator<Item = EndpointSpeedRow> {
    endpoints.iter().filter_map(move |endpoint| {
        Some(EndpointSpeedRow {
            endpoint: endpoint.record().id.clone(),
            interval_us: endpoint.expected_interval_us(now)?,
            age_ms: endpoint.sample_age_ms(now),
        })
    })
}

fn log_changes(changes: &[SpeedChange], now: Millis) {
    for change in changes.iter().take(MAX_LOGGED_CHANGES) {
        let endpoint = &change.endpoint;
        let own = endpoint.own_speed(now).unwrap_or_default();
        log::info!(
            endpoint = endpoint.record().id.as_str(),
            version = endpoint.version_text(),
            before = change.before.as_str(),
            after = change.after.as_str(),
            interval_us = endpoint.expected_interval_us(now).unwrap_or(0),
            samples = own.samples,
            age_ms:? = endpoint.sample_age_ms(now),
            omitted = changes.len().saturating_sub(MAX_LOGGED_CHANGES);
            "the speed of an endpoint changed"
        );
    }
}

#[cfg(test)]
#[path = "../../tests/unit/speeds.rs"]
mod tests;
