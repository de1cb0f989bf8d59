use std::{
    fmt::Write,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::Customer;
use indexmap::IndexMap;
use share::{PairUse, ShareBasis, ShareLevel};

/// Maximum number of customers with their own rows.
pub(super) const MAX_ROWS: usize = 32;

/// The level of a service.
#[derive(Debug)]
pub(super) struct Level {
    service: String,
    slots_per_weight: f64,
    /// Age of the counts of other fronts, if they were used.
    age_ms: Option<u64>,
}

impl Level {
    pub(super) fn new(
        service: &str,
        level: ShareLevel,
        basis: ShareBasis,
    ) -> Self {
        Self {
            service: service.to_owned(),
            slots_per_weight: level.slots_per_weight(),
            age_ms: match basis {
                ShareBasis::Fleet(age_ms) => Some(age_ms),
                ShareBasis::Own => None,
            },
        }
    }
}

/// Metrics of the shares of the largest customers.
///
/// The number of rows is bounded; all other customers are one row. Nothing is
/// rendered while fair shares are off.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::ShareMetrics;
///
/// let metrics = ShareMetrics::default();
/// metrics.count_refused(&"acme".parse().expect("a name"));
/// let mut text = String::new();
/// metrics.render(&mut text);
/// assert!(text.contains(
///     "pomeloslip_customer_over_share{customer=\"acme\"} 1\n"
/// ));
/// ```
#[derive(Debug, Default)]
pub struct ShareMetrics(Mutex<Rows>);

#[derive(Debug, Default)]
struct Rows {
    refused: IndexMap<Customer, u64>,
    refused_others: u64,
    in_use: Vec<PairUse>,
    in_use_others: u64,
    levels: Vec<Level>,
}

impl ShareMetrics {
    /// Counts a request that was refused because its customer is over its
    /// share.
    pub fn count_refused(&self, customer: &Customer) {
        let mut guard = self.lock();
        let rows = &mut *guard;
        if let Some(count) = rows.refused.get_mut(customer) {
            *count += 1;
            return;
        }
        if rows.refused.len() >= MAX_ROWS {
            let all = rows.refused.values().enumerate();
            let smallest = all.min_by_key(|(_, count)| **count);
            let index = smallest.map_or(0, |(index, _)| index);
            let evicted = rows.refused.swap_remove_index(index);
            rows.refused_others += evicted.map_or(0, |(_, count)| count);
        }
        rows.refused.insert(customer.clone(), 1);
    }

    /// Sets the current numbers: the largest customers, the slots in use by
    /// all, and the levels.
    pub(super) fn set(
        &self,
        largest: Vec<PairUse>,
        in_use: u64,
        levels: Vec<Level>,
    ) {
        let named = largest.iter().map(|pair| u64::from(pair.slots));
        let mut rows = self.lock();
        rows.in_use_others = in_use.saturating_sub(named.sum());
        rows.in_use = largest;
        rows.levels = levels;
    }

    /// Renders all rows in the text format of metric collectors.
    pub fn render(&self, text: &mut String) {
        let rows = self.lock();
        // Writing into a string cannot fail.
        for pair in &rows.in_use {
            let _ = writeln!(
                text,
                "pomeloslip_customer_slots{{service=\"{}\",customer=\"{}\"}} \
                 {}",
                pair.service, pair.customer, pair.slots,
            );
        }
        if !rows.in_use.is_empty() {
            let _ = writeln!(
                text,
                "pomeloslip_customer_slots{{service=\"\",customer=\"\"}} {}",
                rows.in_use_others,
            );
        }
        for (customer, count) in &rows.refused {
            let _ = writeln!(
                text,
                "pomeloslip_customer_over_share{{customer=\"{customer}\"}} \
                 {count}",
            );
        }
        if !rows.refused.is_empty() {
            let _ = writeln!(
                text,
                "pomeloslip_customer_over_share{{customer=\"\"}} {}",
                rows.refused_others,
            );
        }
        for level in &rows.levels {
            level.render(text);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Level {
    fn render(&self, text: &mut String) {
        let service = &self.service;
        let _ = writeln!(
            text,
            "pomeloslip_share_level{{service=\"{service}\"}} {:.3}",
            self.slots_per_weight,
        );
        if let Some(age_ms) = self.age_ms {
            let _ = writeln!(
                text,
                "pomeloslip_share_level_age_ms{{service=\"{service}\"}} \
                 {age_ms}",
            );
        }
    }
}
