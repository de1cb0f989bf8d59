use std::{error, fmt};

/// Says what a node could not do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassError {
    /// The address of the listener cannot be used.
    Listen,
}

impl fmt::Display for PassError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PassError::Listen => "the address cannot be listened on",
        })
    }
}

impl error::Error for PassError {}

/// Says that an answer ended before it was whole.
///
/// The server library closes the caller's connection on it without the mark
/// of a complete answer, so that the caller cannot take a part for the
/// whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncompleteResponse {
    /// The endpoint's connection broke or its bytes were no answer.
    Endpoint,
    /// The time of the request was up.
    Deadline,
}

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IncompleteResponse::Endpoint => "the endpoint's answer broke off",
            IncompleteResponse::Deadline => "the time of the request is up",
        })
    }
}

impl error::Error for IncompleteResponse {}
