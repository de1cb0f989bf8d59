use std::fmt;

/// Why the data role or one of its operations failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DataError {
    /// The settings are incomplete or invalid for this role.
    Settings,
    /// The data folder cannot be used.
    Folder,
    /// A listener or a thread could not be started.
    Start,
    /// The store failed.
    Store,
    /// A request to another data VM failed.
    Peer,
}

impl fmt::Display for DataError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DataError::Settings => "the settings are not valid for a data VM",
            DataError::Folder => "the data folder cannot be used",
            DataError::Start => "the data role cannot start",
            DataError::Store => "the store failed",
            DataError::Peer => "a request to another data VM failed",
        })
    }
}

impl std::error::Error for DataError {}
