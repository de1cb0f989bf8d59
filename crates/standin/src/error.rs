use std::fmt;

/// Says what a stand-in could not do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandinError {
    /// The server could not listen at its address.
    Listen,
    /// The server ended before it was ready.
    Launch,
    /// The settings contradict each other or are out of range.
    Settings,
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StandinError::Listen => "the stand-in cannot listen",
            StandinError::Launch => "the stand-in ended before it was ready",
            StandinError::Settings => "the stand-in's settings are invalid",
        })
    }
}

impl std::error::Error for StandinError {}
