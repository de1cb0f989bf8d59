use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
};

use crate::{
    Location, Problem,
    nearest::nearest,
    node::{Node, join_index},
};

/// Semantic checks that field types cannot express, such as ranges or
/// references to names that must be defined.
pub trait Check {
    /// Reports all problems of this value.
    fn check(&self, findings: &mut Findings<'_>);
}

/// Collects the problems that a [`Check`] finds and locates them in the text.
///
/// Values are identified by their path, such as `pools[1].models`. A value
/// that is not in the text has the location of its nearest ancestor.
///
/// A check also runs if some values could not be deserialized, so that an
/// operator sees all problems at once. Those values are absent: a list may be
/// shorter than in the text ([`Findings::item_path`] accounts for this), and
/// the definition of a name may be missing ([`Findings::is_partial`]).
#[derive(Debug)]
pub struct Findings<'a> {
    file: &'a str,
    locations: HashMap<&'a str, Location>,
    dropped: HashSet<String>,
    problems: Vec<Problem>,
}

impl<'a> Findings<'a> {
    pub(crate) fn new(
        file: &'a str,
        root: &'a Node,
        dropped: HashSet<String>,
    ) -> Self {
        let mut locations = HashMap::new();
        root.walk(&mut |node| {
            locations.insert(node.path.as_str(), node.location);
        });
        let problems = Vec::new();
        Self {
            file,
            locations,
            dropped,
            problems,
        }
    }

    pub(crate) fn into_problems(self) -> Vec<Problem> {
        self.problems
    }

    /// Reports a problem of a value.
    ///
    /// The report is ignored if something inside the value could not be
    /// deserialized, since the problem may be a consequence of that.
    pub fn report(&mut self, path: &str, message: impl Into<String>) {
        self.add(path, message.into(), None);
    }

    /// Reports an undefined name and suggests the most similar defined one.
    pub fn report_unknown<'c>(
        &mut self,
        path: &str,
        kind: &str,
        name: &str,
        known: impl IntoIterator<Item = &'c str>,
    ) {
        let suggestion = nearest(name, known).map(str::to_owned);
        self.add(path, format!("unknown {kind} {name:?}"), suggestion);
    }

    /// Reports a number outside of an inclusive range.
    pub fn check_range<N>(&mut self, path: &str, value: N, min: N, max: N)
    where
        N: PartialOrd + Display,
    {
        if value < min || value > max {
            let message = format!("{value} is not in {min} to {max}");
            self.report(path, message);
        }
    }

    /// Reports a name that is empty or has characters other than ASCII
    /// letters, digits, `-`, `_` and `.`.
    pub fn check_name(&mut self, path: &str, name: &str) {
        let is_allowed =
            |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(is_allowed) {
            let message = "must consist of letters, digits and - _ . only";
            self.report(path, message);
        }
    }

    /// Returns the path in the text of the item at `index` of a deserialized
    /// list.
    ///
    /// Returns the path of the list itself if the text has a single value in
    /// place of a list ([`OneOrMany`](crate::OneOrMany)).
    pub fn item_path(&self, list: &str, index: usize) -> String {
        let path = self.text_item_path(list, index);
        let is_in_text = |path: &str| self.locations.contains_key(path);
        if is_in_text(list) && !is_in_text(&path) {
            return list.to_owned();
        }
        path
    }

    fn text_item_path(&self, list: &str, index: usize) -> String {
        // Scanning from the start for each item takes quadratic time, so it
        // is avoided for lists without dropped items.
        if self.dropped.is_empty() {
            return join_index(list, index);
        }
        let paths = (0..).map(|number| join_index(list, number));
        let mut remaining = paths.filter(|path| !self.dropped.contains(path));
        remaining.nth(index).unwrap_or_default()
    }

    /// Reports whether something in a value could not be deserialized.
    pub fn is_partial(&self, path: &str) -> bool {
        self.dropped.iter().any(|dropped| is_within(dropped, path))
    }

    fn add(
        &mut self,
        path: &str,
        message: String,
        suggestion: Option<String>,
    ) {
        if self.is_partial(path) {
            return;
        }
        let location = self.location(path);
        let problem = Problem::new(self.file, location, path, message);
        self.problems.push(problem.with_nearest(suggestion));
    }

    fn location(&self, path: &str) -> Location {
        let mut path = path;
        loop {
            if let Some(location) = self.locations.get(path) {
                return *location;
            }
            let end = path.rfind(['.', '[']).unwrap_or(0);
            path = &path[..end];
            if path.is_empty() {
                let root = self.locations.get("");
                return root.copied().unwrap_or(Location::START);
            }
        }
    }
}

fn is_within(inner: &str, outer: &str) -> bool {
    match inner.strip_prefix(outer) {
        Some(rest) => {
            outer.is_empty() || rest.is_empty() || rest.starts_with(['.', '['])
        }
        None => false,
    }
}

/// Detects duplicate names.
///
/// An implementation of [`Check::check`] uses one instance for each list
/// whose names must be unique.
#[derive(Clone, Debug, Default)]
pub struct UniqueNames(HashMap<String, String>);

impl UniqueNames {
    /// Adds a name with its path and reports the name if it is a duplicate.
    pub fn add(
        &mut self,
        path: &str,
        name: &str,
        findings: &mut Findings<'_>,
    ) {
        if let Some(first) = self.0.get(name) {
            findings.report(path, format!("{name:?} is also in {first}"));
            return;
        }
        self.0.insert(name.to_owned(), path.to_owned());
    }
}
