use std::fmt;

use serde_json::{Value, json};

use crate::Options;

/// Figures in rows, printed for people or as JSON.
///
/// # Example
///
/// ```
/// use pomeloslip_bench::Table;
///
/// let mut table = Table::new("memory", &["role", "mib"]);
/// table.row(["entry".to_owned(), "12.5".to_owned()]);
/// assert!(table.to_string().contains("entry  12.5"));
/// assert_eq!(table.to_json()["rows"][0]["mib"], 12.5);
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(ToString::to_string).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, a cell for each column.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the rows as objects; cells that are numbers become numbers.
    pub fn to_json(&self) -> Value {
        let rows = self.rows.iter().map(|row| {
            let cells = self.columns.iter().zip(row);
            let cells = cells.map(|(name, text)| {
                let number = text.parse::<f64>().ok();
                (name.clone(), number.map_or(json!(text), |n| json!(n)))
            });
            Value::Object(cells.collect())
        });
        json!({"title": self.title, "rows": rows.collect::<Vec<_>>()})
    }

    /// Prints tables with the seed, as the options ask for.
    pub fn print_all(name: &str, options: Options, tables: &[Self]) {
        if options.json {
            let tables: Vec<_> = tables.iter().map(Self::to_json).collect();
            let seed = options.seed;
            let small = options.small;
            println!(
                "{}",
                json!({
                    "bench": name,
                    "seed": seed,
                    "small": small,
                    "tables": tables,
                })
            );
            return;
        }
        println!("bench {name}, seed {}", options.seed);
        for table in tables {
            println!("\n{table}");
        }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        let lines = || std::iter::once(&self.columns).chain(&self.rows);
        let width = |at: usize| {
            let cells = lines().filter_map(|line| line.get(at));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        for line in lines() {
            for (at, cell) in line.iter().enumerate() {
                let width = widths.get(at).copied().unwrap_or(0);
                match at {
                    0 => write!(f, "  {cell:<width$}")?,
                    _ => write!(f, "  {cell:>width$}")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
