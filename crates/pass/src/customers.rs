use std::{
    fmt::Write,
    sync::{Mutex, MutexGuard, PoisonError},
};

use indexmap::IndexMap;

/// Counts requests by customer, for the largest customers.
///
/// The number of rows is bounded independently of the number of customers.
/// When all rows are in use, a new customer replaces the one with the fewest
/// requests, whose counts move to the row of all other customers. The largest
/// customers keep their rows, and the list of metrics stays readable.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::{CustomerCounters, CustomerOutcome};
///
/// let counters = CustomerCounters::default();
/// counters.count("alama", CustomerOutcome::Admitted);
/// let mut text = String::new();
/// counters.render(&mut text);
/// assert!(text.contains(
///     "pomeloslip_customer_requests{customer=\"alama\"} 1\n"
/// ));
/// ```
#[derive(Debug, Default)]
pub struct CustomerCounters(Mutex<Rows>);

/// The outcome of a request at the front that received it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CustomerOutcome {
    /// The request was forwarded to an endpoint.
    Admitted,
    /// The request exceeded the limit of the customer.
    OverLimit,
}

/// Maximum number of customers with their own rows.
const MAX_ROWS: usize = 32;

#[derive(Debug, Default)]
struct Rows {
    largest: IndexMap<String, Row>,
    others: Row,
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    requests: u64,
    over_limit: u64,
}

impl CustomerCounters {
    /// Counts a request.
    pub fn count(&self, customer: &str, outcome: CustomerOutcome) {
        let mut rows = self.lock();
        let row = rows.row_of(customer);
        row.requests += 1;
        if outcome == CustomerOutcome::OverLimit {
            row.over_limit += 1;
        }
    }

    /// Renders all rows in the text format of metric collectors.
    pub fn render(&self, text: &mut String) {
        let rows = self.lock();
        let others = ("", &rows.others);
        let largest = rows.largest.iter();
        let largest = largest.map(|(name, row)| (name.as_str(), row));
        for (name, row) in largest.chain([others]) {
            // Writing into a string cannot fail.
            let _ = writeln!(
                text,
                "pomeloslip_customer_requests{{customer=\"{name}\"}} {}\n\
                 pomeloslip_customer_over_limit{{customer=\"{name}\"}} {}",
                row.requests, row.over_limit,
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn row_of(&mut self, customer: &str) -> &mut Row {
        let index = match self.largest.get_index_of(customer) {
            Some(index) => index,
            None => {
                self.evict_smallest();
                let name = customer.to_owned();
                self.largest.insert_full(name, Row::default()).0
            }
        };
        &mut self.largest[index]
    }

    fn evict_smallest(&mut self) {
        if self.largest.len() < MAX_ROWS {
            return;
        }
        let rows = self.largest.values().enumerate();
        let smallest = rows.min_by_key(|(_, row)| row.requests);
        let Some((index, _)) = smallest else {
            return;
        };
        if let Some((_, row)) = self.largest.swap_remove_index(index) {
            self.others.requests += row.requests;
            self.others.over_limit += row.over_limit;
        }
    }
}
