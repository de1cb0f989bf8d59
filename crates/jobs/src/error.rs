use std::{error, fmt};

/// Says what became of a call about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobError {
    /// The id cannot name a job.
    InvalidId,
    /// StoredManifest bytes are not what they should be.
    Encoding,
    /// The job is larger than one call of the key-value service holds.
    TooLarge,
    /// There is no such job.
    Unknown,
    /// The id names a job of another customer.
    Conflict,
    /// The key-value service is away; nothing was done.
    NotDone,
    /// The answer of the key-value service is lost; the call may have taken
    /// effect.
    OutcomeUnknown,
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            JobError::InvalidId => "the id cannot name a job",
            JobError::Encoding => "stored bytes are no such record",
            JobError::TooLarge => "the job is too large",
            JobError::Unknown => "there is no such job",
            JobError::Conflict => "the id names a job of another customer",
            JobError::NotDone => "the key-value service did not do the call",
            JobError::OutcomeUnknown => "the call may have taken effect",
        })
    }
}

impl error::Error for JobError {}
