use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use base::{Class, Customer, Millis, Snapshot, timer::Timer};
use error_stack::Report;

use crate::{
    Counter, Gauge, GaugeRow, MetricsSettings, MetricsSnapshot, ObsError,
    Scope, Series,
    publish::Publisher,
    rows::{Rows, add_rows},
    table::OTHER,
};

/// Significant digits of the histograms per customer: the error of a value is
/// at most 1/16. A second digit would need eight times as many buckets for
/// each doubling of the value, which is too much memory for 1,400 customers
/// with 8 series.
const CUSTOMER_DIGITS: u8 = 1;

/// Significant digits of the histograms over all customers: the error of a
/// value is at most 1/128.
const ALL_DIGITS: u8 = 2;

/// Shards of the rows over all customers, which reduce lock contention.
const SHARDS: usize = 8;

/// Value of a gauge that was never set.
const UNSET: u64 = u64::MAX;

struct Inner {
    settings: MetricsSettings,
    window: AtomicUsize,
    all: Vec<Rows>,
    other: Arc<Rows>,
    customers: Snapshot<HashMap<Customer, Arc<Rows>>>,
    gauges: Vec<AtomicU64>,
    publisher: Publisher,
    last_run: Mutex<LastRun>,
}

#[derive(Default)]
struct LastRun {
    rotated: Millis,
    published: Millis,
}

/// Counters and histograms in memory, per customer and class.
///
/// Clones share one set of values. Recording a value only updates memory: a
/// histogram behind a lock that is held for some nanoseconds, or an atomic.
/// [`Metrics::maintain`] sends the changes to the statsd server every
/// [`MetricsSettings::publish_interval_ms`]. Sending one statsd line per value
/// was rejected: 750,000 tokens per second would cause as many lines.
///
/// # Example
///
/// ```
/// use base::{Class, Customer};
/// use pomeloslip_obs::{Counter, Metrics, Scope};
///
/// let metrics = Metrics::default();
/// let customer: Customer = "alama".parse()?;
/// metrics.count(Counter::Arrived, &customer, Class::Batch, 3);
/// let table = metrics.snapshot();
/// let scope = Scope::Customer(customer);
/// assert_eq!(table.counter(Counter::Arrived, &scope, Class::Batch), 3);
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics")
            .field("settings", &self.0.settings)
            .finish_non_exhaustive()
    }
}

impl Default for Metrics {
    /// Creates metrics that are only kept in memory.
    fn default() -> Self {
        let settings = MetricsSettings::default();
        let publisher = Publisher::disabled(&settings);
        Self::with_publisher(settings, publisher)
    }
}

impl Metrics {
    /// Creates metrics that are published to the statsd server of the
    /// settings.
    ///
    /// # Errors
    ///
    /// [`ObsError::Statsd`] if no UDP socket can be opened. An unreachable
    /// server is not an error, because statsd datagrams are not acknowledged.
    pub fn try_new(
        settings: MetricsSettings,
    ) -> Result<Self, Report<ObsError>> {
        let publisher = Publisher::try_new(&settings)?;
        Ok(Self::with_publisher(settings, publisher))
    }

    fn with_publisher(
        settings: MetricsSettings,
        publisher: Publisher,
    ) -> Self {
        Self(Arc::new(Inner {
            window: AtomicUsize::new(0),
            all: (0..SHARDS).map(|_| Rows::new(ALL_DIGITS)).collect(),
            other: Arc::new(Rows::new(CUSTOMER_DIGITS)),
            customers: Snapshot::new(HashMap::new()),
            gauges: Gauge::ALL.iter().map(|_| AtomicU64::new(UNSET)).collect(),
            publisher,
            last_run: Mutex::default(),
            settings,
        }))
    }

    /// Returns the settings in force.
    #[inline]
    pub fn settings(&self) -> &MetricsSettings {
        &self.0.settings
    }

