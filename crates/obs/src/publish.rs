use std::{
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    panic::RefUnwindSafe,
};

use base::Class;
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink,
    QueuingMetricSink, StatsdClient,
};
use error_stack::{Report, ResultExt};

use crate::{
    Counter, GaugeRow, MetricsSettings, ObsError, Scope, Series,
    rows::{Rows, histogram_row},
};

/// Empty metric that requests a flush; see [`FlushingSink`].
const FLUSH_MARK: &str = "";

/// Publishes rows to a statsd server.
pub(crate) struct Publisher {
    client: StatsdClient,
    queue: Option<QueuingMetricSink>,
}

/// Flushes its buffer when it receives [`FLUSH_MARK`].
///
/// A flush of the queuing sink bypasses the metrics that are still queued, so
/// that the end of each report would stay in the buffer until the next report:
/// values would arrive an interval late and the last ones never. The mark
/// passes through the queue behind the metrics.
struct FlushingSink(BufferedUdpMetricSink);

impl MetricSink for FlushingSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if metric == FLUSH_MARK {
            self.0.flush()?;
            return Ok(0);
        }
        self.0.emit(metric)
    }

    fn flush(&self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Publisher {
    /// Creates a publisher that sends nothing.
    pub(crate) fn disabled(settings: &MetricsSettings) -> Self {
        Self {
            client: client(settings, NopMetricSink),
            queue: None,
        }
    }

    /// Creates a publisher for the statsd address of the settings, or a
    /// disabled one if there is none.
    pub(crate) fn try_new(
        settings: &MetricsSettings,
    ) -> Result<Self, Report<ObsError>> {
        let Some(addr) = settings.statsd_addr else {
            return Ok(Self::disabled(settings));
        };
        let socket = open_socket(addr)
            .change_context(ObsError::Statsd)
            .attach_with(|| format!("server {addr}"))?;
        let udp = BufferedUdpMetricSink::from(addr, socket)
            .change_context(ObsError::Statsd)?;
        // A dedicated thread sends, so that a slow network fills the bounded
        // queue and does not block the caller.
        let queue = QueuingMetricSink::with_capacity(
            FlushingSink(udp),
            settings.queue_metrics,
        );
        Ok(Self {
            client: client(settings, queue.clone()),
            queue: Some(queue),
        })
    }

    /// Reports whether metrics are sent.
    #[inline]
    pub(crate) fn is_enabled(&self) -> bool {
        self.queue.is_some()
    }

    /// Sends a gauge.
    pub(crate) fn gauge(&self, row: &GaugeRow) {
        // A metric is dropped if the queue is full, as any datagram may be;
        // the next report has the newer value.
        let _ = self.client.gauge(row.gauge.as_str(), row.value);
    }

    /// Sends the changes in the rows of a scope.
    pub(crate) fn rows(&self, scope: &Scope, shards: &[&Rows]) {
        for class in Class::ALL {
            for series in Series::ALL {
                self.quantiles(scope, shards, *series, class);
            }
            for counter in Counter::ALL {
                self.counter(scope, shards, *counter, class);
            }
        }
    }

    /// Requests a flush of the last buffer.
    pub(crate) fn flush(&self) {
        if let Some(queue) = &self.queue {
            let _ = queue.emit(FLUSH_MARK);
        }
    }

    fn counter(
        &self,
        scope: &Scope,
        shards: &[&Rows],
        counter: Counter,
        class: Class,
    ) {
        let increment: u64 = shards
            .iter()
            .map(|rows| rows.counter(counter, class).take_increment())
            .sum();
        if increment > 0 {
            self.client
                .count_with_tags(counter.as_str(), increment)
                .with_tag("tenant", scope.as_str())
                .with_tag("class", class.as_str())
                .send();
        }
    }

    fn quantiles(
        &self,
        scope: &Scope,
        shards: &[&Rows],
        series: Series,
        class: Class,
    ) {
        // Every shard must be visited, because the call marks its values as
        // published.
        let changed = shards
            .iter()
            .map(|rows| rows.cell(series, class).take_changed())
            .fold(false, |any, changed| any | changed);
        if !changed {
            return;
        }
        let Some(row) = histogram_row(scope, shards, series, class) else {
            return;
        };
        let quantiles_by_name = [
            ("p50", row.window.p50),
            ("p95", row.window.p95),
            ("p99", row.window.p99),
            ("max", row.window.max),
        ];
        for (quantile, value) in quantiles_by_name {
            let name = format!("{series}.{quantile}");
            self.client
                .gauge_with_tags(&name, value)
                .with_tag("tenant", scope.as_str())
                .with_tag("class", class.as_str())
                .send();
        }
    }
}

fn open_socket(to: SocketAddr) -> std::io::Result<UdpSocket> {
    let from: SocketAddr = match to {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(from)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn client<S>(settings: &MetricsSettings, sink: S) -> StatsdClient
where
    S: MetricSink + Sync + Send + RefUnwindSafe + 'static,
{
    let mut builder = StatsdClient::builder(&settings.prefix, sink);
    for (key, value) in &settings.tags {
        builder = builder.with_tag(key.clone(), value.clone());
    }
    builder.build()
}
