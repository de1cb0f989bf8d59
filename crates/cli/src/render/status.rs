use std::fmt::Write;

use obs::{MetricsSnapshot, Scope};
use serde_json::Value;

use super::Table;

/// Members that are shown as a table of their own.
const METRICS: [&str; 2] = ["metrics", "histograms"];

/// Shows a status page: its members in order, then the histograms.
///
/// The page is read loosely, so that an older command line shows what a
/// newer entry says.
///
/// # Example
///
/// ```
/// let page = serde_json::json!({"revision": 7, "queues": {"online": 0}});
/// let text = pomeloslip::render::status(&page);
/// assert_eq!(text, "revision: 7\nqueues:\n  online: 0\n");
/// ```
pub fn status(page: &Value) -> String {
    let mut text = String::new();
    let Some(members) = page.as_object() else {
        return format!("{page}\n");
    };
    let metrics = METRICS
        .iter()
        .find_map(|name| Some((*name, read_metrics(members.get(*name)?)?)));
    for (name, value) in members {
        if metrics.as_ref().is_some_and(|(shown, _)| shown == name) {
            continue;
        }
        member(&mut text, 0, name, value);
    }
    if let Some((_, metrics)) = metrics {
        text.push_str(&histograms(&metrics));
        text.push_str(&counters(&metrics));
    }
    text
}

/// Reads the table, whole or only its rows.
fn read_metrics(value: &Value) -> Option<MetricsSnapshot> {
    if value.is_array() {
        let histograms = serde_json::from_value(value.clone()).ok()?;
        return Some(MetricsSnapshot {
            histograms,
            ..MetricsSnapshot::default()
        });
    }
    // Every member has a default; any object would pass for a table.
    value.get("histograms")?;
    serde_json::from_value(value.clone()).ok()
}

fn member(text: &mut String, depth: usize, name: &str, value: &Value) {
    let indent = "  ".repeat(depth);
    // Writing to a string cannot fail.
    let _ = match value {
        Value::Object(members) if !members.is_empty() => {
            let _ = writeln!(text, "{indent}{name}:");
            for (name, value) in members {
                member(text, depth + 1, name, value);
            }
            Ok(())
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            let _ = writeln!(text, "{indent}{name}: {}", items.len());
            for item in items {
                let _ = writeln!(text, "{indent}  {}", one_line(item));
            }
            Ok(())
        }
        Value::String(string) => writeln!(text, "{indent}{name}: {string}"),
        _ => writeln!(text, "{indent}{name}: {value}"),
    };
}

fn one_line(value: &Value) -> String {
    match value {
        Value::Object(members) => members
            .iter()
            .map(|(name, value)| format!("{name}={}", one_line(value)))
            .collect::<Vec<_>>()
            .join(" "),
        Value::String(string) => string.clone(),
        _ => value.to_string(),
    }
}

fn histograms(metrics: &MetricsSnapshot) -> String {
    let head = [
        "series", "tenant", "class", "count", "p50", "p95", "p99", "p99.9",
        "max", "total",
    ];
    let mut table = Table::new(head).right(3..10);
    for row in &metrics.histograms {
        let window = row.window;
        let values = [
            window.count,
            window.p50,
            window.p95,
            window.p99,
            window.p999,
            window.max,
            row.total.count,
        ];
        let names = [
            row.series.to_string(),
            row.customer.to_string(),
            row.class.to_string(),
        ];
        let values = values.iter().map(u64::to_string);
        table.row(names.into_iter().chain(values));
    }
    if table.is_empty() {
        return String::new();
    }
    format!("\n{table}")
}

fn counters(metrics: &MetricsSnapshot) -> String {
    let mut table =
        Table::new(["counter", "tenant", "class", "total"]).right([3]);
    let all = metrics.counters.iter().filter(|r| r.customer == Scope::All);
    let others = metrics.counters.iter().filter(|r| r.customer != Scope::All);
    for row in all.chain(others) {
        table.row([
            row.counter.to_string(),
            row.customer.to_string(),
            row.class.to_string(),
            row.total.to_string(),
        ]);
    }
    if table.is_empty() {
        return String::new();
    }
    format!("\n{table}")
}
