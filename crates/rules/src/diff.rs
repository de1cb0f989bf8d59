//! Textual differences between two configurations.

use std::collections::HashMap;

use serde::Serialize;
use serde_json::Value;

use crate::Config;

/// Returns the differences between two configuration texts, one per line.
///
/// See [`Config::diff`]. If a text is not valid, its error is the only line.
///
/// # Example
///
/// ```
/// use pomeloslip_rules::diff;
///
/// let old = "rules: [{name: night, then: {shed: true}}]";
/// let new = "rules: [{name: night, then: {refuse: {status: 429}}}]";
/// assert_eq!(
///     diff(old, new),
///     [
///         "~ rule night: then.refuse: none -> {\"status\":429,\
///          \"detail\":\"refused by a rule\"}",
///         "~ rule night: then.shed: true -> none",
///     ],
/// );
/// ```
pub fn diff(old: &str, new: &str) -> Vec<String> {
    let old = Config::parse("old", old);
    let new = Config::parse("new", new);
    match (old, new) {
        (Ok(old), Ok(new)) => old.diff(&new),
        (Err(report), _) | (_, Err(report)) => {
            vec![report.current_context().to_string()]
        }
    }
}

impl Config {
    /// Returns the changes from this configuration to another, one per line:
    /// `+` for an addition, `-` for a removal, `~` for a changed key and `>`
    /// for a rule that moved relative to the rules that stay.
    ///
    /// Customers, pools and named rules are matched by name, unnamed rules by
    /// their whole content.
    pub fn diff(&self, new: &Config) -> Vec<String> {
        let mut lines = Vec::new();
        let customers =
            items("tenant", &self.customers, |one| one.customer.to_string());
        let new_customers =
            items("tenant", &new.customers, |one| one.customer.to_string());
        compare(&customers, &new_customers, false, &mut lines);
        let pools = items("pool", &self.pools, |one| one.pool.clone());
        let new_pools = items("pool", &new.pools, |one| one.pool.clone());
        compare(&pools, &new_pools, false, &mut lines);
        let rules = items("rule", &self.rules, rule_name);
        let new_rules = items("rule", &new.rules, rule_name);
        compare(&rules, &new_rules, true, &mut lines);
        lines
    }
}

fn rule_name(rule: &crate::Rule) -> String {
    match &rule.name {
        Some(name) => name.clone(),
        None => json(rule).to_string(),
    }
}

/// A customer, pool or rule.
struct Item {
    title: String,
    value: Value,
}

fn items<T: Serialize>(
    kind: &str,
    list: &[T],
    name: impl Fn(&T) -> String,
) -> Vec<Item> {
    let mut seen = HashMap::<String, usize>::new();
    let item = |one: &T| {
        let mut title = format!("{kind} {}", name(one));
        // Two unnamed rules may have the same content.
        let count = seen.entry(title.clone()).or_default();
        *count += 1;
        if *count > 1 {
            title = format!("{title} ({count})");
        }
        let value = json(one);
        Item { title, value }
    };
    list.iter().map(item).collect()
}

fn json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn compare(
    old: &[Item],
    new: &[Item],
    ordered: bool,
    lines: &mut Vec<String>,
) {
    let find = |list: &[Item], item: &Item| {
        list.iter().position(|one| one.title == item.title)
    };
    for item in old.iter().filter(|item| find(new, item).is_none()) {
        lines.push(format!("- {}", item.title));
    }
    let old_indices_kept: Vec<usize> =
        old.iter().filter_map(|item| find(new, item)).collect();
    let in_order = longest_increasing_subsequence(&old_indices_kept);
    for (new_index, item) in new.iter().enumerate() {
        let Some(old_index) = find(old, item) else {
            let place = format!(" at {}", new_index + 1);
            let place = if ordered { place.as_str() } else { "" };
            let title = &item.title;
            lines.push(format!("+ {title}{place}: {}", item.value));
            continue;
        };
        append_changes(
            &item.title,
            "",
            &old[old_index].value,
            &item.value,
            lines,
        );
        if ordered && !in_order.contains(&new_index) {
            let title = &item.title;
            let (from, to) = (old_index + 1, new_index + 1);
            lines.push(format!("> {title}: from {from} to {to}"));
        }
    }
}

/// Returns a longest increasing subsequence.
fn longest_increasing_subsequence(numbers: &[usize]) -> Vec<usize> {
    let mut best: Vec<Vec<usize>> = Vec::new();
    for (end, &number) in numbers.iter().enumerate() {
        let fits = |subsequence: &&Vec<usize>| {
            subsequence.last().is_some_and(|&l| l < number)
        };
        let before = best[..end].iter().filter(fits);
        let mut subsequence = before
            .max_by_key(|subsequence| subsequence.len())
            .cloned()
            .unwrap_or_default();
        subsequence.push(number);
        best.push(subsequence);
    }
    best.into_iter().max_by_key(Vec::len).unwrap_or_default()
}

/// Appends a line for each key that differs, at any depth.
fn append_changes(
    title: &str,
    path: &str,
    old: &Value,
    new: &Value,
    lines: &mut Vec<String>,
) {
    let (Value::Object(olds), Value::Object(news)) = (old, new) else {
        if old != new {
            let (old, new) = (text(old), text(new));
            lines.push(format!("~ {title}: {path}: {old} -> {new}"));
        }
        return;
    };
    let mut keys: Vec<&String> = olds.keys().chain(news.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let inner = match path {
            "" => key.clone(),
            _ => format!("{path}.{key}"),
        };
        let old = olds.get(key).unwrap_or(&Value::Null);
        let new = news.get(key).unwrap_or(&Value::Null);
        append_changes(title, &inner, old, new, lines);
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        _ => value.to_string(),
    }
}
