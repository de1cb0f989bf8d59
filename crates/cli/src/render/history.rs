use jiff::Timestamp;

use super::{Table, table::time_or_dash};
use crate::client::HistoryItem;

/// Shows the revisions of the configuration as a table.
pub fn history(items: &[HistoryItem]) -> String {
    let mut table = Table::new(["revision", "accepted"]).right([0]);
    for item in items {
        let accepted = item
            .accepted_unix_ms
            .and_then(|ms| Timestamp::from_millisecond(ms).ok());
        table.row([item.revision.to_string(), time_or_dash(accepted)]);
    }
    table.to_string()
}
