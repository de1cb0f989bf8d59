use std::fmt;

/// Why a companion cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompanionError {
    /// The settings lack a value that this role needs.
    Settings,
    /// A listener or a thread could not be started.
    Start,
}

impl fmt::Display for CompanionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CompanionError::Settings => {
                "the settings are not valid for a companion"
            }
            CompanionError::Start => "the companion cannot start",
        })
    }
}

impl std::error::Error for CompanionError {}
