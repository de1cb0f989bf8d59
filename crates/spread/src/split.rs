//! Splits a configuration into parts.

use std::collections::HashMap;

/// Maximum length of a part's name, in characters.
const MAX_NAME_CHARS: usize = 64;

/// Splits a text into named parts whose concatenation is the text.
///
/// A part begins at each top-level key of the document and at each item of a
/// list below it, so that a customer, a pool or a rule is a part. The split
/// works on lines instead of parsed YAML: any split is correct, since the
/// parts are joined before the text is parsed, and a build with another YAML
/// parser must not split differently.
///
/// # Example
///
/// ```
/// use pomeloslip_spread::split;
///
/// let text = "tenants:\n  - tenant: a\n    weight: 2\n  - tenant: b\n";
/// let parts = split(text);
/// let names: Vec<_> = parts.iter().map(|part| part.0.as_str()).collect();
/// assert_eq!(names, ["tenants", "tenants/tenant: a", "tenants/tenant: b"]);
/// assert_eq!(parts[1].1, "  - tenant: a\n    weight: 2\n");
/// ```
pub fn split(text: &str) -> Vec<(String, &str)> {
    let mut splitter = Splitter::default();
    let mut parts: Vec<(String, &str)> = Vec::new();
    let mut start = 0;
    let mut name = String::new();
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if let Some(next) = splitter.part_starting_at(line) {
            if at > start {
                parts.push((std::mem::take(&mut name), &text[start..at]));
            }
            start = at;
            name = next;
        }
        at += line.len();
    }
    if at > start {
        parts.push((name, &text[start..]));
    }
    parts
}

/// State of the split after the lines so far.
#[derive(Default)]
struct Splitter {
    section: String,
    /// Indentation of the items of this section, once known.
    indent: Option<usize>,
    used: HashMap<String, u32>,
}

impl Splitter {
    /// Returns the name of the part that begins with a line, if one does.
    fn part_starting_at(&mut self, line: &str) -> Option<String> {
        let content = line.trim_start();
        let indent = line.len() - content.len();
        let item = content.strip_prefix("- ");
        if let Some(item) = item {
            if *self.indent.get_or_insert(indent) != indent {
                return None;
            }
            let name = format!("{}/{}", self.section, name_prefix(item));
            return Some(self.unique_name(name));
        }
        let is_key = indent == 0
            && content.starts_with(|first: char| first.is_alphanumeric());
        if !is_key {
            return None;
        }
        self.section = name_prefix(content).trim_end_matches(':').to_owned();
        self.indent = None;
        let name = self.section.clone();
        Some(self.unique_name(name))
    }

    /// Appends a number to a name that is already used.
    fn unique_name(&mut self, name: String) -> String {
        let used = self.used.entry(name.clone()).or_default();
        *used += 1;
        match *used {
            1 => name,
            count => format!("{name}#{count}"),
        }
    }
}

/// Returns the start of a line, which identifies the part; an item in braces
/// is cut at its first comma.
fn name_prefix(line: &str) -> String {
    let first = line.split(',').next().unwrap_or_default();
    first.trim_end().chars().take(MAX_NAME_CHARS).collect()
}
