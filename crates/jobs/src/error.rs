use std::{error, fmt};

/// The reason why an operation on a job failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobError {
    /// The id is not valid as the key of a job.
    InvalidId,
    /// Stored bytes cannot be decoded.
    Encoding,
    /// The job does not fit into one transaction of the key-value service.
    TooLarge,
    /// The ledger does not have the job.
    Unknown,
    /// The job has no such item.
    UnknownItem,
    /// A job of another customer has the same id.
    Conflict,
    /// The key-value service is unavailable; the operation was not executed.
    NotDone,
    /// The response of the key-value service was lost; the operation may have
    /// taken effect.
    OutcomeUnknown,
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            JobError::InvalidId => "the id cannot name a job",
            JobError::Encoding => "the stored record is not valid",
            JobError::TooLarge => "the job is too large",
            JobError::Unknown => "the ledger does not have the job",
            JobError::UnknownItem => "the job has no such item",
            JobError::Conflict => "another customer has a job with this id",
            JobError::NotDone => {
                "the key-value service did not execute the call"
            }
            JobError::OutcomeUnknown => "the call may have taken effect",
        })
    }
}

impl error::Error for JobError {}
