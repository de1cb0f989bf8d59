use std::fmt;

/// Says why a measurement could not be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BenchError {
    /// The command line is wrong.
    Usage,
    /// The two binaries are not there.
    Binaries,
    /// A process did not start or ended by itself.
    Process,
    /// Settings could not be made.
    Settings,
    /// A call failed.
    Call,
    /// A promise did not hold.
    Promise,
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BenchError::Usage => "wrong usage",
            BenchError::Binaries => "the binaries are missing",
            BenchError::Process => "a process does not run",
            BenchError::Settings => "the settings cannot be made",
            BenchError::Call => "a call failed",
            BenchError::Promise => "a promise did not hold",
        })
    }
}

impl std::error::Error for BenchError {}
