use std::{
    fmt::Write,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use fleet::SpeedClass;

use crate::{CustomerCounters, EndpointSpeeds, ShareMetrics};

/// Upper bounds of the histogram buckets in milliseconds: about a factor of
/// two apart, with the objectives of interactive requests (100 to 300 ms) as
/// bounds of their own.
const BUCKETS_MS: [u64; 14] = [
    2, 5, 10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 20_000,
];

/// Counts durations by size.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl Histogram {
    /// Records a duration.
    pub fn record(&self, duration: Duration) {
        let ms = duration.as_millis() as u64;
        let at = BUCKETS_MS.partition_point(|end| *end < ms);
        self.buckets[at].fetch_add(1, Ordering::Relaxed);
        let us = duration.as_micros() as u64;
        self.sum_us.fetch_add(us, Ordering::Relaxed);
    }

    fn render(&self, name: &str, text: &mut String) {
        let mut total = 0;
        for (at, bucket) in self.buckets.iter().enumerate() {
            total += bucket.load(Ordering::Relaxed);
            let _ = match BUCKETS_MS.get(at) {
                Some(end) => {
                    writeln!(text, "{name}_bucket{{le=\"{end}\"}} {total}")
                }
                None => {
                    writeln!(text, "{name}_bucket{{le=\"+Inf\"}} {total}")
                }
            };
        }
        let sum_ms = self.sum_us.load(Ordering::Relaxed) / 1_000;
        let _ = writeln!(text, "{name}_sum {sum_ms}\n{name}_count {total}");
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident,)+) => {
        /// Counters and histograms of a process, exported as text.
        ///
        /// They are fixed atomic fields instead of a map by name, so that a
        /// request is counted without a lock and without a lookup.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $counter: AtomicU64,)+
            /// Requests by customer, for the largest customers.
            pub customers: CustomerCounters,
            /// Estimated speed of endpoints.
            pub endpoint_speeds: EndpointSpeeds,
            /// Shares of the largest customers.
            pub shares: ShareMetrics,
            /// From the arrival of a request to the head of its response.
            pub first_byte_ms: Histogram,
            /// From the arrival of a request to the end of its response.
            pub whole_ms: Histogram,
            /// Duration of searches for the origins of resumed streams.
            pub origin_find_ms: Histogram,
        }

        impl Counters {
            /// Returns all counters by name.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((
                    stringify!($counter),
                    self.$counter.load(Ordering::Relaxed),
                ),)+]
            }

            /// Renders all metrics in the text format of metric collectors.
            ///
            /// # Example
            ///
            /// ```
            /// use pomeloslip_pass::Counters;
            ///
            /// let counters = Counters::default();
            /// Counters::add(&counters.arrived);
            /// assert!(counters.render().contains("pomeloslip_arrived 1\n"));
            /// ```
            pub fn render(&self) -> String {
                let mut text = String::with_capacity(2_048);
                $(let _ = writeln!(
                    text,
                    concat!("pomeloslip_", stringify!($counter), " {}"),
                    self.$counter.load(Ordering::Relaxed),
                );)+
                self.customers.render(&mut text);
                self.endpoint_speeds.render(&mut text);
                self.shares.render(&mut text);
                self.first_byte_ms
                    .render("pomeloslip_first_byte_ms", &mut text);
                self.whole_ms.render("pomeloslip_whole_ms", &mut text);
                self.origin_find_ms
                    .render("pomeloslip_origin_find_ms", &mut text);
                text
            }
        }
    };
}

