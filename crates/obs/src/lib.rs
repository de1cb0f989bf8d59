//! Logs as JSON lines, statsd metrics and histograms per tenant and class.
