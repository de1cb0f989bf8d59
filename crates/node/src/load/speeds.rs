//! The speed of endpoints at one node: the periodic update of medians.

use base::Millis;
use fleet::{EndpointTable, Selection, SpeedChange};

/// Interval between two updates of the medians, and between two messages
/// about speed to another node, in milliseconds.
pub(super) const SPEED_INTERVAL_MS: u64 = 1_000;

/// Maximum number of changed classes that are logged with one update.
const MAX_LOGGED_CHANGES: usize = 8;

/// Updates the speeds of the services of a selection.
pub(super) fn refresh_selected(
    table: &EndpointTable,
    selection: &Selection,
    now: Millis,
) {
    let mut changes = Vec::new();
    for (speed, incarnations) in selection.speeds() {
        let endpoints = incarnations.filter_map(|key| table.get(key));
        changes.extend(speed.refresh(endpoints, now));
    }
    log_changes(&changes, now);
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