    /// Returns a handle for one customer that avoids repeated look-ups. Use
    /// one for each request that records many values.
    ///
    /// # Example
    ///
    /// ```
    /// use base::{Class, Customer};
    /// use pomeloslip_obs::{Metrics, Series};
    ///
    /// let metrics = Metrics::default();
    /// let customer: Customer = "taevakorv".parse()?;
    /// let handle = metrics.customer(&customer);
    /// handle.record(Series::BetweenTokensUs, Class::Online, 30_000);
    /// assert_eq!(metrics.snapshot().histograms.len(), 2);
    /// # Ok::<(), base::IdError>(())
    /// ```
    pub fn customer(&self, customer: &Customer) -> CustomerMetrics {
        CustomerMetrics {
            rows: self.rows(customer),
            metrics: self.clone(),
        }
    }

    /// Records a value of a customer's request.
    pub fn record(
        &self,
        series: Series,
        customer: &Customer,
        class: Class,
        value: u64,
    ) {
        match self.0.customers.load().get(customer) {
            Some(rows) => self.record_rows(rows, series, class, value),
            None => {
                let rows = self.rows(customer);
                self.record_rows(&rows, series, class, value);
            }
        }
    }

    /// Records a value that belongs to no customer, for example of a call to
    /// the key-value service.
    pub fn record_all(&self, series: Series, class: Class, value: u64) {
        let rows = &self.0.all[shard()];
        rows.record(self.window(), series, class, value);
    }

    /// Adds to a counter of a customer.
    pub fn count(
        &self,
        counter: Counter,
        customer: &Customer,
        class: Class,
        n: u64,
    ) {
        match self.0.customers.load().get(customer) {
            Some(rows) => self.count_rows(rows, counter, class, n),
            None => {
                let rows = self.rows(customer);
                self.count_rows(&rows, counter, class, n);
            }
        }
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, gauge: Gauge, value: u64) {
        self.0.gauges[gauge.index()].store(value, Ordering::Relaxed);
    }

    /// Returns all metrics; rows without values are omitted.
    pub fn snapshot(&self) -> MetricsSnapshot {
        let mut table = MetricsSnapshot {
            window_ms: self.0.settings.window_ms,
            gauges: self.gauge_rows(),
            ..MetricsSnapshot::default()
        };
        let shards: Vec<&Rows> = self.0.all.iter().collect();
        add_rows(&mut table, &Scope::All, &shards);
        let customers = self.0.customers.load_full();
        let mut names: Vec<&Customer> = customers.keys().collect();
        names.sort();
        for customer in names {
            let scope = Scope::Customer(customer.clone());
            add_rows(&mut table, &scope, &[&*customers[customer]]);
        }
        add_rows(&mut table, &Scope::Other, &[&*self.0.other]);
        table
    }

    /// Rotates the windows and publishes to the statsd server, each when its
    /// interval has elapsed.
    pub fn maintain(&self, now: Millis) {
        let settings = &self.0.settings;
        let mut last_run = self
            .0
            .last_run
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if now.saturating_ms_since(last_run.published)
            >= settings.publish_interval_ms
        {
            last_run.published = now;
            self.publish();
        }
        if now.saturating_ms_since(last_run.rotated) >= settings.window_ms {
            last_run.rotated = now;
            self.rotate();
        }
    }

    /// Calls [`maintain`](Self::maintain) at an interval until the returned
    /// future is dropped; a daemon spawns it once.
    pub async fn drive(self, timer: Timer) {
        let settings = &self.0.settings;
        let step_ms =
            settings.publish_interval_ms.min(settings.window_ms).max(1);
        loop {
            timer.subscribe_in_ms(step_ms).await;
            self.maintain(timer.now());
        }
    }

