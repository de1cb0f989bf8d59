use std::fmt;

use jiff::Timestamp;

/// Rows of cells in columns as wide as their widest cell.
///
/// # Example
///
/// ```
/// use pomeloslip::render::Table;
///
/// let mut table = Table::new(["vm", "queue"]).right([1]);
/// table.row(["vm-1", "12"]);
/// assert_eq!(table.to_string(), "vm    queue\nvm-1     12\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
    right: Vec<usize>,
}

impl Table {
    /// Starts a table with the names of its columns.
    pub fn new<I>(head: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<String>,
    {
        let mut table = Self::default();
        table.row(head);
        table
    }

    /// Aligns columns, counted from 0, to the right.
    pub fn right(mut self, columns: impl IntoIterator<Item = usize>) -> Self {
        self.right.extend(columns);
        self
    }

    /// Adds a row.
    pub fn row<I>(&mut self, cells: I)
    where
        I: IntoIterator,
        I::Item: Into<String>,
    {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// Tells whether there are only the names of the columns.
    pub fn is_empty(&self) -> bool {
        self.rows.len() < 2
    }

    fn width(&self, column: usize) -> usize {
        self.rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> =
            (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = widths[column];
                let padded = if self.right.contains(&column) {
                    format!("{cell:>width$}  ")
                } else {
                    format!("{cell:<width$}  ")
                };
                line.push_str(&padded);
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Writes a time as RFC 3339, and a dash without one.
pub(super) fn time_or_dash(time: Option<Timestamp>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.to_string())
}
