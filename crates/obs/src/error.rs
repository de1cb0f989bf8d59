use std::fmt;

/// Failure to set up logs or metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObsError {
    /// The logger could not be started, for example because one is running.
    Logs,
    /// The statsd sink could not be opened.
    Statsd,
}

impl fmt::Display for ObsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ObsError::Logs => "cannot start the logger",
            ObsError::Statsd => "cannot open the statsd sink",
        })
    }
}

impl std::error::Error for ObsError {}
