use std::fmt;

/// Says why the data role cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DataError {
    /// The settings lack something that this role needs.
    Settings,
    /// The data folder cannot be used.
    Folder,
    /// A listener or a thread could not be started.
    Start,
    /// The store failed.
    Store,
    /// Another data VM did not do what was asked.
    Peer,
}

impl fmt::Display for DataError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DataError::Settings => "the settings do not fit a data VM",
            DataError::Folder => "the data folder cannot be used",
            DataError::Start => "the data role cannot start",
            DataError::Store => "the store failed",
            DataError::Peer => "another data VM did not do it",
        })
    }
}

impl std::error::Error for DataError {}
