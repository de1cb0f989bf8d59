use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
};

use crate::{
    Location, Problem,
    nearest::nearest,
    node::{Node, join_index},
};

/// A type whose values can be wrong in ways that its fields cannot say, such
/// as a range or a name that nothing defines.
pub trait Check {
    /// Reports what is wrong.
    fn check(&self, findings: &mut Findings<'_>);
}

/// Takes what a [`Check`] finds and gives it a place in the text.
///
/// Values are named by their path, such as `pools[1].models`. For a value
/// that was left out, the place is that of the nearest one around it.
///
/// A check also runs if some values could not be read, so that an operator
/// sees all problems at once. Those values are missing then: a list may be
/// shorter than in the text ([`Findings::item_path`] numbers its items right),
/// and a name may lack its definition ([`Findings::is_partial`]).
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
    /// It is passed over if something inside the value could not be read,
    /// since it may follow from that.
    pub fn report(&mut self, path: &str, message: impl Into<String>) {
        self.add(path, message.into(), None);
    }

    /// Reports a name that is not defined, with the nearest that is.
    pub fn report_unknown<'c>(
        &mut self,
        path: &str,
        kind: &str,
        wrong: &str,
        right: impl IntoIterator<Item = &'c str>,
    ) {
        let near = nearest(wrong, right).map(str::to_owned);
        self.add(path, format!("unknown {kind} {wrong:?}"), near);
    }

    /// Reports a number outside of a range, both ends included.
    pub fn check_range<N>(&mut self, path: &str, value: N, min: N, max: N)
    where
        N: PartialOrd + Display,
    {
        if value < min || value > max {
            let message = format!("{value} is not in {min} to {max}");
            self.report(path, message);
        }
    }

    /// Reports a name that holds other than letters, digits, `-`, `_` and
    /// `.`, or nothing.
    pub fn check_name(&mut self, path: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(allowed) {
            let message = "takes letters, digits and - _ . only";
            self.report(path, message);
        }
    }

    /// Returns the path of the item that is now number `index` of a list.
    ///
    /// It is the path of the list itself if one value stands in its place
    /// ([`OneOrMany`](crate::OneOrMany)).
    pub fn item_path(&self, list: &str, index: usize) -> String {
        let path = self.written_item_path(list, index);
        let is_written = |path: &str| self.locations.contains_key(path);
        if is_written(list) && !is_written(&path) {
            return list.to_owned();
        }
        path
    }

    fn written_item_path(&self, list: &str, index: usize) -> String {
        // Counting from the start for each item of a long list takes a
        // time that grows with its square.
        if self.dropped.is_empty() {
            return join_index(list, index);
        }
        let paths = (0..).map(|number| join_index(list, number));
        let mut kept = paths.filter(|path| !self.dropped.contains(path));
        kept.nth(index).unwrap_or_default()
    }

    /// Tells whether something in a value could not be read.
    pub fn is_partial(&self, path: &str) -> bool {
        self.dropped.iter().any(|dropped| is_within(dropped, path))
    }

    fn add(&mut self, path: &str, message: String, near: Option<String>) {
        if self.is_partial(path) {
            return;
        }
        let location = self.location(path);
        let problem = Problem::new(self.file, location, path, message);
        self.problems.push(problem.with_nearest(near));
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

/// Finds names that stand twice.
///
/// Its use is in [`Check::check`]: one for each list whose names must be
/// unique.
#[derive(Clone, Debug, Default)]
pub struct UniqueNames(HashMap<String, String>);

impl UniqueNames {
    /// Takes one name with its path and reports it if it stood before.
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
