use std::{sync::Arc, time::Instant};

use base::Millis;
use fleet::{Endpoint, SpeedSample};

use crate::Counters;

/// Measures the mean interval between the events of one stream.
///
/// Only the first and the last event count. A chunk with several events has
/// one time, which is that of its last event, so that the other events of the
/// first chunk are left out.
#[derive(Debug)]
pub(crate) struct StreamTimer {
    counters: Arc<Counters>,
    /// Requests at the endpoint when the response began.
    load: u32,
    /// Slowdown that the head of the response reported.
    slowdown_percent: Option<u32>,
    events: u64,
    /// Events of the first chunk that had any.
    first_events: u64,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
}

impl StreamTimer {
    pub(crate) fn new(
        counters: Arc<Counters>,
        load: u32,
        slowdown_percent: Option<u32>,
    ) -> Self {
        Self {
            counters,
            load,
            slowdown_percent,
            events: 0,
            first_events: 0,
            first_at: None,
            last_at: None,
        }
    }

    /// Records how many events have arrived so far.
    pub(crate) fn record_events(&mut self, events: u64) {
        if events <= self.events {
            return;
        }
        self.events = events;
        let now = Instant::now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            self.first_events = events;
        }
        self.last_at = Some(now);
    }

    /// Records the sample of the stream at its endpoint, once the stream has
    /// ended. Streams that the caller or the deadline cut off count as well:
    /// the slowest endpoints would otherwise give no samples.
    pub(crate) fn record_sample(self, endpoint: &Endpoint, now: Millis) {
        let (Some(first_at), Some(last_at)) = (self.first_at, self.last_at)
        else {
            return;
        };
        let span_us = (last_at - first_at).as_micros() as u64;
        let sample = SpeedSample::of_stream(
            self.events - self.first_events + 1,
            span_us,
            self.load,
            self.slowdown_percent,
        );
        let is_used =
            sample.is_some_and(|sample| endpoint.record_sample(sample, now));
        Counters::add(match is_used {
            true => &self.counters.speed_samples_used,
            false => &self.counters.speed_samples_unused,
        });
    }
}
