use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
    fs::File,
    io::{self, Read},
    path::Path,
};

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::{
    ConfError, Location, PROBLEMS_MAX, Problem, de, load,
    nearest::nearest,
    node::{Node, join_index},
};

/// Longest document, in bytes: what the key-value service holds in a value.
pub const DOCUMENT_MAX_BYTES: usize = 1 << 20;

/// A type whose values can be wrong in ways that its fields cannot say, such
/// as a range or a name that nothing defines.
pub trait Check {
    /// Reports what is wrong.
    fn check(&self, findings: &mut Findings<'_>);
}

/// Parses a document.
///
/// # Errors
///
/// Syntax, a second document, duplicate or unknown keys, missing keys and
/// values of a wrong type, each with its place; up to 20 problems.
///
/// # Example
///
/// ```
/// use pomeloslip_conf::parse;
/// use serde::Deserialize;
///
/// #[derive(Debug, Deserialize)]
/// struct Pool {
///     models: Vec<String>,
/// }
///
/// let pool: Pool = parse("a.yaml", "models: [korv-lm]")?;
/// assert_eq!(pool.models, ["korv-lm"]);
///
/// let report = parse::<Pool>("a.yaml", "models: [[]]").unwrap_err();
/// assert_eq!(
///     report.current_context().to_string(),
///     "a.yaml:1:10: models[0]: expected a string, found a list",
/// );
/// # Ok::<(), error_stack::Report<pomeloslip_conf::ConfError>>(())
/// ```
pub fn parse<T: DeserializeOwned>(
    source_name: &str,
    text: &str,
) -> Result<T, Report<ConfError>> {
    parse_with(source_name, text, |_, _| ())
}

/// Parses a document and checks what it means.
///
/// # Errors
///
/// As of [`parse`], and what [`Check::check`] reports.
pub fn parse_checked<T: DeserializeOwned + Check>(
    source_name: &str,
    text: &str,
) -> Result<T, Report<ConfError>> {
    parse_with(source_name, text, T::check)
}

/// Reads a document from a file.
///
/// # Errors
///
/// As of [`parse`], and if the file cannot be read, is not UTF-8 or is
/// longer than [`DOCUMENT_MAX_BYTES`].
pub fn read<T: DeserializeOwned>(
    path: impl AsRef<Path>,
) -> Result<T, Report<ConfError>> {
    let (name, text) = read_text(path.as_ref())?;
    parse(&name, &text)
}

/// Reads a document from a file and checks what it means.
///
/// # Errors
///
/// As of [`read`], and what [`Check::check`] reports.
pub fn read_checked<T: DeserializeOwned + Check>(
    path: impl AsRef<Path>,
) -> Result<T, Report<ConfError>> {
    let (name, text) = read_text(path.as_ref())?;
    parse_checked(&name, &text)
}

fn read_text(path: &Path) -> Result<(String, String), Report<ConfError>> {
    let name = path.display().to_string();
    let fail = |location, message: String| {
        let problem = Problem::new(&name, location, "", message);
        Report::new(ConfError::from(problem))
    };
    let bytes = read_bytes(path).map_err(|error| {
        let message = format!("cannot be read: {error}");
        fail(Location::default(), message)
    })?;
    // One byte more than is allowed was read; `parse` reports the length.
    match String::from_utf8(bytes) {
        Ok(text) => Ok((name, text)),
        Err(error) if error.as_bytes().len() > DOCUMENT_MAX_BYTES => {
            let text = String::from_utf8_lossy(error.as_bytes()).into_owned();
            Ok((name, text))
        }
        Err(error) => {
            let good = error.utf8_error().valid_up_to();
            let text = String::from_utf8_lossy(&error.as_bytes()[..good]);
            Err(fail(Location::after(&text), "is not UTF-8".to_owned()))
        }
    }
}

fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = DOCUMENT_MAX_BYTES as u64 + 1;
    File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn parse_with<T: DeserializeOwned>(
    file: &str,
    text: &str,
    check: impl FnOnce(&T, &mut Findings<'_>),
) -> Result<T, Report<ConfError>> {
    let mut problems = Vec::new();
    let root = check_length(file, text)
        .and_then(|()| load::load(file, text, &mut problems))
        .map_err(|problem| Report::new(ConfError::from(problem)))?;
    let (value, outcome) = de::deserialize::<T>(file, &root);
    problems.extend(outcome.problems);
    if let Some(value) = &value {
        let mut findings = Findings {
            file,
            locations: locations(&root),
            dropped: outcome.dropped,
            problems: &mut problems,
        };
        check(value, &mut findings);
    }
    problems.truncate(PROBLEMS_MAX);
    match (ConfError::from_problems(problems), value) {
        (None, Some(value)) => Ok(value),
        (Some(error), _) => Err(Report::new(error)),
        (None, None) => {
            let message = "is wrong in a way that could not be located";
            let problem = Problem::new(file, root.location, "", message);
            Err(Report::new(problem.into()))
        }
    }
}

fn check_length(file: &str, text: &str) -> Result<(), Problem> {
    if text.len() <= DOCUMENT_MAX_BYTES {
        return Ok(());
    }
    let bytes = &text.as_bytes()[..DOCUMENT_MAX_BYTES];
    let location = Location::after(&String::from_utf8_lossy(bytes));
    let message = format!("is longer than {DOCUMENT_MAX_BYTES} bytes");
    Err(Problem::new(file, location, "", message))
}

fn locations(root: &Node) -> HashMap<&str, Location> {
    let mut found = HashMap::new();
    root.walk(&mut |node| {
        found.insert(node.path.as_str(), node.location);
    });
    found
}

/// Takes what a [`Check`] finds and gives it a place in the text.
///
/// Values are named by their path, such as `pools[1].models`. For a value
/// that was left out, the place is that of the nearest one around it.
///
/// A check also runs if some values could not be read, so that an operator
/// sees all problems at once. Those values are missing then: a list may be
/// shorter than in the text ([`Findings::item`] numbers its items right),
/// and a name may lack its definition ([`Findings::is_partial`]).
#[derive(Debug)]
pub struct Findings<'a> {
    file: &'a str,
    locations: HashMap<&'a str, Location>,
    dropped: HashSet<String>,
    problems: &'a mut Vec<Problem>,
}

impl Findings<'_> {
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
    pub fn range<N>(&mut self, path: &str, value: N, least: N, most: N)
    where
        N: PartialOrd + Display,
    {
        if value < least || value > most {
            let message = format!("{value} is not in {least} to {most}");
            self.report(path, message);
        }
    }

    /// Returns the path of the item that is now number `index` of a list.
    pub fn item(&self, list: &str, index: usize) -> String {
        let mut kept = 0;
        for number in 0.. {
            let path = join_index(list, number);
            if self.dropped.contains(&path) {
                continue;
            }
            if kept == index {
                return path;
            }
            kept += 1;
        }
        join_index(list, index)
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
