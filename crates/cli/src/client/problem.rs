use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize};

/// Longest part of a body that is no problem document and is shown.
const SHOWN_BODY_CHARS: usize = 200;

/// Tells whether a refused or lost request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It certainly did not run.
    No,
    /// It may have run.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "it did not run",
            Ran::Unknown => "it may have run",
        })
    }
}

/// A fault of a configuration, with its place in the text.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigFault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Key that is at fault.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// Nearest right word.
    pub nearest: Option<String>,
}

/// An error answer (RFC 9457), with the extensions of the entry.
///
/// # Example
///
/// ```
/// use pomeloslip::client::{Problem, Ran};
///
/// let body = r#"{"type": "/problems/overload", "title": "no room",
///     "ran": "no"}"#;
/// let problem = Problem::from_body(503, Some(2), body);
/// assert_eq!(problem.ran, Some(Ran::No));
/// assert_eq!(
///     problem.to_string(),
///     "503 no room (it did not run; retry after 2 s)"
/// );
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Stable name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text for people.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: Option<String>,
    /// Whether the request ran, if the answer says so.
    pub ran: Option<Ran>,
    /// Seconds after which a retry may help.
    pub retry_after_s: Option<u64>,
    /// Revision in force, where another was expected.
    pub current_revision: Option<u64>,
    /// From the revision in force to the text that was sent, by lines.
    #[serde(deserialize_with = "lines")]
    pub diff: Vec<String>,
    /// Faults of the configuration that was sent.
    pub errors: Vec<ConfigFault>,
    /// All other members.
    #[serde(flatten)]
    pub other: IndexMap<String, serde_json::Value>,
}

impl Problem {
    /// Reads an error answer; a body that is no problem document becomes
    /// the detail.
    pub fn from_body(
        status: u16,
        retry_after_s: Option<u64>,
        body: &str,
    ) -> Self {
        let mut problem = serde_json::from_str::<Problem>(body)
            .ok()
            .filter(|problem| *problem != Problem::default())
            .unwrap_or_else(|| Problem::plain(body));
        problem.status = status;
        problem.retry_after_s = problem.retry_after_s.or(retry_after_s);
        problem
    }

    fn plain(body: &str) -> Self {
        let shown: String =
            body.trim().chars().take(SHOWN_BODY_CHARS).collect();
        Self {
            title: "error".to_owned(),
            detail: Some(shown).filter(|text| !text.is_empty()),
            ..Self::default()
        }
    }

    fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        notes.extend(self.ran.map(|ran| ran.to_string()));
        if let Some(revision) = self.current_revision {
            notes.push(format!("revision {revision} is in force"));
        }
        if let Some(seconds) = self.retry_after_s {
            notes.push(format!("retry after {seconds} s"));
        }
        notes
    }
}

/// Reads a list of lines or one text.
fn lines<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Lines {
        List(Vec<String>),
        Text(String),
    }
    Ok(match Lines::deserialize(deserializer)? {
        Lines::List(lines) => lines,
        Lines::Text(text) => text.lines().map(str::to_owned).collect(),
    })
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let title = if self.title.is_empty() {
            &self.kind
        } else {
            &self.title
        };
        write!(f, "{} {title}", self.status)?;
        if let Some(detail) = &self.detail {
            write!(f, ": {}", detail.replace('\n', " "))?;
        }
        let notes = self.notes();
        if !notes.is_empty() {
            write!(f, " ({})", notes.join("; "))?;
        }
        Ok(())
    }
}
