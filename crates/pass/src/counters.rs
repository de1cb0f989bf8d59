use std::{
    fmt::Write,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::CustomerCounters;

/// Upper ends of the buckets of a histogram, in milliseconds: about a factor
/// of two apart, with the objectives of interactive requests (100 to 300 ms)
/// as ends of their own.
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
    /// Counts a duration.
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
        /// Counters and histograms of a process, read as text.
        ///
        /// Fixed fields with atomics instead of a map of names: a request
        /// counts without a lock and without a look-up.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $counter: AtomicU64,)+
            /// Requests by customer, for the largest.
            pub customers: CustomerCounters,
            /// From the arrival of a request to the head of its answer.
            pub first_byte_ms: Histogram,
            /// From the arrival of a request to the end of its answer.
            pub whole_ms: Histogram,
        }

        impl Counters {
            /// Returns all counters by name.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((
                    stringify!($counter),
                    self.$counter.load(Ordering::Relaxed),
                ),)+]
            }

            /// Writes all in the text form that metric collectors read.
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
                self.first_byte_ms
                    .render("pomeloslip_first_byte_ms", &mut text);
                self.whole_ms.render("pomeloslip_whole_ms", &mut text);
                text
            }
        }
    };
}

counters! {
    /// Requests that arrived.
    arrived,
    /// Requests with a whole answer of an endpoint.
    answered,
    /// Requests that were refused and did not run.
    refused,
    /// Requests that ended without an answer and may have run.
    failed,
    /// Requests whose caller left before the end.
    caller_left,
    /// Attempts after the first.
    retried,
    /// Streams that were taken up at another endpoint.
    resumed,
    /// Runs whose connection broke before the answer was whole.
    runs_cut_off,
    /// Runs that were cut off and whose endpoint was not looked at, as too
    /// many came at once.
    runs_not_examined,
    /// Endpoints that crashed while they ran requests of this node.
    endpoints_crashed,
    /// Requests and items that were not sent, as they crash endpoints.
    requests_held,
    /// New connections to endpoints.
    connections_opened,
    /// Calls that read from the key-value service.
    kv_reads,
    /// Reads of it that may return what was there seconds ago.
    kv_stale_reads,
    /// Calls that wait for changes in it.
    kv_watches,
    /// Calls that change it.
    kv_writes,
    /// Calls that renew a lease.
    kv_renewals,
    /// Calls to the key-value service that failed.
    kv_failures,
    /// Writes that were sent to the worker that collects them.
    commits_shared,
    /// Load updates that were sent to other nodes.
    load_updates_sent,
    /// Their bytes.
    load_bytes_sent,
    /// Load updates that arrived.
    load_updates_received,
    /// Those of them that were refused.
    load_updates_refused,
    /// Messages about limits of customers that were sent to other nodes.
    quota_messages_sent,
    /// Their bytes.
    quota_bytes_sent,
    /// Messages about limits that arrived.
    quota_messages_received,
    /// Those of them that were refused.
    quota_messages_refused,
    /// Requests that were refused for want of a known key.
    keys_refused,
    /// Requests that were refused since their customer is at its limit.
    over_limit,
    /// Requests that were refused since nobody could count them.
    limits_unavailable,
    /// Questions of other nodes for what has changed that were answered.
    feed_answers_sent,
    /// Bytes of these answers.
    feed_bytes_sent,
    /// Bytes of answers of other nodes to such questions.
    feed_bytes_received,
    /// Jobs that were accepted.
    jobs_accepted,
    /// Runs of batch items that were started.
    item_runs,
    /// Runs of batch items that gave way to online requests.
    items_preempted,
    /// Batch items that were listed as complete.
    items_completed,
    /// Batch items that were given up.
    items_given_up,
}

impl Counters {
    /// Counts one.
    pub fn add(counter: &AtomicU64) {
        Self::count(counter, 1);
    }

    /// Counts several, for example bytes.
    pub fn count(counter: &AtomicU64, number: usize) {
        counter.fetch_add(number as u64, Ordering::Relaxed);
    }
}
