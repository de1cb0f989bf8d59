use std::sync::atomic::{AtomicU64, Ordering};

use base::Class;

use crate::{
    Counter, CounterRow, HistogramRow, MetricsSnapshot, Scope, Series, Totals,
    cell::{Cell, quantiles},
};

const CLASSES: usize = Class::ALL.len();

/// Histograms and counters of one scope, or of one shard of a scope.
pub(crate) struct Rows {
    cells: Vec<Cell>,
    counters: Vec<CounterCell>,
    digits: u8,
}

/// A counter with its value at the last report.
#[derive(Default)]
pub(crate) struct CounterCell {
    total: AtomicU64,
    published: AtomicU64,
}

impl CounterCell {
    #[inline]
    pub(crate) fn add(&self, n: u64) {
        self.total.fetch_add(n, Ordering::Relaxed);
    }

    /// Returns the increment since the last call.
    pub(crate) fn take_increment(&self) -> u64 {
        let total = self.total.load(Ordering::Relaxed);
        let published = self.published.swap(total, Ordering::Relaxed);
        total.saturating_sub(published)
    }
}

impl Rows {
    /// Creates rows whose histograms keep this number of significant digits.
    pub(crate) fn new(digits: u8) -> Self {
        let cells = Series::ALL.len() * CLASSES;
        let counters = Counter::ALL.len() * CLASSES;
        Self {
            cells: (0..cells).map(|_| Cell::default()).collect(),
            counters: (0..counters).map(|_| CounterCell::default()).collect(),
            digits,
        }
    }

    #[inline]
    pub(crate) fn record(
        &self,
        window: usize,
        series: Series,
        class: Class,
        value: u64,
    ) {
        self.cell(series, class).record(window, self.digits, value);
    }

    pub(crate) fn clear(&self, window: usize) {
        for cell in &self.cells {
            cell.clear(window);
        }
    }

    #[inline]
    pub(crate) fn cell(&self, series: Series, class: Class) -> &Cell {
        &self.cells[series.index() * CLASSES + class as usize]
    }

    #[inline]
    pub(crate) fn counter(
        &self,
        counter: Counter,
        class: Class,
    ) -> &CounterCell {
        &self.counters[counter.index() * CLASSES + class as usize]
    }
}

/// Adds the rows of a scope that have values to a snapshot.
pub(crate) fn add_rows(
    table: &mut MetricsSnapshot,
    scope: &Scope,
    shards: &[&Rows],
) {
    for class in Class::ALL {
        for series in Series::ALL {
            table
                .histograms
                .extend(histogram_row(scope, shards, *series, class));
        }
        for counter in Counter::ALL {
            table
                .counters
                .extend(counter_row(scope, shards, *counter, class));
        }
    }
}

/// Merges the shards of a histogram; returns `None` if it has no values.
pub(crate) fn histogram_row(
    scope: &Scope,
    shards: &[&Rows],
    series: Series,
    class: Class,
) -> Option<HistogramRow> {
    let mut total = Totals::default();
    let mut window = None;
    for rows in shards {
        let cell = rows.cell(series, class);
        total.merge(cell.merge_into(&mut window, rows.digits));
    }
    (total.count > 0).then(|| HistogramRow {
        series,
        customer: scope.clone(),
        class,
        window: window.as_ref().map(quantiles).unwrap_or_default(),
        total,
    })
}

fn counter_row(
    scope: &Scope,
    shards: &[&Rows],
    counter: Counter,
    class: Class,
) -> Option<CounterRow> {
    let read = |rows: &&Rows| {
        rows.counter(counter, class).total.load(Ordering::Relaxed)
    };
    let total = shards.iter().map(read).sum();
    (total > 0).then(|| CounterRow {
        counter,
        customer: scope.clone(),
        class,
        total,
    })
}
