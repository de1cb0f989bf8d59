use std::fmt;

/// Error of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryError {
    /// The settings lack a value that this role requires.
    Settings,
    /// A listener, client or thread could not be started.
    Start,
    /// The configuration cannot be read or is invalid.
    Config,
    /// The key-value service did not apply the request.
    Platform,
    /// The platform may or may not have applied the request.
    Unknown,
    /// The data VMs did not store or return the data.
    Storage,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EntryError::Settings => "the settings do not fit an entry",
            EntryError::Start => "the entry cannot start",
            EntryError::Config => "the configuration is of no use",
            EntryError::Platform => "the platform did not do it",
            EntryError::Unknown => "the platform may have done it",
            EntryError::Storage => "the data VMs did not do it",
        })
    }
}

impl std::error::Error for EntryError {}
