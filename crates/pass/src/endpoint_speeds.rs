use std::{
    fmt::Write,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Maximum number of endpoints with their own rows.
const MAX_ROWS: usize = 64;

/// Estimated speed of an endpoint at a time.
#[derive(Clone, Debug)]
pub struct EndpointSpeedRow {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Estimated interval between events in microseconds.
    pub interval_us: u32,
    /// Time since the newest sample of this process in milliseconds; none if
    /// the estimate comes from other nodes.
    pub age_ms: Option<u64>,
}

/// The estimated speed of endpoints, for the metrics.
///
/// The number of rows is bounded independently of the size of the fleet. The
/// endpoints with the longest intervals have rows.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::{EndpointSpeedRow, EndpointSpeeds};
///
/// let speeds = EndpointSpeeds::default();
/// speeds.replace(vec![EndpointSpeedRow {
///     endpoint: "e1".to_owned(),
///     interval_us: 20_000,
///     age_ms: Some(5),
/// }]);
/// let mut text = String::new();
/// speeds.render(&mut text);
/// assert!(text.contains(
///     "pomeloslip_endpoint_interval_us{endpoint=\"e1\"} 20000\n"
/// ));
/// ```
#[derive(Debug, Default)]
pub struct EndpointSpeeds(Mutex<Rows>);

#[derive(Debug, Default)]
struct Rows {
    rows: Vec<EndpointSpeedRow>,
    /// When the rows were set.
    at: Option<Instant>,
}

impl EndpointSpeeds {
    /// Replaces all rows.
    pub fn replace(&self, mut rows: Vec<EndpointSpeedRow>) {
        rows.sort_by_key(|row| std::cmp::Reverse(row.interval_us));
        rows.truncate(MAX_ROWS);
        let at = Some(Instant::now());
        *self.lock() = Rows { rows, at };
    }

    /// Renders all rows in the text format of metric collectors.
    pub fn render(&self, text: &mut String) {
        let all = self.lock();
        let since_ms = all.at.map_or(0, |at| at.elapsed().as_millis() as u64);
        for row in &all.rows {
            let name = &row.endpoint;
            // Writing into a string cannot fail. The debug format escapes
            // quotation marks and line ends.
            let _ = writeln!(
                text,
                "pomeloslip_endpoint_interval_us{{endpoint={name:?}}} {}",
                row.interval_us,
            );
            if let Some(age_ms) = row.age_ms {
                let _ = writeln!(
                    text,
                    "pomeloslip_endpoint_sample_age_ms{{endpoint={name:?}}} \
                     {}",
                    age_ms + since_ms,
                );
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
