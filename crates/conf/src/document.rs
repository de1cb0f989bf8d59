use std::{
    fs::File,
    io::{self, Read},
    path::Path,
};

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::{
    Check, ConfError, Findings, Location, MAX_PROBLEMS, Problem, de, load,
};

/// Maximum length of a document in bytes, which is the largest value that
/// the key-value service stores.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Parses a document.
///
/// # Errors
///
/// Syntax errors, a second document, duplicate, unknown or missing keys and
/// values of a wrong type, each with its location; up to [`MAX_PROBLEMS`].
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

/// Parses a document and runs its semantic checks.
///
/// # Errors
///
/// As for [`parse`], and every problem that [`Check::check`] reports.
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
/// As for [`parse`], and if the file cannot be read, is not UTF-8 or is
/// longer than [`MAX_DOCUMENT_BYTES`].
pub fn read<T: DeserializeOwned>(
    path: impl AsRef<Path>,
) -> Result<T, Report<ConfError>> {
    let (name, text) = read_text(path.as_ref())?;
    parse(&name, &text)
}

/// Reads a document from a file and runs its semantic checks.
///
/// # Errors
///
/// As for [`read`], and every problem that [`Check::check`] reports.
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
    // `read_bytes` reads one byte beyond the limit, so that `parse` reports
    // a document that is too long.
    match String::from_utf8(bytes) {
        Ok(text) => Ok((name, text)),
        Err(error) if error.as_bytes().len() > MAX_DOCUMENT_BYTES => {
            let text = String::from_utf8_lossy(error.as_bytes()).into_owned();
            Ok((name, text))
        }
        Err(error) => {
            let valid_len = error.utf8_error().valid_up_to();
            let text = String::from_utf8_lossy(&error.as_bytes()[..valid_len]);
            Err(fail(Location::after(&text), "is not UTF-8".to_owned()))
        }
    }
}

fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
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
        let dropped = outcome.dropped;
        let mut findings = Findings::new(file, &root, dropped);
        check(value, &mut findings);
        problems.extend(findings.into_problems());
    }
    problems.truncate(MAX_PROBLEMS);
    match (ConfError::from_problems(problems), value) {
        (None, Some(value)) => Ok(value),
        (Some(error), _) => Err(Report::new(error)),
        (None, None) => {
            let message =
                "is invalid, but the location of the problem is unknown";
            let problem = Problem::new(file, root.location, "", message);
            Err(Report::new(problem.into()))
        }
    }
}

fn check_length(file: &str, text: &str) -> Result<(), Problem> {
    if text.len() <= MAX_DOCUMENT_BYTES {
        return Ok(());
    }
    let bytes = &text.as_bytes()[..MAX_DOCUMENT_BYTES];
    let location = Location::after(&String::from_utf8_lossy(bytes));
    let message = format!("is longer than {MAX_DOCUMENT_BYTES} bytes");
    Err(Problem::new(file, location, "", message))
}