    /// Starts a new window; the previous one remains in the snapshots.
    pub fn rotate(&self) {
        let next = 1 - self.window();
        for rows in &self.0.all {
            rows.clear(next);
        }
        for rows in self.0.customers.load_full().values() {
            rows.clear(next);
        }
        self.0.other.clear(next);
        self.0.window.store(next, Ordering::Release);
    }

    /// Sends the changes since the last call to the statsd server: counters as
    /// increments, gauges, and the quantiles of each row with new values as
    /// gauges.
    pub fn publish(&self) {
        let publisher = &self.0.publisher;
        if !publisher.is_enabled() {
            return;
        }
        for row in self.gauge_rows() {
            publisher.gauge(&row);
        }
        let shards: Vec<&Rows> = self.0.all.iter().collect();
        publisher.rows(&Scope::All, &shards);
        for (customer, rows) in &*self.0.customers.load_full() {
            let scope = Scope::Customer(customer.clone());
            publisher.rows(&scope, &[&**rows]);
        }
        publisher.rows(&Scope::Other, &[&*self.0.other]);
        publisher.flush();
    }

    fn gauge_rows(&self) -> Vec<GaugeRow> {
        let value = |gauge: Gauge| {
            let value = self.0.gauges[gauge.index()].load(Ordering::Relaxed);
            (value != UNSET).then_some(GaugeRow { gauge, value })
        };
        Gauge::ALL.iter().copied().filter_map(value).collect()
    }

    #[inline]
    fn window(&self) -> usize {
        self.0.window.load(Ordering::Acquire)
    }

    fn record_rows(
        &self,
        rows: &Rows,
        series: Series,
        class: Class,
        value: u64,
    ) {
        rows.record(self.window(), series, class, value);
        self.record_all(series, class, value);
    }

    fn count_rows(&self, rows: &Rows, counter: Counter, class: Class, n: u64) {
        let all = &self.0.all[shard()];
        for rows in [rows, all] {
            rows.counter(counter, class).add(n);
        }
    }

    /// Returns the rows of a customer, which are created below the limit on
    /// customers.
    fn rows(&self, customer: &Customer) -> Arc<Rows> {
        let customers = self.0.customers.load();
        if let Some(rows) = customers.get(customer) {
            return rows.clone();
        }
        // Without this check each value of a customer beyond the limit would
        // copy the map.
        if !self.has_capacity(&customers) || customer.as_str() == OTHER {
            return self.0.other.clone();
        }
        drop(customers);
        let new = Arc::new(Rows::new(CUSTOMER_DIGITS));
        self.0.customers.update(|old| {
            let mut customers = old.clone();
            if self.has_capacity(old) {
                customers
                    .entry(customer.clone())
                    .or_insert_with(|| new.clone());
            }
            customers
        });
        let customers = self.0.customers.load();
        customers.get(customer).unwrap_or(&self.0.other).clone()
    }

    fn has_capacity(&self, customers: &HashMap<Customer, Arc<Rows>>) -> bool {
        customers.len() < self.0.settings.customers_max
    }
}

/// Records counters and values of one customer; see [`Metrics::customer`].
#[derive(Clone)]
pub struct CustomerMetrics {
    rows: Arc<Rows>,
    metrics: Metrics,
}

impl fmt::Debug for CustomerMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TenantMetrics").finish_non_exhaustive()
    }
}

impl CustomerMetrics {
    /// Records a value.
    #[inline]
    pub fn record(&self, series: Series, class: Class, value: u64) {
        self.metrics.record_rows(&self.rows, series, class, value);
    }

    /// Adds to a counter.
    #[inline]
    pub fn count(&self, counter: Counter, class: Class, n: u64) {
        self.metrics.count_rows(&self.rows, counter, class, n);
    }
}

/// Returns the shard of this thread; shards are assigned in round robin order.
#[inline]
fn shard() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: usize =
            NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS;
    }
    // The thread-local value is gone while a thread ends; any shard is correct
    // then.
    SHARD.try_with(|shard| *shard).unwrap_or(0)
}
