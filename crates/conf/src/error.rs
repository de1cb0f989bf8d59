use std::fmt;

use serde::{Deserialize, Serialize};

/// Key of a problem that concerns the whole document.
const WHOLE_DOCUMENT: &str = "(document)";

/// Position in a text. Both numbers are counted from 1, and are 0 if the
/// position is unknown.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Location {
    /// Line number.
    pub line: u32,
    /// Column number, in characters, not bytes.
    pub column: u32,
}

impl Location {
    /// Position of the first character.
    pub(crate) const START: Location = Location { line: 1, column: 1 };

    /// Returns the position immediately after `text`.
    pub(crate) fn after(text: &str) -> Self {
        let line = 1 + text.matches('\n').count();
        let last_line = text.rsplit('\n').next().unwrap_or_default();
        Self::clamped(line, 1 + last_line.chars().count())
    }

    /// Creates a location, saturating both numbers at `u32::MAX`.
    pub(crate) fn clamped(line: usize, column: usize) -> Self {
        Self {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

/// A problem in a document.
///
/// Displays as `FILE:LINE:COLUMN: KEY: message; did you mean "x"?`, without
/// the position if it is unknown and without the question if no valid word is
/// similar enough.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    file: String,
    #[serde(flatten)]
    location: Location,
    key: String,
    message: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    nearest: Option<String>,
}

impl Problem {
    pub(crate) fn new(
        file: &str,
        location: Location,
        key: &str,
        message: impl Into<String>,
    ) -> Self {
        let key = if key.is_empty() { WHOLE_DOCUMENT } else { key };
        Self {
            file: file.to_owned(),
            location,
            key: key.to_owned(),
            message: message.into(),
            nearest: None,
        }
    }

    pub(crate) fn with_nearest(mut self, nearest: Option<String>) -> Self {
        self.nearest = nearest;
        self
    }

    /// Returns the name of the file, or of another source of the text.
    #[inline]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the line, counted from 1; 0 if the file could not be read.
    #[inline]
    pub fn line(&self) -> u32 {
        self.location.line
    }

    /// Returns the column in characters, counted from 1; 0 if the file
    /// could not be read.
    #[inline]
    pub fn column(&self) -> u32 {
        self.location.column
    }

    /// Returns the path of the key that the problem concerns, such as
    /// `pools[1].models`, or `(document)` for the whole document.
    #[inline]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the description of the problem.
    #[inline]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the valid word that is most similar to the rejected one, if one
    /// is similar enough.
    #[inline]
    pub fn nearest(&self) -> Option<&str> {
        self.nearest.as_deref()
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Location { line, column } = self.location;
        f.write_str(&self.file)?;
        if line > 0 {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}: {}", self.key, self.message)?;
        match &self.nearest {
            Some(word) => write!(f, "; did you mean {word:?}?"),
            None => Ok(()),
        }
    }
}

/// The problems of a document: at least one [`Problem`], in the order of
/// their locations.
///
/// Displays one line for each problem. Serializes as a list of problems, each
/// with `file`, `line`, `column`, `key`, `message` and optionally `nearest`.
/// Getters other than [`ConfError::problems`] refer to the first problem.
///
/// # Example
///
/// ```
/// use pomeloslip_conf::settings::Settings;
///
/// let report = Settings::parse("a.yaml", "roll: entry\n").unwrap_err();
/// let error = report.current_context();
/// assert_eq!((error.line(), error.column()), (1, 1));
/// assert_eq!(error.key(), "roll");
/// assert_eq!(error.nearest(), Some("role"));
/// assert!(error.to_string().starts_with(
///     "a.yaml:1:1: roll: unknown key; did you mean \"role\"?"
/// ));
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(into = "Vec<Problem>")]
pub struct ConfError {
    first: Problem,
    others: Vec<Problem>,
}

impl ConfError {
    /// Sorts problems by location and creates an error from them. Returns
    /// `None` if there are no problems.
    pub fn from_problems(mut problems: Vec<Problem>) -> Option<Self> {
        problems.sort_by_key(|problem| problem.location);
        let mut problems = problems.into_iter();
        let first = problems.next()?;
        let others = problems.collect();
        Some(Self { first, others })
    }

    /// Returns all problems in the order of their locations.
    pub fn problems(&self) -> impl Iterator<Item = &Problem> {
        std::iter::once(&self.first).chain(&self.others)
    }

    /// Returns the name of the file, or of another source of the text.
    #[inline]
    pub fn file(&self) -> &str {
        self.first.file()
    }

    /// Returns the line of the first problem, counted from 1; 0 if the file
    /// could not be read.
    #[inline]
    pub fn line(&self) -> u32 {
        self.first.line()
    }

    /// Returns the column of the first problem in characters, counted from 1;
    /// 0 if the file could not be read.
    #[inline]
    pub fn column(&self) -> u32 {
        self.first.column()
    }

    /// Returns the path of the key that the first problem concerns, such as
    /// `pools[1].models`, or `(document)` for the whole document.
    #[inline]
    pub fn key(&self) -> &str {
        self.first.key()
    }

    /// Returns the description of the first problem.
    #[inline]
    pub fn message(&self) -> &str {
        self.first.message()
    }

    /// Returns the valid word that is most similar to the one that the first
    /// problem rejects, if one is similar enough.
    #[inline]
    pub fn nearest(&self) -> Option<&str> {
        self.first.nearest()
    }
}

impl From<Problem> for ConfError {
    fn from(first: Problem) -> Self {
        let others = Vec::new();
        Self { first, others }
    }
}

impl From<ConfError> for Vec<Problem> {
    fn from(error: ConfError) -> Self {
        let mut problems = vec![error.first];
        problems.extend(error.others);
        problems
    }
}

impl fmt::Display for ConfError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.first.fmt(f)?;
        for problem in &self.others {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfError {}
