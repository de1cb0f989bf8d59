use std::{error, fmt};

use framing::Truncation;

/// Errors of the forwarding path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassError {
    /// The listener cannot bind to its address.
    Listen,
}

impl fmt::Display for PassError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PassError::Listen => "cannot listen on the address",
        })
    }
}

impl error::Error for PassError {}

/// Reports that a response ended before it was complete.
///
/// On this error the server library closes the client connection without the
/// end marker of a complete response, so that the client cannot mistake a
/// partial response for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncompleteResponse {
    /// The endpoint connection broke, or its bytes were not a valid response.
    Endpoint,
    /// The response ended in order, but its content is incomplete.
    Truncated(Truncation),
    /// The deadline of the request passed.
    Deadline,
}

impl IncompleteResponse {
    /// Returns a description for logs.
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            IncompleteResponse::Endpoint => "the endpoint's answer broke off",
            IncompleteResponse::Truncated(truncation) => truncation.as_str(),
            IncompleteResponse::Deadline => "the time of the request is up",
        }
    }
}

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl error::Error for IncompleteResponse {}
