use base::Customer;
use indexmap::IndexSet;
use share::ShareState;

use super::log_change;

/// Maximum number of customers over their shares that are known by name.
const MAX_OVER: usize = 64;

/// Maximum number of log lines per second.
const MAX_LINES: u64 = 10;

/// Logs which customers go over their shares and return below them.
#[derive(Debug, Default)]
pub(super) struct ShareChanges {
    over: IndexSet<(String, Customer)>,
    /// Number of lines since the last tick.
    lines: u64,
    unlogged: u64,
}

impl ShareChanges {
    /// Records that a customer is over its share.
    pub(super) fn record_over(
        &mut self,
        service: &str,
        customer: &Customer,
        share: &ShareState,
    ) {
        let name = (service.to_owned(), customer.clone());
        if self.over.len() < MAX_OVER && self.over.insert(name) {
            let text = "a customer is over its share";
            self.log(text, service, customer, share);
        }
    }

    /// Checks which customers have returned below their shares.
    pub(super) fn tick(
        &mut self,
        mut state: impl FnMut(&str, &Customer) -> ShareState,
    ) {
        self.lines = 0;
        for (service, customer) in std::mem::take(&mut self.over) {
            let share = state(&service, &customer);
            if share.is_over() {
                self.over.insert((service, customer));
            } else {
                let text = "a customer is below its share again";
                self.log(text, &service, &customer, &share);
            }
        }
    }

    fn log(
        &mut self,
        text: &'static str,
        service: &str,
        customer: &Customer,
        share: &ShareState,
    ) {
        if self.lines >= MAX_LINES {
            self.unlogged += 1;
            return;
        }
        self.lines += 1;
        let unlogged = std::mem::take(&mut self.unlogged);
        log_change(text, service, customer, share, unlogged);
    }
}
