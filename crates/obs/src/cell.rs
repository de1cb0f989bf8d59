use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

use crate::table::{Quantiles, Totals};

/// Maximum recorded value; larger values are clamped. One hour in
/// microseconds.
const MAX_VALUE: u64 = 3_600_000_000;

/// Values of one series of one customer and class.
///
/// Two windows alternate: one is written while the other keeps the values of
/// the previous period, so that a snapshot always covers at least one full
/// window. A decaying histogram was rejected because its counts cannot be
/// compared with the number of values recorded.
#[derive(Debug, Default)]
pub(crate) struct Cell(Mutex<Values>);

#[derive(Debug, Default)]
struct Values {
    windows: [Option<Box<Histogram<u32>>>; 2],
    totals: Totals,
    published_count: u64,
}

impl Cell {
    /// Records a value; `digits` is the number of significant decimal digits.
    pub(crate) fn record(&self, window: usize, digits: u8, value: u64) {
        let mut values = self.lock();
        values.totals.add(value);
        let slot = &mut values.windows[window];
        if slot.is_none() {
            *slot = new_histogram(digits).map(Box::new);
        }
        if let Some(histogram) = slot {
            // Fails only for values beyond the range of any histogram.
            let _ = histogram.record(value.min(MAX_VALUE));
        }
    }

    /// Clears a window before it is written again.
    ///
    /// A window that is already empty is freed: customers send bursts and are
    /// idle for weeks, and would otherwise hold the memory of their busiest
    /// minute until the process ends.
    pub(crate) fn clear(&self, window: usize) {
        let mut values = self.lock();
        let slot = &mut values.windows[window];
        match slot {
            Some(histogram) if !histogram.is_empty() => histogram.reset(),
            _ => *slot = None,
        }
    }

    /// Adds both windows to `sum` and returns the totals.
    pub(crate) fn merge_into(
        &self,
        sum: &mut Option<Histogram<u64>>,
        digits: u8,
    ) -> Totals {
        let values = self.lock();
        for window in values.windows.iter().flatten() {
            if sum.is_none() {
                *sum = new_histogram(digits);
            }
            if let Some(sum) = sum {
                add(sum, window);
            }
        }
        values.totals
    }

    /// Reports whether values were recorded since the last call.
    pub(crate) fn take_changed(&self) -> bool {
        let mut values = self.lock();
        let count = values.totals.count;
        let changed = values.published_count != count;
        values.published_count = count;
        changed
    }

    fn lock(&self) -> MutexGuard<'_, Values> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn add(sum: &mut Histogram<u64>, window: &Histogram<u32>) {
    for step in window.iter_recorded() {
        let count = u64::from(step.count_at_value());
        let _ = sum.record_n(step.value_iterated_to(), count);
    }
}

/// Creates a histogram that starts small and resizes with its largest value.
fn new_histogram<C: hdrhistogram::Counter>(
    digits: u8,
) -> Option<Histogram<C>> {
    let mut histogram = Histogram::new(digits).ok()?;
    histogram.auto(true);
    Some(histogram)
}

/// Returns the quantiles that a snapshot shows.
pub(crate) fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}
