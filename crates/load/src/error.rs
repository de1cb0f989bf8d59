use std::fmt;

/// Error of a load run.
///
/// Failures of single requests are not errors; they are counted in the
/// report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadError {
    /// The plan contradicts itself or is out of range.
    Plan,
    /// The HTTP client could not be created.
    Client,
    /// A task of the load generator panicked.
    Task,
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LoadError::Plan => "the load plan is invalid",
            LoadError::Client => "the HTTP client cannot be created",
            LoadError::Task => "a task of the load generator panicked",
        })
    }
}

impl std::error::Error for LoadError {}
