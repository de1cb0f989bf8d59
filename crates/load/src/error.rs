use std::fmt;

/// Says why a load could not be run.
///
/// Failures of single requests are no errors; they are counted in the
/// report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadError {
    /// The plan contradicts itself or is out of range.
    Plan,
    /// The HTTP client could not be made.
    Client,
    /// A task of the generator ended by a panic.
    Task,
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LoadError::Plan => "the load plan is invalid",
            LoadError::Client => "the HTTP client cannot be made",
            LoadError::Task => "a task of the load generator failed",
        })
    }
}

impl std::error::Error for LoadError {}
