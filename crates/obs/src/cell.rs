use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

use crate::table::{Quantiles, Totals};

/// Largest value kept; larger ones count as this. An hour in microseconds.
const VALUE_MAX: u64 = 3_600_000_000;

/// Values of one series of one customer and class.
///
/// Two windows alternate: one is written while the other keeps the values
/// of the time before, so that a reader always sees at least one full
/// window. A decaying histogram was rejected: its counts cannot be checked
/// against what was sent.
#[derive(Debug, Default)]
pub(crate) struct Cell(Mutex<Values>);

#[derive(Debug, Default)]
struct Values {
    windows: [Option<Box<Histogram<u32>>>; 2],
    totals: Totals,
    published_count: u64,
}

impl Cell {
    /// Adds a value; `digits` are the significant decimal digits kept.
    pub(crate) fn record(&self, window: usize, digits: u8, value: u64) {
        let mut values = self.lock();
        values.totals.add(value);
        let slot = &mut values.windows[window];
        if slot.is_none() {
            *slot = new_histogram(digits).map(Box::new);
        }
        if let Some(histogram) = slot {
            // Fails only for values that no histogram can grow to.
            let _ = histogram.record(value.min(VALUE_MAX));
        }
    }

    /// Empties a window before it is written again.
    ///
    /// A window that was empty already loses its memory: customers come for a
    /// burst and are quiet for weeks, and would otherwise hold the memory of
    /// their busiest minute until the process ends.
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

    /// Tells whether values came since the last call.
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

/// Makes a histogram that starts small and grows with its largest value.
fn new_histogram<C: hdrhistogram::Counter>(
    digits: u8,
) -> Option<Histogram<C>> {
    let mut histogram = Histogram::new(digits).ok()?;
    histogram.auto(true);
    Some(histogram)
}

/// Reads the quantiles that a table shows.
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