counters! {
    /// Requests that arrived.
    arrived,
    /// Requests with a complete response of an endpoint.
    answered,
    /// Requests that were refused and did not run.
    refused,
    /// Requests that ended without a response and may have run.
    failed,
    /// Requests whose client disconnected before the end.
    caller_left,
    /// Attempts after the first.
    retried,
    /// Streams that were resumed at another endpoint.
    resumed,
    /// Requests by which clients resume streams of earlier attempts.
    resumed_by_clients,
    /// Origins of streams that were stored for a later resumption.
    origins_recorded,
    /// Origins that were found for clients that resume streams.
    origins_found,
    /// Streams that could not be resumed because their origin is not known.
    origins_unknown,
    /// Streams that could not be resumed because the holders of their origin
    /// did not answer.
    origins_unreachable,
    /// Messages about origins that were sent to other nodes.
    origin_messages_sent,
    /// Bytes of the messages about origins sent.
    origin_bytes_sent,
    /// Messages about origins that were received.
    origin_messages_received,
    /// Messages about origins that were received and rejected.
    origin_messages_refused,
    /// Streams that were resumed, after their first event, at an endpoint of
    /// another software version.
    versions_mixed,
    /// Runs whose connection broke before the response was complete.
    runs_cut_off,
    /// Runs whose connection broke after the head of the response and before
    /// anything of its body.
    runs_cut_off_at_head,
    /// Responses with neither a length nor chunks, which end with their
    /// connection.
    responses_until_close,
    /// Responses that ended in order, but inside their content.
    responses_truncated,
    /// Responses that ended after their head and before they were complete,
    /// while their client was there and its time was not up.
    responses_cut,
    /// Responses that belonged to another request than the one that waited on
    /// their connection.
    responses_misplaced,
    /// Responses of endpoints whose status promises that a request did not
    /// run, without their statement, or successes with it.
    refusals_unproven,
    /// Responses whose status was replaced at the last moment, since a copy of
    /// the request may have run.
    promises_withheld,
    /// Endpoints that were avoided because they were silent about a request.
    silences,
    /// Streams that another endpoint took because their own was silent.
    streams_left_silent,
    /// Interrupted runs whose endpoint was not examined, because too many
    /// runs were interrupted at once.
    runs_not_examined,
    /// Endpoints that crashed while they ran requests of this node.
    endpoints_crashed,
    /// Poison requests and items that were quarantined instead of sent.
    requests_held,
    /// New connections to endpoints.
    connections_opened,
    /// Calls that read from the key-value service.
    kv_reads,
    /// Reads from the key-value service that may be seconds out of date.
    kv_stale_reads,
    /// Calls that watch the key-value service for changes.
    kv_watches,
    /// Calls that write to the key-value service.
    kv_writes,
    /// Calls that renew a lease.
    kv_renewals,
    /// Calls to the key-value service that failed.
    kv_failures,
    /// Writes that were sent to the worker that batches them.
    commits_shared,
    /// Load updates that were sent to other nodes.
    load_updates_sent,
    /// Bytes of the load updates sent.
    load_bytes_sent,
    /// Load updates that were received.
    load_updates_received,
    /// Load updates that were received and rejected.
    load_updates_refused,
    /// Messages about customer limits that were sent to other nodes.
    quota_messages_sent,
    /// Bytes of the messages about customer limits sent.
    quota_bytes_sent,
    /// Messages about customer limits that were received.
    quota_messages_received,
    /// Messages about customer limits that were received and rejected.
    quota_messages_refused,
    /// Reports of admitted requests that were sent to token servers.
    quota_reports_sent,
    /// Reports of admitted requests that were received.
    quota_reports_received,
    /// Reports of admitted requests that were received and rejected.
    quota_reports_refused,
    /// Slots of customer limits whose counts were restored after a move.
    quota_slots_restored,
    /// Slots of customer limits whose counts started without history.
    quota_slots_not_restored,
    /// Requests that were refused for lack of a known API key.
    keys_refused,
    /// Requests that were refused because their customer is at its limit.
    over_limit,
    /// Requests that were refused because their customer uses more than its
    /// share while all endpoints are full.
    over_share,
    /// Requests that were refused because their customer is paused.
    customers_paused,
    /// Requests that were refused because no node could count them against
    /// the customer's limit.
    limits_unavailable,
    /// Responses to change requests of other nodes.
    feed_answers_sent,
    /// Bytes of the responses to change requests of other nodes.
    feed_bytes_sent,
    /// Bytes of the responses of other nodes to change requests.
    feed_bytes_received,
    /// Jobs that were accepted.
    jobs_accepted,
    /// Jobs that reached a worker whose configuration was too old to decide on
    /// them.
    jobs_without_config,
    /// Runs of batch items that were started.
    item_runs,
    /// Runs of batch items that were preempted by online requests.
    items_preempted,
    /// Batch items that began anew because no endpoint of their version was
    /// at hand.
    items_begun_anew,
    /// Batch items that were listed as complete.
    items_completed,
    /// Batch items that were given up.
    items_given_up,
    /// Batch items that were given up because their result was too large for
    /// the key-value service.
    results_too_large,
    /// Writes of results that the key-value service rejected.
    commits_rejected,
    /// Streams whose interval between events was used as a sample of the
    /// speed of their endpoint.
    speed_samples_used,
    /// Streams that gave no sample: too few events, all events at once, or a
    /// momentary slowdown.
    speed_samples_unused,
    /// Messages about the speed of endpoints that were sent to other nodes.
    speed_updates_sent,
    /// Bytes of the messages about the speed of endpoints sent.
    speed_bytes_sent,
    /// Messages about the speed of endpoints that were received.
    speed_updates_received,
    /// Messages about the speed of endpoints that were received and rejected.
    speed_updates_refused,
    /// Requests that were sent to an endpoint of the class `fast`.
    placed_fast,
    /// Requests that were sent to an endpoint of the class `usual`.
    placed_usual,
    /// Requests that were sent to an endpoint of the class `slow`.
    placed_slow,
    /// Requests that were sent to an endpoint of the class `very_slow`.
    placed_very_slow,
    /// Memory in bytes that is reserved for callers at the moment.
    callers_memory_bytes,
    /// Requests for which there was no memory.
    callers_memory_refused,
    /// Bodies that had stopped to arrive and lost their memory to others.
    callers_memory_evicted,
    /// Connections of callers that were closed unread.
    connections_refused,
    /// Connections of callers without use that were closed for new ones.
    connections_evicted,
}

impl Counters {
    /// Counts a request that is sent to an endpoint of a class of speed.
    pub(crate) fn count_placed(&self, class: SpeedClass) {
        Self::add(match class {
            SpeedClass::Fast => &self.placed_fast,
            SpeedClass::Usual => &self.placed_usual,
            SpeedClass::Slow => &self.placed_slow,
            SpeedClass::VerySlow => &self.placed_very_slow,
        });
    }

    /// Increments a counter by one.
    pub fn add(counter: &AtomicU64) {
        Self::count(counter, 1);
    }

    /// Increments a counter by a number, for example of bytes.
    pub fn count(counter: &AtomicU64, number: usize) {
        counter.fetch_add(number as u64, Ordering::Relaxed);
    }
}
